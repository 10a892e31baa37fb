package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"buckthornridge/ratelimit"
)

const (
	// guardShare is the part of the room that is used right after a rejection.
	guardShare = 0.75
	// surpriseShare is the part of the load that remains allowed after a rejection that was
	// not caused by a request beyond the room that was known.
	surpriseShare = 0.5
	// growInterval is the least time between two requests that find out whether there is
	// more room: a rejection of the first is known by then.
	growInterval = 100 * time.Millisecond
	// roomRetry is when a request that finds no room may try again: another one may have
	// ended.
	roomRetry = 100 * time.Millisecond
)

// load is what requests in flight take of an upstream.
type load struct {
	requests int64
	tokens   int64 // prompts and the most that the answers may have
}

func (l load) plus(other load) load {
	return load{l.requests + other.requests, l.tokens + other.tokens}
}

func (l load) minus(other load) load {
	return load{l.requests - other.requests, l.tokens - other.tokens}
}

func (l load) within(bound load) bool {
	return l.requests <= bound.requests && l.tokens <= bound.tokens
}

func (l load) max(other load) load {
	return load{max(l.requests, other.requests), max(l.tokens, other.tokens)}
}

// share returns a part of a load, which is at least one request.
func (l load) share(part float64) load {
	return load{max(1, int64(math.Ceil(part*float64(l.requests)))), int64(part * float64(l.tokens))}
}

// room is what this router has learned by rejections of the load that it may have at an
// upstream. It may be less than the upstream's slots: long prompts fill its memory first, and
// requests whose callers left may take its slots. Times are relative to the table's start.
type room struct {
	until atomic.Int64 // when what was learned lapses
	mu    sync.Mutex
	size  load
	// grown is by how much the last request beyond size made it grow, tried the time until
	// which a rejection may be that of this request.
	grown load
	tried time.Duration
	// growAt is when the next request may be sent beyond size, guarded the time until which
	// only guard is used.
	growAt, guarded time.Duration
	guard           load
}

// learn takes a rejection. others is this router's load without the rejected request. It
// reports whether the rejection shows no more than that there is not yet more room than was
// known.
func (r *room) learn(b ratelimit.Backoff, now time.Duration, others load) (expected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := int64(now) < r.until.Load()
	r.until.Store(int64(now + b.Lapse))
	if !b.Own {
		if !known {
			r.size, r.guarded = others.share(1), 0
		}
		r.growAt = max(r.growAt, now+b.Guard)
		return true
	}
	expected, r.tried = known && now < r.tried, 0
	if expected {
		r.size = r.size.minus(r.grown)
		r.guard, r.guarded, r.growAt = r.size.share(guardShare), now+b.Guard, now+b.Hold
		return true
	}
	if known {
		r.size = r.size.share(guardShare)
	} else {
		r.size = load{max(1, int64(surpriseShare*float64(others.requests))), int64(surpriseShare * float64(others.tokens))}
	}
	r.guard, r.guarded, r.growAt = load{requests: 1}, now+b.Pause, now+max(b.Guard, b.Pause)
	return false
}

// fits reports whether a request may be sent without growth. One alone always may: nothing
// less can be sent.
func (r *room) fits(now time.Duration, others, request load) bool {
	bound := r.size
	if now < r.guarded {
		bound = r.guard
	}
	return others.requests == 0 || others.plus(request).within(bound)
}

// wait returns 0 if one more request may be sent, otherwise when to try again.
func (r *room) wait(now time.Duration, others, request load) time.Duration {
	left := time.Duration(r.until.Load()) - now
	if left <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now >= r.growAt || r.fits(now, others, request) {
		return 0
	}
	return min(roomRetry, left)
}

// claim reports whether one more request may be sent. The room grows if it is beyond what is
// known.
func (r *room) claim(now time.Duration, others, request load) bool {
	if int64(now) >= r.until.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fits(now, others, request) {
		return true
	}
	if now < r.growAt {
		return false
	}
	next := r.size.max(others.plus(request))
	r.grown, r.size = next.minus(r.size), next
	r.growAt, r.tried = now+growInterval, now+growInterval
	return true
}
