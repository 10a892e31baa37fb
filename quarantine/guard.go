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
	waiting []brokenRequest
}

// brokenRequest is a request whose connection was lost.
type brokenRequest struct {
	request     Request
	fingerprint Fingerprint
	at          time.Time
	answered    bool // the upstream had begun to answer it
}

// Counters count what a guard has done, for operators.
type Counters struct {
	// Refused counts requests that were refused for their whole content, RefusedForPart
	// those refused for a part, and Crashes pairs of a request and an upstream that ended
	// while it ran the request.
	Refused, RefusedForPart, Crashes atomic.Int64
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
	now := time.Now()
	left, refused = g.table.quarantined(r, now)
	if refused {
		g.counters.Refused.Add(1)
		return left, true
	}
	left, refused = g.table.partQuarantined(r, now)
	if refused {
		g.counters.RefusedForPart.Add(1)
	}
	return left, refused
}

// Suspected reports whether several upstreams have crashed under a part of the request. It
// should not be sent a second time then.
func (g *Guard) Suspected(r Request) bool { return g.table.view.Load().parts.suspected(r) }

// Answering reports that an upstream has begun to answer a request and goes on.
func (g *Guard) Answering(r Request) { g.table.partAnswered(r) }

// Completed reports that an upstream ran a request to a good end.
func (g *Guard) Completed(r Request) {
	g.table.clear(r)
	g.table.partAnswered(r)
}

// Broken reports that the connection of a request was lost while the upstream may have
// been running it. answered says whether Answering was reported of this attempt. It does
// not block.
func (g *Guard) Broken(u Upstream, r Request, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	b := brokenRequest{request: r, fingerprint: r.Fingerprint(), at: now, answered: answered}
	b.request.Body = nil
	g.forgetProbes(now)
	p := g.probes[u]
	if p == nil {
		p = &probe{}
		g.probes[u] = p
	}
	switch {
	case p.ended:
		g.crashed(u, b)
	case p.running:
		p.waiting = append(p.waiting, b)
	case p.startedAt.IsZero() || now.Sub(p.startedAt) >= probeInterval:
		p.startedAt, p.running = now, true
		p.waiting = append(p.waiting, b)
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
		for _, b := range p.waiting {
			g.crashed(u, b)
		}
	}
	p.waiting = nil
}

// crashed records that an upstream ended while it ran a request.
func (g *Guard) crashed(u Upstream, b brokenRequest) {
	g.counters.Crashes.Add(1)
	g.table.crash(Crash{Fingerprint: b.fingerprint, Process: u.process()}, b)
	klog.Infof("step=upstream_crash upstream=%s address=%s fingerprint=%s answered=%t parts=%x", u.ID, u.Address, b.fingerprint, b.answered, b.request.Parts)
}
