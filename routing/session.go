package routing

import (
	"cmp"
	"slices"
	"time"

	"buckthornridge/kernel"
)

// SessionPolicy is the name of the policy for prompts whose parts are known.
const SessionPolicy = "session_home"

func init() {
	kernel.Register(Namespace+"."+SessionPolicy, func() any { return sessionAffinity{} })
}

// Parameters of session affinity.
const (
	// slotShare is the share of an upstream's slots that all routers together fill before
	// sessions move on to the next one; each router uses its part of that.
	slotShare = 0.7
	// saturationFactor and saturationSlack bound the affinity upstream's requests in flight
	// relative to the mean of its pool, as seen by this router, when the whole pool is full.
	saturationFactor = 1.5
	saturationSlack  = 2
	// slowFactor and slowFloor bound the affinity upstream's recent first-token time
	// relative to the mean of its pool.
	slowFactor = 3.0
	slowFloor  = 200 * time.Millisecond
	// slowAvoidTime is how long an upstream is avoided after a slow first token; then it is
	// tried again.
	slowAvoidTime = 3 * time.Second
	// remoteCost is the cost of another data centre, in requests in flight.
	remoteCost = 0.6
	// slownessCost converts a server's recent time relative to the pool's mean into
	// requests in flight.
	slownessCost = 1.0
	// degradedCost is the cost of a degraded upstream, in requests in flight.
	degradedCost = 4
)

// sessionAffinity sends a session's requests to its affinity upstream while the predicted
// first token is well within the route's target latency there, and otherwise to the
// candidate with the earliest first token. Prefilling a shared prefix once more takes tens
// of milliseconds of an engine and evicts other prefixes; for all queued requests this
// costs more than a short wait, but less than a wait behind a prompt whose prefill takes a
// second. If every engine has a queue, sessions stay.
//
// Requests without shared parts go to the upstream with the lowest load.
type sessionAffinity struct{}

// targetShare is the share of the target latency within which a first token at the affinity
// upstream is good enough. It is a half because the estimate does not include the latest
// requests of other routers.
const targetShare = 0.5

// minMoveGain is a gain that never justifies prefilling the shared prefix once more.
const minMoveGain = 30 * time.Millisecond

func (sessionAffinity) choose(v *view) *entry {
	if v.request.AffinityKey == 0 {
		return v.leastLoaded()
	}
	v.gatherStreams()
	if v.paced() {
		if e := v.choosePaced(); e != nil {
			return e
		}
	}
	var first, best *entry
	var earliest time.Duration
	for e := range walkRing(v.pool.rings[v.set.topology.region[v.from]], mix(v.request.AffinityKey)) {
		if !v.usable(e) || v.gathers(e) {
			continue
		}
		if first == nil {
			first, v.ringUpstream = e, e
		}
		if v.saturated(e) || v.slow(e) || v.degraded(e) {
			continue
		}
		if predicted := v.firstToken(e); best == nil || predicted < earliest {
			best, earliest = e, predicted
		}
	}
	if affinity := v.affinityUpstream(first); affinity != nil && v.staysAt(affinity, earliest) {
		return affinity
	}
	if best == nil {
		return first
	}
	return best
}

// walkRing yields up to maxRingSteps upstreams of a ring, each once, beginning at a key.
func walkRing(ring []ringPoint, key uint64) func(yield func(*entry) bool) {
	return func(yield func(*entry) bool) {
		if len(ring) == 0 {
			return
		}
		at, _ := slices.BinarySearchFunc(ring, key, func(p ringPoint, key uint64) int {
			return cmp.Compare(p.at, key)
		})
		var seen [maxRingSteps]*entry
		n := 0
		for i := range ring {
			e := ring[(at+i)%len(ring)].entry
			if slices.Contains(seen[:n], e) {
				continue
			}
			if n == maxRingSteps || !yield(e) {
				return
			}
			seen[n] = e
			n++
		}
	}
}

// maxRingSteps bounds the number of upstreams considered for a session. If all of these are
// unusable, the router takes any.
const maxRingSteps = 12

// saturated reports whether an upstream has more than its share of this router's requests.
// The other routers send the same sessions there.
func (v *view) saturated(e *entry) bool {
	share := slotShare * float64(e.slots) / float64(v.routers)
	limit := max(share, saturationFactor*v.pool.mean.own.load()+saturationSlack)
	return float64(e.inFlight.Load()) >= limit
}

func (v *view) degraded(e *entry) bool {
	return e.health.degraded(v.pool.mean.failureShare.load(), v.now)
}

// slow reports whether the upstream recently took much longer than its pool.
func (v *view) slow(e *entry) bool {
	if v.now-time.Duration(e.health.progressAt.Load()) > slowAvoidTime {
		return false
	}
	limit := max(float64(slowFloor), slowFactor*v.pool.mean.firstToken.load())
	return e.recentFirstToken.load() > limit
}

// leastLoaded examines every upstream of the pool: pools of plain services are small.
func (v *view) leastLoaded() *entry {
	var best *entry
	least := 0.0
	n := len(v.pool.live)
	if n == 0 {
		return nil
	}
	start := v.random.below(n)
	for i := range n {
		e := v.pool.live[(start+i)%n]
		if !v.usable(e) {
			continue
		}
		if cost := v.loadCost(e); best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// loadCost returns the cost of an upstream in requests in flight.
func (v *view) loadCost(e *entry) float64 {
	cost := float64(e.inFlight.Load())
	if e.dataCentre != v.from {
		cost += remoteCost
	}
	if v.degraded(e) {
		cost += degradedCost
	}
	if mean := v.pool.mean.firstToken.load(); mean > 0 && v.now-time.Duration(e.health.progressAt.Load()) < slowAvoidTime {
		cost += slownessCost * max(0, e.recentFirstToken.load()/mean-1)
	}
	return cost
}
