package routing

import (
	"math"
	"time"
)

// Numbers of random candidates per decision.
const (
	nearCandidates = 3
	farCandidates  = 1
)

// Costs of a choice beyond the request's own first token.
const (
	// missWeight multiplies the prefill time of prompt tokens that are not cached: they
	// also delay every other sequence of the batch.
	missWeight = 2
	// copyCost is added outside a prefix's affinity upstreams: another copy of the prefix
	// evicts a different one.
	copyCost = 50 * time.Millisecond
)

// estimate is the predicted behaviour of an upstream for a request.
type estimate struct {
	work           float64       // prompt tokens to process: its own and those ahead of it
	own            int64         // of these, the request's own
	cached         int64         // prompt tokens expected in the cache
	age            time.Duration // since the cached part was last observed there
	queued         time.Duration // wait for a slot
	predicted      time.Duration // first token without network latency, before learned corrections
	networkLatency time.Duration // network latency to the upstream and back
	firstToken     time.Duration
	cost           time.Duration // firstToken plus the costs to other requests
}

// predict returns the estimate of the request's first token at an upstream.
func (v *view) predict(e *entry, known hit) estimate {
	others, othersPrefill := e.estimatedOthers(v.wall, v.pool)
	est := estimate{cached: v.cachedTokens(known), age: known.age}
	est.own = max(0, v.request.PromptTokens-est.cached)
	est.work = float64(est.own+baseTokens+e.prefillAhead(v.request.Priority)) + othersPrefill*v.pool.shareAhead(v.request.Priority)
	tokenCost := v.pool.nanosPerToken()
	est.queued = v.slotWait(e, float64(e.inFlight.Load())+others)
	est.predicted = time.Duration(tokenCost*est.work) + est.queued
	slowness := math.Exp(e.slowness.load())
	est.networkLatency = 2 * v.set.topology.latency[v.from][e.dataCentre]
	est.firstToken = est.networkLatency + time.Duration(slowness*float64(est.predicted))
	est.cost = est.firstToken + v.stallPenalty(e) + time.Duration(missWeight*tokenCost*float64(est.own))
	return est
}

// slotWait returns how long the request waits for a slot of the upstream's batch. Only
// requests of its priority or a higher one are ahead of it.
func (v *view) slotWait(e *entry, inFlight float64) time.Duration {
	excess := inFlight + 1 - float64(e.slots)
	if excess <= 0 {
		return 0
	}
	ahead := min(excess, 1) + max(excess-1, 0)*v.pool.shareAhead(v.request.Priority)
	return time.Duration(float64(e.meanServiceTime()) * ahead / float64(e.slots))
}

// stallPenalty returns a cost that grows with the silence of an upstream that accepts work
// and returns no first token: it reports itself idle, so no other signal shows the stall.
func (v *view) stallPenalty(e *entry) time.Duration {
	stalled := e.health.stalledFor(v.now, e.waiting.Load())
	if expected := time.Duration(e.firstToken.load()); stalled <= 2*expected {
		return 0
	}
	return stalled
}

type expectedCost struct{}

// choose scores the affinity upstreams of the prompt's prefix, the known holders of the
// prefix and a few random upstreams. The sample is random because stale load reports would
// otherwise send every router to the same engine that looks idle.
func (expectedCost) choose(v *view) *entry {
	var best *entry
	v.hits = v.index.find(v.request.Prefix)
	consider := func(e *entry, extra time.Duration) {
		if e == nil || e == best {
			return
		}
		est := v.predict(e, v.hits.forEntry(e))
		est.cost += extra
		v.recordCandidate(e, est)
		if best == nil || est.cost < v.estimate.cost {
			best, v.estimate = e, est
		}
	}
	for i := range affinityUpstreams {
		if e := v.ringUpstreamAt(i); e != nil && v.usable(e) {
			consider(e, v.affinityCost(i))
		}
	}
	for _, h := range v.hits.found[:v.hits.n] {
		e := v.set.entries[h.upstream]
		if e != nil && e.serves(v.request.Target) && v.usable(e) {
			consider(e, copyCost)
		}
	}
	near := v.pool.near[v.set.topology.region[v.from]]
	for range nearCandidates {
		consider(v.sample(near), copyCost)
	}
	for range farCandidates {
		consider(v.sample(v.pool.live), copyCost)
	}
	return best
}

// affinityCost returns the cost of an affinity upstream beyond its first token. If the
// request has an affinity key, only the first upstream is free: with two, the shared
// prefix of each session was prefilled at two upstreams.
func (v *view) affinityCost(i int) time.Duration {
	if i > 0 && v.request.AffinityKey != 0 {
		return copyCost
	}
	return 0
}

// cachedTokens converts known prefix blocks into prompt tokens.
func (v *view) cachedTokens(known hit) int64 {
	total := int64(len(v.request.Prefix))
	if total == 0 {
		return 0
	}
	return v.request.PromptTokens * known.blocks / total
}
