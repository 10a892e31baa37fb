package request

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget"
	"buckthornridge/telemetry"
	"buckthornridge/upstream"
)

// call executes a request to a service.
func (e *Executor) call(ctx context.Context, run *Run, r *Request) {
	if problem := e.checkQuarantine(r); problem != nil {
		run.end(Refused, Outcome{Problem: problem})
		return
	}
	callerCtx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	release, err := e.admission.Admit(callerCtx, r)
	if err != nil {
		run.end(Refused, refusalOutcome(err))
		return
	}
	defer release()
	run.enter(Admitted)
	reservation, err := e.budgets.Reserve(callerCtx, r)
	if err != nil {
		run.end(Refused, refusalOutcome(err))
		return
	}
	run.enter(Reserved)
	if r.Call.Idempotent {
		e.callIdempotent(ctx, run, r, reservation)
		return
	}
	e.callAtMostOnce(ctx, callerCtx, run, r, reservation)
}

// callAtMostOnce executes an at-most-once call under a claim. callerCtx ends at
// the caller's deadline, after which no claim is acquired.
func (e *Executor) callAtMostOnce(ctx, callerCtx context.Context, run *Run, r *Request, reservation Reservation) {
	claimCtx, cancel := context.WithTimeout(callerCtx, e.settings.ClaimWait)
	defer cancel()
	row, acquired, err := e.claims.acquire(claimCtx, r.Key, r.Digest)
	if err != nil {
		reservation.Release()
		e.spawn(func() { e.revoke(r.Key, row) })
		run.end(Refused, problemOutcome(ProblemPlatformUnavailable, NotRun, 2*time.Second,
			"the platform's table did not record the request, so it was not run"))
		return
	}
	if !acquired {
		reservation.Release()
		e.endFromClaim(run, r, row)
		return
	}
	run.enter(Claimed)
	reply, err := e.dispatchClaimed(ctx, run, r)
	e.endClaimed(run, r, row, reservation, reply, err)
}

// endFromClaim ends a run whose key was already claimed, with the outcome that the
// claim row records.
func (e *Executor) endFromClaim(run *Run, r *Request, row claimRow) {
	switch {
	case row.Digest != r.Digest:
		run.end(Refused, problemOutcome(ProblemKeyReused, NotRun, 0,
			"this idempotency key was used for a request with other content"))
	case row.State == claimDone:
		run.enter(Recorded)
		run.end(Completed, Outcome{Reply: row.Reply})
	default:
		run.enter(Recorded)
		run.end(Lost, problemOutcome(ProblemOutcomeUnknown, Unknown, time.Second,
			"an earlier call with this key was begun and its outcome is not known"))
	}
}

// dispatchClaimed sends a claimed call. It tries another server only after an
// error that proves that nothing was executed.
func (e *Executor) dispatchClaimed(ctx context.Context, run *Run, r *Request) (upstream.Reply, error) {
	var tried []string
	for {
		reply, target, err := e.send(ctx, run, r, tried)
		if err == nil || !provesNotRun(err) {
			return reply, err
		}
		if len(tried) >= e.settings.Attempts {
			return reply, err
		}
		tried = append(tried, target)
		run.returnTo(Claimed)
	}
}

// send makes one attempt at one server of the service.
func (e *Executor) send(ctx context.Context, run *Run, r *Request, tried []string) (upstream.Reply, string, error) {
	if problem := e.checkQuarantine(r); problem != nil {
		return upstream.Reply{}, "", problem
	}
	choice, err := e.router.Pick(r, tried)
	if err != nil {
		return upstream.Reply{}, "", err
	}
	target := choice.Upstream()
	ctx, span := telemetry.StartSpan(ctx, "upstream.call", telemetry.Attr("upstream", target))
	began := time.Now()
	reply, err := e.sendTo(ctx, run, r, target)
	telemetry.EndSpan(span, err)
	e.reportAttempt(ctx, r, target, false, err)
	choice.Done(AttemptResult{Err: err, FirstToken: time.Since(began)})
	return reply, target, err
}

func (e *Executor) sendTo(ctx context.Context, run *Run, r *Request, target string) (upstream.Reply, error) {
	service, err := e.router.Service(target)
	if err != nil {
		return upstream.Reply{}, err
	}
	if !e.budgets.Alive() {
		return upstream.Reply{}, &Problem{Name: ProblemDraining, RetryAfter: time.Second,
			Detail: "this router was replaced while it was paused"}
	}
	if !run.dispatch(Hint{Upstream: target}) {
		return upstream.Reply{}, &Problem{Name: ProblemDeadline, RetryAfter: time.Second, Detail: "the caller gave up"}
	}
	reply, err := service.Do(ctx, upstream.Call{
		RequestID: r.Key.ID,
		Method:    r.Call.Method,
		Path:      r.Call.Path,
		Body:      r.Call.Body,
	})
	return reply, eris.Wrapf(err, "call %s %s: upstream %s", r.Call.Method, r.Call.Path, target)
}

// endClaimed bills a claimed call, records its result and publishes the outcome.
func (e *Executor) endClaimed(run *Run, r *Request, row claimRow, reservation Reservation, reply upstream.Reply, err error) {
	var problem *Problem
	switch {
	case err == nil:
		run.enter(Answered)
		e.bill(run, r, reservation)
		e.recordOutcome(r.Key, row, claimDone, &reply)
		run.end(Completed, Outcome{Reply: &reply})
	case errors.As(err, &problem), provesNotRun(err), !run.State().MayHaveRun():
		reservation.Release()
		if problem == nil {
			problem = &Problem{Name: ProblemUpstreamFailed, RetryAfter: time.Second, Detail: err.Error()}
		}
		problem.RunState = NotRun
		e.recordOutcome(r.Key, row, claimFree, nil)
		run.end(Refused, Outcome{Problem: problem})
	default:
		reservation.Lose(r.Ceiling(), budget.CauseFailed)
		e.recordOutcome(r.Key, row, claimUnknown, nil)
		run.end(Lost, problemOutcome(ProblemOutcomeUnknown, Unknown, 0, err.Error()))
	}
}

// recordOutcome writes the result of a call to its claim row. It waits at most
// ClaimWait, so that a caller gets a known reply although the table is down. Until
// the row is written, other routers report "unknown" and do not execute the call.
func (e *Executor) recordOutcome(k Key, row claimRow, state claimState, reply *upstream.Reply) {
	written := make(chan struct{})
	e.spawn(func() {
		defer close(written)
		ctx, cancel := context.WithTimeout(e.baseCtx, e.settings.Retention)
		defer cancel()
		_ = e.claims.recordResult(ctx, k, row, state, reply)
	})
	timer := time.NewTimer(e.settings.ClaimWait)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
	}
}

// bill makes the bill of an answered call durable within BillWait or leaves it
// pending. In both cases the tokens are accounted for before the answer is sent.
func (e *Executor) bill(run *Run, r *Request, reservation Reservation) {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.BillWait)
	defer cancel()
	if err := reservation.Bill(ctx, r.Call.Tokens); err != nil && !errors.Is(err, budget.ErrBillPending) {
		reservation.Lose(r.Call.Tokens, budget.CauseFailed)
	}
	run.enter(Billed)
}

// revoke frees a claim whose write may still take effect after its timeout.
// Otherwise a retry would be told "unknown" for a call that was never sent.
func (e *Executor) revoke(k Key, undecided claimRow) {
	ctx, cancel := context.WithTimeout(e.baseCtx, e.settings.Retention)
	defer cancel()
	e.claims.revoke(ctx, k, undecided)
}

// callIdempotent executes an idempotent call and retries it until it is answered.
func (e *Executor) callIdempotent(ctx context.Context, run *Run, r *Request, reservation Reservation) {
	var tried []string
	mayHaveRun := false
	for n := 1; ; n++ {
		reply, target, err := e.send(ctx, run, r, tried)
		if err == nil {
			run.enter(Answered)
			e.bill(run, r, reservation)
			run.end(Completed, Outcome{Reply: &reply})
			return
		}
		tried = append(tried, target)
		mayHaveRun = mayHaveRun || run.State().MayHaveRun() && !provesNotRun(err)
		if problem := e.terminalProblem(ctx, r, n, err); problem != nil {
			e.endIdempotent(run, r, reservation, *problem, mayHaveRun)
			return
		}
		run.prepareRetry(mayHaveRun)
	}
}

// endIdempotent ends an idempotent call that no server answered. If the call may
// have run, its price is recorded as lost once, since servers are not paid per
// attempt.
func (e *Executor) endIdempotent(run *Run, r *Request, reservation Reservation, p Problem, mayHaveRun bool) {
	if mayHaveRun {
		reservation.Lose(r.Ceiling(), budget.CauseFailed)
		reservation = nil
	}
	endWithoutAnswer(run, reservation, p, mayHaveRun)
}
