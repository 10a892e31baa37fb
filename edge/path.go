package edge

import (
	"context"
	"errors"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/reach"
	"buckthornridge/relay"
	"buckthornridge/upstream"
)

// pathSender sends requests over the path that the tracker names: the VM's own
// connections, or another VM.
type pathSender struct {
	direct  sender
	tracker *reach.Tracker
	forward *forwarder
}

// Send implements relay.Sender. A request is forwarded only if no byte of it was sent
// before.
func (s pathSender) Send(ctx context.Context, out relay.OutgoingRequest) (relay.Response, error) {
	if out.Borrowed {
		return s.forward.sendOnOtherPart(ctx, out)
	}
	path := s.tracker.Path(out.Upstream.ID)
	if path == reach.Forwarded {
		return s.forward.Send(ctx, out)
	}
	response, err := s.direct.sendOver(ctx, out, path)
	if err == nil || !mayForward(ctx, err) {
		return response, err
	}
	if path == reach.Direct && s.tracker.Path(out.Upstream.ID) == reach.Direct {
		return nil, err
	}
	return s.forward.Send(ctx, out)
}

// mayForward reports whether a request that failed may be sent over another path.
func mayForward(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, upstream.ErrNotSent) && !errors.Is(err, upstream.ErrConnectionLimit) &&
		!errors.Is(err, upstream.ErrAbandoned) && !errors.Is(err, upstream.ErrDelayed)
}

// minDialWait is how long a dial must have lasted, when its caller left or its deadline
// passed, to count as silent.
const minDialWait = 500 * time.Millisecond

// observer records what a request's connection shows of the path to its upstream.
type observer struct {
	tracker  *reach.Tracker
	identity *identities
	upstream relay.Upstream
	began    time.Time
}

// suspect records that the upstream's process may have ended.
func (o observer) suspect() { o.identity.suspect(o.upstream.ID, o.upstream.Start, time.Now()) }

// dialed records the result of opening a connection.
func (o observer) dialed(err error) {
	now := time.Now()
	switch {
	case err == nil:
		o.tracker.Connected(o.upstream.ID, now)
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		o.tracker.Failed(o.upstream.ID, reach.Refused, o.began, now)
		o.suspect()
	case errors.Is(err, context.Canceled) && now.Sub(o.began) < minDialWait:
	case errors.Is(err, context.DeadlineExceeded) && now.Sub(o.began) < reach.BriefDial:
	default:
		o.tracker.Failed(o.upstream.ID, reach.Silent, o.began, now)
		o.suspect()
	}
}

// exchanged records the result of sending a request or of reading its response. One that
// its caller or its deadline ended shows nothing.
func (o observer) exchanged(err error) {
	switch {
	case err == nil:
		o.tracker.Answered(o.upstream.ID, time.Now())
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
	case errors.Is(err, syscall.ETIMEDOUT):
		o.tracker.Failed(o.upstream.ID, reach.Silent, o.began, time.Now())
		o.suspect()
	default:
		o.suspect()
	}
}

// pollsPerTick is how many peers are asked at one time whether they reach a service.
const pollsPerTick = 4

// maintainPaths probes the upstreams that may be out of reach, asks peers whether they
// reach the services to which this VM has lost its own path, and logs the changes.
func (p *Process) maintainPaths(ctx context.Context) {
	for _, c := range p.paths.Changes() {
		if c.Lost {
			klog.Warningf("step=path service=%s state=lost failing=%d upstreams=%d cause=%s", c.Service, c.Failing, c.Members, c.Failure)
			p.dropSilent(c)
		} else {
			klog.Infof("step=path service=%s state=direct failing=%d upstreams=%d", c.Service, c.Failing, c.Members)
		}
	}
	for _, id := range p.paths.Probes(time.Now()) {
		p.tasks.Go(func() { p.probePath(ctx, id) })
	}
	for _, service := range p.paths.LostServices() {
		for range pollsPerTick {
			p.tasks.Go(func() { p.forward.poll(ctx, service) })
		}
	}
}

// dropSilent closes the idle connections to the upstreams of a service that fell silent.
// They may stay silent after the path is back, and a request sent on one may have run.
func (p *Process) dropSilent(c reach.Change) {
	if c.Failure != reach.Silent {
		return
	}
	for address, service := range *p.fleet.serviceByAddress.Load() {
		if service == c.Service {
			p.pool.DropIdle(address)
		}
	}
}

// probePath opens a connection to an upstream.
func (p *Process) probePath(ctx context.Context, id string) {
	u, known := p.fleet.Upstream(id)
	if !known {
		return
	}
	o := observer{tracker: p.paths, identity: p.fleet.identity, upstream: u, began: time.Now()}
	if err := p.pool.Connect(ctx, u.Address); !errors.Is(err, upstream.ErrConnectionLimit) {
		o.dialed(err)
	}
}
