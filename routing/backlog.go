package routing

import (
	"slices"
	"sync"
	"time"
)

// backlog estimates when an engine will have read the prompts that wait there. An
// engine reads one prompt after the other, and one may take a hundred times as long as
// the next: whoever waits behind a long one has a late first token, whatever the number
// of requests in flight. Own requests count at once, those of other routers when their
// notices come.
type backlog struct {
	mu sync.Mutex
	// freeAt is when the last prompt that is known will have been read, in time since
	// the table's start.
	freeAt time.Duration
	// due holds the own requests without a first token.
	due []*expected
	// pace is the recent first-token time over the expected one; 0 before any.
	pace float64
}

// Weights and bounds of what first tokens tell.
const (
	paceWeight = 0.2
	// leastOff is the least error of an expected first token that counts: the way there
	// and back and one step of the batch are in it.
	leastOff = 15 * time.Millisecond
	// leastTold is the least expected time of which the ratio tells something: below it
	// the network and the batch's other work weigh more than the reading.
	leastTold = 20 * time.Millisecond
	// leastPace and mostPace bound a learned pace. A pool's engines differ by a third;
	// a sick one is several times slower.
	leastPace, mostPace = 0.7, 8.0
)

// expected is an own prompt without a first token.
type expected struct {
	began time.Duration
	// due is when its first token is expected, as far as is known by now.
	due time.Duration
	// reading is what was expected of its own reading, waits is the wait before it, base
	// what a first token takes besides.
	reading, waits, base time.Duration
}

// add counts an own prompt.
func (b *backlog) add(now, reading, base time.Duration) *expected {
	b.mu.Lock()
	defer b.mu.Unlock()
	waits := max(0, b.freeAt-now)
	reading = b.paced(reading)
	b.freeAt = now + waits + reading
	own := &expected{began: now, due: b.freeAt + base, reading: reading, waits: waits, base: base}
	b.due = append(b.due, own)
	return own
}

// heard counts another router's prompt.
func (b *backlog) heard(now, reading time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeAt = max(b.freeAt, now) + b.paced(reading)
}

// first takes the first token of an own prompt: how far it is off moves the whole
// estimate, since all that was to be read before it has been read.
func (b *backlog) first(now time.Duration, own *expected) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(own)
	if off := now - own.due; off > leastOff || off < -leastOff {
		b.freeAt += off
		for _, other := range b.due {
			other.due += off
		}
	}
	if own.reading >= leastTold && own.waits < own.reading/10 {
		ratio := float64(now-own.began-own.base) / float64(own.waits+own.reading) * b.paceNow()
		b.pace = b.paceNow() + paceWeight*(min(max(ratio, leastPace), mostPace)-b.paceNow())
	}
}

// drop takes out an own prompt that ended without a first token.
func (b *backlog) drop(own *expected) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(own)
}

// wait returns how long a new prompt waits until the engine begins to read it, and the
// engine's pace. An own first token that is overdue says that the engine is behind by
// that much at least.
func (b *backlog) wait(now time.Duration) (time.Duration, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waits := max(0, b.freeAt-now)
	overdue := time.Duration(0)
	for _, own := range b.due {
		overdue = max(overdue, now-own.due)
	}
	return waits + overdue, b.paceNow()
}

func (b *backlog) paceNow() float64 {
	if b.pace == 0 {
		return 1
	}
	return b.pace
}

func (b *backlog) paced(reading time.Duration) time.Duration {
	return time.Duration(b.paceNow() * float64(reading))
}

func (b *backlog) forget(own *expected) {
	if i := slices.Index(b.due, own); i >= 0 {
		b.due = slices.Delete(b.due, i, i+1)
	}
}

// readingCost learns how long the engines of a target read one prompt token. Long
// prompts take more for each, since every token looks at all before it; so each class of
// sizes has a cost of its own.
type readingCost struct {
	mu      sync.Mutex
	classes [3]costClass
	// base is what a first token takes besides the reading, with the way there and
	// back: about the least that was seen. It keeps no other prompt waiting.
	base time.Duration
}

// costClass is what is known of prompts of about one size.
type costClass struct {
	seen  int
	nanos float64 // for a token
}

// middlePrompt and longPrompt are the least tokens of the second and third class.
const (
	middlePrompt = 4 << 10
	longPrompt   = 16 << 10
)

const (
	// firstReadingCost stands before anything was observed; engines read 60 to 160
	// tokens in a millisecond.
	firstReadingCost = 12 * time.Microsecond
	// leastRead is the least number of tokens whose reading tells the cost.
	leastRead = 1000
	// quickReadings are averaged; later ones move the estimate by slowStep towards
	// their side, so that it is a median, which waits that nobody told of don't move.
	quickReadings = 8
	slowStep      = 0.04
)

// observe takes the time to a first token behind no known wait.
func (c *readingCost) observe(tokens int64, took time.Duration) {
	if took <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeBase(took)
	if tokens >= leastRead && took > c.base {
		c.classes[costClassOf(tokens)].observe(float64(took-c.base) / float64(tokens))
	}
}

// observeBase follows the least times down at once and up slowly.
func (c *readingCost) observeBase(took time.Duration) {
	switch {
	case c.base == 0 || took < c.base:
		c.base = took
	default:
		c.base += min((took-c.base)/100, c.base/100)
	}
}

// baseTime returns what a first token takes besides the reading.
func (c *readingCost) baseTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.base
}

func (c *costClass) observe(nanos float64) {
	c.seen++
	switch {
	case c.seen == 1:
		c.nanos = min(nanos, 4*float64(firstReadingCost))
	case c.seen <= quickReadings:
		c.nanos += (min(nanos, 2*c.nanos) - c.nanos) / float64(c.seen)
	case nanos > c.nanos:
		c.nanos *= 1 + slowStep
	default:
		c.nanos *= 1 - slowStep
	}
}

func costClassOf(tokens int64) int {
	switch {
	case tokens < middlePrompt:
		return 0
	case tokens < longPrompt:
		return 1
	}
	return 2
}

// time returns how long tokens are read. A class without observations takes the cost of
// the nearest smaller one that has some, else of a larger one.
func (c *readingCost) time(tokens int64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	nanos := float64(firstReadingCost)
	at := costClassOf(tokens)
	for i := len(c.classes) - 1; i >= 0; i-- {
		if known := c.classes[i]; known.seen > 0 {
			nanos = known.nanos
			if i <= at {
				break
			}
		}
	}
	return time.Duration(nanos * float64(tokens))
}
