package ratelimit

import (
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
	// refreshInterval is the least time between two refreshes.
	refreshInterval = 500 * time.Millisecond
	// minLimit is the least limit that is told from none, in rejections a second.
	minLimit = 0.01
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
	apply   func(upstream string, bound int, assumed bool)
	// fewHolders says that routers without a part may have others send their requests.
	fewHolders bool
	start      time.Time
	readings   sync.Map // of *limitReading, the last answers by upstream

	mu        sync.Mutex
	services  map[string]*boundedService
	refreshed time.Time
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
	upstreams map[string]BoundedUpstream
	// unsure says that no upstream names a limit, and none has lately denied it.
	unsure bool
	// named is how many upstreams name a limit, since is when the first of them did.
	named int
	since time.Duration
	// limit is the least limit that one of them names; 0 without one.
	limit float64
}

// NewSlotBounds returns bounds for no upstreams. apply puts a bound into force, which is
// NoBound or a number of requests in flight; assumed says that nothing is known of the
// upstream's service.
func NewSlotBounds(routers *Routers, apply func(upstream string, bound int, assumed bool)) *SlotBounds {
	return &SlotBounds{routers: routers, apply: apply, start: time.Now(), services: map[string]*boundedService{}}
}

// Update sets the upstreams and applies their bounds.
func (b *SlotBounds) Update(upstreams []BoundedUpstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	services, listed := map[string]*boundedService{}, make(map[string]int64, len(upstreams))
	for _, u := range upstreams {
		s := services[u.Service]
		if s == nil {
			s = &boundedService{upstreams: map[string]BoundedUpstream{}}
			if old := b.services[u.Service]; old != nil {
				s.named, s.since, s.limit = old.named, old.since, old.limit
			}
			services[u.Service] = s
		}
		s.upstreams[u.ID] = u
		listed[u.ID] = u.Process
	}
	b.services = services
	b.readings.Range(func(id, reading any) bool {
		if process, known := listed[id.(string)]; !known || process != reading.(*limitReading).process {
			b.readings.Delete(id)
		}
		return true
	})
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
	last := b.reading(upstream)
	if last != nil && last.process == process && last.limit == r {
		last.at.Store(int64(time.Since(b.start)))
		if r.Named || !last.bounded.Load() {
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return
	}
	if u, listed := s.upstreams[upstream]; listed && u.Process == process {
		b.replace(s, u, r)
	}
}

// replace sets the reading of an upstream. The caller must hold b.mu.
func (b *SlotBounds) replace(s *boundedService, u BoundedUpstream, r Reading) {
	now := time.Since(b.start)
	last := b.reading(u.ID)
	wasNamed := last != nil && last.limit.Named
	next := &limitReading{process: u.Process, limit: r}
	next.at.Store(int64(now))
	b.readings.Store(u.ID, next)
	if wasNamed != r.Named {
		klog.Infof("step=rejection_limit upstream=%s service=%s named=%t limit=%g", u.ID, u.Service, r.Named, r.PerSecond)
	}
	wasUnsure, anyNamed := s.unsure, s.named > 0
	switch {
	case r.Named && !wasNamed:
		s.named++
	case !r.Named && wasNamed:
		s.named--
	}
	if !anyNamed && s.named > 0 {
		s.since = now
	}
	s.unsure = false
	wasLimit := s.limit
	s.limit = b.leastLimit(s)
	if wasUnsure || anyNamed != (s.named > 0) || wasLimit != s.limit {
		b.applyService(s)
		return
	}
	b.applyOne(s, u)
}

func (b *SlotBounds) reading(upstream string) *limitReading {
	r, known := b.readings.Load(upstream)
	if !known {
		return nil
	}
	return r.(*limitReading)
}

// FewHolders lets few routers have a part of an upstream that bears few rejections. It is
// called before Update, for routers that can have each other send requests.
func (b *SlotBounds) FewHolders() { b.fewHolders = true }

// Room returns what an upstream of a service takes from all routers together while it names
// a rejection limit.
func (b *SlotBounds) Room(service string, slots int) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room(b.services[service], slots)
}

func (b *SlotBounds) room(s *boundedService, slots int) Room {
	room := Room{Slots: BoundedSlots(slots)}
	if s != nil && b.fewHolders {
		room.Rejections = s.limit
	}
	return room
}

// leastLimit returns the least limit that an upstream of a service names, or 0. All routers
// must choose the same holders, also at an upstream that has not answered this one.
func (b *SlotBounds) leastLimit(s *boundedService) (least float64) {
	for id := range s.upstreams {
		if r := b.reading(id); r != nil && r.limit.Named && (least == 0 || r.limit.PerSecond < least) {
			least = max(r.limit.PerSecond, minLimit)
		}
	}
	return least
}

// Limit returns the rejection limit that an upstream named last, if it does.
func (b *SlotBounds) Limit(upstream string) Reading {
	if r := b.reading(upstream); r != nil {
		return r.limit
	}
	return Reading{}
}

// Named returns how many upstreams name a rejection limit.
func (b *SlotBounds) Named() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, s := range b.services {
		count += s.named
	}
	return count
}

// Refresh applies what has changed by time, or by another list of routers. It is called
// periodically.
func (b *SlotBounds) Refresh(routersChanged bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !routersChanged && now.Sub(b.refreshed) < refreshInterval {
		return
	}
	b.refreshed = now
	for _, s := range b.services {
		if b.assess(s) || s.named > 0 || routersChanged {
			b.applyService(s)
		}
	}
}

// assess updates what a service's upstreams say together, and reports whether it changed.
func (b *SlotBounds) assess(s *boundedService) (changed bool) {
	named, denied := 0, false
	for id := range s.upstreams {
		switch r := b.reading(id); {
		case r == nil:
		case r.limit.Named:
			named++
		case b.isRecent(r):
			denied = true
		}
	}
	unsure, limit := named == 0 && !denied, b.leastLimit(s)
	changed = unsure != s.unsure || (named > 0) != (s.named > 0) || limit != s.limit
	if s.named == 0 && named > 0 {
		s.since = time.Since(b.start)
	}
	s.unsure, s.named, s.limit = unsure, named, limit
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
	for _, u := range s.upstreams {
		b.applyOne(s, u)
	}
}

func (b *SlotBounds) applyOne(s *boundedService, u BoundedUpstream) {
	r := b.reading(u.ID)
	bounded := s.unsure || s.named > 0 && !b.denies(s, r)
	if r != nil {
		r.bounded.Store(bounded)
	}
	if !bounded {
		b.apply(u.ID, NoBound, false)
		return
	}
	b.apply(u.ID, b.routers.Part(u.ID, b.room(s, u.Slots)), s.unsure)
}

// BoundedSlots returns how many requests all routers together may have in flight at an
// upstream that names a rejection limit.
func BoundedSlots(slots int) int { return max(1, int(boundedShare*float64(slots))) }
