package routing

import (
	"sync/atomic"
	"time"
)

// summaryMaxAge bounds the age of a pool's summary. Summing up a pool of thousands of
// upstreams on every request would cost more than the request.
const summaryMaxAge = 20 * time.Millisecond

// summary holds the last totals and means over a pool.
type summary struct {
	computedAt atomic.Int64 // since the table's start; 0 if never
	limit      atomic.Int64
	// requests and prefill are the means of other routers' load on each upstream.
	requests atomicFloat
	prefill  atomicFloat
	// own is the mean of this router's requests in flight, firstToken the mean of recent
	// first-token times in nanoseconds.
	own          atomicFloat
	firstToken   atomicFloat
	failureShare atomicFloat // mean over the pool
}

// SetRouters sets how many routers share the upstreams. Each may always use its share of
// the slots, so that routers that started first cannot hold all of them.
func (t *Table) SetRouters(n int) { t.routers.Store(int64(max(n, 1))) }

// Limit returns how many requests this router may have in flight at the target's
// upstreams: their slots less the last reported use by other routers. It is 0 when no
// upstream serves the target.
func (t *Table) Limit(target Target) int {
	p := t.current.Load().pools[target]
	if p == nil {
		return 0
	}
	t.refresh(p)
	return int(p.mean.limit.Load())
}

// refresh recomputes an outdated summary. One caller does so; the others go on with the
// previous one.
func (t *Table) refresh(p *pool) {
	now := int64(t.now()) + 1
	last := p.mean.computedAt.Load()
	if last != 0 && now-last < int64(summaryMaxAge) {
		return
	}
	if p.mean.computedAt.CompareAndSwap(last, now) {
		p.summarize(t.routers.Load(), t.now())
	}
}

func (p *pool) summarize(routers int64, now time.Duration) {
	total := p.sum(p.live, now)
	if total.upstreams > 0 {
		p.mean.own.store(float64(total.inFlight) / float64(total.upstreams))
		p.mean.failureShare.store(total.failureShare / float64(total.upstreams))
		p.mean.firstToken.store(total.firstToken / float64(max(total.measured, 1)))
	}
	if total.slots == 0 {
		total = p.sum(p.fallback, now)
	}
	if total.slots == 0 {
		// Every upstream is ejected: admit about one request per upstream.
		p.mean.limit.Store(int64(len(p.live)))
		return
	}
	p.mean.limit.Store(total.limit(routers))
	p.mean.requests.store(float64(total.requests) / float64(total.upstreams))
	p.mean.prefill.store(float64(total.prefill) / float64(total.upstreams))
}

// limit returns how many requests one of the routers may have in flight: at least its
// share of the slots. If reports show free slots, it gets its share of those in addition
// to what it had in flight at that time; if more is in use than there are slots, its limit
// falls. Without the division, reports that are seconds old would let every router take
// all free slots at once.
func (s sums) limit(routers int64) int64 {
	share := (s.slots + routers - 1) / routers
	free := s.slots - s.requests - s.own
	if free > 0 {
		free /= routers
	}
	return max(share, s.own+free)
}

// sums holds totals over upstreams that are not ejected.
type sums struct {
	upstreams, slots  int64
	own               int64 // this router's requests at the time of the reports
	requests, prefill int64 // other routers' load at that time
	inFlight          int64 // this router's current requests
	failureShare      float64
	firstToken        float64
	measured          int64 // upstreams with a known first-token time
}

func (p *pool) sum(list []*entry, now time.Duration) sums {
	var s sums
	wall := time.Now()
	for _, e := range list {
		if e.health.ejected() {
			continue
		}
		requests, prefill, _ := e.reportedOthers(wall)
		s.upstreams++
		s.slots += e.usableSlots(now)
		s.requests += requests
		s.prefill += prefill
		s.inFlight += e.inFlight.Load()
		s.failureShare += e.health.failureShare.load()
		if first := e.firstToken.load(); first > 0 {
			s.firstToken += first
			s.measured++
		}
		if r := e.reported.Load(); r != nil {
			s.own += r.ownInFlight
		}
	}
	return s
}

// PredictFirstToken returns the predicted time from dispatch to the first token, or 0 if
// no upstream serves the request. It is the prediction for the upstream that the request
// would go to now, or the recent first-token time of its priority if that is less: a
// queued request is dispatched only when there is free capacity.
func (r *Router) PredictFirstToken(request *Request) time.Duration {
	v := r.view(request)
	if v.pool == nil || len(v.pool.live) == 0 {
		return 0
	}
	if (expectedCost{}).choose(v) == nil {
		e := v.pool.live[v.random.below(len(v.pool.live))]
		v.estimate = v.predict(e, hit{})
	}
	typical := v.pool.typical[priorityClass(request.Priority)].load()
	if typical == 0 {
		return v.estimate.firstToken
	}
	typical += v.pool.nanosPerToken() * float64(v.estimate.own)
	return min(v.estimate.firstToken, v.estimate.networkLatency+time.Duration(typical))
}

// Limit returns Table.Limit of the router's table.
func (r *Router) Limit(target Target) int { return r.table.Limit(target) }
