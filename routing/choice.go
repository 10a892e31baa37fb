package routing

import (
	"sync/atomic"
	"time"
)

// Choice is one picked upstream. Done must be called once the attempt ended;
// FirstToken as soon as its first token arrived.
type Choice struct {
	UpstreamID string
	Address    string // host:port
	// Expected is the predicted time to the first token.
	Expected time.Duration
	Why      Reason

	table    *Table
	entry    *entry
	estimate estimate
	prefix   []uint64
	distance time.Duration
	first    atomic.Bool
	done     atomic.Bool
}

// FirstToken notes that the first token arrived, after the given time since
// dispatch. For a plain service the whole reply counts as the first token.
func (c *Choice) FirstToken(after time.Duration) {
	if !c.first.CompareAndSwap(false, true) {
		return
	}
	now := c.table.now()
	c.entry.gotFirst(now, c.estimate.own)
	c.entry.health.progress(now)
	c.entry.firstToken.observe(float64(after), learnWeight)
	// What is left after travel and slot wait is the engine's work.
	worked := after - c.distance - c.estimate.queued
	if worked > 0 {
		c.entry.tokenCost.observe(float64(worked)/float64(c.estimate.work), learnWeight)
	}
}

// Done takes the attempt out of the upstream's counts and learns from its
// outcome. Calls after the first do nothing.
func (c *Choice) Done(outcome Outcome) {
	if !c.done.CompareAndSwap(false, true) {
		return
	}
	if outcome.FirstToken > 0 {
		c.FirstToken(outcome.FirstToken)
	}
	now := c.table.now()
	if c.first.CompareAndSwap(false, true) {
		c.entry.gotFirst(now, c.estimate.own)
	}
	c.entry.end(now)
	c.learn(outcome)
	c.table.observe(c.entry, outcome)
}

func (c *Choice) learn(outcome Outcome) {
	if outcome.Kind != OutcomeOK {
		return
	}
	if outcome.Total > 0 {
		c.entry.hold.observe(float64(outcome.Total), learnWeight)
	}
	if c.estimate.cached > 0 {
		hit := float64(outcome.CachedTokens) / float64(c.estimate.cached)
		// Never 0, which would read as nothing learned.
		c.entry.hitTrust.observe(min(1, max(hit, 0.01)), learnWeight)
	}
	c.table.index.learn(c.UpstreamID, c.prefix, outcome)
}

// Observe takes an outcome that did not come through a Choice, such as a failed
// load report or a lost connection.
func (t *Table) Observe(id string, outcome Outcome) {
	if e := t.current.Load().entries[id]; e != nil {
		t.observe(e, outcome)
	}
}

func (t *Table) observe(e *entry, outcome Outcome) {
	switch {
	case outcome.Kind == OutcomeLeaving:
		t.MarkLeaving(e.id)
	case outcome.Kind == OutcomeOK:
		e.health.succeeded()
	case outcome.Kind.Failed():
		if e.health.failed() {
			t.eject(e)
		}
	default:
		e.health.probing.Store(0)
	}
}

// eject takes an upstream out unless one of its pools would be left with too
// few: a wrong verdict on many at once, as after a fault of the router's own
// network, must not turn into an outage of the pool.
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

// learn corrects the index by what an engine reported about one prompt: the
// cached part was there, and after the run the whole prompt is.
func (x *PrefixIndex) learn(upstreamID string, prefix []uint64, outcome Outcome) {
	if outcome.PromptTokens <= 0 {
		return
	}
	f := x.feed(upstreamID)
	for _, hash := range prefix {
		x.put(f, hash)
	}
}
