package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"buckthornridge/admin"
	"buckthornridge/config"
	"buckthornridge/settings"
	standin "buckthornridge/standin/platform"
	"buckthornridge/store"
	"buckthornridge/testnet"
)

const (
	bootstrapToken  = "bootstrap-example"
	bootstrapDigest = "f1eb3f88240566cbd954fb97c91357c052ba1454e80635d7b72793d9a93b8e5e"
	ownerToken      = "lw-admin-platform-owner-example"
)

// testEnv runs a stand-in platform and control processes on loopback.
type testEnv struct {
	t        *testing.T
	platform *standin.Server
	address  string
	controls []*Control
}

func newTestEnv(t *testing.T) *testEnv {
	e := &testEnv{t: t, platform: standin.NewServer(standin.DefaultSettings())}
	server := httptest.NewServer(e.platform)
	e.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		for _, c := range e.controls {
			if err := c.Stop(); err != nil {
				t.Error(err)
			}
		}
		server.Close()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return e
}

func (e *testEnv) start(vm string, seeds ...string) *Control {
	e.t.Helper()
	s := DefaultSettings()
	s.VM, s.DataCentre, s.Region = vm, "colombo-a", "lk-west"
	s.Platform, s.AdminListen, s.PeerListen = e.address, testnet.FreeAddress(e.t), testnet.FreeAddress(e.t)
	s.Peers, s.Bootstrap, s.LeaseTTL = seeds, bootstrapDigest, settings.Duration(time.Second)
	if err := s.Validate(); err != nil {
		e.t.Fatal(err)
	}
	c, err := New(s)
	if err != nil {
		e.t.Fatal(err)
	}
	if err := c.Start(e.t.Context()); err != nil {
		e.t.Fatal(err)
	}
	e.controls = append(e.controls, c)
	return c
}

func client(c *Control, token string) *admin.Client {
	return &admin.Client{Base: "http://" + c.settings.AdminListen, Token: token, HTTP: http.DefaultClient, RetryTimeout: 10 * time.Second}
}

// eventually waits until a condition holds. The test's time limit bounds it.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *testEnv) applyExample(c *Control) {
	e.t.Helper()
	merged, err := config.LoadFolder("../examples/lankawrap")
	if err != nil {
		e.t.Fatal(err)
	}
	reply, err := client(c, bootstrapToken).Apply(e.t.Context(), 0, "first", merged.Root.JSON())
	if err != nil || reply.Version != 1 {
		e.t.Fatal(reply, err)
	}
}

func readyz(t *testing.T, c *Control) (int, string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	c.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/readyz", nil))
	return recorder.Code, recorder.Body.String()
}

// holds reports whether a control process holds the lease of a duty.
func holds(c *Control, name string) bool {
	held := c.duties.Counters.Held.Get(name)
	return held != nil && held.String() == "1"
}

// Two control processes follow one configuration and report each other's status.
// Exactly one of them holds a duty's lease, and the other one must acquire it when
// the holder drains.
func TestTwoProcessesShareDuties(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t)
	first, second := e.start("vm-1"), e.start("vm-2")
	code, reason := readyz(t, second)
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(strings.Contains(reason, "no configuration"))

	e.applyExample(first)
	eventually(func() bool { return first.Ready() == nil && second.Ready() == nil })
	code, _ = readyz(t, second)
	is.Equal(code, http.StatusOK)
	var status admin.StatusReply
	eventually(func() bool {
		var err error
		status, err = client(second, ownerToken).Status(t.Context())
		return err == nil && len(status.Processes) == 2
	})
	for _, p := range status.Processes {
		is.Equal(p.Version, config.Version(1))
		is.Equal(p.Error, "")
	}
	eventually(func() bool { return holds(first, "reclaim") || holds(second, "reclaim") })
	is.True(holds(first, "reclaim") != holds(second, "reclaim"))

	_, err := client(second, ownerToken).Drain(t.Context(), "vm-1")
	is.NoErr(err)
	<-first.StopRequested()
	is.NoErr(first.Drain(t.Context()))
	code, reason = readyz(t, first)
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(strings.Contains(reason, "leaving"))
	eventually(func() bool { return holds(second, "reclaim") && holds(second, "prune") })
}

// A VM is replaced during a platform outage. The new process can't read the VM
// list, so it must get the configuration from the peers in its settings.
func TestNewProcessDuringOutage(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t)
	first := e.start("vm-1")
	e.applyExample(first)
	eventually(func() bool { return first.Ready() == nil })
	e.platform.Fake().SetFaults(store.Faults{Down: true})
	replacement := e.start("vm-2", first.settings.PeerListen)
	eventually(func() bool { return replacement.Ready() == nil })
	is.Equal(replacement.watcher.State().Digest, first.watcher.State().Digest)
}

func TestInvalidSettings(t *testing.T) {
	good := DefaultSettings()
	good.VM, good.DataCentre, good.Region, good.Platform = "v", "d", "r", "127.0.0.1:1"
	good.AdminListen, good.PeerListen = "127.0.0.1:2", "127.0.0.1:3"
	is.New(t).NoErr(good.Validate())
	for i, invalidate := range []func(*Settings){
		func(s *Settings) { s.VM = "" },
		func(s *Settings) { s.AdminListen = "" },
		func(s *Settings) { s.Bootstrap = "token itself" },
		func(s *Settings) { s.PeerTLS.Cert, s.PeerTLS.Key = "c", "k" },
		func(s *Settings) { s.TLS.Cert = "c" },
		func(s *Settings) { s.LeaseTTL = 0 },
		func(s *Settings) { s.DrainLimit = 0 },
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			s := good
			invalidate(&s)
			is.New(t).True(s.Validate() != nil)
		})
	}
}

// A process that never reached the platform is stopped. Drain and Stop must still
// return and leave no goroutine behind.
func TestStopWithUnreachablePlatform(t *testing.T) {
	e := newTestEnv(t)
	e.platform.Fake().SetFaults(store.Faults{Down: true, Silent: true})
	c := e.start("vm-1")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_ = c.Drain(ctx) // fails, since the VM list is unreachable
}
