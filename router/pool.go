package router

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"buckthornridge/config"
	"buckthornridge/httpconn"
	"buckthornridge/ratelimit"
	"buckthornridge/routing"
	"buckthornridge/upstream"
	"buckthornridge/upstream/wire"
)

// maxConcurrentPolls bounds the engines that are polled at the same time.
const maxConcurrentPolls = 32

// pool holds the clients of the configured upstreams and polls the engines. The
// client set is replaced as a whole when the configuration changes.
type pool struct {
	transport *httpconn.Transport
	table     *routing.Table
	interval  time.Duration
	limiter   *ratelimit.Limiter
	shares    *ratelimit.Routers
	// rejections and slotBounds keep upstreams that bear few rejections within their room.
	rejections *ratelimit.Rejections
	slotBounds *ratelimit.SlotBounds
	rests      *ratelimit.Rests
	clients    atomic.Pointer[clientSet]
	// onLeaving is called for an upstream that reports itself as leaving.
	onLeaving func(id string, kind config.UpstreamKind)
}

// clientSet holds clients by upstream id. It is immutable.
type clientSet struct {
	engines  map[string]upstream.Engine
	services map[string]upstream.Service
}

func newPool(table *routing.Table, interval time.Duration) *pool {
	shares := &ratelimit.Routers{}
	p := &pool{
		transport: upstream.NewTransport(), table: table, interval: interval, shares: shares,
		limiter:    ratelimit.NewLimiter(shares, table.SetLimit),
		rejections: ratelimit.NewRejections(table.BackOff, func(string) int { return shares.Count() }),
		slotBounds: ratelimit.NewSlotBounds(shares, table.SetSlotBound),
	}
	p.rests = ratelimit.NewRests(table.SetRest, func(string) int { return shares.Count() })
	p.clients.Store(&clientSet{})
	return p
}

// update replaces the clients by those for the upstreams of a snapshot.
func (p *pool) update(s *config.Snapshot) {
	next := &clientSet{engines: map[string]upstream.Engine{}, services: map[string]upstream.Service{}}
	bounded := make([]ratelimit.BoundedUpstream, 0, len(s.Upstreams))
	for id, u := range s.Upstreams {
		transport := upstream.ObserveHeads(p.transport, func(path string, status int, h http.Header) {
			if u.Kind != config.UpstreamEngine || path == wire.PathGenerate || path == wire.PathResume {
				p.observe(id, u, status, h)
			}
		})
		bounded = append(bounded, ratelimit.BoundedUpstream{ID: id, Service: poolName(u), Slots: slotsOf(u)})
		if u.Kind == config.UpstreamEngine {
			next.engines[id] = upstream.NewEngine(u.Address, transport)
		} else {
			next.services[id] = upstream.NewService(u.Address, transport)
		}
	}
	p.clients.Store(next)
	p.slotBounds.Update(bounded)
}

// observe takes what the head of an answer to a request for work says of the upstream.
func (p *pool) observe(id string, u config.Upstream, status int, h http.Header) {
	p.limiter.Observe(id, 0, ratelimit.Read(h[wire.HeaderRateLimit]))
	p.slotBounds.Observe(poolName(u), id, 0, ratelimit.Read(h[wire.HeaderRejectionLimit]))
	if h.Get(wire.HeaderLeaving) == wire.LeavingValue {
		p.onLeaving(id, u.Kind)
	}
	if status == http.StatusServiceUnavailable {
		p.rests.Observe(ratelimit.Process{Upstream: id}, ratelimit.ReadRest(h[wire.HeaderRest]))
	}
}

// refused takes a refusal of an engine, which says in its body for how long it wants no
// requests.
func (p *pool) refused(id string, e *upstream.RefusedError) {
	p.rests.Observe(ratelimit.Process{Upstream: id}, ratelimit.RestReading{For: e.RetryAfter})
}

// poolName names the upstreams that do the same work.
func poolName(u config.Upstream) string { return u.Service + " " + strings.Join(u.Models, " ") }

func slotsOf(u config.Upstream) int {
	if u.Slots <= 0 {
		return routing.DefaultSlots
	}
	return u.Slots
}

// setRouters sets the routers that share the upstreams.
func (p *pool) setRouters(self string, names []string) {
	p.slotBounds.Refresh(p.limiter.SetRouters(self, names))
}

// rejected records that an upstream has rejected a request for want of room.
func (p *pool) rejected(id string, tokens int64) {
	p.rejections.Rejected(id, tokens, p.slotBounds.Limit(id))
}

func (p *pool) engine(id string) (upstream.Engine, error) {
	if e := p.clients.Load().engines[id]; e != nil {
		return e, nil
	}
	return nil, eris.Wrapf(upstream.ErrNotSent, "upstream %s is not configured", id)
}

func (p *pool) service(id string) (upstream.Service, error) {
	if s := p.clients.Load().services[id]; s != nil {
		return s, nil
	}
	return nil, eris.Wrapf(upstream.ErrNotSent, "upstream %s is not configured", id)
}

// run polls load reports and cache events until the context is cancelled.
func (p *pool) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.pollAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.transport.CloseIdleConnections()
			return
		}
	}
}

func (p *pool) pollAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	for id, engine := range p.clients.Load().engines {
		group.Go(func() error {
			p.poll(ctx, id, engine)
			return nil
		})
	}
	_ = group.Wait()
}

// poll fetches the load report and the cache events of an engine. A failed poll does
// not count against the engine, whose health is judged by its requests.
func (p *pool) poll(ctx context.Context, id string, engine upstream.Engine) {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	if load, err := engine.Load(ctx); err == nil {
		p.table.Report(id, load)
		if load.Leaving {
			p.onLeaving(id, config.UpstreamEngine)
		}
	}
	index := p.table.Index()
	if events, err := engine.CacheEvents(ctx, index.LastEvent(id)); err == nil {
		index.Apply(id, events)
	}
}
