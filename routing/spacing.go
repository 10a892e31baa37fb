package routing

import (
	"math"
	"sync/atomic"
	"time"

	"buckthornridge/config"
	"buckthornridge/ratelimit"
)

// spacing spaces this router's requests to an upstream that bears few. It is idle then and
// looks like the best choice to every router at once. Times are relative to the table's
// start.
type spacing struct {
	until    atomic.Int64 // end of the limit; 0 without one
	interval atomic.Int64 // least time between two requests; with 0 there are none
	last     atomic.Int64 // time of the last request
}

func newSpacing() *spacing {
	s := &spacing{}
	s.last.Store(math.MinInt64 / 2)
	return s
}

// setWarmUp sets the limit of an upstream that has just started.
func (s *spacing) setWarmUp(limit config.WarmUp, start time.Time) {
	s.interval.Store(int64(limit.Interval))
	if limit.Until.IsZero() {
		s.until.Store(0)
		return
	}
	s.until.Store(int64(limit.Until.Sub(start)))
}

// setLimit sets a limit that lasts until another one is set. Setting the same again has no
// effect.
func (s *spacing) setLimit(limit ratelimit.Limit, now time.Duration) {
	if !limit.Active {
		s.until.Store(0)
		return
	}
	if s.until.Load() > 0 && s.interval.Load() == int64(limit.Interval) {
		return
	}
	s.interval.Store(int64(limit.Interval))
	s.last.Store(max(s.last.Load(), int64(now+limit.Delay-limit.Interval)))
	s.until.Store(math.MaxInt64)
}

// setPause sets a pause and the spacing of requests after it. It never shortens one.
func (s *spacing) setPause(b ratelimit.Backoff, now time.Duration) {
	s.interval.Store(int64(b.Interval))
	s.last.Store(max(s.last.Load(), int64(now+b.Pause-b.Interval)))
	s.until.Store(max(s.until.Load(), int64(now+b.Pause+b.Ramp)))
}

// end ends a pause.
func (s *spacing) end() { s.until.Store(0) }

func (s *spacing) active(now time.Duration) bool { return int64(now) < s.until.Load() }

// wait returns the time until the next request is due.
func (s *spacing) wait(now time.Duration) time.Duration {
	if !s.active(now) {
		return 0
	}
	interval := s.interval.Load()
	if interval <= 0 {
		return time.Duration(s.until.Load() - int64(now))
	}
	return max(0, time.Duration(s.last.Load()+interval-int64(now)))
}

// claim takes the next request, and reports whether it was due.
func (s *spacing) claim(now time.Duration) bool {
	for {
		last := s.last.Load()
		if !s.active(now) {
			return true
		}
		if s.wait(now) > 0 {
			return false
		}
		if s.last.CompareAndSwap(last, int64(now)) {
			return true
		}
	}
}

// allows reports whether the upstream may get a request now.
func (e *entry) allows(now time.Duration, borrow bool, tokens int64) bool {
	return e.wait(now, borrow, tokens) == 0
}

// wait returns the time until the upstream may get a request of some tokens.
func (e *entry) wait(now time.Duration, borrow bool, tokens int64) time.Duration {
	others := e.ownLoad()
	own := max(e.pause.wait(now), e.room.wait(now, others, load{1, tokens}), e.partWait(), e.pace(now, others.requests+1))
	if own > 0 && borrow && e.mayBorrow(now) {
		own = 0
	}
	return max(e.rest.wait(now), e.warmUp.wait(now), e.limit.wait(now), own)
}

// claim takes the upstream's next request and counts it in flight, and reports whether it
// was due. borrowed says that another router must send it.
func (e *entry) claim(now time.Duration, borrow bool, tokens int64) (ok, borrowed bool) {
	if ok, borrowed = e.claimSlot(now, borrow, tokens); !ok {
		return false, false
	}
	if e.claimTurn(now) {
		return true, borrowed
	}
	if borrowed {
		e.returnBorrowed(now, OutcomeCancelled)
	} else {
		e.bound.tokens.Add(-tokens)
	}
	e.inFlight.Add(-1)
	return false, false
}

// claimTurn takes the upstream's next turn, and reports whether it was due.
func (e *entry) claimTurn(now time.Duration) bool {
	return e.rest.claim(now) && e.warmUp.claim(now) && e.limit.claim(now)
}

// usableSlots returns the slots that this router's part of a limited rate can fill.
func (e *entry) usableSlots(now time.Duration) int64 {
	if e.rest.wait(now) > 0 {
		return 0
	}
	if bound := e.bound.limit.Load(); bound >= 0 {
		return min(e.slots, bound)
	}
	if !e.limit.active(now) {
		return e.slots
	}
	interval := time.Duration(e.limit.interval.Load())
	if interval <= 0 {
		return 0
	}
	return min(e.slots, 1+int64(e.meanServiceTime()/interval))
}

// SetLimit sets or ends the limit of this router's requests to an upstream.
func (t *Table) SetLimit(id string, limit ratelimit.Limit) {
	if e := t.current.Load().entries[id]; e != nil {
		e.limit.setLimit(limit, t.now())
	}
}

// BackOff makes this router send less to an upstream that has rejected a request for want
// of room. A request of this router that was rejected is still counted in flight.
func (t *Table) BackOff(id string, b ratelimit.Backoff) {
	e := t.current.Load().entries[id]
	if e == nil {
		return
	}
	now, others := t.now(), e.ownLoad()
	if b.Own {
		others = others.minus(load{1, b.Tokens})
	}
	expected := e.room.learn(b, now, others)
	if one := b.Only && others.requests > 0; b.Pause > 0 && !(b.Own && (expected || one)) {
		e.pause.setPause(b, now)
	}
}

// SetRest keeps this router's requests from an upstream for the pause that it asks for, and
// spaces them after it. An empty one ends an earlier rest.
func (t *Table) SetRest(id string, b ratelimit.Backoff) {
	e := t.current.Load().entries[id]
	switch {
	case e == nil:
	case b.Pause <= 0:
		e.rest.end()
	default:
		e.rest.setPause(b, t.now())
	}
}

// Rests reports whether an upstream wants no requests of this router now.
func (t *Table) Rests(id string) bool {
	e := t.current.Load().entries[id]
	return e != nil && e.rest.wait(t.now()) > 0
}

// Claim takes the next request to an upstream for a purpose that has no Choice, such as
// resuming a stream, and reports whether it was due.
func (t *Table) Claim(id string) bool {
	e := t.current.Load().entries[id]
	if e == nil {
		return true
	}
	now := t.now()
	return e.room.claim(now, e.ownLoad(), load{requests: 1}) && e.claimTurn(now) && e.pause.claim(now)
}

// untilAllowed returns the time until the first of the pool's upstreams may get a request,
// if all of them wait for their limits.
func (v *view) untilAllowed() (shortest time.Duration, limited bool) {
	for _, e := range v.pool.live {
		if !e.takesWork() || !v.eligible(e) {
			continue
		}
		wait := e.wait(v.now, v.borrow, v.request.tokens())
		if wait == 0 {
			return 0, false // it gets no request for another reason, which may end at any time
		}
		if !limited || wait < shortest {
			shortest, limited = wait, true
		}
	}
	return shortest, limited
}
