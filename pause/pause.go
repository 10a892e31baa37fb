// Package pause holds the one way in which the system waits for time to pass.
package pause

import (
	"context"
	"time"
)

// For waits for a time, at most until the context ends; then it returns the
// context's error.
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
