package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// limitMaxAge bounds how old the cached limit of a pool may be. Summing up a
// pool of thousands of upstreams per request would cost more than the request.
const limitMaxAge = 20 * time.Millisecond

// cachedLimit is a pool's last computed limit.
type cachedLimit struct {
	value      atomic.Int64
	computedAt atomic.Int64 // since the table's start; 0 if never
}

// SetRouters tells the table how many routers share the upstreams. Each may
// always use its part of the slots, so that routers that came first cannot hold
// all of them.
func (t *Table) SetRouters(n int) { t.routers.Store(int64(max(n, 1))) }

// Limit returns how many requests this router may have at the target's
// upstreams at once: their slots less what other routers were last seen to use.
// It is 0 when nothing serves the target.
func (t *Table) Limit(target Target) int {
	p := t.current.Load().pools[target]
	if p == nil {
		return 0
	}
	now := int64(t.now()) + 1
	last := p.limit.computedAt.Load()
	fresh := last != 0 && now-last < int64(limitMaxAge)
	if !fresh && p.limit.computedAt.CompareAndSwap(last, now) {
		p.limit.value.Store(t.computeLimit(p))
	}
	return int(p.limit.value.Load())
}

func (t *Table) computeLimit(p *pool) int64 {
	slots, others := p.sum(p.live)
	if slots == 0 {
		slots, others = p.sum(p.spare)
	}
	if slots == 0 {
		// Everything is ejected: the floor lets a little through.
		return int64(len(p.live))
	}
	share := (slots + t.routers.Load() - 1) / t.routers.Load()
	return max(share, slots-others)
}

func (p *pool) sum(list []*entry) (slots, others int64) {
	now := time.Now()
	for _, e := range list {
		if e.health.ejected() {
			continue
		}
		requests, _ := e.othersAt(now)
		slots += e.slots
		others += min(requests, e.slots)
	}
	return slots, others
}

// Expect returns the predicted time from dispatch to the first token if the
// request were dispatched now, or 0 if nothing serves it.
func (r *Router) Expect(request *Request) time.Duration {
	v := r.view(request)
	if v.pool == nil || len(v.pool.live) == 0 {
		return 0
	}
	if (expectedCost{}).choose(v) == nil {
		e := v.pool.live[rand.IntN(len(v.pool.live))]
		v.estimate = v.predict(e, 0)
	}
	return v.estimate.firstToken
}

// Limit returns Table.Limit of the router's table.
func (r *Router) Limit(target Target) int { return r.table.Limit(target) }
