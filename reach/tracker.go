package reach

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// lostAfter is how many upstreams of a service must fail, with none that connects in
// between, until the router's own path counts as lost.
const lostAfter = 2

// Tracker knows which upstreams the router reaches over its own connections. All methods
// are safe for concurrent use. While nothing fails, they take no lock.
type Tracker struct {
	upstreams atomic.Pointer[map[string]*upstream]

	mu       sync.Mutex // guards changes of upstreams and services
	services map[string]*service
}

// service is the upstreams that serve the same requests.
type service struct {
	name    string
	failing atomic.Int64 // length of failed

	mu        sync.Mutex
	members   map[string]*upstream
	failed    map[string]*upstream // those of the members that fail
	connected time.Time            // when a connection to any upstream was last opened
	answered  time.Time            // when any upstream last answered, while some fail
	lostAt    time.Time            // when the router's own path last counted as lost
	lost      bool                 // the state that Changes has reported
}

// upstream is the state of one upstream. Its service's mutex guards it.
type upstream struct {
	id      string
	service *service
	failure Failure
	// triedAt is when the last attempt that failed began, failedAt when it failed,
	// probedAt the time of the last probe and connected that of the last connection.
	triedAt, failedAt, probedAt, connected time.Time
}

// NewTracker returns a tracker without upstreams.
func NewTracker() *Tracker {
	t := &Tracker{services: map[string]*service{}}
	t.upstreams.Store(&map[string]*upstream{})
	return t
}

// Update sets the upstreams. What is known of those that stay is kept.
func (t *Tracker) Update(list []Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.upstreams.Load()
	next := make(map[string]*upstream, len(list))
	for _, item := range list {
		if u := old[item.ID]; u != nil && u.service.name == item.Service {
			next[item.ID] = u
			continue
		}
		s := t.services[item.Service]
		if s == nil {
			s = &service{name: item.Service, members: map[string]*upstream{}, failed: map[string]*upstream{}}
			t.services[item.Service] = s
		}
		u := &upstream{id: item.ID, service: s}
		s.mu.Lock()
		s.members[item.ID] = u
		s.mu.Unlock()
		next[item.ID] = u
	}
	for id, u := range old {
		if next[id] != u {
			u.service.remove(u)
		}
	}
	t.upstreams.Store(&next)
}

func (s *service) remove(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members, u.id)
	u.recover()
}

func (t *Tracker) find(id string) *upstream { return (*t.upstreams.Load())[id] }

// Connected records that a connection to an upstream was opened.
func (t *Tracker) Connected(id string, now time.Time) {
	if u := t.find(id); u != nil {
		u.service.mu.Lock()
		defer u.service.mu.Unlock()
		u.service.connected, u.connected = now, now
		u.recover()
	}
}

// Answered records that an upstream answered on an open connection.
func (t *Tracker) Answered(id string, now time.Time) {
	u := t.find(id)
	if u == nil || u.service.failing.Load() == 0 {
		return
	}
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	u.service.answered = now
	if u.failure == Silent {
		u.recover()
	}
}

func (u *upstream) fails() bool { return u.service.failed[u.id] == u }

func (u *upstream) recover() {
	if u.fails() {
		delete(u.service.failed, u.id)
		u.service.failing.Store(int64(len(u.service.failed)))
	}
}

// Failed records that an attempt that began at a given time opened no connection to an
// upstream, or that an open one has been silent since then. An attempt that began before
// another one connected says nothing about the router's own path.
func (t *Tracker) Failed(id string, f Failure, began, now time.Time) {
	u := t.find(id)
	if u == nil {
		return
	}
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	if began.Before(u.connected) || u.service.members[id] != u { // it may just have been removed
		return
	}
	u.failedAt = now
	if u.fails() && !u.isRecent() {
		return // others connected since it failed, so that it says nothing new
	}
	u.service.failed[id] = u
	u.service.failing.Store(int64(len(u.service.failed)))
	u.failure, u.triedAt = f, began
}

// isRecent reports whether no upstream of the service has connected or, if this one fell
// silent, answered since its failure.
func (u *upstream) isRecent() bool {
	if u.triedAt.Before(u.service.connected) {
		return false
	}
	return u.failure != Silent || !u.triedAt.Before(u.service.answered)
}

// Fails reports whether the last attempt to reach an upstream failed, within a time.
func (t *Tracker) Fails(id string, now time.Time, within time.Duration) bool {
	u := t.find(id)
	if u == nil || u.service.failing.Load() == 0 {
		return false
	}
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	return u.fails() && now.Sub(u.failedAt) < within
}

// Control returns an upstream that was reached last time, of the same service if there is
// one. If it can't be reached either, the fault is the router's own path.
func (t *Tracker) Control(id string) (control string, found bool) {
	u := t.find(id)
	if u == nil {
		return "", false
	}
	if control, found = u.service.reached(id); found {
		return control, true
	}
	for _, s := range t.all() {
		if control, found = s.reached(id); found {
			return control, true
		}
	}
	return "", false
}

// FailingUpstreams returns the upstreams of all services that fail.
func (t *Tracker) FailingUpstreams() []string {
	var ids []string
	for _, s := range t.all() {
		s.mu.Lock()
		ids = append(ids, slices.Collect(maps.Keys(s.failed))...)
		s.mu.Unlock()
	}
	return ids
}

// reached returns an upstream other than the named one that was reached last time.
func (s *service) reached(except string) (id string, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.members {
		if u.id != except && !u.fails() && !u.connected.IsZero() {
			return u.id, true
		}
	}
	return "", false
}

// Path returns the path to an upstream.
func (t *Tracker) Path(id string) Path {
	u := t.find(id)
	if u == nil || u.service.failing.Load() == 0 {
		return Direct
	}
	s := u.service
	s.mu.Lock()
	defer s.mu.Unlock()
	recent, silent := s.recentFailures()
	switch {
	case !s.isLost(recent):
		if recent > 0 {
			return DirectBriefly
		}
		return Direct
	case !u.fails() && !s.reachesNone(recent):
		return Direct // most of the others fail, and this one connected since
	case silent:
		return Forwarded
	}
	return OpenOnly
}

// recentFailures returns how many upstreams have failed with none that connected since,
// and whether any of those fell silent.
func (s *service) recentFailures() (recent int, silent bool) {
	for _, u := range s.failed {
		if u.isRecent() {
			recent++
			silent = silent || u.failure == Silent
		}
	}
	return recent, silent
}

// isLost reports whether the router's own path to the service counts as lost: it reaches
// none of the upstreams, or most of them fail. The caller must hold s.mu.
func (s *service) isLost(recent int) bool {
	return s.reachesNone(recent) || 2*len(s.failed) > len(s.members)
}

// reachesNone reports whether several upstreams failed in a row. The caller must hold s.mu.
func (s *service) reachesNone(recent int) bool {
	return recent > 0 && recent >= min(lostAfter, len(s.members))
}

// Reaches reports whether the router reaches any upstream of a service, as far as it knows.
func (t *Tracker) Reaches(name string) bool {
	t.mu.Lock()
	s := t.services[name]
	t.mu.Unlock()
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	recent, _ := s.recentFailures()
	return len(s.members) > 0 && !s.reachesNone(recent)
}

// Lost reports whether the router's own path to a service counts as lost.
func (t *Tracker) Lost(name string) bool {
	t.mu.Lock()
	s := t.services[name]
	t.mu.Unlock()
	if s == nil || s.failing.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	recent, _ := s.recentFailures()
	return s.isLost(recent)
}

func (t *Tracker) all() []*service {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	return list
}
