package relay

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"buckthornridge/bubble"
	"buckthornridge/config"
	"buckthornridge/origin"
	"buckthornridge/quarantine"
	"buckthornridge/ratelimit"
	"buckthornridge/routing"
	"buckthornridge/upstream"
)

// step is what an upstream does with the next request that reaches it.
type step struct {
	err     error // the error of the exchange
	head    Head
	body    string
	bodyErr error // the error at the end of the body; io.EOF if nil
	delay   time.Duration
}

func answered(body string) step {
	return step{head: Head{Status: 200, Signed: true, Header: http.Header{}}, body: body}
}

func failing(status int) step {
	return step{head: Head{Status: status, Signed: true, Header: http.Header{}}, body: "failed"}
}

func refusing() step { return step{head: Head{Status: 503, NotExecuted: true, Header: http.Header{}}} }

func notSent() step { return step{err: upstream.WrapError("connect", "x", upstream.ErrNotSent, nil)} }

func broken() step { return step{err: upstream.WrapError("exchange", "x", upstream.ErrBroken, nil)} }

func events(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: x\n\n")
	}
	return b.String()
}

// harness is a relay with scripted upstreams.
type harness struct {
	t     *testing.T
	relay *Relay
	mu    sync.Mutex
	steps []step
	// answer, if set, is called for each request in place of taking a step.
	answer         func(out OutgoingRequest) step
	runStates      []RunState // answers of Runs; NotRunning after them
	asked          int        // questions of Runs
	sent           []OutgoingRequest
	records        []RequestRecord
	fleet          map[string]Upstream
	ended          map[string]bool // addresses at which nothing listens
	origins        map[string]origin.Origin
	unsettled      map[string]bool // versions
	reservedTokens int64
	settledTokens  int64
}

func newHarness(t *testing.T, kind Kind, steps ...step) *harness {
	b := &harness{t: t, steps: steps, fleet: map[string]Upstream{}, ended: map[string]bool{}, origins: map[string]origin.Origin{}}
	upstreams := map[string]config.Upstream{}
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		b.fleet[id] = Upstream{ID: id, Address: id + ":1", Service: "orders", Start: 1}
		upstreams[id] = config.Upstream{Kind: config.UpstreamService, Address: id + ":1", Service: "orders", Slots: 8}
	}
	table := routing.NewTable()
	table.Update(&config.Snapshot{Document: config.Document{Upstreams: upstreams}})
	picker, err := routing.NewRouter(table, routing.SessionPolicy)
	if err != nil {
		t.Fatal(err)
	}
	b.relay = &Relay{
		Catalogue: &CurrentCatalogue{}, Budgets: b, Picker: picker, Fleet: b, Sender: b, Origins: b, Recorder: b,
		RetryBudget: NewRetryBudget(RetryPolicy{Share: 0.2, Extra: 50, Window: 10 * time.Second}),
		Routers:     func() int { return 1 },
		Signals: Signals{
			Limiter:    ratelimit.NewLimiter(&ratelimit.Routers{}, table.SetLimit),
			Rejections: ratelimit.NewRejections(table.BackOff, func(string) int { return 1 }),
			SlotBounds: ratelimit.NewSlotBounds(&ratelimit.Routers{}, table.SetSlotBound),
			Rests:      ratelimit.NewRests(table.SetRest, func(string) int { return 1 }),
			MarkLeaving: func(u Upstream, _ int64) {
				u.Leaving = true
				b.fleet[u.ID] = u
			},
		},
		Guard: quarantine.NewGuard(b),
	}
	b.relay.Limiter.SetRouters("vm-1", []string{"vm-1"})
	b.relay.Catalogue.Advance(NewCatalogue(Definition{
		Version: 1,
		Routes: []Route{
			{Name: "orders", Host: "shop", Prefix: "/orders/", Kind: kind, Timeout: time.Second, Attempts: 2,
				Services: []WeightedService{{"orders", 1}}},
			{Name: "all", Host: "shop", Prefix: "/", Kind: kind, Timeout: time.Second, Attempts: 1, Public: true,
				Services: []WeightedService{{"orders", 1}}},
		},
		Services:   []Service{{Name: "orders", EventTokens: 5}},
		Workspaces: []Workspace{{Name: "studio", Prepaid: 1000, Priority: -1}},
		Keys:       map[string]string{"key": "studio"},
	}))
	return b
}

func (b *harness) request() *Request {
	return &Request{
		ID: "r1", Host: "shop", Method: "POST", Path: "/orders/1", Target: "/orders/1", Key: "key",
		Size: Size{Prompt: 100, MaxOutput: 50}, Arrived: time.Now(), CallerTimeout: 5 * time.Second,
	}
}

// Send implements Sender.
func (b *harness) Send(ctx context.Context, out OutgoingRequest) (Response, error) {
	b.mu.Lock()
	b.sent = append(b.sent, out)
	next := step{err: upstream.WrapError("connect", "x", upstream.ErrNotSent, nil)}
	if len(b.steps) > 0 {
		next, b.steps = b.steps[0], b.steps[1:]
	}
	if b.answer != nil {
		next = b.answer(out)
	}
	b.mu.Unlock()
	select {
	case <-time.After(next.delay):
	case <-ctx.Done():
		return nil, upstream.WrapError("exchange", "x", upstream.ErrBroken, ctx.Err())
	}
	if next.err != nil {
		return nil, next.err
	}
	if next.head.Process == 0 {
		next.head.Process = cmp.Or(out.Process, out.Upstream.Start)
	}
	return &scriptedResponse{step: next, body: strings.NewReader(next.body)}, nil
}

// Runs implements Sender.
func (b *harness) Runs(context.Context, Upstream, string) RunState {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked++
	if len(b.runStates) == 0 {
		return NotRunning
	}
	state := b.runStates[0]
	b.runStates = b.runStates[1:]
	return state
}

// scriptedResponse is the response of one step.
type scriptedResponse struct {
	step step
	body *strings.Reader
}

func (s *scriptedResponse) Head() Head { return s.step.head }
func (s *scriptedResponse) Close()     {}
func (s *scriptedResponse) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err == io.EOF && s.step.bodyErr != nil {
		err = s.step.bodyErr
	}
	return n, err
}

// Upstream implements Fleet.
func (b *harness) Upstream(id string) (Upstream, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, known := b.fleet[id]
	return u, known
}

// Any implements Fleet.
func (b *harness) Any(condition func(Upstream) bool) bool {
	b.mu.Lock()
	fleet := maps.Clone(b.fleet)
	b.mu.Unlock()
	for _, u := range fleet {
		if condition(u) {
			return true
		}
	}
	return false
}

// Began implements Origins.
func (b *harness) Began(key string, o origin.Origin, _ time.Time) { b.origins[key] = o }

// Unsettled implements Origins.
func (b *harness) Unsettled(string) map[string]bool { return b.unsettled }

// Find implements Origins. Without a key, the stream began at the only version.
func (b *harness) Find(_ context.Context, key string, _ *Route) (origin.Origin, bool) {
	if key == "" {
		return origin.Origin{Service: "orders", VersionKnown: true}, true
	}
	o, known := b.origins[key]
	return o, known
}

// Ended implements quarantine.Prober.
func (b *harness) Ended(_ context.Context, address string) bool { return b.ended[address] }

// RecordRequest implements Recorder.
func (b *harness) RecordRequest(d RequestRecord) { b.records = append(b.records, d) }

// Screen implements Budgets.
func (b *harness) Screen(Workspace, int64) (bool, error) { return true, nil }

// Reserve implements Budgets.
func (b *harness) Reserve(_ context.Context, w Workspace, ceiling int64) (Reservation, error) {
	if b.reservedTokens+ceiling > w.Prepaid {
		return nil, &Problem{Status: http.StatusPaymentRequired, Name: "budget_exhausted"}
	}
	b.reservedTokens += ceiling
	return &reserved{b, ceiling}, nil
}

type reserved struct {
	harness *harness
	ceiling int64
}

func (r *reserved) Settle(consumed int64) {
	r.harness.reservedTokens -= r.ceiling - consumed
	r.harness.settledTokens += consumed
}

// caller is a Writer that keeps what it received.
type caller struct {
	problem      *Problem
	status       int
	body         string
	begun        bool
	aborted      bool
	disconnected bool // Event fails
}

var _ Writer = (*caller)(nil)

func (c *caller) Refuse(p *Problem) { c.problem, c.status = p, p.Status }
func (c *caller) WriteResponse(status int, _ http.Header, body []byte) {
	c.status, c.body = status, string(body)
}
func (c *caller) Begin(status int, _ http.Header) { c.status, c.begun = status, true }
func (c *caller) Abort()                          { c.aborted = true }
func (c *caller) Event(event []byte) error {
	if c.disconnected {
		return io.ErrClosedPipe
	}
	c.body += string(event)
	return nil
}

func (b *harness) serve(q *Request) *caller {
	c := &caller{}
	b.relay.Serve(context.Background(), c, q)
	return c
}

// distinctUpstreams returns the upstreams that requests were sent to, each once.
func (b *harness) distinctUpstreams() []string {
	var ids []string
	for _, out := range b.sent {
		if !slices.Contains(ids, out.Upstream.ID) {
			ids = append(ids, out.Upstream.ID)
		}
	}
	return ids
}

func runTest(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	bubble.Test(t, test)
}
