package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// Choice is a picked upstream. Done must be called when the attempt has ended, FirstToken
// as soon as its first token has arrived.
type Choice struct {
	UpstreamID string
	Address    string // host:port
	// Expected is the predicted time to the first token.
	Expected time.Duration
	Why      Reason
	// Borrowed says that another router must send the request, on its part of the
	// upstream's slots.
	Borrowed bool
	// FetchFrom is the address of the engine from which the chosen one should fetch the shared
	// prefix; empty for none.
	FetchFrom string
	// Tokens is the size of the request: its prompt and the most of its answer.
	Tokens int64

	table          *Table
	entry          *entry
	estimate       estimate
	prefix         []uint64
	priority       int
	pool           *pool
	target         Target
	pauseTarget    time.Duration
	paused         atomic.Bool // a pause was longer than that
	prefill        *queuedPrefill
	prefillCost    *prefillCostModel
	firstTokenSeen atomic.Bool
	done           atomic.Bool
}

// FirstToken records that the first token arrived at the given time after dispatch. For a
// plain service the whole response counts as the first token.
func (c *Choice) FirstToken(after time.Duration) {
	if !c.firstTokenSeen.CompareAndSwap(false, true) {
		return
	}
	now := c.table.now()
	c.entry.endWaiting(now, c.priority, c.estimate.own)
	c.entry.health.progress(now)
	c.entry.firstToken.observe(float64(after), learnWeight)
	c.entry.recentFirstToken.observe(float64(after), recentWeight)
	c.learnPrefill(now)
	c.learnFirstToken(after)
}

// learnPrefill updates the estimates of prefill times from a first token.
func (c *Choice) learnPrefill(now time.Duration) {
	if c.prefill == nil {
		return
	}
	prompt := c.prefill.prompt
	c.prefillCost.observeRest(now - prompt.sentAt - prompt.queueWait - prompt.prefill)
	switch {
	case prompt.queueWait > 0:
	case c.FetchFrom == "":
		c.prefillCost.observe(c.prefill.tokens, now-prompt.sentAt)
	default:
		took := now - prompt.sentAt - c.prefillCost.typicalRest() - (prompt.prefill - c.prefill.fetch)
		c.table.fetchModelOf(c.target).observe(took, c.prefill.fetch, c.prefill.reading)
	}
	c.entry.backlog.firstToken(now, prompt)
}

// Bounds of the learned correction, as logarithms, and the weight of a first token that
// took several times as long as predicted: a slow upstream that reports itself idle gives
// few observations, and each one delays a caller.
const (
	recentWeight  = 0.3
	outlier       = 1.5
	outlierWeight = 0.3
	minCorrection = -1.5
	maxCorrection = 3.5
)

// learnFirstToken compares the first token with the prediction. The pool's cost per token
// is learned only from requests that did not wait for a slot; the remaining error is
// attributed to the upstream.
func (c *Choice) learnFirstToken(after time.Duration) {
	processing := max(after-c.estimate.networkLatency, time.Microsecond)
	if c.estimate.queued == 0 {
		c.pool.tokenCost.observe(float64(processing)/c.estimate.work, learnWeight/10)
	}
	own := c.pool.nanosPerToken() * float64(c.estimate.own)
	c.pool.typical[priorityClass(c.priority)].observe(max(float64(processing)-own, 1), learnWeight)
	deviation := math.Log(float64(processing) / float64(max(c.estimate.predicted, time.Microsecond)))
	c.entry.slowness.update(func(old float64) float64 {
		weight := learnWeight
		if deviation-old > outlier {
			weight = outlierWeight
		}
		return min(max(old+weight*(deviation-old), minCorrection), maxCorrection)
	})
}

// Done removes the attempt from the upstream's counts and learns from its outcome. Only
// the first call has an effect.
func (c *Choice) Done(outcome Outcome) {
	if !c.done.CompareAndSwap(false, true) {
		return
	}
	if outcome.FirstToken == 0 && outcome.Kind == OutcomeOK {
		// A plain service returns one response and no tokens: without this, its server
		// would count as stalled.
		outcome.FirstToken = outcome.Total
	}
	if outcome.FirstToken > 0 {
		c.FirstToken(outcome.FirstToken)
	}
	now := c.table.now()
	if c.firstTokenSeen.CompareAndSwap(false, true) {
		c.entry.endWaiting(now, c.priority, c.estimate.own)
		if c.prefill != nil {
			c.entry.backlog.drop(c.prefill.prompt)
		}
	}
	if c.prefill != nil && c.prefill.paced {
		streams := c.table.streamsOf(c.target)
		streams.addOwn(-1)
		if outcome.Kind == OutcomeOK {
			streams.finish(c.paused.Load(), now)
		}
	}
	if c.Borrowed {
		c.entry.returnBorrowed(now, outcome.Kind)
		c.entry.end(now)
	} else {
		c.entry.endOwn(now, c.Tokens)
	}
	c.learn(outcome)
	c.table.observe(c.entry, outcome)
}

func (c *Choice) learn(outcome Outcome) {
	if outcome.Kind != OutcomeOK {
		return
	}
	if outcome.Total > 0 {
		c.entry.serviceTime.observe(float64(outcome.Total), learnWeight)
	}
	if outcome.PromptTokens > 0 {
		c.table.index.learn(c.UpstreamID, c.prefix, c.estimate, outcome)
	}
}

// Observe records an outcome that has no Choice, such as a failed load report or a lost
// connection.
func (t *Table) Observe(id string, outcome Outcome) {
	if e := t.current.Load().entries[id]; e != nil {
		t.observe(e, outcome)
	}
}

func (t *Table) observe(e *entry, outcome Outcome) {
	if failed := outcome.Kind.Failed() || outcome.Kind == OutcomeErrored; failed || outcome.Kind == OutcomeOK {
		e.health.recordOutcome(failed, t.now())
	}
	switch {
	case outcome.Kind == OutcomeLeaving:
		t.MarkLeaving(e.id)
	case outcome.Kind == OutcomeReplaced:
		t.replaced(e)
	case outcome.Kind == OutcomeOK:
		t.recovered(e)
	case outcome.Kind.Failed():
		if e.health.failed() {
			t.eject(e)
		}
	default:
		e.health.probing.Store(0)
	}
}

// recovered ends an ejection. An upstream that returns is likely a new process with an
// empty cache, whose events count from 1: if the index waited until the old sequence
// number was passed, the cache contents would stay unknown for long.
func (t *Table) recovered(e *entry) {
	if e.health.ejected() {
		t.index.Reset(e.id)
	}
	e.health.succeeded()
}

// eject ejects an upstream unless one of its pools would be left with too few: wrong
// verdicts on many upstreams at once, as after a fault of the router's own network, must
// not turn into an outage of the pool.
func (t *Table) eject(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s := t.current.Load()
	if !e.health.ejected() {
		for target, p := range s.pools {
			if e.serves(target) && !p.mayEject() {
				return
			}
		}
	}
	e.health.eject(now)
}

// learn updates the index from an engine's reported usage for one prompt: whether the
// expected part was cached shows how long prefixes stay cached there, and after the run
// the whole prompt is cached.
func (x *PrefixIndex) learn(upstreamID string, prefix []uint64, expected estimate, outcome Outcome) {
	f := x.feed(upstreamID)
	if expected.cached > 0 {
		f.learnLifetime(expected.age, outcome.CachedTokens*2 >= expected.cached)
	}
	for _, hash := range prefix {
		x.put(f, hash)
	}
}

// learnLifetime adjusts the lifetime by whether a prefix of the given age was retained. A
// young prefix that was retained says nothing.
func (f *feed) learnLifetime(age time.Duration, retained bool) {
	f.lifetime.update(func(old float64) float64 {
		switch {
		case retained && float64(age) > old/2:
			return min(old*lifetimeGrowth, float64(maxLifetime))
		case !retained:
			return max(old*lifetimeShrink, float64(minLifetime))
		}
		return old
	})
}
