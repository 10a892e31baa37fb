package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"buckthornridge/lag"
	"buckthornridge/pause"
	"buckthornridge/peer"
	"buckthornridge/reach"
	"buckthornridge/relay"
	"buckthornridge/routing"
	"buckthornridge/telemetry"
	"buckthornridge/upstream"
	"buckthornridge/upstream/exchange"
)

const (
	// maxForwarded bounds the requests of peers that are in progress here.
	maxForwarded = 256
	// forwardChunk is the size of the largest part of a body in one message. A response
	// that its caller doesn't read keeps up to peer.Window of them in memory.
	forwardChunk = 2 << 10
	// recentFailure is how long a failed attempt to reach an upstream answers for the
	// next one.
	recentFailure = time.Second
	// maxLendWait bounds how long a peer's request waits for its turn at an upstream.
	maxLendWait = 25 * time.Millisecond
)

// forwardServer sends peers' requests to upstreams over this VM's own connections. It
// never forwards them further.
type forwardServer struct {
	pool     *exchange.Pool
	tracker  *reach.Tracker
	fleet    *fleet
	protocol Protocol
	stopping *atomic.Bool
	// routes has this VM's requests in flight at the upstreams.
	routes *routing.Table
	// delay is how long this process lets ready work wait.
	delay *lag.Meter
	// signals gets what the upstreams' answers say.
	signals relay.Signals
	// active is the number of requests in progress, total that of all so far.
	active, total atomic.Int64
	// lent is the number of those that were sent on this VM's part of an upstream's slots.
	lent atomic.Int64
}

func (f *forwardServer) register(server *peer.Server) {
	server.Handle(methodReach, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var service string
		if err := decode(&service); err != nil {
			return nil, err
		}
		return !f.stopping.Load() && f.tracker.Reaches(service), nil
	})
	server.Handle(methodForward, func(ctx context.Context, decode func(any) error, send peer.Sender) (any, error) {
		var q forwardRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		q.arrived = time.Now().Add(-f.delay.Delay())
		f.total.Add(1)
		defer f.active.Add(-1)
		if f.active.Add(1) > maxForwarded {
			return nil, &forwardError{codeNoPath, "too many requests are in progress"}
		}
		return nil, f.serve(ctx, q, send)
	})
}

func (f *forwardServer) serve(ctx context.Context, q forwardRequest, send peer.Sender) error {
	if err := f.check(q); err != nil {
		return err
	}
	if q.Borrowed {
		release, ok := f.lend(ctx, q.Upstream, q.Tokens)
		if !ok {
			return &forwardError{codeNoRoom, "this VM's part of the upstream is full"}
		}
		defer release()
		f.lent.Add(1)
	}
	ctx, span := telemetry.StartSpan(telemetry.FromTraceparent(ctx, q.Trace), "upstream.forward", telemetry.Attr("id", q.ID))
	err := f.exchange(ctx, q, send)
	telemetry.EndSpan(span, err)
	return err
}

// lend takes one of this VM's requests in flight at an upstream for one of some tokens. It
// waits a little for its turn and for room.
func (f *forwardServer) lend(ctx context.Context, id string, tokens int64) (release func(), ok bool) {
	for waited := time.Duration(0); ; {
		if release, ok := f.routes.Lend(id, tokens); ok {
			return release, true
		}
		wait := f.routes.LendWait(id, tokens)
		if wait <= 0 || waited+wait > maxLendWait || pause.For(ctx, wait) != nil {
			return nil, false
		}
		waited += wait
	}
}

// check returns an error if the request must not be sent from here.
func (f *forwardServer) check(q forwardRequest) error {
	u, known := f.fleet.Upstream(q.Upstream)
	switch {
	case f.stopping.Load():
		return &forwardError{codeNoPath, "stopping"}
	case f.delay.Delay() > maxDelay:
		return &forwardError{codeNoPath, "this VM is overloaded"}
	case !known:
		return &forwardError{codeNoPath, "the upstream is not known here"}
	case u.Leaving || u.Address != q.Address:
		return &forwardError{codeNotSent, "the upstream is leaving or has another address"}
	case !f.tracker.Reaches(u.Service):
		return &forwardError{codeNoPath, "this VM does not reach the service"}
	case f.routes.Rests(q.Upstream):
		return &forwardError{codeNoRoom, "the upstream wants no requests of this VM now"}
	case f.tracker.Fails(q.Upstream, time.Now(), recentFailure):
		return &forwardError{codeNotSent, "the upstream was not reached just now"}
	}
	return nil
}

// prepare makes the last decision before a request is written. The time that it has waited
// here counts.
func (f *forwardServer) prepare(q forwardRequest, h http.Header) error {
	if q.RemainingMS == 0 {
		return nil
	}
	left := time.Duration(q.RemainingMS)*time.Millisecond - time.Since(q.arrived)
	if left <= 0 {
		return upstream.ErrAbandoned
	}
	f.protocol.WriteDeadline(h, left)
	return nil
}

// exchange sends the request and passes the response on.
func (f *forwardServer) exchange(ctx context.Context, q forwardRequest, send peer.Sender) error {
	u, _ := f.fleet.Upstream(q.Upstream)
	identity := f.fleet.identity
	o := observer{tracker: f.tracker, identity: identity, upstream: u, began: time.Now()}
	response, err := f.pool.Do(ctx, q.Address, &exchange.Request{
		Method: q.Method, Target: q.Target, Host: q.Host, Header: q.Header, Body: q.Body,
		FreshConnection: q.Fresh, Dialed: o.dialed, Closed: o.suspect,
		Prepare:         func(h http.Header) error { return f.prepare(q, h) },
		ProcessEnded:    processEnded(ctx, f.pool, f.fleet, u),
		Identify:        func() *exchange.Identification { return identity.identification(u, q.Identify, q.Process) },
		ResponseMatches: func(h http.Header) bool { return f.protocol.ResponseMatches(q.ID, h) },
	})
	switch {
	case errors.Is(err, upstream.ErrAbandoned):
		return &forwardError{codeAbandoned, err.Error()}
	case errors.Is(err, upstream.ErrNotSent):
		return &forwardError{codeNotSent, err.Error()}
	}
	o.exchanged(err)
	if err != nil {
		return f.broken(ctx, q, u, err)
	}
	defer response.Close()
	head := f.protocol.ReadHead(response.Status, response.Header)
	f.signals.Observe(u, head)
	if q.Borrowed && head.NotExecuted && !head.Misdirected {
		f.signals.Rejections.Rejected(u.ID, q.Tokens, head.RejectionLimit)
	}
	first := forwardMessage{Status: response.Status, Header: response.Header, Process: identity.processOf(u, response)}
	if err := send(first); err != nil {
		return err
	}
	chunk := make([]byte, forwardChunk)
	for {
		n, err := response.Read(chunk)
		if n > 0 {
			if err := send(forwardMessage{Body: chunk[:n]}); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return f.broken(ctx, q, u, err)
		}
	}
}

// broken returns the error of a failed exchange for the peer. Where the connection of a stream
// fell silent, it waits for the end of the run, which only this VM can ask for.
func (f *forwardServer) broken(ctx context.Context, q forwardRequest, u relay.Upstream, err error) error {
	end := upstream.RunEndOf(err)
	if end == upstream.RunUnknown && q.Identify != relay.AnyProcess {
		state := relay.AwaitRunEnd(ctx, func() relay.RunState { return runState(ctx, f.pool, f.protocol, u, q.ID) })
		if state == relay.NotRunning {
			end = upstream.RunEnded
		}
	}
	return &forwardError{runEndCode(end), err.Error()}
}
