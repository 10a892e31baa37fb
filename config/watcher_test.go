package config

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"go.uber.org/goleak"

	"buckthornridge/bubble"
	"buckthornridge/peer"
	"buckthornridge/store"
)

const inForceLimit = 5 * time.Second

// fleet is a set of watchers that share a fake platform and call each other directly.
type fleet struct {
	t        *testing.T
	fake     *store.Fake
	operator *Store
	doc      Document

	mu          sync.Mutex // guards the fields below
	watchers    map[string]*Watcher
	partitioned map[string]bool // VMs that are partitioned from their peers
	dropOffers  bool            // drop all offers
}

func (f *fleet) dropAllOffers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropOffers = true
}

func (f *fleet) setPartitioned(vm string, apart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[vm] = apart
}

func newFleet(t *testing.T, vms ...string) *fleet {
	fake := store.NewFake(store.FakeOptions{Faults: store.Faults{Latency: 4 * time.Millisecond}})
	f := &fleet{t: t, fake: fake, operator: newStore(fake, "operator"), doc: example(t, "lankawrap"),
		watchers: map[string]*Watcher{}, partitioned: map[string]bool{}}
	for _, vm := range vms {
		f.start(vm)
	}
	return f
}

func (f *fleet) start(vm string) *Watcher {
	w := NewWatcher(WatcherOptions{Table: newStore(f.fake, vm), Peers: func() []Peer { return f.peersOf(vm) }})
	f.mu.Lock()
	f.watchers[vm] = w
	f.mu.Unlock()
	if err := w.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	return w
}

func (f *fleet) stop() {
	for _, w := range f.watchers {
		if err := w.Stop(); err != nil {
			f.t.Error(err)
		}
	}
}

func (f *fleet) apply(version Version) {
	f.t.Helper()
	got, err := f.operator.Apply(minuteContext(f.t), version-1, withShare(f.doc, "studio-kandy", float64(version)), fmt.Sprint(version), "ann")
	if err != nil || got != version {
		f.t.Fatalf("apply %d: %d, %v", version, got, err)
	}
}

// requireInForce fails the test unless exactly version is in force on each watcher.
func (f *fleet) requireInForce(version Version, vms ...string) {
	f.t.Helper()
	for _, vm := range vms {
		snapshot := f.watchers[vm].Holder.Load()
		if snapshot == nil || snapshot.Version != version {
			f.t.Fatalf("%s: want version %d, have %+v", vm, version, f.watchers[vm].Counters.Version.Value())
		}
		if version > 0 && snapshot.Workspaces["studio-kandy"].Share != float64(version) {
			f.t.Fatalf("%s: wrong document", vm)
		}
	}
}

// localPeer is a Peer that calls another watcher of the fleet directly.
type localPeer struct {
	fleet    *fleet
	from, to string
}

var errPartitioned = eris.New("partitioned")

func (p localPeer) Name() string { return p.to }

func (p localPeer) connect() (*Watcher, error) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.fleet.partitioned[p.from] || p.fleet.partitioned[p.to] {
		return nil, errPartitioned
	}
	return p.fleet.watchers[p.to], nil
}

func (p localPeer) Head(ctx context.Context) (Head, error) {
	w, err := p.connect()
	if err != nil {
		return Head{}, err
	}
	return w.Head(ctx)
}

func (p localPeer) Since(ctx context.Context, from Version) ([]Step, error) {
	w, err := p.connect()
	if err != nil {
		return nil, err
	}
	return w.Since(ctx, from)
}

func (p localPeer) Offer(_ context.Context, version Version) error {
	w, err := p.connect()
	if p.fleet.dropOffers {
		return errPartitioned
	}
	if err == nil {
		w.HandleOffer(version, localPeer{p.fleet, p.to, p.from})
	}
	return err
}

func (f *fleet) peersOf(vm string) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []Peer
	for _, other := range sorted(f.watchers) {
		if other != vm {
			peers = append(peers, localPeer{f, vm, other})
		}
	}
	return peers
}

func runFleet(t *testing.T, vms []string, test func(t *testing.T, f *fleet)) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, vms...)
		defer f.stop()
		test(t, f)
	})
}

var threeVMs = []string{"a", "b", "c"}

func TestVersionInForceOnEveryWatcherWithinLimit(t *testing.T) {
	runFleet(t, threeVMs, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var published []Version
		observed := NewWatcher(WatcherOptions{Table: newStore(f.fake, "d"),
			OnAdvance: func(s *Snapshot) { published = append(published, s.Version) }})
		is.NoErr(observed.Start(t.Context()))
		for version := Version(1); version <= 5; version++ {
			f.apply(version)
			time.Sleep(inForceLimit)
			f.requireInForce(version, threeVMs...)
		}
		is.NoErr(observed.Stop())
		is.Equal(published, []Version{1, 2, 3, 4, 5})
	})
}

// Guards against a VM that keeps an old version, with old keys and upstreams, while it
// is partitioned from the table but not from its peers. Calls to the table fail or get
// no response. Offers are dropped, so the VM must poll its peers.
func TestPartitionedFromTableButNotFromPeers(t *testing.T) {
	for _, silent := range []bool{false, true} {
		runFleet(t, threeVMs, func(t *testing.T, f *fleet) {
			is := is.New(t)
			f.dropAllOffers()
			f.apply(1)
			time.Sleep(inForceLimit)
			pollsBefore := f.watchers["a"].Counters.PeerPolls.Value()
			f.fake.SetFaults(store.Faults{PartitionedVMs: []string{"c"}, Silent: silent})
			for version := Version(2); version <= 4; version++ {
				time.Sleep(time.Minute)
				f.apply(version)
				time.Sleep(inForceLimit)
				f.requireInForce(version, threeVMs...)
			}
			is.NoErr(f.watchers["c"].Ready())
			is.Equal(f.watchers["a"].Counters.PeerPolls.Value(), pollsBefore) // its table responds
		})
	}
}

// Guards against a new VM that has no configuration, or an old one, while the table is
// down. It must take the highest version of its peers, one of which is behind because
// it was partitioned for a while.
func TestNewVMDuringOutageTakesHighestVersionOfPeers(t *testing.T) {
	runFleet(t, threeVMs, func(t *testing.T, f *fleet) {
		f.apply(1)
		time.Sleep(inForceLimit)
		f.setPartitioned("b", true)
		f.fake.SetFaults(store.Faults{PartitionedVMs: []string{"b"}})
		f.apply(2)
		time.Sleep(inForceLimit)
		f.requireInForce(1, "b")
		f.setPartitioned("b", false)
		f.fake.SetFaults(store.Faults{Down: true, Silent: true})
		f.start("d")
		time.Sleep(inForceLimit)
		f.requireInForce(2, "a", "b", "c", "d")
	})
}

// Guards against intermediate or lower versions after a long partition. A VM is
// partitioned from the table and its peers for an hour, during which more versions are
// accepted than peers keep steps for. It keeps its version, and after the partition
// changes directly to the latest one.
func TestVMCatchesUpAfterOneHourPartition(t *testing.T) {
	runFleet(t, threeVMs, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.apply(1)
		time.Sleep(inForceLimit)
		f.setPartitioned("c", true)
		f.fake.SetFaults(store.Faults{PartitionedVMs: []string{"c"}, Silent: true})
		last := Version(1)
		for last < maxRecentSteps+20 {
			last++
			f.apply(last)
			time.Sleep(time.Hour / (maxRecentSteps + 20))
		}
		f.requireInForce(1, "c")
		is.NoErr(f.watchers["c"].Ready())
		f.setPartitioned("c", false) // it is still partitioned from the table
		time.Sleep(inForceLimit)
		f.requireInForce(last, threeVMs...)
		is.Equal(f.watchers["c"].Counters.Advances.Value(), int64(2))
	})
}

// Guards against reverting to an older version, which would restore a revoked key.
// After an outage the table returns an older head, from a lagging read or a restored
// copy. A new VM first gets the older head and later the newer one from its peers.
func TestNeverRevertsToOlderHeadOfTable(t *testing.T) {
	runFleet(t, threeVMs, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.apply(1)
		before := f.fake.Dump("config/")
		f.apply(2)
		f.apply(3)
		time.Sleep(inForceLimit)
		f.requireInForce(3, threeVMs...)
		restore(t, f.fake, before)
		time.Sleep(time.Minute)
		f.requireInForce(3, threeVMs...)
		is.True(f.watchers["a"].Counters.StaleHeads.Value() > 10)
		f.setPartitioned("d", true)
		f.start("d")
		time.Sleep(inForceLimit)
		f.requireInForce(1, "d")
		f.setPartitioned("d", false)
		time.Sleep(inForceLimit)
		f.requireInForce(3, "d")
	})
}

// restore overwrites rows of the table with older ones.
func restore(t *testing.T, fake *store.Fake, rows []store.Row) {
	t.Helper()
	for _, row := range rows {
		txn := store.Txn{Writes: []store.Write{{Key: row.Key, Value: row.Value}}}
		if _, err := fake.As("restore").Table.Commit(context.Background(), txn); err != nil {
			t.Fatal(err)
		}
	}
}

func TestReadyReportsReasonWithoutSource(t *testing.T) {
	runFleet(t, threeVMs, func(t *testing.T, f *fleet) {
		is := is.New(t)
		time.Sleep(inForceLimit)
		err := f.watchers["a"].Ready()
		is.True(strings.Contains(err.Error(), "holds no configuration yet"))
		is.True(strings.Contains(err.Error(), "2 asked, none holds a version"))
		f.fake.SetFaults(store.Faults{Down: true})
		f.setPartitioned("a", true)
		time.Sleep(inForceLimit)
		err = f.watchers["a"].Ready()
		is.True(strings.Contains(err.Error(), "table: read config/head"))
		is.True(strings.Contains(err.Error(), "ask b"))
		f.fake.SetFaults(store.Faults{})
		f.apply(1)
		time.Sleep(inForceLimit)
		is.NoErr(f.watchers["a"].Ready())
	})
}

// Guards against adopting corrupt data. If a row of the table is corrupt, the watcher
// keeps its version, requests the full document, and continues when it gets an intact
// one.
func TestCorruptStepKeepsVersionInForce(t *testing.T) {
	runFleet(t, []string{"a"}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.apply(1)
		time.Sleep(inForceLimit)
		f.fake.SetFaults(store.Faults{PartitionedVMs: []string{"a"}})
		f.apply(2)
		intact := f.fake.Dump(versionKey(2))
		corrupt := intact[0]
		corrupt.Value = []byte(strings.Replace(string(corrupt.Value), `"digest":"`, `"digest":"0`, 1))
		restore(t, f.fake, []store.Row{corrupt})
		f.fake.SetFaults(store.Faults{})
		time.Sleep(inForceLimit)
		f.requireInForce(1, "a")
		is.True(f.watchers["a"].Counters.CorruptSteps.Value() > 0)
		restore(t, f.fake, intact)
		time.Sleep(inForceLimit)
		f.requireInForce(2, "a")
	})
}

func TestPeerProtocol(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	fake := store.NewFake(store.FakeOptions{})
	doc := withWorkspaces(example(t, "lankawrap"), 500)
	_, err := newStore(fake, "op").Apply(minuteContext(t), 0, doc, "1", "ann")
	is.NoErr(err)
	first := NewWatcher(WatcherOptions{Table: newStore(fake, "a")})
	first.pollTable(t.Context())
	is.NoErr(first.Ready())

	client := peer.NewClient(nil)
	server := peer.NewServer()
	Serve(server, first, client)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go server.Serve(listener)

	fake.SetFaults(store.Faults{Down: true})
	addresses := func() []string { return []string{"self", listener.Addr().String()} }
	second := NewWatcher(WatcherOptions{Table: newStore(fake, "b"), Peers: RemotePeers(client, "self", addresses)})
	second.pollPeers(t.Context())
	is.NoErr(second.Ready())
	is.Equal(second.State().Digest, first.State().Digest)

	is.NoErr(RemotePeer{Caller: client, Address: listener.Addr().String(), Self: "x"}.Offer(t.Context(), 7))
	for first.Counters.Offers.Value() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(first.Stop())
	is.NoErr(second.Stop())
	is.NoErr(listener.Close())
	is.NoErr(client.Close())
	is.NoErr(server.Close())
}

// Guards against a VM that is ready, and refuses requests, before the modules that
// OnAdvance updates know the upstreams of its first configuration.
func TestSnapshotIsPublishedAfterOnAdvance(t *testing.T) {
	is := is.New(t)
	fake := store.NewFake(store.FakeOptions{})
	s := newStore(fake, "a")
	_, err := s.Apply(t.Context(), 0, example(t, "lankawrap"), "first", "test")
	is.NoErr(err)
	calls := 0
	var w *Watcher
	w = NewWatcher(WatcherOptions{Table: s, OnAdvance: func(*Snapshot) {
		calls++
		is.True(w.Holder.Load() == nil)
	}})
	steps, err := s.Since(t.Context(), 0)
	is.NoErr(err)
	is.NoErr(w.advance(steps))
	is.Equal(calls, 1)
	is.True(w.Holder.Load() != nil)
	is.NoErr(w.Stop())
}
