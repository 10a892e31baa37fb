package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"buckthornridge/budget/allowance"
	"buckthornridge/reach"
	"buckthornridge/relay"
	"buckthornridge/telemetry"
	"buckthornridge/traffic"
	"buckthornridge/upstream"
	"buckthornridge/upstream/exchange"
)

// Protocol translates between callers' and upstreams' HTTP messages and the relay's
// requests, responses and problems.
type Protocol struct {
	ReadRequest  func(r *http.Request) (*relay.Request, *relay.Problem)
	WriteProblem func(h http.Header, p *relay.Problem)
	WriteHeader  func(out relay.OutgoingRequest) http.Header
	// WriteDeadline sets how long the upstream may take for its response.
	WriteDeadline   func(h http.Header, remaining time.Duration)
	ReadHead        func(status int, h http.Header) relay.Head
	ResponseMatches func(id string, h http.Header) bool
	// ProcessQuestion is the path at which an upstream says which process it is, and
	// ReadProcess decodes its answer (relay.Upstream.Start).
	ProcessQuestion string
	ReadProcess     func(status int, body []byte) (process int64, ok bool)
	// ReadRuns decodes from the same answer the ids of the requests that the upstream runs, or
	// false if it does not say.
	ReadRuns func(status int, body []byte) (ids []string, ok bool)
}

// prepare makes the last decision before a request is written, and tells the upstream the
// time that is left by then.
func (p Protocol) prepare(ctx context.Context, out relay.OutgoingRequest, h http.Header) error {
	if !out.Deadline.IsZero() {
		p.WriteDeadline(h, time.Until(out.Deadline))
	}
	if out.Wanted == nil {
		return nil
	}
	return out.Wanted(ctx)
}

// sender sends requests over pooled connections, and records what they show of the paths
// to the upstreams.
type sender struct {
	pool     *exchange.Pool
	protocol Protocol
	tracker  *reach.Tracker
	identity *identities
	fleet    *fleet
	link     *callerLink
}

// processEndTimeout bounds the connection that shows whether an upstream's process has
// ended.
const processEndTimeout = 300 * time.Millisecond

// processEnded returns the question whether an upstream's process has ended other than by
// plan. Another one may have its address by then. The connection that answers it is kept for
// later requests.
func processEnded(ctx context.Context, pool *exchange.Pool, fleet *fleet, u relay.Upstream) func() bool {
	return func() bool {
		if listed, known := fleet.Upstream(u.ID); !known || listed.Leaving && !listed.LeavesUnlisted || listed.Address != u.Address {
			return false
		}
		ctx, cancel := context.WithTimeout(ctx, processEndTimeout)
		defer cancel()
		question := fleet.identity.anyConnection(u)
		if question == nil {
			return errors.Is(pool.Connect(ctx, u.Address), syscall.ECONNREFUSED)
		}
		process, err := pool.Identify(ctx, u.Address, question)
		return errors.Is(err, syscall.ECONNREFUSED) || err == nil && process != 0 && process != u.Start
	}
}

// sendOver sends a request over the VM's own connections, in the way that the path says.
func (s sender) sendOver(ctx context.Context, out relay.OutgoingRequest, path reach.Path) (relay.Response, error) {
	hop, span := telemetry.StartChildSpan(ctx, "upstream")
	o := observer{tracker: s.tracker, identity: s.identity, upstream: out.Upstream, began: time.Now()}
	if err := s.awaitTurn(hop, out); err != nil {
		telemetry.EndSpan(span, err)
		return nil, err
	}
	var connectTimeout time.Duration
	if path == reach.DirectBriefly {
		connectTimeout = reach.BriefDial
	}
	response, err := s.pool.Do(hop, out.Upstream.Address, &exchange.Request{
		Method:          out.Request.Method,
		Target:          out.Request.Target,
		Host:            out.Request.Authority,
		Header:          s.protocol.WriteHeader(out),
		Body:            out.Request.Body,
		FreshConnection: out.FreshConnection,
		OpenOnly:        path == reach.OpenOnly,
		ConnectTimeout:  connectTimeout,
		Dialed:          o.dialed,
		Prepare:         func(h http.Header) error { return s.protocol.prepare(ctx, out, h) },
		Closed:          o.suspect,
		ProcessEnded:    processEnded(ctx, s.pool, s.fleet, out.Upstream),
		Identify: func() *exchange.Identification {
			return s.identity.identification(out.Upstream, out.Identify, out.Process)
		},
		ResponseMatches: func(h http.Header) bool { return s.protocol.ResponseMatches(out.Request.ID, h) },
	})
	telemetry.EndSpan(span, err)
	if !errors.Is(err, upstream.ErrNotSent) {
		o.exchanged(err)
	}
	if err != nil {
		return nil, err
	}
	head := s.protocol.ReadHead(response.Status, response.Header)
	head.Process = s.identity.processOf(out.Upstream, response)
	return pooledResponse{response, head, o}, nil
}

// awaitTurn waits until the VM's link has room for a request.
func (s sender) awaitTurn(ctx context.Context, out relay.OutgoingRequest) error {
	err := s.link.outgoingPacer().Acquire(ctx, traffic.Transfer{
		Class: out.Priority, Flow: out.Workspace, Deadline: out.Deadline, Bytes: int64(len(out.Request.Body)),
	})
	if err != nil {
		return upstream.WrapError("await turn on the link", out.Upstream.Address, upstream.ErrNotSent, errors.Join(upstream.ErrAbandoned, err))
	}
	return nil
}

// pooledResponse is an upstream's response on a pooled connection.
type pooledResponse struct {
	*exchange.Response
	head     relay.Head
	observer observer
}

// Read implements relay.Response.
func (a pooledResponse) Read(b []byte) (int, error) {
	n, err := a.Response.Read(b)
	if err != nil && err != io.EOF {
		a.observer.exchanged(err)
	}
	return n, err
}

// Head implements relay.Response.
func (a pooledResponse) Head() relay.Head { return a.head }

// budgets reserves from this process's grants.
type budgets struct{ manager *allowance.Manager }

// Reserve implements relay.Budgets.
func (b budgets) Reserve(ctx context.Context, w relay.Workspace, ceiling int64) (relay.Reservation, error) {
	r, err := b.manager.Reserve(ctx, w.Name, w.Prepaid, ceiling)
	if err == nil {
		return r, nil
	}
	return nil, budgetProblem(err)
}

// Screen implements relay.Budgets.
func (b budgets) Screen(w relay.Workspace, ceiling int64) (bool, error) {
	covered, err := b.manager.Screen(w.Name, w.Prepaid, ceiling)
	if err != nil {
		return false, budgetProblem(err)
	}
	return covered, nil
}

// budgetProblem returns the problem of a request that was not admitted.
func budgetProblem(err error) *relay.Problem {
	p := &relay.Problem{Status: http.StatusServiceUnavailable, Name: "budget_in_doubt", Detail: err.Error()}
	var refused *allowance.RefusedError
	if errors.As(err, &refused) {
		p.RetryAfter = refused.RetryAfter
		p.Cause = string(refused.Cause)
		if refused.Certain {
			p.Status, p.Name = http.StatusPaymentRequired, "budget_exhausted"
		}
	}
	return p
}
