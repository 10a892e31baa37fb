package reach

import (
	"sort"
	"time"
)

const (
	// probeInterval is the time between two probes of an upstream.
	probeInterval = 500 * time.Millisecond
	// recoveryTime is how long the upstreams that still fail are probed after the router
	// has its own path to the service back.
	recoveryTime = 10 * time.Second
	// minProbes and probeShare bound the probes of a service at one time while the path
	// counts as lost: a large service returns to its own paths in a few steps, and not in
	// one burst. Otherwise one upstream is probed at a time.
	minProbes  = 3
	probeShare = 0.1
)

// Probes returns the upstreams to which a connection is to be opened now, in order to
// learn whether the router's own path is lost or back. The result of each must be
// recorded by Connected or Failed.
func (t *Tracker) Probes(now time.Time) []string {
	var due []string
	for _, s := range t.all() {
		if s.failing.Load() > 0 {
			due = append(due, s.probes(now)...)
		}
	}
	return due
}

func (s *service) probes(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent, _ := s.recentFailures()
	most := 1
	if s.isLost(recent) {
		s.lostAt = now
		most = max(minProbes, int(probeShare*float64(len(s.members))))
	}
	if recent == 0 && (s.lostAt.IsZero() || now.Sub(s.lostAt) > recoveryTime) {
		return nil
	}
	var candidates []*upstream
	for _, u := range s.members {
		if now.Sub(u.probedAt) >= probeInterval && (u.fails() || recent > 0) {
			candidates = append(candidates, u)
		}
	}
	// First those that may show that the path is there.
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		switch {
		case a.fails() != b.fails():
			return b.fails()
		case !a.probedAt.Equal(b.probedAt):
			return a.probedAt.Before(b.probedAt)
		}
		return a.id < b.id
	})
	candidates = candidates[:min(len(candidates), most)]
	ids := make([]string, len(candidates))
	for i, u := range candidates {
		u.probedAt = now
		ids[i] = u.id
	}
	return ids
}
