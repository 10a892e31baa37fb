package routing

import (
	"time"

	"buckthornridge/config"
	"buckthornridge/membership"
)

// set is the immutable collection of upstreams that requests choose from. A
// change of membership or of loaded models builds a new set over the same
// entries.
type set struct {
	entries map[string]*entry
	pools   map[Target]*pool
	places  places
}

// pool holds the upstreams of one target.
type pool struct {
	// live take work; spare ones are suspected or dead and tried when no live
	// one is left.
	live  []*entry
	spare []*entry
	// near holds the live upstreams of each region, indexed like places.regions.
	near [][]*entry
	// turn is the position of round robin.
	turn  *counter
	limit cachedLimit
}

// places holds the data centres with their distances.
type places struct {
	index   map[string]int
	region  []int
	regions int
	latency [][]time.Duration // one way
}

func newPlaces(fleet config.Fleet, upstreams map[string]config.Upstream) places {
	p := places{index: map[string]int{"": 0}}
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
	p.measure(fleet)
	return p
}

func (p *places) add(name string) {
	if _, known := p.index[name]; !known {
		p.index[name] = len(p.index)
	}
}

func (p *places) measure(fleet config.Fleet) {
	p.latency = make([][]time.Duration, len(p.index))
	for from, i := range p.index {
		p.latency[i] = make([]time.Duration, len(p.index))
		for to, j := range p.index {
			p.latency[i][j] = p.between(fleet, from, to)
		}
	}
}

func (p *places) between(fleet config.Fleet, from, to string) time.Duration {
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

// newSet groups the entries that may take work by target.
func newSet(entries map[string]*entry, p places) *set {
	s := &set{entries: entries, pools: map[Target]*pool{}, places: p}
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
	return s
}

func (s *set) poolOf(t Target) *pool {
	if s.pools[t] == nil {
		s.pools[t] = &pool{near: make([][]*entry, s.places.regions), turn: new(counter)}
	}
	return s.pools[t]
}

func (p *pool) add(e *entry, where places) {
	if e.membership() != membership.Live {
		p.spare = append(p.spare, e)
		return
	}
	p.live = append(p.live, e)
	region := where.region[e.dataCentre]
	p.near[region] = append(p.near[region], e)
}

// mayEject reports whether the pool can do without one more upstream.
func (p *pool) mayEject() bool {
	ejected := 0
	for _, e := range p.live {
		if e.health.ejected() {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(p.live))
}
