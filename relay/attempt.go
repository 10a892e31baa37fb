package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"buckthornridge/buffers"
	"buckthornridge/routing"
	"buckthornridge/upstream"
)

// maxBuffered bounds a whole response, which is buffered before it is forwarded: only a
// response that was not yet forwarded can be replaced by that of a second upstream when
// it breaks off.
const maxBuffered = 4 << 20

// attempt is one attempt of a request at one upstream.
type attempt struct {
	call      *call
	choice    *routing.Choice
	target    Upstream
	startedAt time.Time
	firstByte time.Duration // time to the first event or to the whole response
	events    int           // forwarded events
	lastEvent time.Time     // when the last one was forwarded
}

// send sends the request and forwards the response. It reports whether the request is
// done.
func (t *attempt) send(ctx context.Context) bool {
	r := t.call
	response, err := r.relay.Sender.Send(ctx, t.outgoing())
	if errors.Is(err, upstream.ErrNotSent) {
		t.reportOutcome(unsentOutcome(err))
		if errors.Is(err, upstream.ErrAbandoned) && r.abandoned(ctx) {
			r.giveUp(ctx, err.Error())
			return true
		}
		noLender := errors.Is(err, upstream.ErrNoLender)
		if !noLender { // it may get the request without a lender
			r.exclude(t.target.ID)
			r.noteUnsent(t.target.ID, err)
		}
		if noLender || errors.Is(err, upstream.ErrNoRoom) {
			r.noRoom++
		}
		return r.giveUpAtLimit(ctx)
	}
	r.sends++
	r.record.Sends = r.sends
	r.record.Upstreams = append(r.record.Upstreams, t.target.ID)
	r.record.Versions = append(r.record.Versions, t.target.Version)
	if err != nil {
		r.mayHaveRun = true
		return t.handleBroken(ctx, err)
	}
	defer response.Close()
	return t.handleResponse(ctx, response)
}

// unsentOutcome returns what a request that was not sent tells about the upstream.
func unsentOutcome(err error) routing.OutcomeKind {
	switch {
	case errors.Is(err, upstream.ErrConnectionLimit), errors.Is(err, upstream.ErrNoRoom):
		return routing.OutcomeFull
	case errors.Is(err, upstream.ErrNoLender):
		return routing.OutcomeNotLent
	case errors.Is(err, upstream.ErrOtherProcess), errors.Is(err, upstream.ErrAbandoned), errors.Is(err, upstream.ErrDelayed):
		return routing.OutcomeCancelled
	}
	return routing.OutcomeUnreachable
}

func (t *attempt) outgoing() OutgoingRequest {
	r := t.call
	certainty, process := t.identify()
	return OutgoingRequest{
		Request:         r.request,
		Upstream:        t.target,
		Workspace:       r.workspace.Name,
		Priority:        r.priority,
		Remaining:       r.remaining(),
		Deadline:        r.deadline,
		Wanted:          t.wanted,
		LastEventID:     r.lastEventID,
		FreshConnection: !r.route.Kind.Retryable(),
		Identify:        certainty,
		Process:         process,
		Borrowed:        t.choice.Borrowed,
		FetchFrom:       t.choice.FetchFrom,
	}
}

// reportOutcome reports the attempt's outcome to routing.
func (t *attempt) reportOutcome(kind routing.OutcomeKind) {
	r := t.call
	t.choice.Done(routing.Outcome{
		Kind:         kind,
		FirstToken:   t.firstByte,
		Total:        time.Since(t.startedAt),
		PromptTokens: r.request.Size.Prompt,
		CachedTokens: r.request.Size.Prompt,
	})
}

// brokenOutcome returns what a broken exchange tells about the upstream: nothing, if the
// caller disconnected or the deadline has passed.
func brokenOutcome(ctx context.Context) routing.OutcomeKind {
	if ctx.Err() != nil {
		return routing.OutcomeCancelled
	}
	return routing.OutcomeBroken
}

// handleBroken handles an exchange that failed after the request was sent.
func (t *attempt) handleBroken(ctx context.Context, err error) bool {
	r := t.call
	t.reportBroken(ctx)
	t.reportOutcome(brokenOutcome(ctx))
	r.exclude(t.target.ID)
	if t.repeat(ctx, err) {
		return false
	}
	r.giveUp(ctx, err.Error())
	return true
}

// handleResponse decides by the head of a response what is done with it.
func (t *attempt) handleResponse(ctx context.Context, response Response) bool {
	head := response.Head()
	t.call.record.Via = head.Via
	t.call.relay.Observe(t.target, head)
	switch {
	case head.NotExecuted:
		return t.handleRefusal(ctx, head)
	case head.Altered, isSuccess(head.Status) && !head.Signed, t.isOtherProcess(head):
		t.call.mayHaveRun = true
		return t.handleBroken(ctx, upstream.ErrProtocol)
	}
	t.call.mayHaveRun = true
	if head.Status >= http.StatusInternalServerError && t.call.repeat(ctx, true, Repeat{repeatFailed, upstream.RunEnded}) {
		t.reportOutcome(routing.OutcomeErrored)
		t.call.exclude(t.target.ID)
		return false
	}
	switch {
	case isSuccess(head.Status) && t.call.route.Kind.Streams():
		return t.stream(ctx, response)
	case t.call.streamStarted:
		// The caller has the head and some events of a response. Another whole response
		// would make it look complete.
		kind := routing.OutcomeCancelled
		if head.Status >= http.StatusInternalServerError {
			kind = routing.OutcomeErrored
		}
		t.reportOutcome(kind)
		t.call.giveUp(ctx, "the upstream that was to resume the stream answered "+strconv.Itoa(head.Status))
		return true
	}
	return t.forwardWhole(ctx, response)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// handleRefusal handles a response in which the upstream guarantees that it did not run
// the request.
func (t *attempt) handleRefusal(ctx context.Context, head Head) bool {
	r := t.call
	kind := routing.OutcomeFull
	if head.Misdirected {
		kind = routing.OutcomeReplaced
		r.misdirected++
	} else if !t.choice.Borrowed { // the router that sent it records the rejection
		r.relay.Rejections.Rejected(t.target.ID, t.choice.Tokens, head.RejectionLimit)
	}
	t.reportOutcome(kind)
	r.exclude(t.target.ID)
	if !head.Misdirected {
		r.noteRejected(t.target.ID)
	}
	if r.repeat(ctx, false, refusedRepeat) || r.waitForRetry(ctx) {
		return false
	}
	r.giveUp(ctx, "the upstream took no more work")
	return true
}

// forwardWhole reads a whole response and forwards it.
func (t *attempt) forwardWhole(ctx context.Context, response Response) bool {
	r := t.call
	head := response.Head()
	body := buffers.New(r.relay.Buffers, maxBuffered)
	defer body.Free()
	if err := body.ReadAll(responseReader{response}); err != nil {
		return t.handleBroken(ctx, asTooLarge(err))
	}
	t.firstByte = time.Since(t.startedAt)
	kind := routing.OutcomeOK
	if head.Status >= http.StatusInternalServerError {
		kind = routing.OutcomeErrored
	}
	t.reportOutcome(kind)
	if isSuccess(head.Status) {
		t.reportCompleted()
	}
	r.record.First = time.Since(r.request.Arrived)
	r.record.Outcome, r.record.Status = "answered", head.Status
	r.writer.WriteResponse(head.Status, head.Header, body.Bytes())
	return true
}

// asTooLarge names the error of a response that exceeds a bound.
func asTooLarge(err error) error {
	if errors.Is(err, buffers.ErrTooLong) || errors.Is(err, buffers.ErrFull) {
		return errors.Join(upstream.ErrTooLarge, err)
	}
	return err
}

// responseReader makes an io.Reader of a response.
type responseReader struct{ response Response }

// Read implements io.Reader.
func (r responseReader) Read(b []byte) (int, error) { return r.response.Read(b) }
