package reach

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// declineTime is how long a router that could not send gets no further request, and
	// reprobeTime how long it is not asked again whether it can. A router that does not
	// respond is asked often enough for no request to wait for it.
	declineTime = 1500 * time.Millisecond
	reprobeTime = 500 * time.Millisecond
	// acceptTime is how long a router counts as reaching a service after it sent.
	acceptTime = 2 * time.Second
	// If most of the routers that were asked declined, only those are chosen that lately
	// reached the service, once there are enoughAccepted: with fewer, they would get all
	// of this router's requests.
	mostDecline    = 0.5
	enoughAccepted = 3
	declineWeight  = 0.1 // of the last answer in the share of routers that decline
	// maxDeclines is how many routers in a row may decline until only those are chosen
	// that lately reached the service; without any, requests are refused at once.
	maxDeclines = 6
)

// Forwarders chooses the router that sends requests to a service's upstreams in the place
// of one that doesn't reach them. All methods are safe for concurrent use.
type Forwarders struct {
	mu       sync.Mutex
	services map[string]*forwarderState
	active   map[string]int // requests in progress, by router
}

// forwarderState is what is known of the routers' paths to one service.
type forwarderState struct {
	declined map[string]time.Time // by router
	accepted map[string]time.Time // by router
	// declines counts the routers that declined since one accepted, and declinedAt is
	// the time of the last one.
	declines     int
	declinedAt   time.Time
	declineShare float64 // of the last answers
}

// NewForwarders returns a choice among routers of which nothing is known.
func NewForwarders() *Forwarders {
	return &Forwarders{services: map[string]*forwarderState{}, active: map[string]int{}}
}

// Pick chooses one of the routers to send a request to a service. It returns false if
// none is likely to reach the service.
func (f *Forwarders) Pick(service string, routers []string, now time.Time) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(service)
	willing := s.willing(routers, now, declineTime)
	known := s.known(willing, now)
	switch {
	case s.declineShare > mostDecline && len(known) >= enoughAccepted:
		willing = known
	case s.declines >= min(maxDeclines, len(routers)) && now.Sub(s.declinedAt) < declineTime:
		willing = known // perhaps none
	}
	return f.leastActive(willing)
}

// PickProbe chooses one of the routers to ask whether it reaches a service, whatever
// other routers have said.
func (f *Forwarders) PickProbe(service string, routers []string, now time.Time) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	willing := f.state(service).willing(routers, now, reprobeTime)
	if len(willing) == 0 {
		return "", false
	}
	return willing[rand.IntN(len(willing))], true
}

func (f *Forwarders) state(service string) *forwarderState {
	s := f.services[service]
	if s == nil {
		s = &forwarderState{declined: map[string]time.Time{}, accepted: map[string]time.Time{}}
		f.services[service] = s
	}
	return s
}

// willing returns the routers that have not declined within a time.
func (s *forwarderState) willing(routers []string, now time.Time, within time.Duration) []string {
	var willing []string
	for _, r := range routers {
		if at, declined := s.declined[r]; !declined || now.Sub(at) >= within {
			willing = append(willing, r)
		}
	}
	return willing
}

// known returns the routers that have lately reached the service.
func (s *forwarderState) known(routers []string, now time.Time) []string {
	var known []string
	for _, r := range routers {
		if at, accepted := s.accepted[r]; accepted && now.Sub(at) < acceptTime {
			known = append(known, r)
		}
	}
	return known
}

// leastActive returns the one of two random routers that has fewer requests in progress.
func (f *Forwarders) leastActive(routers []string) (string, bool) {
	if len(routers) == 0 {
		return "", false
	}
	a, b := routers[rand.IntN(len(routers))], routers[rand.IntN(len(routers))]
	if f.active[b] < f.active[a] {
		return b, true
	}
	return a, true
}

// Begin counts a request that a router sends. The returned function ends it.
func (f *Forwarders) Begin(router string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active[router]++
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.active[router]--; f.active[router] == 0 {
			delete(f.active, router)
		}
	})
}

// Accepted records that a router reaches a service.
func (f *Forwarders) Accepted(service, router string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(service)
	delete(s.declined, router)
	s.accepted[router] = now
	s.declines = 0
	s.declineShare -= declineWeight * s.declineShare
}

// Declined records that a router doesn't reach a service or did not respond.
func (f *Forwarders) Declined(service, router string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(service)
	forget(s.declined, now, declineTime)
	forget(s.accepted, now, acceptTime)
	delete(s.accepted, router)
	s.declined[router] = now
	s.declines++
	s.declineShare += declineWeight * (1 - s.declineShare)
	s.declinedAt = now
}

// forget removes the entries of an age.
func forget(entries map[string]time.Time, now time.Time, age time.Duration) {
	for r, at := range entries {
		if now.Sub(at) >= age {
			delete(entries, r)
		}
	}
}
