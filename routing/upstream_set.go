package routing

import (
	"time"

	"buckthornridge/config"
	"buckthornridge/membership"
)

// set is an immutable collection of upstreams that requests choose from. A change of
// membership or of loaded models builds a new set over the same entries.
type set struct {
	entries  map[string]*entry
	pools    map[Target]*pool
	topology topology
}

// pool holds the upstreams of one target.
type pool struct {
	// live upstreams take requests; fallback ones are suspected or dead and tried only if
	// no live one is available.
	live     []*entry
	fallback []*entry
	// near holds the live upstreams of each region, indexed by region number.
	near [][]*entry
	// rings holds the same upstreams on one hash ring per region.
	rings [][]ringPoint
	// nextIndex is the position of the round-robin policy.
	nextIndex *counter
	// sent counts the prompt tokens sent by this router, by priority.
	sent [priorities]counter
	// typical is the mean first-token time by priority in nanoseconds, without network
	// latency and without the time for the request's own prompt.
	typical [priorities]ewma
	// tokenCost is the first-token time per token of work at an upstream with a free slot,
	// in nanoseconds.
	tokenCost ewma
	mean      summary
}

// topology holds the data centres with their regions and latencies.
type topology struct {
	index   map[string]int
	region  []int
	regions int
	latency [][]time.Duration // one way
}

func newTopology(fleet config.Fleet, upstreams map[string]config.Upstream) topology {
	p := topology{index: map[string]int{"": 0}}
	for name := range fleet.DataCentres {
		p.add(name)
	}
	for _, u := range upstreams {
		p.add(u.DataCentre)
	}
	p.region = make([]int, len(p.index))
	regions := map[string]int{}
	for name, i := range p.index {
		region := fleet.DataCentres[name].Region
		if _, known := regions[region]; !known {
			regions[region] = len(regions)
		}
		p.region[i] = regions[region]
	}
	p.regions = len(regions)
	p.computeLatencies(fleet)
	return p
}

func (p *topology) add(name string) {
	if _, known := p.index[name]; !known {
		p.index[name] = len(p.index)
	}
}

func (p *topology) computeLatencies(fleet config.Fleet) {
	p.latency = make([][]time.Duration, len(p.index))
	for from, i := range p.index {
		p.latency[i] = make([]time.Duration, len(p.index))
		for to, j := range p.index {
			p.latency[i][j] = p.latencyBetween(fleet, from, to)
		}
	}
}

func (p *topology) latencyBetween(fleet config.Fleet, from, to string) time.Duration {
	if from == to {
		return 0
	}
	if ms, listed := fleet.DataCentres[from].LatencyMS[to]; listed {
		return time.Duration(ms * float64(time.Millisecond))
	}
	if ms, listed := fleet.DataCentres[to].LatencyMS[from]; listed {
		return time.Duration(ms * float64(time.Millisecond))
	}
	if p.region[p.index[from]] == p.region[p.index[to]] {
		return config.SameRegionLatency
	}
	return config.OtherRegionLatency
}

// newSet groups by target the entries that may get requests.
func newSet(entries map[string]*entry, p topology) *set {
	s := &set{entries: entries, pools: map[Target]*pool{}, topology: p}
	for _, id := range sortedIDs(entries) {
		e := entries[id]
		if !e.takesWork() {
			continue
		}
		if e.service != "" {
			s.poolOf(Target{Service: e.service}).add(e, p)
		}
		for _, m := range *e.models.Load() {
			s.poolOf(Target{Model: m}).add(e, p)
		}
	}
	for _, p := range s.pools {
		for _, near := range p.near {
			p.rings = append(p.rings, newRing(near))
		}
	}
	return s
}

func (s *set) poolOf(t Target) *pool {
	if s.pools[t] == nil {
		s.pools[t] = &pool{near: make([][]*entry, s.topology.regions), nextIndex: new(counter)}
	}
	return s.pools[t]
}

func (p *pool) add(e *entry, topo topology) {
	if e.membership() != membership.Live {
		p.fallback = append(p.fallback, e)
		return
	}
	p.live = append(p.live, e)
	region := topo.region[e.dataCentre]
	p.near[region] = append(p.near[region], e)
}

func (p *pool) count(priority int, tokens int64) { p.sent[priorityClass(priority)].Add(uint64(tokens)) }

// shareAhead returns the share of all prompt tokens that are processed before a new request
// of the priority. Load reports do not contain priorities, so this router's own traffic is
// taken as representative.
func (p *pool) shareAhead(priority int) float64 {
	var ahead, all uint64
	for c := range p.sent {
		n := p.sent[c].Load()
		all += n
		if c <= priorityClass(priority) {
			ahead += n
		}
	}
	if all == 0 {
		return 1
	}
	return float64(ahead) / float64(all)
}

// nanosPerToken returns the cost of one token of work, learned or by default.
func (p *pool) nanosPerToken() float64 {
	if learned := p.tokenCost.load(); learned > 0 {
		return learned
	}
	return float64(defaultTokenCost)
}

// mayEject reports whether one more upstream of the pool may be ejected.
func (p *pool) mayEject() bool {
	ejected := 0
	for _, e := range p.live {
		if e.health.ejected() {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(p.live))
}
