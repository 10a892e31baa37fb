// Package pause contains the only function with which the system waits for a
// period of time.
package pause

import (
	"context"
	"time"
)

// For waits for a duration. If the context ends earlier, it returns the context's
// error at that time. A duration of zero or less does not wait.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
