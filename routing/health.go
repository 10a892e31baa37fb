package routing

import (
	"sync/atomic"
	"time"
)

// Parameters of ejection.
const (
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
	maxEjectedShare = 0.5 // of any pool that the upstream belongs to
)

// health ejects an upstream that fails or stalls and readmits it by probes. Times are
// relative to the table's start.
type health struct {
	failures atomic.Int64 // consecutive
	// ejectedUntil is the end of the current or last ejection.
	ejectedUntil atomic.Int64
	ejections    atomic.Int64 // consecutive; doubles the next ejection
	// probing is 1 while the single probe after an ejection is in flight.
	probing atomic.Int32
	// progressAt is the time of the last first token, or of the dispatch that ended an
	// idle period: an upstream with waiting requests and no progress is stalled.
	progressAt atomic.Int64
	// failureShare is the recent share of failed outcomes, failedAt the time of the last
	// failure.
	failureShare atomicFloat
	failedAt     atomic.Int64
}

// Parameters of degradation. A degraded upstream fails a part of its requests while its
// other responses and its health checks are good. It does not fail often enough in a row
// to be ejected, and each failure of an at-most-once call reaches a caller.
const (
	failureWeight  = 0.15
	degradedShare  = 0.25
	degradedFactor = 3 // times the mean of the pool
	// degradedAvoidTime is how long after its last failure a degraded upstream is avoided;
	// then it is tried again.
	degradedAvoidTime = 3 * time.Second
)

// recordOutcome updates the share of failures.
func (h *health) recordOutcome(failed bool, now time.Duration) {
	value := 0.0
	if failed {
		value = 1
		h.failedAt.Store(int64(now))
	}
	h.failureShare.update(func(old float64) float64 { return old + failureWeight*(value-old) })
}

// degraded reports whether the upstream failed much more often than its pool.
func (h *health) degraded(mean float64, now time.Duration) bool {
	if now-time.Duration(h.failedAt.Load()) > degradedAvoidTime {
		return false
	}
	return h.failureShare.load() > max(degradedShare, degradedFactor*mean)
}

func (h *health) begin(now time.Duration, waiting int64) {
	if waiting == 1 {
		h.progressAt.Store(int64(now))
	}
}

func (h *health) progress(now time.Duration) { h.progressAt.Store(int64(now)) }

// ejected reports whether the upstream gets no requests but a probe. An ejection ends with
// the first successful probe, never by time alone: an upstream that is still down would
// otherwise cause a burst of failures at the end of each ejection.
func (h *health) ejected() bool { return h.ejections.Load() > 0 }

// claimProbe claims the single probe of an ejected upstream, once it is due.
func (h *health) claimProbe(now time.Duration) bool {
	return int64(now) >= h.ejectedUntil.Load() && h.probing.CompareAndSwap(0, 1)
}

// succeeded ends the ejection and resets the failure counts.
func (h *health) succeeded() {
	h.failures.Store(0)
	h.ejections.Store(0)
	h.probing.Store(0)
}

// failed counts a failure and reports whether the upstream should be ejected.
func (h *health) failed() bool {
	return h.failures.Add(1) >= failuresToEject || h.ejected()
}

// eject starts the next ejection, twice as long as the previous one.
func (h *health) eject(now time.Duration) {
	length := firstEjection << min(h.ejections.Add(1)-1, 5)
	length = min(length, maxEjection)
	h.ejectedUntil.Store(int64(now + length))
	h.failures.Store(0)
	h.probing.Store(0)
}

// ejectReplaced starts the longest ejection, because another upstream has the address now.
// The probe at its end covers an upstream that returns under its old id.
func (h *health) ejectReplaced(now time.Duration) {
	h.ejections.CompareAndSwap(0, 1)
	h.ejectedUntil.Store(int64(now + maxEjection))
	h.failures.Store(0)
	h.probing.Store(0)
}

// stalledFor returns how long the upstream has had waiting requests without any first
// token.
func (h *health) stalledFor(now time.Duration, waiting int64) time.Duration {
	if waiting <= 0 {
		return 0
	}
	return now - time.Duration(h.progressAt.Load())
}
