package origin

import (
	"maps"
	"sync"
	"time"
)

// History knows which versions the upstreams of each service have had lately. It is safe
// for concurrent use.
//
// A router that has just started has seen nothing itself. It learns what was before from
// the log that the fleet keeps in the table; until then it knows nothing of any service.
type History struct {
	mu       sync.Mutex
	complete bool // what was before this router's start is known
	listed   bool // the list of upstreams was read
	began    time.Time
	services map[string]map[string]time.Time // by version: when it was last listed
	present  map[string]map[string]bool      // versions that are listed now
	serving  map[string]map[string]bool      // those of upstreams that take new work
	logged   map[string]map[string]time.Time // since when the log has named them
}

// NewHistory returns the history of a router that starts now.
func NewHistory(now time.Time) *History {
	return &History{began: now, services: map[string]map[string]time.Time{}, present: map[string]map[string]bool{}, logged: map[string]map[string]time.Time{}}
}

// Update takes the versions that are listed now, by service.
func (h *History) Update(present map[string]map[string]bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.touch(now) // versions that leave the list were in it until now
	h.present, h.listed = present, true
	h.forgetLogged()
	h.touch(now)
	for service, versions := range h.services {
		for version, last := range versions {
			if now.Sub(last) > Lifetime {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
}

// touch records that the listed versions are listed at a time.
func (h *History) touch(now time.Time) {
	for service, versions := range h.present {
		for version := range versions {
			h.seen(service, version, now)
		}
	}
}

func (h *History) seen(service, version string, at time.Time) {
	if h.services[service] == nil {
		h.services[service] = map[string]time.Time{}
	}
	if last := h.services[service][version]; at.After(last) {
		h.services[service][version] = at
	}
}

// Learn takes what the log says of a service: when each version was last listed.
func (h *History) Learn(service string, lastListed map[string]time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for version, at := range lastListed {
		h.seen(service, version, at)
	}
}

// Ages is a router's history for another one: how long ago, in milliseconds, each version
// of each service was last listed.
type Ages map[string]map[string]int64

// Ages returns the history, and false if it is not complete.
func (h *History) Ages(now time.Time) (Ages, bool) {
	if !h.IsComplete(now) {
		return nil, false
	}
	all := Ages{}
	for service, versions := range h.Services(now) {
		all[service] = map[string]int64{}
		for version, last := range versions {
			all[service][version] = now.Sub(last).Milliseconds()
		}
	}
	return all, true
}

// LearnAges completes the history with that of another router.
func (h *History) LearnAges(ages Ages, now time.Time) {
	for service, versions := range ages {
		last := map[string]time.Time{}
		for version, ms := range versions {
			last[version] = now.Add(-time.Duration(ms) * time.Millisecond)
		}
		h.Learn(service, last)
	}
	h.Complete()
}

// Complete records that the whole log was learned.
func (h *History) Complete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
}

// IsComplete reports whether what was before this router's start is known, or too long ago
// to matter.
func (h *History) IsComplete(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.complete || now.Sub(h.began) > Lifetime
}

// Only returns the version that all upstreams of a service have had since before any
// stream can have begun that is still continued.
func (h *History) Only(service string, now time.Time) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed || !h.complete && now.Sub(h.began) <= Lifetime {
		return "", false
	}
	h.touch(now)
	count := 0
	for v, last := range h.services[service] {
		if now.Sub(last) <= Lifetime {
			version = v
			count++
		}
	}
	if count != 1 {
		return "", false
	}
	return version, true
}

// Several reports whether upstreams of several versions are listed for a service, or were
// lately.
func (h *History) Several(service string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for version, last := range h.services[service] {
		if h.present[service][version] || now.Sub(last) <= Lifetime {
			count++
		}
	}
	return count > 1
}

// Services returns when each version of each service was last listed, as of now.
func (h *History) Services(now time.Time) map[string]map[string]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.touch(now)
	all := make(map[string]map[string]time.Time, len(h.services))
	for service, versions := range h.services {
		all[service] = maps.Clone(versions)
	}
	return all
}

// Present returns the versions of a service that are listed now.
func (h *History) Present(service string) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.present[service])
}
