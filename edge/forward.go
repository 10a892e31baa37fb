package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/httpconn"
	"buckthornridge/peer"
	"buckthornridge/reach"
	"buckthornridge/relay"
	"buckthornridge/telemetry"
	"buckthornridge/upstream"
)

const (
	// methodForward sends a request to an upstream and streams its response.
	methodForward = "upstream.forward"
	// methodReach asks a peer whether it reaches a service.
	methodReach = "upstream.reach"
	// maxForwarders is how many peers are tried for one send.
	maxForwarders = 3
	// maxLenders is how many peers are asked to send one request on their part of an
	// upstream's slots.
	maxLenders = 2
	// reachTimeout bounds one question to a peer.
	reachTimeout = 500 * time.Millisecond
)

// Codes of the errors with which a peer answers methodForward. All guarantee that it
// sent nothing to the upstream; any other error leaves that open.
const (
	// codeNoPath: the peer does not reach the service, or takes no requests.
	codeNoPath = "no_path"
	// codeNotSent: the peer could not connect to this upstream.
	codeNotSent = "not_sent"
	// codeNoRoom: the peer may send nothing to this upstream now.
	codeNoRoom = "no_room"
	// codeAbandoned: nobody waits for the response any more.
	codeAbandoned = "abandoned"
)

// runEndCodes are the codes for an exchange with the upstream that failed: they say what is
// known of the end of the run.
var runEndCodes = map[string]upstream.RunEnd{
	"run_unknown": upstream.RunUnknown, "run_ended": upstream.RunEnded, "run_cancelled": upstream.RunCancelled,
}

// runEndCode returns the code for a failed exchange.
func runEndCode(end upstream.RunEnd) string { return "run_" + end.String() }

// forwardError is an error of methodForward.
type forwardError struct {
	code  string
	cause string
}

// Error implements error.
func (e *forwardError) Error() string { return "forward: " + e.code + ": " + e.cause }

// Code implements peer.CodedError.
func (e *forwardError) Code() string { return e.code }

// forwardRequest is the request of methodForward.
type forwardRequest struct {
	ID       string      `msgpack:"i"` // of the caller's request
	Upstream string      `msgpack:"u"`
	Address  string      `msgpack:"a"`
	Method   string      `msgpack:"m"`
	Target   string      `msgpack:"t"`
	Host     string      `msgpack:"h"`
	Header   http.Header `msgpack:"e"`
	Body     []byte      `msgpack:"b"`
	Fresh    bool        `msgpack:"f"` // exchange.Request.FreshConnection
	// Identify and Process are those of relay.OutgoingRequest.
	Identify relay.Identify `msgpack:"n,omitempty"`
	Process  int64          `msgpack:"p,omitempty"`
	Borrowed bool           `msgpack:"w,omitempty"` // relay.OutgoingRequest.Borrowed
	// Tokens is the size of a borrowed request.
	Tokens int64  `msgpack:"k,omitempty"`
	Trace  string `msgpack:"c"` // traceparent
	// RemainingMS is the time until the response is due, in milliseconds; 0 if it is not
	// bounded.
	RemainingMS int64 `msgpack:"d,omitempty"`

	arrived time.Time // here
}

// forwardMessage is one message of the response: the head first, then parts of the body.
type forwardMessage struct {
	Status int         `msgpack:"s,omitempty"`
	Header http.Header `msgpack:"e,omitempty"`
	Body   []byte      `msgpack:"b,omitempty"`
	// Process is the one that answers; 0 if it is not known.
	Process int64 `msgpack:"p,omitempty"`
}

// forwarder sends requests through other VMs.
type forwarder struct {
	peers    *peers
	choice   *reach.Forwarders
	protocol Protocol
	// lenders returns the addresses of the peers that have a part of an upstream's slots.
	lenders func(upstream string) []string
	// sent counts requests that a peer sent and got a response to, failed all others.
	sent, failed atomic.Int64
	// borrowed counts requests that a peer sent on its part of an upstream's slots.
	borrowed atomic.Int64
}

// buildForwarding connects what sends requests through peers, and what sends theirs.
func (p *Process) buildForwarding() {
	protocol := p.adapter.Protocol
	p.forward = &forwarder{
		peers: p.peers, choice: reach.NewForwarders(), protocol: protocol,
		lenders: func(id string) []string { return p.peers.lenders(p.fleet.holders(id)) },
	}
	p.routes.AllowBorrowing()
	p.forwarded = &forwardServer{
		pool: p.pool, tracker: p.paths, fleet: p.fleet, protocol: protocol, stopping: &p.stopping,
		routes: p.routes, signals: p.fleet.signals(), delay: &p.delay,
	}
	p.forwarded.register(p.peerSrv)
}

// Send sends a request through a peer. The error is upstream.ErrNotSent only if no peer
// has sent a byte of it.
func (f *forwarder) Send(ctx context.Context, out relay.OutgoingRequest) (relay.Response, error) {
	hop, span := telemetry.StartChildSpan(ctx, "forward")
	response, err := f.send(hop, out)
	telemetry.EndSpan(span, err)
	if err != nil {
		f.failed.Add(1)
		return nil, err
	}
	f.sent.Add(1)
	return response, nil
}

func (f *forwarder) send(ctx context.Context, out relay.OutgoingRequest) (relay.Response, error) {
	cause := error(eris.New("no VM is known that reaches the service"))
	for range maxForwarders {
		address, found := f.choice.Pick(out.Upstream.Service, f.peers.otherAddresses(), time.Now())
		if !found {
			break
		}
		response, err := f.sendThrough(ctx, address, out)
		if err == nil {
			return response, nil
		}
		elsewhere := errors.Is(err, errDeclined) || errors.Is(err, upstream.ErrNoRoom)
		if !elsewhere || !errors.Is(err, upstream.ErrNotSent) || ctx.Err() != nil {
			return nil, err
		}
		cause = err
	}
	return nil, upstream.WrapError("forward", out.Upstream.Address, upstream.ErrNotSent, cause)
}

// sendOnOtherPart has a peer send a request on its part of the upstream's slots. If none has
// sent a byte of it the error is upstream.ErrNoRoom, ErrNoLender if none could be asked, or
// ErrNotSent alone if the upstream was not reached.
func (f *forwarder) sendOnOtherPart(ctx context.Context, out relay.OutgoingRequest) (relay.Response, error) {
	lenders := f.lenders(out.Upstream.ID)
	cause, kind := error(eris.New("no VM is known that has a part")), upstream.ErrNoLender
	for tries := 0; tries < maxLenders && len(lenders) > 0 && ctx.Err() == nil; tries++ {
		i := rand.IntN(len(lenders))
		response, err := f.sendThrough(ctx, lenders[i], out)
		if err == nil {
			f.borrowed.Add(1)
		}
		if err == nil || !errors.Is(err, upstream.ErrNotSent) {
			return response, err
		}
		noRoom := errors.Is(err, upstream.ErrNoRoom)
		if !noRoom && !errors.Is(err, errDeclined) {
			return nil, err // the peer could not connect to the upstream
		}
		if cause = err; noRoom {
			kind = upstream.ErrNoRoom
		}
		lenders = slices.Delete(lenders, i, i+1)
	}
	return nil, upstream.WrapError("borrow", out.Upstream.Address, upstream.ErrNotSent, errors.Join(kind, cause))
}

// errDeclined reports that a peer took no request for the service.
var errDeclined = eris.New("the peer declined")

// sendThrough sends a request through one peer and reads the head of the response.
func (f *forwarder) sendThrough(ctx context.Context, address string, out relay.OutgoingRequest) (relay.Response, error) {
	service, header := out.Upstream.Service, f.protocol.WriteHeader(out)
	if err := f.protocol.prepare(ctx, out, header); err != nil {
		return nil, upstream.WrapError("forward", address, upstream.ErrNotSent, err)
	}
	hop, cancel := context.WithCancel(ctx)
	end := f.choice.Begin(address)
	release := func() { end(); cancel() }
	stream, err := f.open(hop, cancel, address, out, header)
	if err != nil {
		release()
		if ctx.Err() == nil {
			f.choice.Declined(service, address, time.Now())
		}
		return nil, upstream.WrapError("forward", address, upstream.ErrNotSent, errors.Join(errDeclined, err))
	}
	r := &forwardedResponse{stream: stream, address: address, release: release}
	if err := r.readHead(f.protocol); err != nil {
		r.Close()
		kind, declined := classifyForward(err)
		if declined && ctx.Err() == nil {
			f.choice.Declined(service, address, time.Now())
			err = errors.Join(errDeclined, err)
		}
		switch remoteCode(err) {
		case codeNoRoom:
			err = errors.Join(upstream.ErrNoRoom, err)
		case codeAbandoned:
			err = errors.Join(upstream.ErrAbandoned, err)
		}
		return nil, upstream.WrapError("forward", address, kind, withRunEnd(err))
	}
	f.choice.Accepted(service, address, time.Now())
	return r, nil
}

// classifyForward returns whether a request that a peer did not answer may have been sent,
// and whether the peer is to be avoided for a while.
func classifyForward(err error) (kind error, declined bool) {
	var remote *peer.RemoteError
	if !errors.As(err, &remote) {
		return upstream.ErrBroken, true
	}
	switch remote.Code {
	case codeNoPath, peer.CodeUnknownMethod:
		return upstream.ErrNotSent, true
	case codeNotSent, codeNoRoom, codeAbandoned:
		return upstream.ErrNotSent, false
	}
	return upstream.ErrBroken, false
}

// withRunEnd adds to the error of a hop what is known of the end of the run. A peer that is
// lost cancels the run, since it loses this VM too.
func withRunEnd(err error) error {
	var remote *peer.RemoteError
	if !errors.As(err, &remote) {
		return upstream.WithRunEnd(errors.Join(upstream.ErrRouterLost, err), upstream.RunCancelled)
	}
	end, said := runEndCodes[remote.Code]
	if !said {
		end = upstream.RunUnknown
	}
	return upstream.WithRunEnd(err, end)
}

// remoteCode returns the code of the error that a peer answered with; empty if it did not
// answer.
func remoteCode(err error) string {
	var remote *peer.RemoteError
	if !errors.As(err, &remote) {
		return ""
	}
	return remote.Code
}

// open sends the request to a peer, to which a connection must be open within
// reach.BriefDial. After an error nothing was sent.
func (f *forwarder) open(ctx context.Context, cancel context.CancelFunc, address string, out relay.OutgoingRequest, header http.Header) (peer.Stream, error) {
	timer := time.AfterFunc(reach.BriefDial, cancel)
	defer timer.Stop()
	return f.peers.client.Open(ctx, address, methodForward, &forwardRequest{
		ID: out.Request.ID, Upstream: out.Upstream.ID, Address: out.Upstream.Address,
		Method: out.Request.Method, Target: out.Request.Target, Host: out.Request.Authority,
		Header: header, Body: out.Request.Body, Fresh: out.FreshConnection,
		Identify: out.Identify, Process: out.Process, Borrowed: out.Borrowed, Tokens: out.Request.Size.Ceiling(),
		Trace: telemetry.Traceparent(ctx), RemainingMS: remainingMS(out.Deadline),
	})
}

// remainingMS returns the time until a deadline, in milliseconds; 0 without one.
func remainingMS(deadline time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// poll asks one peer whether it reaches a service.
func (f *forwarder) poll(ctx context.Context, service string) {
	address, found := f.choice.PickProbe(service, f.peers.otherAddresses(), time.Now())
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	var reaches bool
	err := f.peers.client.Call(ctx, address, methodReach, service, &reaches)
	if err != nil {
		klog.V(1).Infof("step=ask_path peer=%s service=%s result=failed err=%q", address, service, err.Error())
	}
	if err == nil && reaches {
		f.choice.Accepted(service, address, time.Now())
	} else {
		f.choice.Declined(service, address, time.Now())
	}
}

// forwardedResponse is an upstream's response that a peer passes on.
type forwardedResponse struct {
	stream  peer.Stream
	address string // of the peer
	head    relay.Head
	rest    []byte // of the last message
	release func()
}

func (r *forwardedResponse) readHead(protocol Protocol) error {
	var m forwardMessage
	if err := r.stream.Next(&m, nil); err != nil {
		return err
	}
	if err := httpconn.CheckHead(m.Status, m.Header); err != nil {
		return eris.Wrap(err, "forward")
	}
	r.head = protocol.ReadHead(m.Status, m.Header)
	r.head.Via, r.head.Process = r.address, m.Process
	return nil
}

// Head implements relay.Response.
func (r *forwardedResponse) Head() relay.Head { return r.head }

// Read implements relay.Response.
func (r *forwardedResponse) Read(b []byte) (int, error) {
	for len(r.rest) == 0 {
		var m forwardMessage
		err := r.stream.Next(&m, nil)
		if err == io.EOF {
			return 0, io.EOF
		}
		if err != nil {
			return 0, upstream.WrapError("read response", r.address, upstream.ErrBroken, withRunEnd(err))
		}
		r.rest = m.Body
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Close implements relay.Response. It ends the exchange at the peer unless it has ended.
func (r *forwardedResponse) Close() {
	if err := r.stream.Close(); err != nil {
		klog.V(1).Infof("step=close_forward peer=%s err=%q", r.address, err.Error())
	}
	r.release()
}
