package ratelimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// boundedShare is the part of an upstream's slots that all routers together fill while
	// it names a rejection limit. A slot may stay taken for a while after its request has
	// ended for the router, and a new connection may take one.
	boundedShare = 0.85
	// readingAge is how long an answer without a limit is relied on: a router that gets
	// none may have missed that a limit began.
	readingAge = 2 * time.Second
	// NoBound is the bound of an upstream that names no rejection limit.
	NoBound = -1
)

// BoundedUpstream is a listed upstream, as SlotBounds needs it.
type BoundedUpstream struct {
	ID, Service string
	Process     int64
	Slots       int
}

// SlotBounds bounds this router's requests in flight at upstreams that fail if they must
// reject too many requests: all routers together stay within the slots, from the first
// answer on that names a limit. What an upstream has not said lately is taken from the other
// upstreams of its service, since one that replaces a failed upstream says nothing before
// its first answer. All methods are safe for concurrent use.
type SlotBounds struct {
	routers *Routers
	apply   func(upstream string, bound int)
	start   time.Time
	// readings holds the last answers by upstream; the map is replaced as a whole.
	readings atomic.Pointer[map[string]*limitReading]

	mu       sync.Mutex
	services map[string]*boundedService
}

// limitReading is what the last answer of an upstream's process said.
type limitReading struct {
	process int64
	limit   Reading
	at      atomic.Int64 // since SlotBounds.start
	bounded atomic.Bool  // whether the upstream is bounded now
}

// boundedService holds the upstreams of a service.
type boundedService struct {
	upstreams []BoundedUpstream
	// unsure says that no upstream names a limit, and none has lately denied it.
	unsure bool
	// named is how many upstreams name a limit, since is when the first of them did.
	named int
	since time.Duration
}

// NewSlotBounds returns bounds for no upstreams. apply puts a bound into force, which is
// NoBound or a number of requests in flight.
func NewSlotBounds(routers *Routers, apply func(upstream string, bound int)) *SlotBounds {
	b := &SlotBounds{routers: routers, apply: apply, start: time.Now(), services: map[string]*boundedService{}}
	b.readings.Store(&map[string]*limitReading{})
	return b
}

// Update sets the upstreams and applies their bounds.
func (b *SlotBounds) Update(upstreams []BoundedUpstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	services := map[string]*boundedService{}
	readings, kept := *b.readings.Load(), map[string]*limitReading{}
	for _, u := range upstreams {
		if services[u.Service] == nil {
			services[u.Service] = &boundedService{}
			if old := b.services[u.Service]; old != nil {
				services[u.Service].named, services[u.Service].since = old.named, old.since
			}
		}
		services[u.Service].upstreams = append(services[u.Service].upstreams, u)
		if r := readings[u.ID]; r != nil && r.process == u.Process {
			kept[u.ID] = r
		}
	}
	b.services = services
	b.readings.Store(&kept)
	for _, s := range services {
		b.assess(s)
		b.applyService(s)
	}
}

// Observe takes what an answer of an upstream's process says.
func (b *SlotBounds) Observe(service, upstream string, process int64, r Reading) {
	if r.Invalid {
		return
	}
	now := time.Since(b.start)
	last := (*b.readings.Load())[upstream]
	if last != nil && last.process == process && last.limit == r {
		last.at.Store(int64(now))
		if r.Named || !last.bounded.Load() {
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil || !s.has(upstream, process) {
		return
	}
	next := &limitReading{process: process, limit: r}
	next.at.Store(int64(now))
	readings := maps.Clone(*b.readings.Load())
	if last := readings[upstream]; last == nil && r.Named || last != nil && last.limit.Named != r.Named {
		klog.Infof("step=rejection_limit upstream=%s service=%s named=%t limit=%g", upstream, service, r.Named, r.PerSecond)
	}
	readings[upstream] = next
	b.readings.Store(&readings)
	b.assess(s)
	b.applyService(s)
}

func (s *boundedService) has(upstream string, process int64) bool {
	for _, u := range s.upstreams {
		if u.ID == upstream {
			return u.Process == process
		}
	}
	return false
}

// Limit returns the rejection limit that an upstream named last, if it does.
func (b *SlotBounds) Limit(upstream string) Reading {
	if r := (*b.readings.Load())[upstream]; r != nil {
		return r.limit
	}
	return Reading{}
}

// Named returns how many upstreams name a rejection limit.
func (b *SlotBounds) Named() int {
	count := 0
	for _, r := range *b.readings.Load() {
		if r.limit.Named {
			count++
		}
	}
	return count
}

// Refresh applies what has changed by time, or by another list of routers. It is called
// periodically.
func (b *SlotBounds) Refresh(routersChanged bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		if b.assess(s) || s.named > 0 || routersChanged {
			b.applyService(s)
		}
	}
}

// assess updates what a service's upstreams say together, and reports whether it changed.
func (b *SlotBounds) assess(s *boundedService) (changed bool) {
	readings, named, denied := *b.readings.Load(), 0, false
	for _, u := range s.upstreams {
		switch r := readings[u.ID]; {
		case r == nil:
		case r.limit.Named:
			named++
		case b.isRecent(r):
			denied = true
		}
	}
	unsure := named == 0 && !denied
	changed = unsure != s.unsure || (named > 0) != (s.named > 0)
	if s.named == 0 && named > 0 {
		s.since = time.Since(b.start)
	}
	s.unsure, s.named = unsure, named
	return changed
}

func (b *SlotBounds) isRecent(r *limitReading) bool {
	return time.Since(b.start)-time.Duration(r.at.Load()) <= readingAge
}

// denies reports whether an answer without a limit can be relied on in a service of which
// other upstreams name one.
func (b *SlotBounds) denies(s *boundedService, r *limitReading) bool {
	return r != nil && !r.limit.Named && b.isRecent(r) && time.Duration(r.at.Load()) > s.since
}

// applyService applies the bounds of a service's upstreams. The caller must hold b.mu.
func (b *SlotBounds) applyService(s *boundedService) {
	readings := *b.readings.Load()
	for _, u := range s.upstreams {
		r := readings[u.ID]
		bounded := s.unsure || s.named > 0 && !b.denies(s, r)
		if r != nil {
			r.bounded.Store(bounded)
		}
		if bounded {
			b.apply(u.ID, b.routers.Part(u.ID, BoundedSlots(u.Slots)))
		} else {
			b.apply(u.ID, NoBound)
		}
	}
}

// BoundedSlots returns how many requests all routers together may have in flight at an
// upstream that names a rejection limit.
func BoundedSlots(slots int) int { return max(1, int(boundedShare*float64(slots))) }
