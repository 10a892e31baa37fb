package routing

import "time"

// Sizes of the sample that expected_cost looks at.
const (
	nearCandidates = 4
	farCandidates  = 2
)

// estimate is what an upstream would probably do with a request.
type estimate struct {
	work       int64 // prompt tokens to process for it: its own and those before it
	own        int64 // of these, the request's own
	cached     int64 // prompt tokens expected in the cache
	queued     time.Duration
	firstToken time.Duration
	cost       time.Duration // firstToken and what the choice costs others
}

// predict returns the expected first token of the request at an upstream.
func (v *view) predict(e *entry, cached int64) estimate {
	others, othersPrefill := e.othersAt(v.wall)
	est := estimate{cached: cached, own: max(0, v.request.PromptTokens-cached)}
	est.work = est.own + baseTokens + e.prefill.Load() + othersPrefill
	tokenCost := e.tokenCost.load()
	if tokenCost == 0 {
		tokenCost = float64(defaultTokenCost)
	}
	inFlight := e.inFlight.Load() + others
	if over := inFlight + 1 - e.slots; over > 0 {
		hold := e.hold.load()
		if hold == 0 {
			hold = float64(defaultHold)
		}
		est.queued = time.Duration(hold * float64(over) / float64(e.slots))
	}
	travel := 2 * v.set.places.latency[v.from][e.dataCentre]
	est.firstToken = travel + est.queued + time.Duration(tokenCost*float64(est.work))
	est.cost = est.firstToken + v.stallPenalty(e) + time.Duration(tokenCost*float64(est.own))
	return est
}

// stallPenalty makes an upstream that accepts work and gives no first token
// dearer the longer it is silent: it reports itself idle, so nothing else shows.
func (v *view) stallPenalty(e *entry) time.Duration {
	stalled := e.health.stalledFor(v.now, e.waiting.Load())
	if expected := time.Duration(e.firstToken.load()); stalled <= 2*expected {
		return 0
	}
	return stalled
}

type expectedCost struct{}

// choose scores the known holders of the prompt's prefix and a few random
// upstreams. Random ones, because stale load reports would otherwise send every
// router to the same idle-looking engine.
func (expectedCost) choose(v *view) *entry {
	var best *entry
	v.hits = v.index.find(v.request.Prefix, v.now)
	consider := func(e *entry, blocks int64) {
		if e == nil || e == best {
			return
		}
		est := v.predict(e, v.cachedTokens(e, blocks))
		v.note(e, est)
		if best == nil || est.cost < v.estimate.cost {
			best, v.estimate = e, est
		}
	}
	for _, h := range v.hits.found[:v.hits.n] {
		e := v.set.entries[h.upstream]
		if e != nil && e.serves(v.request.Target) && v.usable(e) {
			consider(e, h.blocks)
		}
	}
	near := v.pool.near[v.set.places.region[v.from]]
	for range nearCandidates {
		e := v.sample(near)
		consider(e, v.hits.of(e))
	}
	for range farCandidates {
		e := v.sample(v.pool.live)
		consider(e, v.hits.of(e))
	}
	return best
}

// cachedTokens turns a count of cached blocks into tokens, less what the
// engine's own reports taught to doubt.
func (v *view) cachedTokens(e *entry, blocks int64) int64 {
	total := int64(len(v.request.Prefix))
	if total == 0 || blocks == 0 {
		return 0
	}
	trust := e.hitTrust.load()
	if trust == 0 || trust > 1 {
		trust = 1
	}
	return int64(trust * float64(v.request.PromptTokens*blocks/total))
}
