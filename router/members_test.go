package router

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/budget/journal"
	"buckthornridge/membership"
	"buckthornridge/routing"
	"buckthornridge/settings"
	"buckthornridge/store"
)

// An engine that is about to stop reports itself as leaving to the router that polls
// it. Another router has not polled it yet and the VM list is frozen. Without gossip
// it would keep sending requests to an engine that refuses them.
func TestLeavingEngineIsKnownToAllRouters(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1, 100_000)
	f.fake.SetFaults(store.Faults{VMListFrozen: true})
	unpolled := f.startRouter("vm-late", f.routers[0].settings.Platform, func(s *Settings) {
		s.LoadInterval = settings.Duration(time.Hour)
		s.Peers = []string{f.routers[0].settings.PeerListen}
	})
	f.await("late router", func() bool { return unpolled.notReady() == "" && unpolled.members.routerCount() == 2 })
	pick := func() error {
		_, err := unpolled.routes.Pick(routing.Request{ID: "r", Target: routing.Target{Model: "livery"}, DataCentre: "a"})
		return err
	}
	is.NoErr(pick())
	f.engine.Leave()
	f.await("leaving", func() bool { return pick() != nil })
}

// A router starts a planned stop while the VM list is frozen. The other routers must
// learn it from gossip, so that requests for its budgets go elsewhere before it
// refuses them.
func TestLeavingRouterIsKnownWithoutVMList(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 100_000)
	f.fake.SetFaults(store.Faults{VMListFrozen: true})
	is.NoErr(f.routers[0].Drain(t.Context()))
	f.await("leaving", func() bool { return f.routers[1].members.routerCount() == 1 })
	is.Equal(f.routers[1].members.view.Load().Members["vm-1"].State, membership.Leaving)
}

// resumeEnv runs the check after pauses without the rest of a router.
type resumeEnv struct {
	ctx     context.Context
	check   resumeCheck
	fake    *store.Fake
	tracker *membership.Tracker
}

// testResume runs test in virtual time with a tracker that detects pauses.
func testResume(t *testing.T, test func(*is.I, *resumeEnv)) {
	bubble.Test(t, func(t *testing.T) {
		fake := store.NewFake(store.FakeOptions{})
		table := fake.As("vm-1").Table
		writer := journal.NewWriter(table, "vm-1#1", 0)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = writer.Run(ctx) }()
		<-writer.Ready()
		tracker := membership.NewTracker(membership.Options{Self: membership.Member{ID: "vm-1", Incarnation: "1"}})
		s := &resumeEnv{ctx: ctx, check: resumeCheck{table: table, writer: writer, tracker: tracker}, fake: fake, tracker: tracker}
		tracker.OnResume(func(gap time.Duration) { s.check.run(ctx, gap) })
		test(is.New(t), s)
	})
}

// resume ends a pause by starting the loops of the gossip.
func (s *resumeEnv) resume() {
	gossip := membership.NewGossip(s.tracker, nil)
	go gossip.Run(s.ctx)
}

// A VM is paused for a minute between a reservation and its dispatch. Meanwhile the
// platform declares it gone, its journal is sealed and its grants are reclaimed.
// After the pause the router must not dispatch the request, since other routers may
// spend the same tokens.
func TestSealedWhilePaused(t *testing.T) {
	testResume(t, func(is *is.I, s *resumeEnv) {
		is.True(s.check.waitActive())
		key := s.check.writer.Condition().Key
		_, err := s.fake.As("other").Table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: key, Delete: true}}})
		is.NoErr(err)
		time.Sleep(time.Minute)
		s.resume()
		is.True(s.check.waitActive())
		is.True(!s.check.writer.Alive())
	})
}

// A router gets no CPU time for two seconds while the table is unavailable. It can't
// have been declared gone in that time, so it must keep using its grants.
func TestShortPauseDuringOutage(t *testing.T) {
	testResume(t, func(is *is.I, s *resumeEnv) {
		s.fake.SetFaults(store.Faults{Down: true})
		time.Sleep(2 * time.Second)
		s.resume()
		is.True(s.check.waitActive())
		is.True(s.check.writer.Alive())
	})
}

// A router is paused for an hour while the table is unavailable. It may have been
// replaced before the outage, so it must dispatch nothing until the table responds.
func TestLongPauseDuringOutage(t *testing.T) {
	testResume(t, func(is *is.I, s *resumeEnv) {
		s.fake.SetFaults(store.Faults{Down: true})
		time.Sleep(time.Hour)
		s.resume()
		is.True(!s.check.waitActive())
		time.Sleep(time.Minute)
		is.True(!s.check.waitActive())
		s.fake.SetFaults(store.Faults{})
		is.True(s.check.waitActive())
		is.True(s.check.writer.Alive())
	})
}
