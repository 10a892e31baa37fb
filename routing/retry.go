package routing

import "sync/atomic"

// Retries are allowed as a share of first attempts, with a burst that covers the requests
// in flight at one upstream when it is lost.
const (
	upstreamRetryShare  = 0.2
	upstreamRetryBurst  = 10
	workspaceRetryShare = 0.2
	workspaceRetryBurst = 20
	retryUnit           = 1000 // integer units per retry
)

// RetryBudget limits retries to a share of first attempts. It is refilled by requests and
// not by time, so that low traffic cannot accumulate retries for a retry storm.
type RetryBudget struct {
	level atomic.Int64
	share int64
	burst int64
}

func (b *RetryBudget) init(share float64, burst int) {
	b.share = int64(share * retryUnit)
	b.burst = int64(burst) * retryUnit
	b.level.Store(b.burst)
}

// Deposit records a first attempt.
func (b *RetryBudget) Deposit() {
	if b.level.Load() < b.burst {
		b.level.Add(b.share)
	}
}

// Withdraw takes one retry and reports whether one was available.
func (b *RetryBudget) Withdraw() bool {
	if b.level.Add(-retryUnit) >= 0 {
		return true
	}
	b.level.Add(retryUnit)
	return false
}

// has reports whether a retry is available.
func (b *RetryBudget) has() bool { return b.level.Load() >= retryUnit }
