package request

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"buckthornridge/store"
	"buckthornridge/telemetry"
)

// Settings holds the timeouts and limits of an executor.
type Settings struct {
	// Retention is how long an ended run's outcome is kept for retries.
	Retention time.Duration
	// RetainedBytes limits the total size of the answers of ended runs. The oldest
	// are evicted first.
	RetainedBytes int
	// DisconnectGrace is how long a run continues after every caller disconnected,
	// if the caller chose the key and can therefore retry. Other runs end at once.
	DisconnectGrace time.Duration
	// StallLimit is the timeout of an attempt between two tokens.
	StallLimit time.Duration
	// FirstTokenLimit is the timeout of an attempt for its first token.
	FirstTokenLimit time.Duration
	// BillWait is how long a complete answer waits until its bill is durable.
	BillWait time.Duration
	// ServiceWait is how long a service's reply is awaited after the caller's
	// deadline, so that a retry can get the outcome.
	ServiceWait time.Duration
	// ClaimWait is the timeout for claiming an at-most-once call. After it, the
	// table is considered down, and the caller is told so at once.
	ClaimWait time.Duration
	// Attempts is the maximum number of attempts of one request.
	Attempts int
}

// DefaultSettings returns the values documented for operators.
func DefaultSettings() Settings {
	return Settings{
		Retention:       2 * time.Minute,
		RetainedBytes:   256 << 20,
		DisconnectGrace: 5 * time.Second,
		StallLimit:      3 * time.Second,
		FirstTokenLimit: 5 * time.Second,
		BillWait:        2 * time.Second,
		ServiceWait:     30 * time.Second,
		ClaimWait:       time.Second,
		Attempts:        3,
	}
}

// Executor executes requests on this router, each key once.
type Executor struct {
	holder    string // this process's incarnation
	settings  Settings
	admission Admission
	budgets   Budgets
	router    Router
	guard     Guard
	claims    *claims
	hints     *hintCache
	streams   atomic.Uint64 // numbers engine streams, so that stream ids are unique
	// onDispatch is called with the location of a dispatched engine stream.
	onDispatch func(*Request, Hint)

	baseCtx context.Context // cancelled by Stop
	stop    context.CancelFunc
	tasks   sync.WaitGroup

	mu            sync.Mutex
	runs          map[Key]*Run
	retained      []*Run // ended runs, oldest first
	retainedBytes int    // total size of the retained answers
	active        int
	draining      bool
	idle          chan struct{} // closed when draining and no run is active
}

// NewExecutor returns an executor. holder identifies this incarnation of the
// process.
func NewExecutor(holder string, s Settings, a Admission, b Budgets, r Router, g Guard, t store.Table) *Executor {
	baseCtx, stop := context.WithCancel(context.Background())
	return &Executor{
		baseCtx:   baseCtx,
		stop:      stop,
		holder:    holder,
		settings:  s,
		admission: a,
		budgets:   b,
		router:    r,
		guard:     g,
		claims:    newClaims(holder, t),
		hints:     newHintCache(),
		runs:      map[Key]*Run{},
		idle:      make(chan struct{}),
	}
}

// Do executes the request, or joins the existing run of its key, and passes every
// update to emit. It returns an error only for ctx or emit; the outcome says how
// the request ended.
func (e *Executor) Do(ctx context.Context, r *Request, emit func(Update) error) (Outcome, error) {
	if trace := telemetry.Traceparent(ctx); trace != "" {
		r.Trace = trace
	}
	run, caller, created, problem := e.join(r)
	if problem != nil {
		return e.correctRunState(r, Outcome{Problem: problem}), nil
	}
	if created {
		e.spawn(func() { e.execute(run, r) })
	}
	outcome, err := run.follow(ctx, caller, emit)
	if errors.Is(err, context.DeadlineExceeded) {
		outcome, err = deadlineOutcome(run), nil
	}
	return e.correctRunState(r, outcome), err
}

// correctRunState changes "not run" to "unknown" if another router is known to
// have dispatched the request: this router did not execute it, but that one may
// have.
func (e *Executor) correctRunState(r *Request, o Outcome) Outcome {
	if o.Problem == nil || o.Problem.RunState != NotRun {
		return o
	}
	if r.Hint == nil && e.hints.lookup(r) == nil {
		return o
	}
	p := *o.Problem
	p.RunState = Unknown
	o.Problem = &p
	return o
}

// deadlineOutcome returns the outcome for a caller whose deadline has passed. It
// reports "not run" only after the run was abandoned and can't be dispatched. A run
// that continues can be joined by a retry with the same key.
func deadlineOutcome(run *Run) Outcome {
	if run.abandon() {
		return problemOutcome(ProblemDeadline, NotRun, time.Second, "the deadline passed before the request was dispatched")
	}
	return problemOutcome(ProblemDeadline, Unknown, time.Second, "the deadline passed while the request ran")
}

// spawn runs a task in a goroutine that Stop waits for.
func (e *Executor) spawn(task func()) {
	e.tasks.Add(1)
	go func() {
		defer e.tasks.Done()
		task()
	}()
}

// join returns the run of the request's key with the caller as a follower. created
// reports that the run is new and must be executed. The caller joins before that: a run
// without followers ends as soon as its first token arrives.
func (e *Executor) join(r *Request) (run *Run, caller *follower, created bool, problem *Problem) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run := e.runs[r.Key]; run != nil && !restartable(run, r) {
		if run.digest != r.Digest {
			return nil, nil, false, &Problem{
				Name: ProblemKeyReused, RunState: NotRun,
				Detail: "this idempotency key was used for a request with other content",
			}
		}
		return run, run.join(), false, nil
	}
	if e.draining {
		return nil, nil, false, &Problem{
			Name: ProblemDraining, RunState: NotRun, RetryAfter: time.Second,
			Detail: "this router is stopping; another one will serve the request",
		}
	}
	run = newRun(r.Key, r.Digest)
	e.runs[r.Key] = run
	e.active++
	return run, run.join(), true, nil
}

// restartable reports whether a retry of the run's key starts a new run instead of
// getting the recorded outcome. It does so after a refusal, since nothing was
// executed; after an unknown outcome, since the claim row may hold the result by
// now; and after a failure of idempotent work, which is billed by the run that
// succeeds.
func restartable(run *Run, r *Request) bool {
	switch run.State() {
	case Refused, Lost:
		return true
	case Failed:
		return r.Call == nil || r.Call.Idempotent
	}
	return run.isAbandoned()
}

// execute executes a run to its end and retains its outcome.
func (e *Executor) execute(run *Run, r *Request) {
	ctx, cancel := context.WithTimeout(e.baseCtx, e.runLimit(r))
	defer cancel()
	ctx, span := telemetry.StartSpan(telemetry.FromTraceparent(ctx, r.Trace), "request.run", telemetry.Attr("request", r.Key.String()))
	defer func() { telemetry.EndSpan(span, run.problem()) }()
	if r.Call != nil {
		e.call(ctx, run, r)
	} else {
		e.generate(ctx, run, r)
	}
	e.retain(run)
}

// runLimit returns how long a run may take. A model request ends at the caller's
// deadline; a service's reply is awaited for ServiceWait longer.
func (e *Executor) runLimit(r *Request) time.Duration {
	if r.Call != nil {
		return r.Timeout + e.settings.ServiceWait
	}
	return r.Timeout
}

// retain keeps an ended run for retries, within the limits on time and size.
func (e *Executor) retain(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.draining && e.active == 0 {
		close(e.idle)
	}
	if run.State() == Refused {
		e.remove(run)
		return
	}
	e.retained = append(e.retained, run)
	e.retainedBytes += run.size()
	e.sweep(time.Now())
}

// sweep evicts the oldest ended runs until the limits hold.
func (e *Executor) sweep(now time.Time) {
	for len(e.retained) > 0 {
		oldest := e.retained[0]
		if !oldest.expired(now, e.settings.Retention) && e.retainedBytes <= e.settings.RetainedBytes {
			return
		}
		e.retainedBytes -= oldest.size()
		e.retained[0] = nil
		e.retained = e.retained[1:]
		e.remove(oldest)
	}
}

// remove deletes a run unless its key has a newer one.
func (e *Executor) remove(run *Run) {
	if e.runs[run.key] == run {
		delete(e.runs, run.key)
	}
}

// Sweep evicts expired outcomes. The owner must call it periodically.
func (e *Executor) Sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(time.Now())
}

// Active returns how many runs are in progress.
func (e *Executor) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

// Drain refuses new runs and waits until those in progress have ended.
func (e *Executor) Drain(ctx context.Context) error {
	e.mu.Lock()
	if !e.draining {
		e.draining = true
		if e.active == 0 {
			close(e.idle)
		}
	}
	e.mu.Unlock()
	select {
	case <-e.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop cancels all runs and waits until they have ended.
func (e *Executor) Stop() {
	e.stop()
	e.tasks.Wait()
}
