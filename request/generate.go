package request

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget"
	"buckthornridge/telemetry"
	"buckthornridge/upstream"
)

// cancelTimeout is the timeout for cancelling a stream at its engine.
const cancelTimeout = time.Second

// ErrCallersDisconnected ends an attempt after every caller disconnected.
var ErrCallersDisconnected = eris.New("request: every caller disconnected")

// ErrStalled ends an attempt that exceeded StallLimit or FirstTokenLimit.
var ErrStalled = eris.New("request: the engine sent no token for too long")

// generate executes a model request: admission, reservation, attempts, billing.
func (e *Executor) generate(ctx context.Context, run *Run, r *Request) {
	if problem := e.checkQuarantine(r); problem != nil {
		run.end(Refused, Outcome{Problem: problem})
		return
	}
	release, err := e.admission.Admit(ctx, r)
	if err != nil {
		run.end(Refused, refusalOutcome(err))
		return
	}
	defer release()
	run.enter(Admitted)
	reservation, err := e.budgets.Reserve(ctx, r)
	if err != nil {
		run.end(Refused, refusalOutcome(err))
		return
	}
	run.enter(Reserved)
	e.attempts(ctx, run, r, reservation)
}

// attempts dispatches the request until an answer is complete or no further
// attempt is allowed. Each attempt that may have run has its own reservation: the
// tokens that an abandoned attempt may have consumed are recorded as lost.
func (e *Executor) attempts(ctx context.Context, run *Run, r *Request, reservation Reservation) {
	var tried []string
	mayHaveRun := false
	for n := 1; ; n++ {
		a := &attempt{executor: e, run: run, request: r, number: n, reservation: reservation}
		usage, err := a.do(ctx, tried)
		if err == nil {
			run.enter(Answered)
			e.complete(run, reservation, Outcome{Usage: usage}, usage.PromptTokens+usage.OutputTokens)
			return
		}
		tried = append(tried, a.target)
		if a.sent {
			mayHaveRun = true
			reservation = nil
			if a.settle(err) {
				run.end(Failed, problemOutcome(ProblemCanceled, Ran, 0, "every caller left"))
				return
			}
		}
		if problem := e.terminalProblem(ctx, r, n, err); problem != nil {
			endWithoutAnswer(run, reservation, *problem, mayHaveRun)
			return
		}
		run.prepareRetry(mayHaveRun)
		if reservation != nil {
			continue
		}
		if reservation, err = e.budgets.Reserve(ctx, r); err != nil {
			endWithoutAnswer(run, nil, *refusalOutcome(err).Problem, mayHaveRun)
			return
		}
	}
}

// terminalProblem returns the problem that ends the request after attempt n, or
// nil if another attempt is allowed.
func (e *Executor) terminalProblem(ctx context.Context, r *Request, n int, cause error) *Problem {
	var problem *Problem
	switch {
	case errors.As(cause, &problem):
		return problem
	case ctx.Err() != nil:
		return &Problem{Name: ProblemDeadline, RetryAfter: time.Second, Detail: "the deadline passed"}
	case n >= e.settings.Attempts, !provesNotRun(cause) && e.guard.Suspected(r.content()):
		return &Problem{Name: ProblemUpstreamFailed, RetryAfter: time.Second, Detail: cause.Error()}
	}
	return nil
}

// complete bills a complete answer and publishes the outcome. The outcome is sent
// after the bill is durable, so that a crash leaves no complete answer unbilled. If
// the table does not respond within BillWait, the bill is pending in the journal's
// queue and covered by the holder's exposure.
func (e *Executor) complete(run *Run, reservation Reservation, outcome Outcome, tokens int64) {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.BillWait)
	defer cancel()
	if err := reservation.Bill(ctx, tokens); err != nil && !errors.Is(err, budget.ErrBillPending) {
		run.end(Failed, problemOutcome(ProblemUpstreamFailed, Ran, 0, "the answer could not be billed: "+err.Error()))
		return
	}
	run.enter(Billed)
	run.end(Completed, outcome)
}

// attempt is one attempt at one engine.
type attempt struct {
	executor    *Executor
	run         *Run
	request     *Request
	number      int
	reservation Reservation

	choice   Choice // nil for an adopted stream
	target   string // the engine's upstream id
	streamID string
	sent     bool  // a byte may have reached the engine
	received int64 // tokens received in this attempt
}

// do dispatches the request to one engine and reads the answer into the run.
func (a *attempt) do(ctx context.Context, tried []string) (upstream.Usage, error) {
	if h := a.hint(); h != nil {
		if usage, adopted, err := a.adopt(ctx, *h); adopted {
			return usage, err
		}
	}
	if problem := a.executor.checkQuarantine(a.request); problem != nil {
		return upstream.Usage{}, problem
	}
	choice, err := a.executor.router.Pick(a.request, tried)
	if err != nil {
		return upstream.Usage{}, err
	}
	a.choice, a.target = choice, choice.Upstream()
	ctx, span := telemetry.StartSpan(ctx, "upstream.generate", telemetry.Attr("upstream", a.target))
	result := AttemptResult{}
	usage, err := a.start(ctx, &result)
	result.Err, result.Usage = err, usage
	choice.Done(result)
	telemetry.EndSpan(span, err)
	a.executor.reportAttempt(ctx, a.request, a.target, a.received >= answeringTokens, err)
	return usage, err
}

// start opens a new stream on the target and reads it.
func (a *attempt) start(ctx context.Context, result *AttemptResult) (upstream.Usage, error) {
	engine, err := a.executor.router.Engine(a.target)
	if err != nil {
		return upstream.Usage{}, err
	}
	a.streamID = fmt.Sprintf("%s/%s/%s.%d", a.request.Key.Workspace, a.request.Key.ID, a.executor.holder, a.executor.streams.Add(1))
	if problem := a.dispatch(false); problem != nil {
		return upstream.Usage{}, problem
	}
	w := newWatchdog(ctx, a.executor.settings)
	defer w.stop()
	stream, err := engine.Generate(w.ctx, a.engineRequest())
	a.sent = !provesNotRun(err)
	if err != nil {
		return upstream.Usage{}, w.explain(err)
	}
	return a.readToEnd(w, engine, stream, result)
}

// dispatch moves the run to Dispatched before the first byte is sent. It returns a
// problem if this process may no longer spend its grants or the run was abandoned.
func (a *attempt) dispatch(resumed bool) error {
	if !a.executor.budgets.Alive() {
		return &Problem{Name: ProblemDraining, RetryAfter: time.Second,
			Detail: "this router was replaced while it was paused"}
	}
	h := Hint{Upstream: a.target, StreamID: a.streamID}
	if !a.run.dispatch(h) {
		return &Problem{Name: ProblemDeadline, RetryAfter: time.Second, Detail: "the caller gave up"}
	}
	a.reservation.Dispatch(a.streamID, resumed)
	if a.executor.onDispatch != nil {
		a.executor.onDispatch(a.request, h)
	}
	return nil
}

// readToEnd reads a stream to its end and resumes it where it breaks.
func (a *attempt) readToEnd(w *watchdog, engine upstream.Engine, stream upstream.Stream, result *AttemptResult) (upstream.Usage, error) {
	began := time.Now()
	for {
		usage, err := a.readStream(w, stream, began, result)
		if err == io.EOF {
			return usage, nil
		}
		if stream, err = a.resume(w, engine, err); err != nil {
			return upstream.Usage{}, w.explain(err)
		}
	}
}

// readStream reads a stream to its end or first error.
func (a *attempt) readStream(w *watchdog, stream upstream.Stream, began time.Time, result *AttemptResult) (upstream.Usage, error) {
	defer stream.Close()
	for {
		token, err := stream.Next()
		if err == io.EOF {
			return stream.Usage(), io.EOF
		}
		if err != nil {
			return upstream.Usage{}, err
		}
		if a.received == 0 && a.choice != nil {
			result.FirstToken = time.Since(began)
			a.choice.FirstToken(result.FirstToken)
		}
		w.progress()
		if err := a.addToken(token); err != nil {
			return upstream.Usage{}, err
		}
		if a.run.disconnectedFor(a.disconnectGrace()) {
			return upstream.Usage{}, ErrCallersDisconnected
		}
	}
}

// addToken adds a token to the run. A later attempt replays the answer from its
// start: tokens that callers already have must be the same in the replay, or the
// answer would mix parts of two different ones.
func (a *attempt) addToken(token upstream.Token) error {
	if token.Position != a.received {
		return eris.Wrapf(upstream.ErrProtocol, "received token %d, expected token %d", token.Position, a.received)
	}
	if a.received++; a.received == answeringTokens {
		a.executor.guard.Answering(a.request.content())
	}
	if token.Position == a.run.position() {
		a.run.add(token.Text)
		return nil
	}
	if a.run.tokenAt(token.Position) != token.Text {
		return &Problem{Name: ProblemUpstreamFailed, RunState: Ran,
			Detail: "another attempt gave a different answer after part of the first was sent"}
	}
	return nil
}

// engineRequest returns the request to the engine. Its limits also apply to a
// resumed stream.
func (a *attempt) engineRequest() upstream.Generate {
	g := a.request.Generate
	return upstream.Generate{
		StreamID:  a.streamID,
		Model:     g.Model,
		Adapter:   g.Adapter,
		Prompt:    g.Prompt,
		MaxTokens: g.MaxTokens,
		Priority:  g.Priority,
	}
}

// disconnectGrace returns how long the run continues after every caller
// disconnected. Only callers that chose their key can retry and join it again.
func (a *attempt) disconnectGrace() time.Duration {
	if a.request.CallerKey {
		return a.executor.settings.DisconnectGrace
	}
	return 0
}

// settle cancels a failed attempt that may have run and accounts for its tokens.
// It reports whether the request ends because every caller disconnected.
func (a *attempt) settle(cause error) (disconnected bool) {
	consumed := a.cancelAndCount()
	if !errors.Is(cause, ErrCallersDisconnected) {
		a.reservation.Lose(consumed, budget.CauseAbandoned)
		return false
	}
	// The callers disconnected by choice, so the tokens generated for them are billed.
	ctx, cancel := context.WithTimeout(context.Background(), a.executor.settings.BillWait)
	defer cancel()
	if err := a.reservation.Bill(ctx, consumed); err != nil && !errors.Is(err, budget.ErrBillPending) {
		a.reservation.Lose(consumed, budget.CauseAbandoned)
	}
	return true
}

// cancelAndCount cancels the engine's stream and returns the tokens that the
// attempt consumed: the tokens received and the prompt's ceiling if the engine
// confirmed, or the whole ceiling if it may still be generating.
func (a *attempt) cancelAndCount() int64 {
	ceiling := a.request.Ceiling()
	engine, err := a.executor.router.Engine(a.target)
	if err != nil {
		return ceiling
	}
	if err := a.cancelStream(engine, a.streamID); err != nil && !errors.Is(err, upstream.ErrNoStream) {
		return ceiling
	}
	return min(ceiling, int64(len(a.request.Generate.Prompt))+a.received)
}

// cancelStream cancels a stream that will not be read, to free the engine.
func (a *attempt) cancelStream(engine upstream.Engine, streamID string) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return engine.Cancel(ctx, streamID)
}

// endWithoutAnswer ends a run after its last attempt failed. An unused reservation
// is released: the attempt that held it did not run.
func endWithoutAnswer(run *Run, unused Reservation, p Problem, mayHaveRun bool) {
	if unused != nil {
		unused.Release()
	}
	if mayHaveRun {
		p.RunState = Ran
		run.end(Failed, Outcome{Problem: &p})
		return
	}
	p.RunState = NotRun
	run.end(Refused, Outcome{Problem: &p})
}

// provesNotRun reports whether err proves that the upstream executed nothing.
func provesNotRun(err error) bool {
	return err != nil && (errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrRefused))
}

// refusalOutcome returns the outcome for an error before dispatch, which means
// that the request was not executed.
func refusalOutcome(err error) Outcome {
	var problem *Problem
	var refused *budget.Refusal
	switch {
	case errors.As(err, &problem):
		return Outcome{Problem: problem}
	case errors.As(err, &refused) && refused.Certain:
		return problemOutcome(ProblemBudgetExhausted, NotRun, refused.RetryAfter, refused.Error())
	case errors.As(err, &refused):
		return problemOutcome(ProblemPlatformUnavailable, NotRun, refused.RetryAfter, refused.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return problemOutcome(ProblemDeadline, NotRun, time.Second, "the deadline passed before dispatch")
	}
	return problemOutcome(ProblemPlatformUnavailable, NotRun, time.Second, err.Error())
}
