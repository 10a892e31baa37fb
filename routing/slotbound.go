package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"buckthornridge/ratelimit"
)

// borrowRetry is about how long this router asks for no other router's part of an upstream
// after none had room. It doubles with each failure in a row, up to maxBorrowDoublings times.
const (
	borrowRetry        = 30 * time.Millisecond
	maxBorrowDoublings = 3
)

// slotBound bounds this router's requests in flight at an upstream to its part of the
// slots. Beyond that it may borrow: another router sends a request on its own part.
type slotBound struct {
	limit       atomic.Int64 // ratelimit.NoBound without one
	borrowed    atomic.Int64 // requests in flight on the parts of others
	borrowAfter atomic.Int64 // none is borrowed before; relative to the table's start
	failures    atomic.Int64 // to borrow, in a row
	// assumed says that the upstream may name no limit: this router knows nothing of it.
	assumed atomic.Bool
	// paced says that requests are spaced: others wait for their turn or go elsewhere.
	paced atomic.Bool
	// tokens is the size of the requests in flight on this router's part.
	tokens atomic.Int64
	// lastSent is when a request was last sent on this router's part.
	lastSent atomic.Int64
	// alone says that no router could be asked to send the last request.
	alone atomic.Bool
}

// SetSlotBound bounds this router's requests in flight at an upstream, or ends that with
// ratelimit.NoBound. A router that can't borrow may always have one. assumed says that it is
// not known whether the upstream names a limit.
func (t *Table) SetSlotBound(id string, bound int, assumed bool) {
	if e := t.current.Load().entries[id]; e != nil {
		if bound == 0 && !t.borrowing.Load() {
			bound = 1
		}
		e.bound.assumed.Store(assumed)
		e.bound.paced.Store(t.borrowing.Load())
		e.bound.limit.Store(int64(bound))
	}
}

// AllowBorrowing lets requests be sent on other routers' parts of bounded upstreams. It is
// called before bounds are set.
func (t *Table) AllowBorrowing() { t.borrowing.Store(true) }

// ownInFlight returns the requests in flight that are not on other routers' parts.
func (e *entry) ownInFlight() int64 { return e.inFlight.Load() - e.bound.borrowed.Load() }

// ownLoad returns the load of these requests.
func (e *entry) ownLoad() load { return load{e.ownInFlight(), e.bound.tokens.Load()} }

// endOwn ends a request on this router's part.
func (e *entry) endOwn(now time.Duration, tokens int64) {
	e.bound.tokens.Add(-tokens)
	e.end(now)
}

// ownLimit returns how many requests may be in flight on this router's part; below 0 there is
// no bound. Where it has none, can ask nobody who has, and does not know whether there must
// be a bound at all, one request finds out.
func (e *entry) ownLimit() int64 {
	limit := e.bound.limit.Load()
	if limit == 0 && e.bound.assumed.Load() && e.bound.alone.Load() {
		return 1
	}
	return limit
}

// partWait returns 0 if one more request fits into this router's part, otherwise when to try
// again.
func (e *entry) partWait() time.Duration {
	if limit := e.ownLimit(); limit < 0 || e.ownInFlight() < limit {
		return 0
	}
	return roomRetry
}

func (e *entry) mayBorrow(now time.Duration) bool {
	return e.bound.limit.Load() >= 0 && int64(now) >= e.bound.borrowAfter.Load() && e.bound.borrowed.Load() < e.borrowable()
}

// borrowable returns how many requests may be in flight on the parts of others.
func (e *entry) borrowable() int64 {
	return max(1, int64(ratelimit.BoundedSlots(int(e.slots)))-e.bound.limit.Load())
}

const (
	// maxPace is the most time between two requests to a bounded upstream: a rejection of
	// the first is known by then.
	maxPace = 10 * time.Millisecond
	// paceServiceShare bounds that time by the time that requests take.
	paceServiceShare = 4
	// unpacedShare is the part of a bound that requests fill without spacing.
	unpacedShare = 4
)

// pace returns the time until a request may be sent that would be one of own on this router's
// part, so that one rejection is known before further requests are rejected.
func (e *entry) pace(now time.Duration, own int64) time.Duration {
	limit := e.bound.limit.Load()
	if limit < 0 || !e.bound.paced.Load() || own <= max(1, limit/unpacedShare) {
		return 0
	}
	interval := min(maxPace, e.meanServiceTime()/paceServiceShare)
	return max(0, time.Duration(e.bound.lastSent.Load())+interval-now)
}

// paceClaim takes the next turn, and reports whether it was due.
func (e *entry) paceClaim(now time.Duration, own int64) bool {
	last := e.bound.lastSent.Load()
	if e.bound.limit.Load() < 0 {
		return true
	}
	return e.pace(now, own) == 0 && e.bound.lastSent.CompareAndSwap(last, int64(now))
}

// lendRetry is when Lend may be tried again if there is no room: another request may have
// ended.
const lendRetry = 5 * time.Millisecond

// LendWait returns when to try Lend again, 0 if that has no prospect soon.
func (t *Table) LendWait(id string, tokens int64) time.Duration {
	e := t.current.Load().entries[id]
	if e == nil {
		return 0
	}
	now, own := t.now(), e.ownLoad()
	switch {
	case e.ownLimit() <= 0 || e.pause.wait(now) > 0:
		return 0
	case own.requests >= e.ownLimit() || e.room.wait(now, own, load{1, tokens}) > 0:
		return lendRetry
	}
	return max(e.pace(now, own.requests+1), time.Millisecond)
}

// claimSlot counts a request of some tokens in flight if the bounds allow one. borrowed says
// that another router must send it: that one's bounds hold then.
func (e *entry) claimSlot(now time.Duration, borrow bool, tokens int64) (ok, borrowed bool) {
	e.inFlight.Add(1)
	own, limit := e.ownInFlight(), e.ownLimit()
	request, others := load{1, tokens}, load{own - 1, e.bound.tokens.Load()}
	if (limit < 0 || own <= limit) && e.room.wait(now, others, request) == 0 &&
		e.pause.claim(now) && e.paceClaim(now, own) && e.room.claim(now, others, request) {
		e.bound.tokens.Add(tokens)
		return true, false
	}
	if borrow && e.mayBorrow(now) {
		if e.bound.borrowed.Add(1) <= e.borrowable() {
			return true, true
		}
		e.bound.borrowed.Add(-1)
	}
	e.inFlight.Add(-1)
	return false, false
}

// returnBorrowed ends a request on another router's part. It comes before the request
// leaves those in flight, so that the own part never looks emptier than it is.
func (e *entry) returnBorrowed(now time.Duration, kind OutcomeKind) {
	e.bound.borrowed.Add(-1)
	e.bound.alone.Store(kind == OutcomeNotLent)
	if kind != OutcomeFull {
		e.bound.failures.Store(0)
		return
	}
	retry := borrowRetry << min(e.bound.failures.Add(1)-1, maxBorrowDoublings)
	e.bound.borrowAfter.Store(int64(now + time.Duration((0.5+rand.Float64())*float64(retry))))
}

// Lend takes one of this router's requests in flight at an upstream for a request of some
// tokens that it sends for another router. It reports whether there was one; release ends it.
func (t *Table) Lend(id string, tokens int64) (release func(), ok bool) {
	e := t.current.Load().entries[id]
	if e == nil || !e.takesWork() {
		return nil, false
	}
	// The other router has claimed its turn where the upstream's rate is limited.
	now := t.now()
	if e.rest.wait(now) > 0 {
		return nil, false
	}
	if ok, _ := e.claimSlot(now, false, tokens); !ok {
		return nil, false
	}
	return func() { e.endOwn(t.now(), tokens) }, true
}
