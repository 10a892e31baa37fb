package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
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

// Guard observes how requests end at upstreams and refuses those that end upstreams. All
// methods are safe for concurrent use.
type Guard struct {
	table    *Table
	prober   Prober
	counters Counters

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

// Counters count what a guard has done, for operators.
type Counters struct {
	// Refused counts refused requests, Crashes pairs of a request and an upstream that
	// ended while it ran the request.
	Refused, Crashes atomic.Int64
}

// NewGuard returns a guard with an empty table.
func NewGuard(prober Prober) *Guard {
	return &Guard{table: NewTable(), prober: prober, probes: map[Upstream]*probe{}}
}

// Table returns the evidence that the guard decides by.
func (g *Guard) Table() *Table { return g.table }

// Counters returns the guard's counters.
func (g *Guard) Counters() *Counters { return &g.counters }

// Refuse reports whether a request must not be sent to any upstream, and for how long at
// most.
func (g *Guard) Refuse(r Request) (left time.Duration, refused bool) {
	left, refused = g.table.quarantined(r, time.Now())
	if refused {
		g.counters.Refused.Add(1)
	}
	return left, refused
}

// Completed reports that an upstream ran a request to a good end.
func (g *Guard) Completed(r Request) { g.table.clear(r) }

// Broken reports that the connection of a request was lost while the upstream may have
// been running it. It does not block.
func (g *Guard) Broken(u Upstream, r Request) {
	f := r.Fingerprint()
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
	g.counters.Crashes.Add(1)
	g.table.crash(Crash{Fingerprint: f, Process: u.process()})
	klog.Infof("step=upstream_crash upstream=%s address=%s fingerprint=%s", u.ID, u.Address, f)
}
