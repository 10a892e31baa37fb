package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/pem"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/admin"
	"buckthornridge/config"
	"buckthornridge/store"
)

const (
	ownerToken   = "lw-admin-platform-owner-example"
	studiosToken = "lw-admin-studios-operator-example"
	firstToken   = "bootstrap"
)

// bench is a fleet's API with a copy of the example folder.
type bench struct {
	t    *testing.T
	url  string
	dir  string
	fake *store.Fake
	w    *config.Watcher
}

// processes are a fleet in which one process does not answer.
type processes struct{ admin.Processes }

const silentPeer = "127.0.0.1:2"

func (processes) Drain(_ context.Context, address string) error {
	if address == silentPeer {
		return errors.New("no route")
	}
	return nil
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, dir: t.TempDir(), fake: store.NewFake(store.FakeOptions{})}
	if err := os.CopyFS(b.dir, os.DirFS("../examples/lankawrap")); err != nil {
		t.Fatal(err)
	}
	services := b.fake.As("vm-1")
	store := config.NewStore(services.Table)
	b.w = config.NewWatcher(config.WatcherOptions{Table: store, Interval: time.Millisecond})
	if err := b.w.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(admin.NewServer(admin.Options{Store: store, Watcher: b.w, Table: services.Table,
		VMs: services.VMs, Budgets: admin.NewBudgets(services.Table), Processes: processes{},
		Bootstrap: fmt.Sprintf("%x", sha256.Sum256([]byte(firstToken))), Timeout: time.Second}))
	b.url = server.URL
	t.Cleanup(func() {
		server.Close()
		if err := b.w.Stop(); err != nil {
			t.Error(err)
		}
	})
	return b
}

// run runs the program and returns its exit code and all that it printed.
func (b *bench) run(token string, args ...string) (int, string) {
	b.t.Setenv("BUCKTHORN_TOKEN", token)
	var out bytes.Buffer
	code := Run(context.Background(), append([]string{"--api", b.url}, args...), &out, &out)
	return code, out.String()
}

// want runs the program and fails unless it ends with code and prints each text.
func (b *bench) want(code int, token string, args []string, texts ...string) {
	b.t.Helper()
	got, out := b.run(token, args...)
	if got != code {
		b.t.Fatalf("%v: exit code %d, want %d: %s", args, got, code, out)
	}
	for _, text := range texts {
		if !strings.Contains(out, text) {
			b.t.Fatalf("%v: want %q in: %s", args, text, out)
		}
	}
}

func (b *bench) edit(name, old, text string) {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	data, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(data), old) {
		b.t.Fatal("nothing to edit", err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), old, text, 1)), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) await(version config.Version) {
	for b.w.State().Version < version {
		time.Sleep(time.Millisecond)
	}
}

// applied has the folder as version 1.
func applied(t *testing.T) *bench {
	b := newBench(t)
	b.want(ExitOK, firstToken, []string{"apply", b.dir}, "version 1")
	b.await(1)
	return b
}

func TestFolderCommands(t *testing.T) {
	b := newBench(t)
	b.want(ExitOK, "", []string{"check", b.dir}, "8 files, no faults")
	b.want(ExitOK, "", []string{"show", b.dir}, "workspaces.studio-kandy.share = 3\t# "+filepath.Join(b.dir, "70-workspaces.jsonc")+":12:16")
	b.edit("70-workspaces.jsonc", `"team": "studios"`, `"team": "studio"`)
	b.want(ExitFailed, "", []string{"check", b.dir}, "70-workspaces.jsonc:5:7", `did you mean "studios"?`)
	b.want(ExitUsage, "", []string{"check"}, "DIR is required")
	b.want(ExitUsage, "", nil, "a sub command is needed")
	b.want(ExitUsage, "", []string{"topup", "no-slash", "5", "--id", "x"}, "want WORKSPACE/BUDGET")
	b.want(ExitOK, "", []string{"apply", "--help"}, "--base")
}

func TestABadFolderIsNotSent(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.edit("10-fleet.jsonc", `"name": "lankawrap"`, `"nam": "lankawrap"`)
	b.want(ExitFailed, firstToken, []string{"apply", b.dir}, `unknown key "nam"`)
	is.Equal(len(b.fake.Dump("")), 0)
}

func TestApplyDiffHistoryAndShow(t *testing.T) {
	is := is.New(t)
	b := applied(t)
	b.want(ExitOK, ownerToken, []string{"diff", b.dir}, "accepted: version 1", "no differences")
	b.edit("70-workspaces.jsonc", `"share": 3`, `"share": 5`)
	b.want(ExitOK, ownerToken, []string{"diff", b.dir}, "~ workspaces.studio-kandy.share: 3 -> 5")
	b.want(ExitOK, ownerToken, []string{"apply", b.dir}, "version 2")
	b.want(ExitOK, ownerToken, []string{"history"}, "platform/owner/", "bootstrap/owner/")
	b.want(ExitOK, ownerToken, []string{"show", "--version-number", "1"}, `"share": 3`)
	b.want(ExitOK, ownerToken, []string{"status"}, "accepted: version 2")
	b.want(ExitOK, ownerToken, []string{"audit"}, "apply", "done")
	text, err := os.ReadFile(filepath.Join(b.dir, versionFile))
	is.NoErr(err)
	is.Equal(string(text), "2\n")
	b.want(ExitFailed, "guess", []string{"status"}, "unauthorized")
}

// Ann and Ben have a copy each. Ann applies first. Ben must be shown what she
// changed; and a copy that does not say what it is based on must not be applied
// over the accepted version as if it were newer.
func TestASecondCopyDoesNotUndoTheFirst(t *testing.T) {
	is := is.New(t)
	b := applied(t)
	ben := t.TempDir()
	is.NoErr(os.CopyFS(ben, os.DirFS(b.dir)))
	b.edit("70-workspaces.jsonc", `"share": 3`, `"share": 5`)
	b.want(ExitOK, ownerToken, []string{"apply", b.dir}, "version 2")
	b.want(ExitFailed, ownerToken, []string{"apply", ben}, "conflict", "~ workspaces.studio-kandy.share: 3 -> 5", "--base 2")
	is.NoErr(os.Remove(filepath.Join(ben, versionFile)))
	b.want(ExitFailed, ownerToken, []string{"apply", ben}, "does not say which it is based on")
	b.want(ExitOK, ownerToken, []string{"apply", ben, "--base", "2"}, "version 3")
}

// The answer to an apply is lost for longer than the tool waits. The operator
// asks again with the same id, and learns which version it became.
func TestApplyAgainWithTheSameID(t *testing.T) {
	b := applied(t)
	b.edit("70-workspaces.jsonc", `"share": 3`, `"share": 5`)
	args := []string{"--patience", "0s", "apply", b.dir, "--id", "mine"}
	isVersion := func(call store.Call) bool { return call.Step == store.StepCommit && len(call.Txn.Writes) > 2 }
	b.fake.SetHooks(store.Hooks{Before: func(call store.Call) {
		if isVersion(call) {
			b.fake.UpdateFaults(func(f *store.Faults) { f.LoseNext = 1 })
		}
	}, After: func(call store.Call, _ error) {
		if isVersion(call) {
			b.fake.UpdateFaults(func(f *store.Faults) { f.Down = true })
		}
	}})
	b.want(ExitFailed, ownerToken, args, "apply again with --base 1 --id mine")
	b.fake.SetHooks(store.Hooks{})
	b.fake.SetFaults(store.Faults{})
	b.want(ExitOK, ownerToken, args, "version 2")
}

func TestTeamAndBudgets(t *testing.T) {
	is := is.New(t)
	b := applied(t)
	team := t.TempDir()
	text, err := os.ReadFile(filepath.Join(b.dir, "70-workspaces.jsonc"))
	is.NoErr(err)
	drop := `{"workspaces": {"counter-colombo": null, "counter-kandy": null, "counter-kalutara": null}}`
	is.NoErr(os.WriteFile(filepath.Join(team, "1.jsonc"), text, 0o600))
	is.NoErr(os.WriteFile(filepath.Join(team, "2.jsonc"), []byte(drop), 0o600))
	args := []string{"--team", "studios", "--base", "1"}
	b.want(ExitOK, studiosToken, []string{"diff", team, "--team", "studios"}, "no differences")
	is.NoErr(os.WriteFile(filepath.Join(team, "3.jsonc"), []byte(`{"workspaces": {"studio-galle": {"budgets": {"extra": {}}}}}`), 0o600))
	b.want(ExitOK, studiosToken, append([]string{"apply", team}, args...), "version 2")
	b.want(ExitFailed, studiosToken, []string{"apply", b.dir, "--base", "2"}, "forbidden")

	kandy := "studio-kandy/main"
	b.want(ExitOK, studiosToken, []string{"topup", kandy, "500", "--id", "p1"}, "500 tokens added")
	b.want(ExitOK, studiosToken, []string{"topup", kandy, "500", "--id", "p1"}, "nothing was added")
	b.want(ExitOK, studiosToken, []string{"budget", kandy}, "purchased 500", "free 500")
	b.want(ExitFailed, studiosToken, []string{"budget", "counter-kandy/main"}, "not found")
	b.want(ExitOK, ownerToken, []string{"audit", "--budgets"}, `"purchased": 500`, `"violations": []`)
	b.want(ExitFailed, ownerToken, []string{"drain", "vm-7"}, "no process on a VM vm-7")
}

// An operator drains a VM on which one process hangs. The tool must say which
// one goes on, and not show both as live.
func TestDrain(t *testing.T) {
	is := is.New(t)
	b := applied(t)
	list := b.fake.As("vm-1").VMs
	router := store.VM{ID: "vm-1", Incarnation: "1", Role: "router", State: store.VMLive, PeerAddress: "127.0.0.1:1"}
	is.NoErr(list.Announce(t.Context(), router))
	b.want(ExitOK, ownerToken, []string{"drain", "vm-1"}, "router vm-1 begins its planned stop")
	silent := store.VM{ID: "vm-1/control", Incarnation: "1", Role: "control", State: store.VMLive, PeerAddress: silentPeer}
	is.NoErr(list.Announce(t.Context(), silent))
	b.want(ExitFailed, ownerToken, []string{"drain", "vm-1"}, "router vm-1 begins its planned stop",
		"control vm-1/control did not answer: no route", "1 of 2 processes")
}

func TestTLS(t *testing.T) {
	is := is.New(t)
	b := applied(t)
	plain, err := url.Parse(b.url)
	is.NoErr(err)
	secured := httptest.NewTLSServer(httputil.NewSingleHostReverseProxy(plain))
	defer secured.Close()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	is.NoErr(os.WriteFile(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secured.Certificate().Raw}), 0o600))
	b.url = secured.URL
	b.want(ExitOK, ownerToken, []string{"--ca", ca, "status"}, "accepted: version 1")
	b.want(ExitFailed, ownerToken, []string{"status"}, "certificate")
	b.want(ExitFailed, ownerToken, []string{"--ca", ca + "x", "status"}, "read CA")
	b.want(ExitFailed, ownerToken, []string{"--cert", ca, "--key", ca, "status"}, "read certificate")
}
