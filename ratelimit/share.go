package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// usedShare is the part of an upstream's rate that all routers use together. Their
	// requests may coincide, so that there can be more for a while.
	usedShare = 0.75
	// extraUsers is the number of routers that use an upstream beyond the number of
	// requests in its window.
	extraUsers = 2
	// minProbeInterval is the least time between two requests of a router that has no part
	// of the rate, and that can learn only by its own requests that the limit has ended.
	minProbeInterval = 10 * time.Second
	// minHolders and slotsPerHolder decide how many routers have a part of an upstream's
	// slots if there are more routers than slots.
	minHolders     = 2
	slotsPerHolder = 4
	// holdersPerRejection bounds the routers that have a part, for each rejection a second
	// that the upstream bears.
	holdersPerRejection = 0.5
	// upstreamsPerLoner is of how many upstreams a router without a list of routers has a
	// part at one.
	upstreamsPerLoner = 4
	// windowsPerProbe is the number of windows in which all routers together make one such
	// request.
	windowsPerProbe = 2
)

// Rate is what an upstream bears from all routers together.
type Rate struct {
	PerSecond float64
	// Window is the time over which the upstream counts. Routers whose requests coincide
	// may exceed the rate in it by a factor and a few requests.
	Window time.Duration
}

// Routers is the list of routers that share the upstreams. All methods are safe for
// concurrent use.
type Routers struct {
	mu    sync.Mutex
	self  string
	names []string
	// ahead caches how many routers rank before this one, by upstream.
	ahead map[string]int
}

// Set sets the name of this router and the names of all, this one included. It reports
// whether they changed.
func (r *Routers) Set(self string, names []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if self == r.self && slices.Equal(names, r.names) {
		return false
	}
	r.self, r.names, r.ahead = self, slices.Clone(names), map[string]int{}
	return true
}

// Interval returns the least time between two requests of this router to an upstream, or 0
// if it sends none. If each router had a part, in a large fleet the parts would be less
// than one request in a window and the first requests of all would coincide; so only as
// many routers have a part as the window allows requests, chosen by rendezvous hashing. In
// a window there are at most usedShare of the rate and one request for each user. Without
// a list of routers there is no part.
func (r *Routers) Interval(upstream string, rate Rate) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	users := r.users(rate)
	if rate.PerSecond <= 0 || r.rank(upstream) >= users {
		return 0
	}
	return time.Duration(float64(users) / (usedShare * rate.PerSecond) * float64(time.Second))
}

// FirstTurn returns the time before the first of the requests that are Interval apart.
// Routers that learn of a limit at the same time take turns.
func (r *Routers) FirstTurn(upstream string, rate Rate) time.Duration {
	interval := r.Interval(upstream, rate)
	r.mu.Lock()
	defer r.mu.Unlock()
	return interval / time.Duration(max(1, r.users(rate))) * time.Duration(1+r.rank(upstream))
}

// Probe returns the least time between two requests of a router that has no part, and the
// time before the first one.
func (r *Routers) Probe(upstream string, rate Rate) (interval, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	users := r.users(rate)
	others := max(1, len(r.names)-users)
	interval = max(minProbeInterval, time.Duration(others)*rate.Window*windowsPerProbe)
	return interval, interval / time.Duration(others) * time.Duration(1+r.rank(upstream)-users)
}

// Count returns how many routers there are, this one included.
func (r *Routers) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(len(r.names), 1)
}

// Room is what an upstream takes from all routers together.
type Room struct {
	Slots int // requests in flight
	// Rejections is how many a second it bears; 0 if that is not known.
	Rejections float64
}

// Holders returns how many routers have a part of an upstream's room: all of them, or a few
// with several slots each if there are fewer slots than routers, or if the upstream bears few
// rejections. Each holder may cause one before it knows that there is less room.
func (r *Routers) Holders(room Room) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holders(room)
}

func (r *Routers) holders(room Room) int {
	holders := len(r.names)
	if room.Slots < holders {
		holders = min(room.Slots, max(minHolders, room.Slots/slotsPerHolder))
	}
	if room.Rejections > 0 {
		holders = min(holders, max(1, int(math.Ceil(holdersPerRejection*room.Rejections))))
	}
	return holders
}

// Part returns how many of an upstream's slots this router may fill. The parts of all
// routers together are the slots. A router without a list of them takes one at few upstreams:
// those that have the list share all slots.
func (r *Routers) Part(upstream string, room Room) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders, slots := r.holders(room), room.Slots
	if holders <= 0 {
		return partWithoutList(upstream, r.self)
	}
	part, rest := slots/holders, slots%holders
	if rest == 0 && holders == len(r.names) {
		return part
	}
	switch rank := r.rank(upstream); {
	case rank >= holders:
		return 0
	case rank < rest:
		return part + 1
	}
	return part
}

// partWithoutList returns the part of a router that does not know the others.
func partWithoutList(upstream, self string) int {
	if weight(upstream, self)%upstreamsPerLoner == 0 {
		return 1
	}
	return 0
}

// OtherHolders returns the other routers that have a part of an upstream's room.
func (r *Routers) OtherHolders(upstream string, room Room) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return name == r.self })
	holders := r.holders(room)
	if holders == len(r.names) {
		return others
	}
	slices.SortFunc(others, func(a, b string) int { return cmp.Compare(weight(upstream, b), weight(upstream, a)) })
	if r.rank(upstream) < holders {
		holders--
	}
	return others[:min(max(holders, 0), len(others))]
}

func (r *Routers) users(rate Rate) int {
	if rate.PerSecond <= 0 {
		return 0
	}
	return min(len(r.names), int(usedShare*rate.PerSecond*rate.Window.Seconds())+extraUsers)
}

// rank returns how many routers rank before this one for an upstream.
func (r *Routers) rank(upstream string) int {
	if ahead, known := r.ahead[upstream]; known {
		return ahead
	}
	own, ahead := weight(upstream, r.self), 0
	for _, name := range r.names {
		if name != r.self && weight(upstream, name) > own {
			ahead++
		}
	}
	if len(r.ahead) >= maxRanks {
		clear(r.ahead)
	}
	if r.ahead != nil {
		r.ahead[upstream] = ahead
	}
	return ahead
}

// maxRanks bounds the cache of ranks, which is cleared when it is full.
const maxRanks = 16384

func weight(upstream, router string) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + router)
}
