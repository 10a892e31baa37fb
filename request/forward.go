package request

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"buckthornridge/membership"
	"buckthornridge/peer"
	"buckthornridge/telemetry"
)

// methodRun is the peer method that forwards a request to another router.
const methodRun = "request.run"

// Frontend receives callers' requests on a router. It forwards each one to its
// preferred router, falls back to the next ones, and finally executes the request
// on its own router.
type Frontend struct {
	Self     string // this VM's id
	Region   string
	Executor *Executor
	Peers    peer.Caller
	View     func() *membership.View
	// Busy reports whether the request's budget is a busy one, which several
	// routers draw on.
	Busy func(*Request) bool
	// Suspect is called with direct evidence that a member does not respond.
	Suspect func(id string, cause error)
}

// maxForwards is the maximum number of other routers that are tried.
const maxForwards = 2

// Do executes the request on its preferred router and passes every token to emit
// once and in order, even if a failure moves the request to another router.
func (f *Frontend) Do(ctx context.Context, r *Request, emit func(Update) error) (Outcome, error) {
	relay := &tokenRelay{emit: emit}
	deadline := time.Now().Add(r.Timeout)
	tried := 0
	sent := false // a router whose connection broke may execute the request
	for _, member := range PreferredRouters(f.View(), f.Region, r, f.Busy(r)) {
		if member.ID == f.Self || tried == maxForwards {
			break
		}
		tried++
		outcome, err := f.forward(ctx, member, r, relay)
		if !f.shouldTryNext(ctx, member, relay, outcome, err) {
			return relay.correctRunState(outcome, sent), relay.preferOwnError(err)
		}
		sent = sent || err != nil && !errors.Is(err, peer.ErrUnreachable)
		r.Hint = relay.hint
		r.Timeout = time.Until(deadline)
	}
	relay.rewind()
	outcome, err := f.Executor.Do(ctx, r, relay.pass)
	return relay.correctRunState(outcome, sent), relay.preferOwnError(err)
}

// shouldTryNext reports whether the next preferred router is to be tried: after a
// failed connection or if the router is draining. Both are safe, because the next
// router joins or resumes the run, or finds the claim.
func (f *Frontend) shouldTryNext(ctx context.Context, member membership.Member, relay *tokenRelay, outcome Outcome, err error) bool {
	if ctx.Err() != nil || relay.failure != nil {
		return false
	}
	if err != nil {
		f.Suspect(member.ID, err)
		return true
	}
	return outcome.Problem != nil && outcome.Problem.Name == ProblemDraining
}

// forward sends the request to another router and relays its updates.
func (f *Frontend) forward(ctx context.Context, member membership.Member, r *Request, relay *tokenRelay) (Outcome, error) {
	relay.rewind()
	ctx, span := telemetry.StartSpan(ctx, "request.forward", telemetry.Attr("home", member.ID))
	outcome, err := f.relayFrom(ctx, member, r, relay)
	telemetry.EndSpan(span, err)
	return outcome, err
}

// relayFrom reads the other router's updates to the end.
func (f *Frontend) relayFrom(ctx context.Context, member membership.Member, r *Request, relay *tokenRelay) (Outcome, error) {
	ctx, acknowledged, cancel := withAckTimeout(ctx)
	defer cancel()
	r.Trace = telemetry.Traceparent(ctx)
	stream, err := f.Peers.Open(ctx, member.PeerAddress, methodRun, r)
	if err != nil {
		return Outcome{}, err
	}
	defer stream.Close()
	for {
		var update Update
		var outcome Outcome
		err := stream.Next(&update, &outcome)
		switch {
		case err == io.EOF:
			return outcome, nil
		case err != nil:
			return Outcome{}, ackTimeoutError(ctx, err)
		}
		acknowledged()
		if err := relay.pass(update); err != nil {
			return Outcome{}, err
		}
	}
}

// Register adds the methods that other routers call, and starts sending them hints
// about the streams that this router dispatches. A forwarded request is always
// executed here and never forwarded again, so that it can't loop.
func (f *Frontend) Register(s *peer.Server) {
	f.Executor.onDispatch = f.sendHint
	f.registerHints(s)
	s.Handle(methodRun, func(ctx context.Context, decode func(any) error, send peer.Sender) (any, error) {
		var r Request
		if err := decode(&r); err != nil {
			return nil, err
		}
		if (r.Generate == nil) == (r.Call == nil) {
			return nil, eris.Wrap(peer.ErrMalformed, "request.run: exactly one of generate and call must be set")
		}
		return f.Executor.serve(telemetry.FromTraceparent(ctx, r.Trace), &r, send)
	})
}

// serve executes a request that another router forwarded. It acknowledges the
// request at once, so that the other router can tell a frozen router from one that
// has queued the request.
func (e *Executor) serve(ctx context.Context, r *Request, send peer.Sender) (Outcome, error) {
	if err := send(Update{Accepted: true}); err != nil {
		return Outcome{}, err
	}
	return e.Do(ctx, r, func(u Update) error { return send(u) })
}

// ackTimeout is the timeout for a router's acknowledgement of a forwarded request,
// after which the next router is tried. The socket of a frozen VM stays open, and
// the connection itself would fail only after seconds.
const ackTimeout = 500 * time.Millisecond

// errNotAcknowledged reports that a router did not acknowledge a forwarded request
// in time.
var errNotAcknowledged = eris.New("request: the other router did not acknowledge the request")

// withAckTimeout returns a context that ends after ackTimeout unless acknowledged
// is called before.
func withAckTimeout(parent context.Context) (ctx context.Context, acknowledged func(), cancel func()) {
	ctx, stop := context.WithCancelCause(parent)
	timer := time.AfterFunc(ackTimeout, func() { stop(errNotAcknowledged) })
	return ctx, func() { timer.Stop() }, func() { timer.Stop(); stop(nil) }
}

// ackTimeoutError returns errNotAcknowledged in place of an error that the timeout
// caused.
func ackTimeoutError(ctx context.Context, err error) error {
	if context.Cause(ctx) == errNotAcknowledged {
		return errNotAcknowledged
	}
	return err
}

// errAnswersDiffer reports that two routers gave different answers to one request.
var errAnswersDiffer = eris.New("request: another router gave a different answer after part of the first was sent")

// tokenRelay passes the updates of one request to its caller, each token once.
// After a change of router the answer is replayed from its start: the replayed
// tokens that the caller already has must have the same hash, or the answer ends
// with an error.
type tokenRelay struct {
	emit       func(Update) error
	sent       int64  // number of tokens passed on
	sentHash   uint64 // of the texts of those tokens
	position   int64  // in the current replay
	replayHash uint64
	hint       *Hint
	failure    error // the error of emit, or errAnswersDiffer
}

// rewind starts a replay.
func (r *tokenRelay) rewind() { r.position, r.replayHash = 0, 0 }

func (r *tokenRelay) pass(u Update) error {
	if u.Accepted {
		return nil
	}
	if u.Hint != nil {
		r.hint = u.Hint
		return nil
	}
	if u.Position != r.position {
		return eris.Errorf("request: received token %d, expected token %d", u.Position, r.position)
	}
	r.position++
	r.replayHash = extendHash(r.replayHash, u.Text)
	switch {
	case r.position < r.sent:
		return nil
	case r.position == r.sent:
		if r.replayHash != r.sentHash {
			r.failure = errAnswersDiffer
		}
		return r.failure
	}
	r.sent, r.sentHash = r.position, r.replayHash
	r.failure = r.emit(u)
	return r.failure
}

// correctRunState corrects the "not run" of a later router, which speaks for that
// router alone: an earlier one may have executed the request if its connection
// broke after the request was sent.
func (r *tokenRelay) correctRunState(o Outcome, sent bool) Outcome {
	if o.Problem == nil || o.Problem.RunState == Ran || !sent {
		return o
	}
	p := *o.Problem
	p.RunState = Unknown
	if r.sent > 0 {
		p.RunState = Ran
	}
	o.Problem = &p
	return o
}

// preferOwnError returns the relay's own error in place of one that it caused.
func (r *tokenRelay) preferOwnError(err error) error {
	if r.failure != nil && err != nil && !errors.Is(err, r.failure) {
		return r.failure
	}
	return err
}

// extendHash extends the hash of a sequence of texts by one text.
func extendHash(hash uint64, text string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(hash)
	_, _ = d.WriteString(text)
	return d.Sum64()
}
