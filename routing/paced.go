package routing

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A paced stream has many events, and its caller notices a pause between any two of them. An
// engine reads prompts between the tokens of what it generates: while it reads a long prompt,
// all streams there pause again and again. Where a pool has enough engines, and too many streams
// pause for too long, paced streams gather at a few of them and other prompts keep away from those. How many follows
// from the streams that run in the whole fleet, of which routers tell each other; which ones,
// from an order that all routers share.

// Parameters of paced streams.
const (
	// separationEngines is the smallest pool in which paced streams gather. In a smaller one a
	// whole engine is too much for them.
	separationEngines = 24
	// leastGatheredSlots is the fewest slots of an engine at which streams gather: one with fewer
	// holds too few of them to be kept free of prompts.
	leastGatheredSlots = 32
	// neededShare is the part of the fleet's streams that must have paused for too long before
	// streams gather; pauseWindow is the time over which it is taken, leastEnded the fewest streams
	// that tell it. Streams gather until neededTTL has passed without such a moment.
	neededShare = 0.05
	pauseWindow = 10 * time.Second
	leastEnded  = 10
	neededTTL   = time.Minute
	// pacedRatio is the least part of its prompt, as a divisor, that a paced stream generates
	// at most: others end before a pause becomes likely.
	pacedRatio = 8
	// gatheredShare is the part of an engine's slots that paced streams fill where they gather:
	// each one lengthens the steps of all.
	gatheredShare = 0.5
	// maxGathered is the largest part of a pool's engines for paced streams.
	maxGathered = 0.2
	// streamCountTTL is how long another router's count holds. Under overload routers send few
	// notices, and that is when too few engines for the streams would hurt most.
	streamCountTTL = 10 * time.Second
	// countMemory is the time in which a higher count of the fleet's streams is forgotten: which
	// engines prompts avoid should not follow each stream that ends.
	countMemory = 5 * time.Second
)

// streamCount is how many paced streams of a target run in the whole fleet.
type streamCount struct {
	mu      sync.Mutex
	own     int64
	others  map[string]routerStreams // by router
	highest float64                  // decaying
	at      time.Duration
	// ended and paused are how many of this router's streams have ended recently, and how many of
	// them had paused for too long. neededAt is when so many of the fleet's had that streams gather;
	// 0 for never.
	ended, paused float64
	endedAt       time.Duration
	neededAt      time.Duration

	gathered atomic.Pointer[gathered]
}

// gathered are the engines at which a number of streams gather. Finding them takes longer than
// one decision may in a pool of thousands.
type gathered struct {
	set     *set
	at      time.Duration
	streams float64
	engines []*entry
}

// gatheredTTL and gatheredTolerance say how long gathered engines hold, and for which other
// numbers of streams.
const (
	gatheredTTL       = 100 * time.Millisecond
	gatheredTolerance = 0.1
)

// holds reports whether the engines still hold.
func (g *gathered) holds(s *set, now time.Duration, streams float64) bool {
	return g != nil && g.set == s && now-g.at < gatheredTTL && math.Abs(streams-g.streams) <= gatheredTolerance*g.streams
}

type routerStreams struct {
	StreamReport
	at time.Duration
}

// StreamReport is what a router tells of its paced streams.
type StreamReport struct {
	Running int64 `msgpack:"y,omitempty"`
	// Ended and Paused count those that have ended recently, decaying, and those of them that had
	// paused for too long.
	Ended  float32 `msgpack:"e,omitempty"`
	Paused float32 `msgpack:"z,omitempty"`
}

// maxCountedRouters bounds the routers whose counts are kept.
const maxCountedRouters = 4096

func (c *streamCount) addOwn(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own += n
}

// finish counts a stream that has ended.
func (c *streamCount) finish(paused bool, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	c.ended++
	if paused {
		c.paused++
	}
}

func (c *streamCount) decay(now time.Duration) {
	kept := math.Exp(-float64(now-c.endedAt) / float64(pauseWindow))
	c.ended, c.paused, c.endedAt = kept*c.ended, kept*c.paused, now
}

// report returns what other routers are told.
func (c *streamCount) report(now time.Duration) StreamReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	return StreamReport{Running: c.own, Ended: float32(c.ended), Paused: float32(c.paused)}
}

// learn takes over another router's report. Numbers that can't be are left out.
func (c *streamCount) learn(router string, r StreamReport, now time.Duration) {
	if r.Running < 0 || !(r.Paused >= 0 && r.Paused <= r.Ended) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.others == nil || len(c.others) >= maxCountedRouters {
		c.others = map[string]routerStreams{}
	}
	c.others[router] = routerStreams{r, now}
}

// needed reports whether so many of the fleet's streams pause that they should gather. The caller
// holds c.mu.
func (c *streamCount) needed(now time.Duration) bool {
	c.decay(now)
	ended, paused := c.ended, c.paused
	for _, r := range c.others {
		ended, paused = ended+float64(r.Ended), paused+float64(r.Paused)
	}
	if ended >= leastEnded && paused >= neededShare*ended {
		c.neededAt = max(now, 1)
	}
	return c.neededAt > 0 && now-c.neededAt < neededTTL
}

// fleet returns the number of streams in the fleet, recent higher counts included, and whether they
// should gather.
func (c *streamCount) fleet(now time.Duration) (streams float64, gather bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.own
	for router, r := range c.others {
		if now-r.at > streamCountTTL {
			delete(c.others, router)
			continue
		}
		sum += r.Running
	}
	kept := c.highest * math.Exp(-float64(now-c.at)/float64(countMemory))
	c.highest, c.at = max(float64(sum), kept), now
	return c.highest, c.needed(now)
}

// streamsOf returns the count of a target's paced streams.
func (t *Table) streamsOf(target Target) *streamCount {
	if known, ok := t.streamCounts.Load(target); ok {
		return known.(*streamCount)
	}
	kept, _ := t.streamCounts.LoadOrStore(target, new(streamCount))
	return kept.(*streamCount)
}

// paced reports whether the request is a paced stream.
func (v *view) paced() bool {
	r := v.request
	return r.PauseTarget > 0 && r.MaxTokens*pacedRatio >= r.PromptTokens
}

// gatherStreams finds the engines at which paced streams gather; none in a small pool, and none
// if no paced streams run.
func (v *view) gatherStreams() {
	if len(v.pool.live) < separationEngines {
		return
	}
	count := v.table.streamsOf(v.request.Target)
	streams, gather := count.fleet(v.now)
	if !gather {
		return
	}
	if v.paced() {
		streams = max(streams, 1)
	}
	known := count.gathered.Load()
	if !known.holds(v.set, v.now, streams) {
		known = &gathered{set: v.set, at: v.now, streams: streams, engines: v.gatheringFor(streams)}
		count.gathered.Store(known)
	}
	v.gathering = known.engines
}

// gatheringFor returns the engines at which so many streams gather.
func (v *view) gatheringFor(streams float64) []*entry {
	ring := v.pool.rings[v.set.topology.region[v.from]]
	if len(ring) == 0 {
		return nil
	}
	var gathering []*entry
	most := int(maxGathered * float64(len(v.pool.live)))
	key := xxhash.Sum64String(v.request.Target.String())
	first, _ := slices.BinarySearchFunc(ring, key, func(p ringPoint, key uint64) int { return cmp.Compare(p.at, key) })
	seen := make(map[*entry]bool, most)
	for i := range ring {
		e := ring[(first+i)%len(ring)].entry
		if streams <= 0 || len(seen) == most {
			break
		}
		if seen[e] {
			continue
		}
		seen[e] = true
		if e.slots >= leastGatheredSlots && e.takesWork() && !e.health.ejected() && !v.stalled(e) {
			gathering = append(gathering, e)
			streams -= gatheredShare * float64(e.slots)
		}
	}
	return gathering
}

// Gathered returns at how many engines of a target paced streams gather.
func (t *Table) Gathered(target Target) int {
	s := t.current.Load()
	pool := s.pools[target]
	if pool == nil || len(pool.live) < separationEngines {
		return 0
	}
	v := &view{request: &Request{Target: target}, set: s, pool: pool, table: t, now: t.now()}
	streams, gather := t.streamsOf(target).fleet(v.now)
	if !gather {
		return 0
	}
	return len(v.gatheringFor(streams))
}

// slowStreamShare is the part of the acceptable pause that an engine at half its usual speed costs a
// paced stream.
const slowStreamShare = 0.25

// ownStreamCost is what one of this router's own requests at an engine counts in the choice for
// a paced stream.
const ownStreamCost = 5 * time.Millisecond

// choosePaced returns the engine for a paced stream among those at which they gather, or nil if
// none is usable. It compares the two that come first for the session by rendezvous hashing,
// which spreads the streams of all routers without a count by engine.
func (v *view) choosePaced() *entry {
	var first, second *entry
	var firstWeight, secondWeight uint64
	for _, e := range v.gathering {
		if !v.usable(e) || v.slow(e) || v.degraded(e) {
			continue
		}
		switch weight := mix(v.request.AffinityKey ^ xxhash.Sum64String(e.id)); {
		case first == nil || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = e, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = e, weight
		}
	}
	if second != nil && v.pacedCost(second) < v.pacedCost(first) {
		first = second
	}
	if first == nil || v.firstToken(first) > time.Duration(targetShare*float64(v.request.TargetLatency)) {
		v.gathering = nil // there are more streams than was known
		return nil
	}
	return first
}

func (v *view) pacedCost(e *entry) time.Duration {
	slow := time.Duration((e.speed.load(v.now) - 1) * slowStreamShare * float64(v.request.PauseTarget))
	return v.firstToken(e) + time.Duration(e.inFlight.Load())*ownStreamCost + slow
}

// gathers reports whether paced streams gather at an engine, so that other prompts avoid it.
func (v *view) gathers(e *entry) bool { return slices.Contains(v.gathering, e) }
