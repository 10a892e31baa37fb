package traffic

import (
	"sync/atomic"
	"time"
)

// Bounds of saturation. Entering needs a link that is full, or one that is loaded and at which
// answers wait; leaving needs both to be over for a while.
const (
	saturatedAbove   = 0.8
	loadedAbove      = 0.5
	delayedAnswers   = 150 * time.Millisecond
	saturatedBelow   = 0.6
	promptAnswers    = 100 * time.Millisecond
	saturationLinger = 300 * time.Millisecond
	// balancerTime is how long the load balancer takes to send a VM's new callers
	// elsewhere: two checks, one a second. A VM that takes callers again sooner has
	// moved none.
	balancerTime = 2 * time.Second
)

// Saturation decides whether a VM's link is full. What the VM needs for every request, tokens
// above all, then comes too late, and whatever it reads in vain comes back. Observe is for
// one goroutine; the other methods are safe for concurrent use.
type Saturation struct {
	saturated atomic.Bool
	since     atomic.Int64 // nanoseconds after the epoch of the monotonic times
	calmSince time.Time
	// heldUntil is until when no new callers are accepted.
	heldUntil time.Time
	held      atomic.Bool
	delay     atomic.Int64 // of answers, nanoseconds
}

var epoch = time.Now()

// Observe adds the utilization of the link and the delay of answers at a time, and reports
// whether the link became full or ceased to be.
func (s *Saturation) Observe(now time.Time, utilization float64, delay time.Duration) bool {
	s.delay.Store(int64(delay))
	changed := false
	switch {
	case utilization > saturatedAbove, utilization > loadedAbove && delay > delayedAnswers:
		s.calmSince = time.Time{}
		if changed = s.saturated.CompareAndSwap(false, true); changed {
			s.since.Store(int64(now.Sub(epoch)))
		}
	case !s.saturated.Load():
	case utilization > saturatedBelow || delay > promptAnswers && utilization > loadedAbove:
		s.calmSince = time.Time{}
	case s.calmSince.IsZero():
		s.calmSince = now
	case now.Sub(s.calmSince) >= saturationLinger:
		s.saturated.Store(false)
		changed = true
	}
	if s.saturated.Load() {
		s.heldUntil = now.Add(balancerTime)
	}
	s.held.Store(now.Before(s.heldUntil))
	return changed
}

// Saturated reports whether the link is full. A nil Saturation never is.
func (s *Saturation) Saturated() bool { return s != nil && s.saturated.Load() }

// Held reports whether no new callers should come: while the link is full and until the
// balancer has moved those of that time.
func (s *Saturation) Held() bool { return s != nil && s.held.Load() }

// AnswerDelay returns how long answers to this VM's calls wait at the link.
func (s *Saturation) AnswerDelay() time.Duration {
	if s == nil {
		return 0
	}
	return time.Duration(s.delay.Load())
}

// UntilMoved returns the time until the balancer sends this VM's callers elsewhere; 0 if it does
// so already.
func (s *Saturation) UntilMoved(now time.Time) time.Duration {
	return max(0, time.Duration(s.since.Load())+balancerTime-now.Sub(epoch))
}
