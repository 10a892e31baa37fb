package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"go.uber.org/goleak"

	"buckthornridge/settings"
	"buckthornridge/standin/engine"
	"buckthornridge/standin/service"
	"buckthornridge/store"
	"buckthornridge/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingVMList records announcements, after it has rejected the first
// failuresLeft ones with the error failure.
type recordingVMList struct {
	store.VMList
	mu           sync.Mutex
	failuresLeft int
	failure      error
	states       []store.VMState
}

func (l *recordingVMList) Announce(_ context.Context, vm store.VM) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failuresLeft > 0 {
		l.failuresLeft--
		return l.failure
	}
	l.states = append(l.states, vm.State)
	return nil
}

func (l *recordingVMList) announced(state store.VMState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.states, state)
}

// runningNode is a node that serves on the loopback interface.
type runningNode struct {
	address string
	stop    context.CancelFunc
	done    chan error
}

func runNode(t *testing.T, up Upstream, list store.VMList, grace time.Duration) runningNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := runningNode{address: listener.Addr().String(), stop: stop, done: make(chan error, 1)}
	options := Options{VM: store.VM{ID: "u-1", Incarnation: "1"}, VMList: list, LeaveGrace: grace, DrainTimeout: 10 * time.Second}
	go func() { r.done <- Run(ctx, listener, up, options) }()
	t.Cleanup(stop)
	return r
}

// waitUntil polls until another goroutine has made the condition true, and fails
// the test if that takes too long.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

func testEngine(t *testing.T) *engine.Engine {
	t.Helper()
	s := engine.DefaultSettings()
	s.Models = []string{"m"}
	s.StepBase = settings.Duration(2 * time.Millisecond)
	e, err := engine.New("u-1", s)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Guards against a planned stop that breaks an open stream. The engine stops while
// it generates a caption: the stream must still deliver all tokens, and new requests
// must be rejected as not executed.
func TestPlannedStopCompletesOpenStreams(t *testing.T) {
	is := is.New(t)
	list := &recordingVMList{}
	e := testEngine(t)
	r := runNode(t, e, list, 0)
	transport := upstream.NewTransport()
	defer transport.CloseIdleConnections()
	client := upstream.NewEngine(r.address, transport)
	g := upstream.Generate{StreamID: "w/1/1", Model: "m", Prompt: "[[tokens=150]]", MaxTokens: 200}
	stream, err := client.Generate(t.Context(), g)
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	is.NoErr(e.SetFaults(engine.Faults{Stall: true})) // keeps the stream open
	r.stop()
	waitUntil(t, "leaving is announced", func() bool { return list.announced(store.VMLeaving) })
	g.StreamID = "w/2/1"
	waitUntil(t, "new requests are rejected", func() bool {
		_, err := client.Generate(t.Context(), g)
		return errors.Is(err, upstream.ErrRefused)
	})
	is.NoErr(e.SetFaults(engine.Faults{}))
	for read := 1; ; read++ {
		if _, err = stream.Next(); err != nil {
			is.Equal(read, 150)
			break
		}
	}
	is.Equal(err, io.EOF)
	is.NoErr(stream.Close())
	is.NoErr(<-r.done)
	is.Equal(list.states, []store.VMState{store.VMLive, store.VMLeaving, store.VMGone})
	// The stream's connection became idle just before the server closed it, and the
	// client may not have noticed that yet.
	transport.CloseIdleConnections()
	_, err = client.Generate(t.Context(), g)
	is.True(errors.Is(err, upstream.ErrNotSent)) // nothing listens on the address any more
}

// Guards against a planned stop that leaves the outcome of a call unknown. Calls
// that reach a plain service within the grace period must run and get a response,
// and their connections must be closed afterwards.
func TestLeavingServiceRespondsDuringGracePeriod(t *testing.T) {
	is := is.New(t)
	s, err := service.New(service.DefaultSettings())
	is.NoErr(err)
	list := &recordingVMList{}
	r := runNode(t, s, list, time.Second)
	transport := upstream.NewTransport()
	defer transport.CloseIdleConnections()
	client := upstream.NewService(r.address, transport)
	call := upstream.Call{RequestID: "1", Method: "POST", Path: "/c"}
	_, err = client.Do(t.Context(), call)
	is.NoErr(err)
	r.stop()
	waitUntil(t, "leaving is announced", func() bool { return list.announced(store.VMLeaving) })
	for range 5 {
		_, err = client.Do(t.Context(), call)
		is.NoErr(err)
	}
	is.NoErr(<-r.done)
	_, err = client.Do(t.Context(), call)
	is.True(errors.Is(err, upstream.ErrNotSent)) // not an unknown outcome
	is.Equal(len(s.Report().Executions), 6)
	is.True(s.Report().LeavingSinceUnixMS > 0)
}

// An upstream that starts while the platform is unavailable must serve requests and
// must be announced once the platform is available.
func TestAnnouncementIsRetried(t *testing.T) {
	is := is.New(t)
	list := &recordingVMList{failuresLeft: 2, failure: eris.Wrap(store.ErrUnavailable, "announce")}
	r := runNode(t, testEngine(t), list, 0)
	resp, err := http.Get("http://" + r.address + "/v1/load")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	waitUntil(t, "live is announced", func() bool { return list.announced(store.VMLive) })
	r.stop()
	is.NoErr(<-r.done)
}

// If a newer process has the same ID, the older one must not retry its announcement
// and so compete for the entry in the VM list.
func TestRejectedAnnouncementIsNotRetried(t *testing.T) {
	is := is.New(t)
	list := &recordingVMList{failuresLeft: 1, failure: store.ErrInvalid}
	r := runNode(t, testEngine(t), list, 0)
	waitUntil(t, "the announcement is rejected", func() bool {
		list.mu.Lock()
		defer list.mu.Unlock()
		return list.failuresLeft == 0
	})
	r.stop()
	is.NoErr(<-r.done)
	is.True(!list.announced(store.VMLive))
}

func TestStopIsNotDelayedByPlatformOutage(t *testing.T) {
	is := is.New(t)
	list := &recordingVMList{failuresLeft: 1 << 30, failure: store.ErrUnavailable}
	r := runNode(t, testEngine(t), list, 0)
	r.stop()
	is.NoErr(<-r.done)
	is.Equal(len(list.states), 0)
}

// Guards against a crash that leaves an address open or work alive: a marked request ends the
// streams of others, and the node comes back as another process that knows none of them.
func TestMarkedRequestCrashesTheNode(t *testing.T) {
	is := is.New(t)
	list := &recordingVMList{}
	e := testEngine(t)
	r := runNode(t, e, list, 0)
	transport := upstream.NewTransport()
	defer transport.CloseIdleConnections()
	client := upstream.NewEngine(r.address, transport)
	stream, err := client.Generate(t.Context(), upstream.Generate{StreamID: "w/1/1", Model: "m", Prompt: "[[tokens=5000]]", MaxTokens: 6000})
	is.NoErr(err)
	_, err = client.Generate(t.Context(), upstream.Generate{StreamID: "w/2/1", Model: "m", Prompt: CrashMarker, MaxTokens: 20})
	is.True(errors.Is(err, upstream.ErrBroken))
	for err = nil; err == nil; {
		_, err = stream.Next()
	}
	is.True(errors.Is(err, upstream.ErrBroken))
	prober := upstream.Prober{Dial: (&net.Dialer{}).DialContext}
	is.True(prober.Ended(t.Context(), r.address))
	waitUntil(t, "the node is back", func() bool { return !prober.Ended(t.Context(), r.address) })
	_, err = client.Resume(t.Context(), "w/1/1", 0)
	is.True(errors.Is(err, upstream.ErrNoStream))
	r.stop()
	is.NoErr(<-r.done)
}
