package routing

import (
	"time"

	"buckthornridge/kernel"
)

// Namespace is the kernel namespace of routing policies.
const Namespace = "routing.policy"

// DefaultPolicy is used when the configuration names no policy.
const DefaultPolicy = "expected_cost"

// Policy chooses one of a pool's upstreams. Implementations are modules in Namespace; they
// are safe for concurrent use and hold no state per request.
type Policy interface {
	// choose returns a usable upstream, or nil if it found none.
	choose(v *view) *entry
}

func init() {
	kernel.Register(Namespace+".round_robin", func() any { return roundRobin{} })
	kernel.Register(Namespace+".least_in_flight", func() any { return leastInFlight{} })
	kernel.Register(Namespace+".power_of_two", func() any { return powerOfTwo{} })
	kernel.Register(Namespace+".prefix_affinity", func() any { return prefixAffinity{} })
	kernel.Register(Namespace+".expected_cost", func() any { return expectedCost{} })
}

// view is the input of a policy for one decision, with the results that it fills in.
type view struct {
	request    *Request
	pool       *pool
	set        *set
	index      *PrefixIndex
	wall       time.Time
	now        time.Duration
	from       int // index of the router's data centre
	hits       hits
	estimate   estimate // of the chosen upstream
	why        Reason
	candidates []Candidate
	routers    int64 // sharing the upstreams
	// prefillCost holds the prefill costs of the target's engines, cachedAt the upstream
	// that likely caches the session's shared prefix.
	prefillCost *prefillCostModel
	cachedAt    string
	// holder is the upstream from which fetchable tokens of the prefix may be fetched, fetch what
	// is known of transfers.
	holder    *entry
	fetchable int64
	fetch     *fetchModel
	// ringUpstream is the first usable upstream on the ring for the affinity key.
	ringUpstream *entry
	// gathering are the engines at which paced streams gather.
	gathering []*entry
	table     *Table
	random    *random
	// borrow allows upstreams at which only other routers' parts may have room.
	borrow bool
}

// usable reports whether the upstream may get this request.
func (v *view) usable(e *entry) bool {
	if !e.takesWork() || e.health.ejected() || v.stalled(e) {
		return false
	}
	return v.allowed(e)
}

// Time without a first token after which an upstream with waiting requests counts as
// stalled.
const (
	minStallTime = 2500 * time.Millisecond
	stallFactor  = 4 // times its mean first-token time
)

// stalled reports whether the upstream accepts requests but has not returned a first token
// for long. It reports itself idle and no call has failed yet, so that no other signal
// shows the stall. The next first token ends it.
func (v *view) stalled(e *entry) bool {
	silent := e.health.stalledFor(v.now, e.waiting.Load())
	return silent > max(minStallTime, stallFactor*time.Duration(e.firstToken.load()))
}

// allowed is usable without regard to ejection and stalls.
func (v *view) allowed(e *entry) bool {
	if !e.allows(v.now, v.borrow, v.request.tokens()) || !v.eligible(e) {
		return false
	}
	if v.request.Attempt > 0 && !e.retries.has() {
		return false
	}
	for _, id := range v.request.Exclude {
		if id == e.id {
			return false
		}
	}
	return true
}

func (v *view) eligible(e *entry) bool {
	return v.request.Eligible == nil || v.request.Eligible(e.id)
}

type roundRobin struct{}

func (roundRobin) choose(v *view) *entry {
	n := uint64(len(v.pool.live))
	for range n {
		e := v.pool.live[v.pool.nextIndex.Add(1)%n]
		if v.usable(e) {
			return e
		}
	}
	return nil
}

type leastInFlight struct{}

// choose examines every upstream: it is the reference for the sampling policies and does
// not suit large pools.
func (leastInFlight) choose(v *view) *entry {
	var best *entry
	n := len(v.pool.live)
	if n == 0 {
		return nil
	}
	first := v.random.below(n)
	for i := range n {
		e := v.pool.live[(first+i)%n]
		if v.usable(e) && (best == nil || e.inFlight.Load() < best.inFlight.Load()) {
			best = e
		}
	}
	return best
}

type powerOfTwo struct{}

func (powerOfTwo) choose(v *view) *entry {
	a, b := v.sample(v.pool.live), v.sample(v.pool.live)
	if a == nil || (b != nil && b.inFlight.Load() < a.inFlight.Load()) {
		return b
	}
	return a
}

type prefixAffinity struct{}

// choose takes the holder of the longest known prefix, whatever its load.
func (prefixAffinity) choose(v *view) *entry {
	v.hits = v.index.find(v.request.Prefix)
	var best *entry
	var longest int64
	for _, h := range v.hits.found[:v.hits.n] {
		e := v.set.entries[h.upstream]
		if e == nil || !v.usable(e) || !e.serves(v.request.Target) {
			continue
		}
		if h.blocks > longest {
			best, longest = e, h.blocks
		}
	}
	if best != nil {
		return best
	}
	return powerOfTwo{}.choose(v)
}

const sampleTries = 4

// sample returns a random usable upstream of the list, or nil after a few tries.
func (v *view) sample(from []*entry) *entry {
	for range sampleTries {
		if len(from) == 0 {
			return nil
		}
		e := from[v.random.below(len(from))]
		if v.usable(e) {
			return e
		}
	}
	return nil
}
