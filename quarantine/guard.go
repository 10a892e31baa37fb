package quarantine

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// probeTimeout bounds one probe of an upstream.
	probeTimeout = 500 * time.Millisecond
	// probeInterval is the least time between two probes of an upstream.
	probeInterval = 500 * time.Millisecond
	// endedRetention is how long an ended process is remembered, for requests whose
	// connections are found broken later.
	endedRetention = 10 * time.Second
)

// Prober finds out whether the process at an address has ended.
type Prober interface {
	// Ended returns true only if nothing listens at the address. A process that can't
	// be reached may still run.
	Ended(ctx context.Context, address string) bool
}

// Guard observes how requests end at upstreams. All methods are safe for concurrent use.
type Guard struct {
	prober Prober

	mu     sync.Mutex
	probes map[Upstream]*probe
}

// probe is what is known of a process on which requests broke.
type probe struct {
	startedAt time.Time
	running   bool
	ended     bool
	// waiting holds the requests that broke since the last result.
	waiting []Fingerprint
}

// NewGuard returns a guard that has observed nothing.
func NewGuard(prober Prober) *Guard {
	return &Guard{prober: prober, probes: map[Upstream]*probe{}}
}

// Broken reports that the connection of a request was lost while the upstream may have
// been running it. It does not block.
func (g *Guard) Broken(u Upstream, f Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.forgetProbes(now)
	p := g.probes[u]
	if p == nil {
		p = &probe{}
		g.probes[u] = p
	}
	switch {
	case p.ended:
		g.crashed(u, f)
	case p.running:
		p.waiting = append(p.waiting, f)
	case p.startedAt.IsZero() || now.Sub(p.startedAt) >= probeInterval:
		p.startedAt, p.running = now, true
		p.waiting = append(p.waiting, f)
		go g.probe(u, p)
	}
}

// forgetProbes removes old results.
func (g *Guard) forgetProbes(now time.Time) {
	for u, p := range g.probes {
		if !p.running && now.Sub(p.startedAt) > endedRetention {
			delete(g.probes, u)
		}
	}
}

func (g *Guard) probe(u Upstream, p *probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ended := g.prober.Ended(ctx, u.Address)
	g.mu.Lock()
	defer g.mu.Unlock()
	p.running, p.ended = false, ended
	if ended {
		for _, f := range p.waiting {
			g.crashed(u, f)
		}
	}
	p.waiting = nil
}

// crashed records that an upstream ended while it ran a request.
func (g *Guard) crashed(u Upstream, f Fingerprint) {
	klog.Infof("step=upstream_crash upstream=%s address=%s fingerprint=%s", u.ID, u.Address, f)
}
