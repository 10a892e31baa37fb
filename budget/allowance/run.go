package allowance

import (
	"context"
	"sync"
	"time"

	"buckthornridge/pause"
)

// Timing of the upkeep.
const (
	upkeepInterval = 150 * time.Millisecond
	callLimit      = 1200 * time.Millisecond
	openPause      = 200 * time.Millisecond
	// followInterval is the time between two looks at what other holders have.
	followInterval = time.Second
	// grantTries is how often a change of a pool is tried anew when another holder
	// was faster.
	grantTries = 6
	// grantPause spreads those tries.
	grantPause = 15 * time.Millisecond
	// needLasts is how long the need of a request that was refused is tried for.
	needLasts = time.Second
	// parallelGrants bounds the pools that are changed at once.
	parallelGrants = 4
)

// Run settles what stood before this process and keeps grants and reports up to
// date until the context ends.
func (b *Book) Run(ctx context.Context) {
	var left leftover
	for {
		var err error
		if left, err = b.open(ctx); err == nil {
			break
		}
		logFailure("open budgets", err)
		if pause.For(ctx, openPause) != nil {
			return
		}
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { b.follow(ctx) })
	tasks.Go(func() { b.settleAll(ctx, left) })
	b.upkeep(ctx)
	tasks.Wait()
}

// upkeep reports and changes grants, when a request waits and at intervals.
func (b *Book) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		if b.mustReport() {
			b.report(ctx)
		}
		if b.adjust(ctx) {
			b.report(ctx)
		}
		select {
		case <-b.kick:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
