package routing

import (
	"sync/atomic"
	"time"

	"buckthornridge/config"
)

// warmUp spaces this router's requests to a cold upstream. An upstream that has just
// started is idle and looks like the best choice to every router at once; the rate of all
// of them together would overload it. Times are relative to the table's start.
type warmUp struct {
	until    atomic.Int64
	interval atomic.Int64
	next     atomic.Int64 // time of the next request
}

func (w *warmUp) set(limit config.WarmUp, start time.Time) {
	w.interval.Store(int64(limit.Interval))
	if limit.Until.IsZero() {
		w.until.Store(0)
		return
	}
	w.until.Store(int64(limit.Until.Sub(start)))
}

// allows reports whether the upstream may get a request now.
func (w *warmUp) allows(now time.Duration) bool {
	return int64(now) >= w.until.Load() || w.interval.Load() > 0 && int64(now) >= w.next.Load()
}

// claim takes the next request, and reports whether it was due.
func (w *warmUp) claim(now time.Duration) bool {
	for w.allows(now) {
		if int64(now) >= w.until.Load() {
			return true
		}
		next := w.next.Load()
		if int64(now) >= next && w.next.CompareAndSwap(next, int64(now)+w.interval.Load()) {
			return true
		}
	}
	return false
}
