package run

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornridge/admin"
	"buckthornridge/budget/ledger"
	"buckthornridge/config"
	"buckthornridge/loadtool/report"
	"buckthornridge/loadtool/scenario"
	"buckthornridge/settings"
	"buckthornridge/standin/engine"
	standin "buckthornridge/standin/platform"
	"buckthornridge/standin/service"
	"buckthornridge/store"
	"buckthornridge/upstream"
)

// defect is a deliberate fault of the test fleet's router or administration API.
type defect string

const (
	noDefect            defect = ""
	ignoresBudget       defect = "dispatches without checking the budget"
	omitsBills          defect = "does not bill some responses"
	billsTwice          defect = "bills some responses twice"
	underbills          defect = "bills one token too few"
	overbills           defect = "bills one token too many"
	executesTwice       defect = "sends confirmations twice"
	reportsNotRun       defect = "reports requests that ran as not run"
	swapsResponses      defect = "returns the wrong response to some callers"
	misreportsUsage     defect = "reports wrong usage"
	truncatesStreams    defect = "omits the last token of streamed responses"
	truncatesUnstreamed defect = "omits the last token of unstreamed responses"
	corruptsLedger      defect = "adds a token that was not purchased to the budget row"
	cutsStreams         defect = "aborts streams"
	revertsVersion      defect = "reverts to an older version"
	dropsChanges        defect = "accepts changes but does not store them"
	refusesWithBudget   defect = "refuses requests for lack of budget although it suffices"
	answersNothing      defect = "refuses every request"
	ignoresLeaving      defect = "sends work to a leaving upstream"
)

// testFleet is a fleet with one router that runs in the test process. It consists of
// the stand-ins and a minimal router with an optional defect.
type testFleet struct {
	defect   defect
	engine   *upstreamServer
	service  *upstreamServer
	platform *httptest.Server
	router   *httptest.Server
	table    store.Table
	vms      store.VMList
	client   upstream.Engine
	calls    upstream.Service
	doc      config.Document

	mu           sync.Mutex
	killTarget   *upstreamServer // closed when the tool requests a kill
	version      config.Version
	statusReads  int // reads of /debug/status
	requestCount int
	truncatable  int // responses that a defect may truncate
	rows         map[ledger.ID]*ledger.Budget
	billIndex    map[ledger.ID][]byte
}

type upstreamServer struct{ *httptest.Server }

func (u *upstreamServer) address() string { return strings.TrimPrefix(u.URL, "http://") }

func serve(t *testing.T, handler http.Handler) *httptest.Server {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

// newTestFleet starts the servers of the test fleet. If maxRuns is positive, the
// engine keeps only one run in its records.
func newTestFleet(t *testing.T, l defect, maxRuns int) *testFleet {
	t.Helper()
	b := &testFleet{defect: l, version: 1, rows: map[ledger.ID]*ledger.Budget{}, billIndex: map[ledger.ID][]byte{}}
	s := engine.DefaultSettings()
	s.Models = []string{"panel-small", "livery-large"}
	s.StepBase = settings.Duration(100 * time.Microsecond)
	s.Slots = 256
	if maxRuns > 0 {
		s.MaxRuns = 1
	}
	e, err := engine.New("engine-1", s)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Stop() })
	orders := service.DefaultSettings()
	orders.Name = "orders"
	calls, err := service.New(orders)
	if err != nil {
		t.Fatal(err)
	}
	p := standin.NewServer(standin.Settings{})
	b.table, b.vms = p.Fake().As("vm-1").Table, p.Fake().As("engine-1").VMs
	b.platform = serve(t, p)
	b.engine = &upstreamServer{serve(t, e.Handler())}
	b.service = &upstreamServer{serve(t, calls.Handler())}
	transport := upstream.NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	b.client = upstream.NewEngine(b.engine.address(), transport)
	b.calls = upstream.NewService(b.service.address(), transport)
	b.doc = b.document()
	b.router = serve(t, b.handler())
	return b
}

func (b *testFleet) document() config.Document {
	kind := config.Kind{Weight: 1, DeadlineMS: 20000, FirstTokenMS: 20000}
	return config.Document{
		Fleet:  config.Fleet{Name: "lankawrap"},
		Models: map[string]config.Model{"panel-small": {MaxOutputTokens: 512}, "livery-large": {MaxOutputTokens: 512}},
		Kinds: map[string]config.Kind{
			"caption": kind, "panel_note": kind, "full_brief": kind, "confirmation": kind, "lookup": kind,
		},
		Upstreams: map[string]config.Upstream{
			"engine-1":  {Kind: config.UpstreamEngine, Address: b.engine.address(), Models: []string{"panel-small", "livery-large"}, Slots: 256},
			"service-1": {Kind: config.UpstreamService, Address: b.service.address(), Service: "orders"},
		},
		Services: map[string]config.Service{"orders": {Operations: map[string]config.Operation{
			"POST /confirmations": {Kind: "confirmation", Tokens: 20},
			"GET /jobs/":          {Idempotent: true, Kind: "lookup", Tokens: 2},
		}}},
		Workspaces: map[string]config.Workspace{
			"studio":  {Budgets: map[string]config.Budget{"main": {}}},
			"counter": {Budgets: map[string]config.Budget{"main": {}}},
		},
	}
}

// run runs a scenario against the test fleet.
func (b *testFleet) run(t *testing.T, s scenario.Scenario, withPipe bool) *report.Report {
	t.Helper()
	address := strings.TrimPrefix(b.router.URL, "http://")
	settings := Settings{
		Platform: strings.TrimPrefix(b.platform.URL, "http://"),
		Token:    "token",
		Keys:     map[string]string{"studio": "studio", "counter": "counter"},
		VMs:      []VM{{ID: "vm-1", Router: address, RouterAdmin: address, API: address}},
	}
	if withPipe {
		settings.Requests = filepath.Join(t.TempDir(), "requests")
		if err := os.WriteFile(settings.Requests, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		defer b.awaitKill(settings.Requests)()
	}
	r, err := Do(t.Context(), Options{
		Settings: settings, Scenario: s, Seed: 7, Prefix: "test", SettleTimeout: time.Millisecond, Tries: 3, Progress: func(line string) { t.Log(line) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// awaitKill closes b.killTarget once the tool requests a kill. The returned function
// stops the wait.
func (b *testFleet) awaitKill(requests string) (end func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if text, _ := os.ReadFile(requests); b.killTarget != nil && strings.HasPrefix(string(text), "kill") {
				b.killTarget.Close()
				return
			}
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() { close(done); <-ended }
}

func (b *testFleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", b.chat)
	mux.HandleFunc("/v1/services/orders/{path...}", b.call)
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /debug/status", b.status)
	mux.HandleFunc("GET "+admin.PathConfig, b.showConfig)
	mux.HandleFunc("POST "+admin.PathConfig, b.apply)
	mux.HandleFunc("POST "+admin.PathTopUp, b.topUp)
	return mux
}

func (b *testFleet) status(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statusReads++
	s := routerStatus{Version: b.version + 1}
	if b.defect == revertsVersion && b.statusReads%2 == 0 {
		s.Version--
	}
	writeJSON(w, s)
}

func (b *testFleet) showConfig(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	writeJSON(w, admin.ConfigReply{Version: b.version, Document: b.doc})
}

func (b *testFleet) apply(w http.ResponseWriter, r *http.Request) {
	var request admin.ApplyRequest
	readGzipJSON(r, &request)
	b.mu.Lock()
	defer b.mu.Unlock()
	if request.Base != b.version && b.defect != dropsChanges {
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, &admin.Problem{Type: "urn:buckthornridge:problem:conflict"})
		return
	}
	b.version++
	if b.defect != dropsChanges {
		b.doc = request.Document
	}
	writeJSON(w, admin.ApplyReply{Version: b.version})
}

func (b *testFleet) topUp(w http.ResponseWriter, r *http.Request) {
	var request admin.TopUpRequest
	readGzipJSON(r, &request)
	b.mu.Lock()
	defer b.mu.Unlock()
	id := ledger.ID{Workspace: r.PathValue("workspace"), Name: r.PathValue("budget")}
	row := &ledger.Budget{}
	_ = row.Purchase(request.Tokens)
	_ = row.Transfer("router", ledger.Holding{Delta: request.Tokens})
	b.rows[id] = row
	b.writeRows(id)
	writeJSON(w, admin.TopUpReply{Applied: true})
}

// writeRows writes a budget's rows. The caller must hold b.mu.
func (b *testFleet) writeRows(id ledger.ID) {
	row := b.rows[id]
	row.Index = []ledger.Generation{{Number: 1}}
	if b.defect == corruptsLedger {
		row.Free++
	}
	_, err := b.table.Commit(context.Background(), store.Txn{Writes: []store.Write{
		{Key: ledger.BudgetKey(id), Value: ledger.Encode(row)},
		{Key: ledger.IndexKey(id, 1), Value: b.billIndex[id]},
	}})
	if err != nil {
		panic(err)
	}
}

// bill bills a response, subject to the defect.
func (b *testFleet) bill(id ledger.ID, request string, tokens int64, nth int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	times := 1
	switch {
	case b.defect == omitsBills && nth%5 == 0:
		return
	case b.defect == billsTwice && nth%5 == 0:
		times = 2
	case b.defect == underbills && nth%5 == 0:
		tokens--
	case b.defect == overbills && nth%5 == 0:
		tokens++
	}
	for range times {
		_ = b.rows[id].Bill("router", min(tokens, b.rows[id].Holders["router"].Held))
		b.billIndex[id] = binary.BigEndian.AppendUint64(b.billIndex[id], xxhash.Sum64String(request))
	}
	b.writeRows(id)
}

// checkBudget counts a request and reports whether its budget covers it.
func (b *testFleet) checkBudget(id ledger.ID, tokens int64) (nth int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestCount++
	return b.requestCount, b.defect == ignoresBudget || b.rows[id].Holders["router"].Held >= tokens
}

// nextTruncates reports whether the next response that the defect may truncate is
// truncated: each fifth one. Counted among all requests, some orders of arrival would
// have none.
func (b *testFleet) nextTruncates() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.truncatable++
	return b.truncatable%5 == 0
}

func writeJSON(w http.ResponseWriter, body any) { _ = json.NewEncoder(w).Encode(body) }

// announceEngine puts the engine on the platform's VM list.
func (b *testFleet) announceEngine(t *testing.T) {
	t.Helper()
	vm := store.VM{ID: "engine-1", Incarnation: "1", Role: "engine", Address: b.engine.address(), State: store.VMLive}
	if err := b.vms.Announce(t.Context(), vm); err != nil {
		t.Fatal(err)
	}
}
