package allowance

import (
	"context"
	"sync"
	"time"
)

// Timing of the upkeep.
const (
	upkeepInterval = 150 * time.Millisecond
	// upkeepSlack lets a step that a timer started a little early count as due.
	upkeepSlack = 10 * time.Millisecond
	callTimeout = 1200 * time.Millisecond
	// startBackoff is the pause after a first read that failed; it doubles up to
	// maxStartBackoff, since all VMs may start during an outage.
	startBackoff    = 200 * time.Millisecond
	maxStartBackoff = 800 * time.Millisecond
	// maxGrantTries is how often a change of a pool is tried when other holders change it
	// first.
	maxGrantTries = 6
	// grantRetryJitter spreads those tries.
	grantRetryJitter = 15 * time.Millisecond
	// needTTL is how long a holder tries to get the tokens that a refused request needed.
	needTTL = time.Second
	// maxParallelGrants bounds the pools that are changed concurrently.
	maxParallelGrants = 4
)

// Run reclaims what predecessors held and keeps grants and reports up to date until the
// context ends.
func (m *Manager) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.follow(ctx) })
	tasks.Go(func() { m.reclaimPredecessors(ctx) })
	tasks.Go(func() { m.keepReports(ctx) })
	tasks.Go(func() { m.keepFallback(ctx) })
	m.keepGrants(ctx)
	tasks.Wait()
}

// keepReports writes a report when a request waits for one, and at intervals. It does not
// wait for grants: while many holders change the same pools that takes long, and a nearly
// used bound would refuse what the grant covers.
func (m *Manager) keepReports(ctx context.Context) {
	m.runPeriodically(ctx, reportInterval, m.reportWanted, func() {
		m.expireLoans()
		if m.reportDue() && !m.reportPaused() {
			m.report(ctx, &m.primary)
		}
	})
}

// keepGrants changes grants when a request waits for one, and at intervals.
func (m *Manager) keepGrants(ctx context.Context) {
	m.runPeriodically(ctx, upkeepInterval, m.grantWanted, func() {
		if m.adjustGrants(ctx) {
			notify(m.reportWanted)
		}
	})
}

// runPeriodically runs a step when it is triggered, and at intervals, until the context
// ends.
func (m *Manager) runPeriodically(ctx context.Context, interval time.Duration, triggered <-chan struct{}, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step()
		select {
		case <-triggered:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
