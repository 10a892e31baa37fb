package relay

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/routing"
	"buckthornridge/upstream"
)

// Guards against work for a caller whose close no goroutine has read yet.
func TestRequestOfACallerThatLeftIsNotBegun(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, Idempotent, answered("done"))
		q := b.request()
		q.Left = func() bool { return true }
		got := b.serve(q)
		is.True(got.aborted)
		is.Equal(len(b.sent), 0)
		is.Equal(b.reservedTokens, int64(0))
		is.Equal(b.records[0].Outcome, "caller_left")
	})
}

// Guards against a request that is begun or sent on after its deadline, however long it
// waited before the process read it.
func TestRequestPastItsDeadlineIsNotBegun(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, Idempotent, answered("done"))
		q := b.request()
		q.Arrived = q.Arrived.Add(-time.Second)
		got := b.serve(q)
		is.Equal(got.status, 503)
		is.Equal(len(b.sent), 0)
		is.Equal(b.records[0].Outcome, "not_run_in_time")
	})
}

// Guards against a second attempt for a caller that left during the first, while the
// context does not know of it yet.
func TestNoRetryForACallerThatLeft(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		left := false
		b := newHarness(t, Idempotent)
		q := b.request()
		q.Left = func() bool { return left }
		b.relay.Sender = senderFunc(func(ctx context.Context, out OutgoingRequest) (Response, error) {
			if err := out.Wanted(ctx); err != nil {
				return nil, upstream.WrapError("prepare", "x", upstream.ErrNotSent, err)
			}
			left = true
			return &scriptedResponse{step: refusing(), body: strings.NewReader("")}, nil
		})
		got := b.serve(q)
		is.True(got.aborted)
		is.Equal(b.records[0].Sends, 1)
		is.Equal(b.records[0].Outcome, "caller_left")
	})
}

// senderFunc is a Sender.
type senderFunc func(context.Context, OutgoingRequest) (Response, error)

// Send implements Sender.
func (f senderFunc) Runs(context.Context, Upstream, string) RunState { return NotRunning }

func (f senderFunc) Send(ctx context.Context, out OutgoingRequest) (Response, error) {
	return f(ctx, out)
}

// Guards against requests that arrive together after they waited for a connection, though
// limits had spread them.
func TestOldChoiceIsNotSent(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, Idempotent)
		r := &call{relay: b.relay, request: b.request(), deadline: time.Now().Add(time.Minute)}
		attempt := &attempt{call: r, startedAt: time.Now()}
		is.NoErr(attempt.wanted(t.Context()))
		time.Sleep(maxDecisionAge + time.Millisecond)
		err := attempt.wanted(t.Context())
		is.True(errors.Is(err, upstream.ErrDelayed))
		is.Equal(unsentOutcome(upstream.WrapError("prepare", "x", upstream.ErrNotSent, err)), routing.OutcomeCancelled)
	})
}

// Guards against a send between the end of the context and the deadline's timer.
func TestEndedRequestIsNotWanted(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, Idempotent)
		r := &call{relay: b.relay, request: b.request(), deadline: time.Now()}
		attempt := &attempt{call: r, startedAt: time.Now()}
		is.True(errors.Is(attempt.wanted(t.Context()), upstream.ErrAbandoned))
		r.deadline = time.Now().Add(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(errors.Is(attempt.wanted(ctx), upstream.ErrAbandoned))
	})
}
