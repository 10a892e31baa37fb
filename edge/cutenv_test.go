package edge

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"buckthornridge/budget/allowance"
	"buckthornridge/peer"
	"buckthornridge/relay"
	"buckthornridge/settings"
	"buckthornridge/store"
	"buckthornridge/testnet"
)

// Moments of a test's run. judgedFrom is the end of the time that a VM is given to find
// another path.
const (
	cutAt      = 2 * time.Second
	judgedFrom = cutAt + 3*time.Second
	healAt     = cutAt + 6*time.Second
	runLength  = healAt + 3*time.Second
	// requestInterval is the time between two requests at one VM.
	requestInterval = 100 * time.Millisecond
	requestTimeout  = 1500 * time.Millisecond
)

// cutEnv is a fleet of entry processes before the upstreams of two services.
type cutEnv struct {
	t      *testing.T
	net    *testnet.Network
	vms    []*Process
	byName map[string][]string // addresses of upstreams by service
	ctx    context.Context
	// forwardedBefore is how many requests each VM had forwarded ownPathWithin after the
	// end of the cuts.
	forwardedBefore []int64

	spans    runLog
	answers  atomic.Int64
	flooded  atomic.Int64 // bytes written by /flood/
	mu       sync.Mutex
	runs     map[string]int  // by request
	ended    map[string]bool // runs that the upstream gave up, by request
	attempts []attemptResult
}

// attemptResult is what a caller got.
type attemptResult struct {
	vm         int
	path       string
	at, took   time.Duration
	status     int
	whole      bool
	retryAfter bool
	id         string
}

func callerTimeout(path string) time.Duration {
	if path == "/long/" {
		return longTimeout
	}
	return requestTimeout
}

func testProtocol() Protocol {
	return Protocol{
		ReadRequest: func(r *http.Request) (*relay.Request, *relay.Problem) {
			id := r.Header.Get("Id")
			return &relay.Request{
				ID: id, Host: r.Host, Authority: r.Host, Method: r.Method, Target: r.URL.Path, Path: r.URL.Path,
				Header: http.Header{"Id": {id}}, Arrived: time.Now(), CallerTimeout: callerTimeout(r.URL.Path),
				LastEventID: r.Header.Get("Last-Event-Id"), Origin: r.Header.Get("Origin"),
			}, nil
		},
		WriteProblem: func(h http.Header, p *relay.Problem) {
			if p.RetryAfter > 0 {
				h.Set("Retry-After", strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64))
			}
		},
		WriteHeader: func(out relay.OutgoingRequest) http.Header {
			return http.Header{
				"Id": {out.Request.ID}, "Content-Length": {strconv.Itoa(len(out.Request.Body))},
				"Last-Event-Id": {out.LastEventID}, "Left": {strconv.FormatInt(out.Remaining.Milliseconds(), 10)},
			}
		},
		WriteDeadline: func(h http.Header, remaining time.Duration) {
			h.Set("Left", strconv.FormatInt(remaining.Milliseconds(), 10))
		},
		ReadHead: func(status int, h http.Header) relay.Head {
			return relay.Head{Status: status, Header: h, Signed: h.Get("Signed") != "", NotExecuted: h.Get("Not-Run") != ""}
		},
		ResponseMatches: func(id string, h http.Header) bool { return h.Get("Id") == id },
		ReadProcess: func(status int, body []byte) (int64, bool) {
			text, _, _ := strings.Cut(string(body), " ")
			process, err := strconv.ParseInt(text, 10, 64)
			return process, err == nil && status == http.StatusOK
		},
		ReadRuns: func(_ int, body []byte) ([]string, bool) {
			return strings.Fields(string(body))[1:], true
		},
	}
}

var testServices = map[string]int{"engine": 12, "orders": 4}

func newCutEnv(t *testing.T, vms int) *cutEnv {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	e := &cutEnv{t: t, net: testnet.NewNetwork(), byName: map[string][]string{}, ctx: ctx, runs: map[string]int{}, ended: map[string]bool{}}
	t.Cleanup(func() {
		cancel()
		for _, p := range e.vms {
			p.peerSrv.Close()
			p.peers.client.Close()
		}
		e.net.Close()
		for _, p := range e.vms {
			p.tasks.Wait()
		}
	})
	for service, count := range testServices {
		for i := range count {
			address := fmt.Sprintf("%s-%d:1", service, i)
			e.byName[service] = append(e.byName[service], address)
			server := &http.Server{Handler: http.HandlerFunc(e.serveUpstream)}
			l := e.net.Listen(address)
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { server.Close() })
		}
	}
	for i := range vms {
		e.vms = append(e.vms, e.newVM(i))
	}
	for _, p := range e.vms {
		e.join(p)
	}
	return e
}

// upstreams returns the addresses of all upstreams.
func (e *cutEnv) upstreams() []string { return slices.Concat(e.byName["engine"], e.byName["orders"]) }

func vmName(i int) string      { return fmt.Sprint("vm-", i) }
func peerAddress(i int) string { return fmt.Sprintf("%s:9", vmName(i)) }

// newVM returns a process whose connections are those of the test's network.
func (e *cutEnv) newVM(i int) *Process {
	protocol := testProtocol()
	protocol.ProcessQuestion = processQuestion
	return newTestVM(e.t, e.net, i, Adapter{Table: store.NewFake(store.FakeOptions{}).As(vmName(i)).Table, Protocol: protocol}, func(key string, _ []byte) (relay.Upstream, error) {
		service, _, _ := strings.Cut(key, "-")
		return relay.Upstream{ID: key, Address: key + ":1", Service: service, Slots: 64, Start: 1}, nil
	})
}

// newTestVM returns a process whose connections are those of a network in memory.
func newTestVM(t *testing.T, network *testnet.Network, i int, adapter Adapter, decode func(string, []byte) (relay.Upstream, error)) *Process {
	t.Helper()
	adapter.Upstream, adapter.DialUpstream = decode, network.Dialer(vmName(i))
	p, err := New(Settings{
		VM: vmName(i), IP: "10.0.0.1", DataCentre: "d", Listen: "-", ReadyListen: "-", PeerListen: peerAddress(i), Store: "-",
		DrainLimit: settings.Duration(8 * time.Second), ConfigurationInForce: settings.Duration(2 * time.Second),
		RetryBudget: RetrySettings{Share: 0.2, Extra: 50, Window: settings.Duration(10 * time.Second)},
	}, adapter)
	if err != nil {
		t.Fatal(err)
	}
	p.peers.client = peer.NewClient(nil)
	p.peers.client.DialContext = network.Dialer(vmName(i))
	l := network.Listen(peerAddress(i))
	go func() { _ = p.peerSrv.Serve(l) }()
	return p
}

// join gives a process the list of members, the configuration and the upstreams.
func (e *cutEnv) join(p *Process) {
	for i := range e.vms {
		p.peers.fleet = append(p.peers.fleet, allowance.Peer{VM: vmName(i), DataCentre: "d", Strength: 1})
		if vmName(i) != p.settings.VM {
			p.peers.addresses[vmName(i)] = peerAddress(i)
		}
	}
	d := relay.Definition{Version: 1}
	for service, count := range testServices {
		d.Services = append(d.Services, relay.Service{Name: service, Slots: 64, Engine: service == "engine"})
		for i := range count {
			p.fleet.apply(writeOf(fmt.Sprintf("%s-%d", service, i), "ready"))
		}
	}
	for _, r := range []relay.Route{
		{Name: "once", Prefix: "/once/", Kind: relay.AtMostOnce, Attempts: 1, Services: []relay.WeightedService{{Service: "orders", Weight: 1}}},
		{Name: "read", Prefix: "/read/", Kind: relay.Idempotent, Attempts: 2, Services: []relay.WeightedService{{Service: "orders", Weight: 1}}},
		{Name: "endless", Prefix: "/endless/", Kind: relay.Idempotent, Attempts: 1, Services: []relay.WeightedService{{Service: "orders", Weight: 1}}},
		{Name: "stream", Prefix: "/stream/", Kind: relay.Stream, Attempts: 1, Services: []relay.WeightedService{{Service: "engine", Weight: 1}}},
		{Name: "long", Prefix: "/long/", Kind: relay.Resumable, Attempts: 3, Timeout: longTimeout, Services: []relay.WeightedService{{Service: "engine", Weight: 1}}},
		{Name: "resume", Prefix: "/resume/", Kind: relay.Resumable, Attempts: 2, Services: []relay.WeightedService{{Service: "engine", Weight: 1}}},
	} {
		r.Host, r.Public, r.Timeout, r.TargetLatency = "h", true, cmp.Or(r.Timeout, 5*time.Second), 100*time.Millisecond
		d.Routes = append(d.Routes, r)
	}
	p.activate(relay.NewCatalogue(d))
	p.tasks.Go(func() { p.maintain(e.ctx) })
}

var testPaths = []string{"/once/", "/read/", "/stream/", "/resume/"}

// floodBytes is the size of a response of /flood/.
const floodBytes = 2 << 20

// streamEvents is the length of each stream. An upstream closes its connection after one
// of closeEvery answers.
const (
	streamEvents = 4
	closeEvery   = 4
)

// serveUpstream answers plain requests at once and streams in events.
func (e *cutEnv) serveUpstream(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == processQuestion {
		fmt.Fprint(w, strings.Join(append([]string{"1"}, e.spans.current()...), " "))
		return
	}
	id := r.Header.Get("Id")
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	w.Header().Set("Id", id)
	w.Header().Set("Signed", "yes")
	w.Header().Set("Keep-Alive", "timeout=20")
	if e.answers.Add(1)%closeEvery == 0 {
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(r.URL.Path, "/once/") || strings.HasPrefix(r.URL.Path, "/read/") {
		time.Sleep(15 * time.Millisecond)
		fmt.Fprint(w, "answer to "+id)
		return
	}
	if r.URL.Path == "/flood/" {
		for part := make([]byte, 1<<10); e.flooded.Load() < floodBytes; e.flooded.Add(int64(len(part))) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
		return
	}
	if r.URL.Path == "/long/" {
		e.serveLong(w, r, id)
		return
	}
	if r.URL.Path == "/endless/" {
		<-r.Context().Done()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.ended[id] = true
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(30 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return
		}
	}
}

// isWhole reports whether a body is the whole answer to a request.
func isWhole(path, id, body string) bool {
	if path == "/once/" || path == "/read/" {
		return body == "answer to "+id
	}
	want := ""
	for n := 1; n <= streamEvents; n++ {
		want += fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
	}
	return body == want
}

// ask sends a request to a VM and records what its caller gets.
func (e *cutEnv) ask(ctx context.Context, vm int, path, id string, at time.Duration) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, nil)
	r.Header.Set("Id", id)
	w := &safeRecorder{ResponseRecorder: httptest.NewRecorder()}
	began := time.Now()
	func() {
		defer func() {
			if problem := recover(); problem != nil && problem != http.ErrAbortHandler {
				panic(problem)
			}
		}()
		e.vms[vm].callers.Handler.ServeHTTP(w, r)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, attemptResult{
		vm: vm, path: path, at: at, took: time.Since(began), status: w.Code, id: id,
		whole: w.Code == http.StatusOK && isWhole(path, id, w.Body.String()), retryAfter: w.Header().Get("Retry-After") != "",
	})
}

// last returns the result that came last.
func (e *cutEnv) last() attemptResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts[len(e.attempts)-1]
}

// safeRecorder is a recorder whose body may be written in parts.
type safeRecorder struct{ *httptest.ResponseRecorder }

// Write implements io.Writer.
func (r *safeRecorder) Write(b []byte) (int, error) { return r.ResponseRecorder.Write(bytes.Clone(b)) }

// seedCount returns how many seeds a test runs: as many as an environment variable says.
func seedCount(t *testing.T, variable string, standard int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return standard
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// changePlan holds what is changed in a run, by its moments.
type changePlan map[time.Duration]func()

// add adds a change at a moment that may have others.
func (p changePlan) add(at time.Duration, change func()) {
	at = at.Truncate(10 * time.Millisecond)
	earlier := p[at]
	p[at] = func() {
		if earlier != nil {
			earlier()
		}
		change()
	}
}

// load sends requests to all VMs until the run's end; change is called at each moment that
// it names.
func (e *cutEnv) load(changes map[time.Duration]func()) {
	var requests sync.WaitGroup
	for now, n := time.Duration(0), 0; now < runLength; now += 10 * time.Millisecond {
		if change := changes[now]; change != nil {
			change()
		}
		if now == healAt+ownPathWithin {
			for _, p := range e.vms {
				e.forwardedBefore = append(e.forwardedBefore, p.forward.sent.Load())
			}
		}
		if now%requestInterval == 0 {
			n++
			for vm := range e.vms {
				path := testPaths[(n+vm)%len(testPaths)]
				id := fmt.Sprintf("%d-%d", vm, n)
				requests.Go(func() { e.ask(e.t.Context(), vm, path, id, now) })
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	requests.Wait()
}

// tally counts the first attempts at some VMs from judgedFrom until the end of the cut.
func (e *cutEnv) tally(vms func(vm int) bool) (served, all int) {
	for _, a := range e.attempts {
		if vms(a.vm) && a.at >= judgedFrom && a.at < healAt {
			all++
			if a.whole {
				served++
			}
		}
	}
	return served, all
}

// checkPromises checks what holds whatever is cut: no request that must not be repeated
// runs twice, and what is answered as not run has not run.
func (e *cutEnv) checkPromises(t *testing.T) {
	t.Helper()
	for _, a := range e.attempts {
		runs := e.runs[a.id]
		if (a.path == "/once/" || a.path == "/stream/") && runs > 1 {
			t.Errorf("%s %s ran %d times", a.path, a.id, runs)
		}
		if a.status == http.StatusServiceUnavailable && runs > 0 {
			t.Errorf("%s %s was answered as not run and ran %d times", a.path, a.id, runs)
		}
	}
}
