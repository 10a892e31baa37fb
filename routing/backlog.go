package routing

import (
	"slices"
	"sync"
	"time"
)

// backlog estimates when an engine will have prefilled its queued prompts. An engine
// prefills prompts one after the other, and one may take a hundred times as long as the
// next: a prompt queued behind a long one gets its first token late, whatever the number
// of requests in flight. This router's own prompts count at once, those of other routers
// when their dispatch notices arrive.
type backlog struct {
	mu sync.Mutex
	// freeAt is when the last known prompt will have been prefilled, as time since the
	// table's start.
	freeAt time.Duration
	// pending holds this router's requests without a first token.
	pending []*pendingPrompt
	// prefillFactor is the recent ratio of observed to expected prefill time; 0 before
	// any observation.
	prefillFactor float64
}

// Weights and bounds for learning from first tokens.
const (
	factorWeight = 0.2
	// minDeviation is the smallest deviation from an expected first token that is acted
	// on: it covers the network round trip and one step of the batch.
	minDeviation = 15 * time.Millisecond
	// minFactorPrefill is the shortest expected prefill whose ratio is used: below it the
	// network and the batch's other work outweigh the prefill.
	minFactorPrefill = 20 * time.Millisecond
	// minFactor and maxFactor bound the learned factor. The engines of a pool differ by a
	// third; a degraded one is several times slower.
	minFactor, maxFactor = 0.7, 8.0
)

// pendingPrompt is one of this router's prompts without a first token.
type pendingPrompt struct {
	sentAt time.Duration
	// due is when its first token is expected, by current knowledge.
	due time.Duration
	// prefill is the expected time of its own prefill, queueWait the wait before it, base
	// the rest of the time to a first token.
	prefill, queueWait, base time.Duration
}

// add counts one of this router's prompts.
func (b *backlog) add(now, prefill, base time.Duration) *pendingPrompt {
	b.mu.Lock()
	defer b.mu.Unlock()
	queueWait := max(0, b.freeAt-now)
	prefill = b.scaled(prefill)
	b.freeAt = now + queueWait + prefill
	prompt := &pendingPrompt{sentAt: now, due: b.freeAt + base, prefill: prefill, queueWait: queueWait, base: base}
	b.pending = append(b.pending, prompt)
	return prompt
}

// addRemote counts another router's prompt.
func (b *backlog) addRemote(now, prefill time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeAt = max(b.freeAt, now) + b.scaled(prefill)
}

// firstToken records the first token of a prompt. Its deviation shifts the whole estimate,
// since everything queued before it has been prefilled.
func (b *backlog) firstToken(now time.Duration, prompt *pendingPrompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(prompt)
	if deviation := now - prompt.due; deviation > minDeviation || deviation < -minDeviation {
		b.freeAt += deviation
		for _, other := range b.pending {
			other.due += deviation
		}
	}
	if prompt.prefill >= minFactorPrefill && prompt.queueWait < prompt.prefill/10 {
		ratio := float64(now-prompt.sentAt-prompt.base) / float64(prompt.queueWait+prompt.prefill) * b.factor()
		b.prefillFactor = b.factor() + factorWeight*(min(max(ratio, minFactor), maxFactor)-b.factor())
	}
}

// drop removes a prompt that ended without a first token.
func (b *backlog) drop(prompt *pendingPrompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(prompt)
}

// wait returns how long a new prompt waits until the engine begins to prefill it, and the
// engine's prefill factor. An overdue first token of one of this router's prompts means
// that the engine is behind by at least that much.
func (b *backlog) wait(now time.Duration) (time.Duration, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	queueWait := max(0, b.freeAt-now)
	overdue := time.Duration(0)
	for _, prompt := range b.pending {
		overdue = max(overdue, now-prompt.due)
	}
	return queueWait + overdue, b.factor()
}

func (b *backlog) factor() float64 {
	if b.prefillFactor == 0 {
		return 1
	}
	return b.prefillFactor
}

func (b *backlog) scaled(prefill time.Duration) time.Duration {
	return time.Duration(b.factor() * float64(prefill))
}

func (b *backlog) remove(prompt *pendingPrompt) {
	if i := slices.Index(b.pending, prompt); i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
	}
}

// prefillCostModel learns how long the engines of a target take to prefill one prompt
// token. Long prompts take longer for each token, since every token attends to all before
// it, so each size class has its own cost.
type prefillCostModel struct {
	mu      sync.Mutex
	classes [3]sizeClass
	// base is the rest of the time to a first token, with the network round trip: about
	// the least observed. It does not delay other prompts.
	base time.Duration
	// rest is the typical rest of that time, beyond what is known to wait and the prefill
	// itself; it includes base.
	rest time.Duration
	// gap is the typical time between two events of a stream.
	gap time.Duration
}

// sizeClass holds the cost of prompts of about one size.
type sizeClass struct {
	samples int
	nanos   float64 // per token
}

// mediumPrompt and longPrompt are the fewest tokens of the second and third class.
const (
	mediumPrompt = 4 << 10
	longPrompt   = 16 << 10
)

const (
	// defaultPrefillCost applies before any observation; engines prefill 60 to 160 tokens
	// in a millisecond.
	defaultPrefillCost = 12 * time.Microsecond
	// minSampleTokens is the smallest number of prefilled tokens that counts as a sample.
	minSampleTokens = 1000
	// The first averagedSamples are averaged. Each later sample moves the estimate by
	// medianStep towards it, which approximates a median: waits that no notice announced
	// do not distort it.
	averagedSamples = 8
	medianStep      = 0.04
)

// observe records the time to a first token that had no known wait.
func (c *prefillCostModel) observe(tokens int64, took time.Duration) {
	if took <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeBase(took)
	if tokens >= minSampleTokens && took > c.base {
		c.classes[sizeClassOf(tokens)].observe(float64(took-c.base) / float64(tokens))
	}
}

// restStep moves the typical rest of the time to a first token towards a median, and
// minRestStep is the least step.
const (
	restStep    = 0.03
	minRestStep = 100 * time.Microsecond
)

// observeRest records the part of the time to a first token that no wait and no prefill
// explain.
func (c *prefillCostModel) observeRest(rest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step := max(time.Duration(restStep*float64(c.rest)), minRestStep)
	switch {
	case c.rest == 0:
		c.rest = max(rest, 0)
	case rest > c.rest:
		c.rest += step
	default:
		c.rest -= min(step, c.rest)
	}
}

// typicalRest returns the typical rest of the time to a first token.
func (c *prefillCostModel) typicalRest() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.rest, c.base)
}

// observeBase follows lower times at once and higher ones slowly.
func (c *prefillCostModel) observeBase(took time.Duration) {
	switch {
	case c.base == 0 || took < c.base:
		c.base = took
	default:
		c.base += min((took-c.base)/100, c.base/100)
	}
}

// baseTime returns the time to a first token without the prefill.
func (c *prefillCostModel) baseTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.base
}

func (c *sizeClass) observe(nanos float64) {
	c.samples++
	switch {
	case c.samples == 1:
		c.nanos = min(nanos, 4*float64(defaultPrefillCost))
	case c.samples <= averagedSamples:
		c.nanos += (min(nanos, 2*c.nanos) - c.nanos) / float64(c.samples)
	case nanos > c.nanos:
		c.nanos *= 1 + medianStep
	default:
		c.nanos *= 1 - medianStep
	}
}

func sizeClassOf(tokens int64) int {
	switch {
	case tokens < mediumPrompt:
		return 0
	case tokens < longPrompt:
		return 1
	}
	return 2
}

// prefillTime returns how long the prefill of the tokens takes. A class without samples
// takes the cost of the nearest smaller class that has some, else of a larger one.
func (c *prefillCostModel) prefillTime(tokens int64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	nanos := float64(defaultPrefillCost)
	at := sizeClassOf(tokens)
	for i := len(c.classes) - 1; i >= 0; i-- {
		if known := c.classes[i]; known.samples > 0 {
			nanos = known.nanos
			if i <= at {
				break
			}
		}
	}
	return time.Duration(nanos * float64(tokens))
}
