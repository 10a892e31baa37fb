package request

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"buckthornridge/bubble"
	"buckthornridge/budget"
	"buckthornridge/pause"
	"buckthornridge/quarantine"
	"buckthornridge/store"
	"buckthornridge/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testEnv is the environment that a test's executors share: upstreams and table.
type testEnv struct {
	t               *testing.T
	table           *store.Fake
	engines         map[string]*fakeEngine
	services        map[string]*fakeService
	order           []string        // upstreams in the order in which Pick returns them
	ended           map[string]bool // upstreams whose process has ended
	removedUpstream string          // an upstream that a new configuration removed
}

func newTestEnv(t *testing.T) *testEnv {
	return &testEnv{
		t:        t,
		table:    store.NewFake(store.FakeOptions{}),
		engines:  map[string]*fakeEngine{},
		services: map[string]*fakeService{},
		ended:    map[string]bool{},
	}
}

func (env *testEnv) engine(id string) *fakeEngine {
	e := &fakeEngine{id: id, gap: 10 * time.Millisecond, streams: map[string]int64{}}
	env.engines[id] = e
	env.order = append(env.order, id)
	return e
}

func (env *testEnv) service(id string) *fakeService {
	s := &fakeService{}
	env.services[id] = s
	env.order = append(env.order, id)
	return s
}

// executor returns a router's executor in the environment.
func (env *testEnv) executor(vm string) (*Executor, *fakeBudgets) {
	b := &fakeBudgets{}
	settings := DefaultSettings()
	e := NewExecutor(vm, settings, admitAll{}, b, &fakeRouter{shared: env}, fakeGuard{quarantine.NewGuard(env)}, env.table.As(vm).Table)
	env.t.Cleanup(e.Stop)
	return e, b
}

// fakeGuard knows each upstream by its id alone.
type fakeGuard struct{ *quarantine.Guard }

func (g fakeGuard) Broken(upstreamID string, r quarantine.Request, answered bool) {
	g.Guard.Broken(quarantine.Upstream{ID: upstreamID, Address: upstreamID}, r, answered)
}

// Ended implements quarantine.Prober.
func (env *testEnv) Ended(_ context.Context, address string) bool { return env.ended[address] }

// admitAll admits every request.
type admitAll struct{}

func (admitAll) Admit(context.Context, *Request) (func(), error) { return func() {}, nil }

// dispatched records one call of Reservation.Dispatch.
type dispatched struct {
	stream  string
	resumed bool
}

// fakeBudgets records how reservations end.
type fakeBudgets struct {
	mu           sync.Mutex
	sealed       bool
	refuse       error
	reserveDelay time.Duration // duration of Reserve, which ignores its context
	billErr      error
	billed       []int64
	lost         []int64
	released     int
	// dispatched lists the calls of Dispatch.
	dispatched []dispatched
	open       int
}

func (b *fakeBudgets) Alive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.sealed
}

func (b *fakeBudgets) Reserve(context.Context, *Request) (Reservation, error) {
	time.Sleep(b.reserveDelay)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refuse != nil {
		return nil, b.refuse
	}
	b.open++
	return &fakeReservation{budgets: b}, nil
}

type fakeReservation struct {
	budgets *fakeBudgets
	closed  bool
}

func (r *fakeReservation) close() {
	if r.closed {
		panic("fakeReservation: closed twice")
	}
	r.closed = true
	r.budgets.open--
}

func (r *fakeReservation) Dispatch(stream string, resumed bool) {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.budgets.dispatched = append(r.budgets.dispatched, dispatched{stream, resumed})
}

func (r *fakeReservation) Bill(_ context.Context, tokens int64) error {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.close()
	r.budgets.billed = append(r.budgets.billed, tokens)
	return r.budgets.billErr
}

func (r *fakeReservation) Lose(tokens int64, _ budget.Cause) {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.close()
	r.budgets.lost = append(r.budgets.lost, tokens)
}

func (r *fakeReservation) Release() {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.close()
	r.budgets.released++
}

// fakeRouter picks the first upstream that was not tried yet.
type fakeRouter struct{ shared *testEnv }

type fakeChoice string

func (c fakeChoice) Upstream() string       { return string(c) }
func (fakeChoice) FirstToken(time.Duration) {}
func (fakeChoice) Done(AttemptResult)       {}

func (f *fakeRouter) Pick(_ *Request, exclude []string) (Choice, error) {
	tried := strings.Join(exclude, " ")
	for _, id := range f.shared.order {
		if !strings.Contains(tried, id) {
			return fakeChoice(id), nil
		}
	}
	return nil, &Problem{Name: ProblemOverloaded, RetryAfter: time.Second, Detail: "no upstream"}
}

func (f *fakeRouter) Claim(string) bool { return true }

func (f *fakeRouter) Engine(id string) (upstream.Engine, error) { return f.shared.engines[id], nil }
func (f *fakeRouter) Service(id string) (upstream.Service, error) {
	if f.shared.removedUpstream == id {
		return nil, upstream.ErrNotSent
	}
	return f.shared.services[id], nil
}

// fakeEngine answers "t0 t1 ..." and injects the faults that its fields select.
// Like an engine, it keeps streams so that they can be resumed.
type fakeEngine struct {
	upstream.Engine  // provides the methods that no test calls
	id               string
	gap              time.Duration // between tokens
	textPrefix       string        // starts every token, so that engines' answers differ
	nondeterministic bool          // each run gives a different answer
	refuse           error         // error of Generate
	breakAt          int64         // position before which the connection breaks; 0: never
	noResume         bool
	stallAt          int64 // position from which no token is sent; 0: never
	overrun          int64 // tokens that a resumed stream sends beyond the maximum

	mu        sync.Mutex
	generated int // number of Generate calls
	resumed   int
	cancelled []string
	streams   map[string]int64 // MaxTokens by stream id
}

func (e *fakeEngine) Generate(ctx context.Context, g upstream.Generate) (upstream.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse != nil {
		return nil, e.refuse
	}
	e.generated++
	e.streams[g.StreamID] = g.MaxTokens
	s := &fakeStream{engine: e, ctx: ctx, max: g.MaxTokens, breakAt: e.breakAt, textPrefix: e.textPrefix}
	if e.nondeterministic {
		s.textPrefix = fmt.Sprint(e.generated)
	}
	return s, nil
}

func (e *fakeEngine) Resume(ctx context.Context, id string, from int64) (upstream.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit, known := e.streams[id]
	if e.noResume || !known {
		return nil, upstream.ErrNoStream
	}
	e.resumed++
	return &fakeStream{engine: e, ctx: ctx, max: limit + e.overrun, at: from, textPrefix: e.textPrefix}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, id)
	return nil
}

type fakeStream struct {
	engine     *fakeEngine
	ctx        context.Context
	at, max    int64
	breakAt    int64
	textPrefix string
}

func (s *fakeStream) Next() (upstream.Token, error) {
	if s.engine.stallAt > 0 && s.at >= s.engine.stallAt {
		<-s.ctx.Done()
	}
	if pause.For(s.ctx, s.engine.gap) != nil {
		return upstream.Token{}, fmt.Errorf("%w: %w", upstream.ErrBroken, s.ctx.Err())
	}
	if s.breakAt > 0 && s.at >= s.breakAt {
		return upstream.Token{}, upstream.ErrBroken
	}
	if s.at >= s.max {
		return upstream.Token{}, io.EOF
	}
	s.at++
	return upstream.Token{Position: s.at - 1, Text: fmt.Sprintf("%st%d ", s.textPrefix, s.at-1)}, nil
}

func (s *fakeStream) Usage() upstream.Usage {
	return upstream.Usage{PromptTokens: 3, OutputTokens: s.at, FinishReason: upstream.FinishLength}
}

func (s *fakeStream) Close() error { return nil }

// fakeService counts the calls that it executed.
type fakeService struct {
	delay time.Duration
	err   error // error of Do; the call was executed unless err proves that it was not
	runs  int
	mu    sync.Mutex
}

func (s *fakeService) Do(ctx context.Context, c upstream.Call) (upstream.Reply, error) {
	s.mu.Lock()
	proved := provesNotRun(s.err)
	if !proved {
		s.runs++
	}
	s.mu.Unlock()
	if pause.For(ctx, s.delay) != nil {
		return upstream.Reply{}, upstream.ErrBroken
	}
	return upstream.Reply{Status: 200, Body: append([]byte("did "), c.Body...)}, s.err
}

// chatRequest returns a model request with a key that the caller chose.
func chatRequest(id string, tokens int64) *Request {
	return &Request{
		Key: Key{Workspace: "studio", ID: id}, Digest: sha256.Sum256([]byte("chat")), Budget: "main",
		CallerKey: true, Timeout: 20 * time.Second,
		Generate: &Generate{Model: "livery", Prompt: "a prompt", MaxTokens: tokens},
	}
}

// orderRequest returns an at-most-once call.
func orderRequest(id string) *Request {
	return &Request{
		Key: Key{Workspace: "studio", ID: id}, Digest: sha256.Sum256([]byte("order")), Budget: "main",
		CallerKey: true, Timeout: 5 * time.Second,
		Call: &Call{Service: "orders", Method: "POST", Path: "/confirm", Body: []byte("it"), Tokens: 5},
	}
}

// response is what one caller received.
type response struct {
	text    string
	outcome Outcome
	err     error
}

// runRequest runs a request with its own timeout and collects the answer.
func runRequest(ctx context.Context, do func(context.Context, *Request, func(Update) error) (Outcome, error), r *Request) response {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	var text strings.Builder
	outcome, err := do(ctx, r, func(u Update) error {
		text.WriteString(u.Text)
		return nil
	})
	return response{text: text.String(), outcome: outcome, err: err}
}

// fullText returns the answer of n tokens of an engine without textPrefix.
func fullText(n int64) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// runTest runs a test in virtual time with its own environment and waits for all of
// its goroutines.
func runTest(t *testing.T, test func(t *testing.T, is *is.I, env *testEnv)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		test(t, is.New(t), newTestEnv(t))
		synctest.Wait()
	})
}
