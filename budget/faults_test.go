package budget_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/budget"
	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/store"
)

// Two or nine routers compete for a budget's last tokens. All read the same row,
// and a grant without a condition on its version would grant the same tokens twice.
// All requests that the budget covers must be served and no others, whichever
// router holds the tokens.
func TestRaceForTheLastTokens(t *testing.T) {
	for _, routers := range []int{2, 9} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			runTest(t, 1000, func(t *testing.T, is *is.I, f *fleet) {
				var granted, refused atomic.Int64
				var clients sync.WaitGroup
				var managers []*budget.GrantManager
				for i := range routers {
					managers = append(managers, f.start(fmt.Sprint("vm-", i), "1"))
				}
				for i, m := range managers {
					for j := range 6 {
						clients.Go(func() {
							if _, err := f.reserve(m, fmt.Sprintf("r-%d-%d", i, j), 100); err == nil {
								granted.Add(1)
								return
							}
							refused.Add(1)
						})
					}
				}
				clients.Wait()
				is.Equal(granted.Load(), int64(10))
				is.Equal(refused.Load(), int64(6*routers-10))
				f.audit()
			})
		})
	}
}

// A router is partitioned from the table and its peers for an hour. It must serve
// from its grant and not beyond it, and the duties must not reclaim anything from a
// silent router. Its bills must arrive after the partition.
func TestRouterPartitionedForAnHour(t *testing.T) {
	runTest(t, 10_000, func(t *testing.T, is *is.I, f *fleet) {
		f.weight = 1
		m := f.start("vm-1", "1")
		is.NoErr(f.mustReserve(m, "warm-up", 1000).Bill(t.Context(), 1000))
		held := f.status(studio).Holders["vm-1#1"].Held
		f.faults(store.Faults{PartitionedVMs: []string{"vm-1"}})
		f.disconnect("vm-1#1")
		var spent int64
		for minute := range 60 {
			if r, err := f.reserve(m, fmt.Sprint("m-", minute), 100); err == nil {
				is.True(errors.Is(r.Bill(t.Context(), 100), budget.ErrBillPending))
				spent += 100
			}
			time.Sleep(time.Minute)
			f.duties()
		}
		is.True(spent > 0 && spent <= held)
		is.True(f.status(studio).Holders["vm-1#1"].Held+1000 >= held) // nothing reclaimed
		f.faults(store.Faults{})
		is.NoErr(m.Drain(t.Context()))
		f.duties()
		is.Equal(f.status(studio).Billed, 1000+spent)
		is.Equal(f.status(studio).Free, 9000-spent)
	})
}

// A router is paused in the middle of a dispatch, for longer than any lease, and
// resumes. Guards against a grant that is reclaimed by timeout: the tokens would be
// spent twice. The router was not declared gone, so that its grant remains valid.
func TestPausedRouterKeepsItsGrant(t *testing.T) {
	runTest(t, 1000, func(t *testing.T, is *is.I, f *fleet) {
		m := f.start("vm-1", "1")
		other := f.start("vm-2", "1")
		request := f.mustReserve(m, "in dispatch", 700)
		f.disconnect("vm-1#1")
		f.faults(store.Faults{PartitionedVMs: []string{"vm-1"}, Silent: true})
		time.Sleep(time.Hour)
		f.duties()
		_, err := f.reserve(other, "meanwhile", 700)
		is.True(err != nil)
		f.faults(store.Faults{})
		is.True(m.Alive())
		// The router knows that the table does not answer and may return without
		// waiting for it; the bill must be written by the next attempt.
		err = request.Bill(t.Context(), 600)
		is.True(err == nil || errors.Is(err, budget.ErrBillPending))
		time.Sleep(2 * time.Second)
		f.duties()
		is.Equal(f.status(studio).Billed, int64(600))
	})
}

// A router is paused in the middle of a dispatch and the platform declares it gone;
// its tokens are reclaimed and granted again. When it resumes, its bill must be
// refused, it must refuse new requests, and what it may have consumed must already
// count as lost.
func TestRouterDeclaredGoneWhilePaused(t *testing.T) {
	runTest(t, 1000, func(t *testing.T, is *is.I, f *fleet) {
		m := f.start("vm-1", "1")
		other := f.start("vm-2", "1")
		request := f.mustReserve(m, "in dispatch", 700)
		time.Sleep(time.Second)
		f.faults(store.Faults{PartitionedVMs: []string{"vm-1"}, Silent: true})
		f.declareGone("vm-1")
		state := f.status(studio)
		lost := state.Lost[budget.CauseHolderGone]
		is.True(lost >= 700)
		is.Equal(state.Free, 1000-lost)
		f.mustReserve(other, "granted again", state.Free)
		f.faults(store.Faults{})
		is.True(errors.Is(request.Bill(t.Context(), 600), journal.ErrSealed))
		is.True(!m.Alive())
		_, err := f.reserve(m, "after", 1)
		is.True(err != nil)
		f.duties()
		is.Equal(f.status(studio).Billed, int64(0))
	})
}

// A router is killed with open streams, all but the last of them recorded in its
// journal, and a new incarnation starts under its address at once. Only the ceilings
// of the recorded streams and the exposure may be lost. The rest of the grant must
// be freed, and the new incarnation must inherit nothing.
func TestKilledWithStreamsOpenAndRestarted(t *testing.T) {
	runTest(t, 100_000, func(t *testing.T, is *is.I, f *fleet) {
		m := f.start("vm-1", "1")
		is.NoErr(f.mustReserve(m, "done", 500).Bill(t.Context(), 200))
		for i := range 3 {
			f.mustReserve(m, fmt.Sprint("open-", i), 500)
		}
		time.Sleep(time.Second)
		f.mustReserve(m, "young", 500)
		_ = m.Stop()
		before := f.status(studio).Holders["vm-1#1"]
		next := f.start("vm-1", "2")
		f.duties()
		state := f.status(studio)
		is.Equal(state.Billed, int64(200))
		is.Equal(state.Lost[budget.CauseHolderGone], 3*500+before.Exposure)
		is.True(before.Exposure >= 500) // covers the stream that the journal does not record
		is.Equal(len(state.Holders), 0)
		f.mustReserve(next, "served by the new incarnation", 500)
	})
}

// The table is down for an hour. With refusal weight 1 a router serves from its
// grant and keeps the bills; with weight 0 it soon refuses. Its refusals must not
// claim to be certain. Every bill must be written when the table is back.
func TestTableDownForAnHour(t *testing.T) {
	served := map[float64]int{}
	for _, weight := range []float64{0, 1} {
		runTest(t, 1_000_000, func(t *testing.T, is *is.I, f *fleet) {
			f.weight = weight
			m := f.start("vm-1", "1")
			for i := range 60 {
				is.NoErr(f.mustReserve(m, fmt.Sprint("before-", i), 100).Bill(t.Context(), 100))
			}
			f.faults(store.Faults{Down: true, Silent: true})
			for i := range 200 {
				r, err := f.reserve(m, fmt.Sprint("during-", i), 100)
				if err == nil {
					served[weight]++
					is.True(errors.Is(r.Bill(t.Context(), 100), budget.ErrBillPending))
				} else {
					is.True(!err.(*budget.Refusal).Certain)
				}
				time.Sleep(18 * time.Second)
			}
			f.faults(store.Faults{})
			is.NoErr(m.Drain(t.Context()))
			f.duties()
			is.Equal(f.status(studio).Billed, int64(6000+100*served[weight]))
		})
	}
	is.New(t).True(served[1] == 200)
	is.New(t).True(served[0] < 20)
}

// A router stops as planned while the table is down. It hands over its pending bills
// to two other routers, which write them when the table is back. One of the bills is
// already in the table, with its answer lost. Guards against answers that are billed
// twice or not at all.
func TestPlannedStopDuringAnOutage(t *testing.T) {
	runTest(t, 10_000, func(t *testing.T, is *is.I, f *fleet) {
		m, left, right := f.start("vm-1", "1"), f.start("vm-2", "1"), f.start("vm-3", "1")
		one, two := f.mustReserve(m, "one", 100), f.mustReserve(m, "two", 100)
		time.Sleep(time.Second)
		f.fake.UpdateFaults(func(faults *store.Faults) { faults.LoseNext = 1 })
		f.fake.SetHooks(store.Hooks{After: func(store.Call, error) {
			f.fake.UpdateFaults(func(faults *store.Faults) { faults.Down = true })
		}})
		is.True(errors.Is(one.Bill(t.Context(), 80), budget.ErrBillPending))
		is.True(errors.Is(two.Bill(t.Context(), 70), budget.ErrBillPending))
		f.fake.SetHooks(store.Hooks{})
		_ = m.Stop()
		pending := m.Journal().Pending()
		is.Equal(len(pending), 2)
		left.Journal().Adopt("vm-1#1", pending)
		right.Journal().Adopt("vm-1#1", pending)
		f.faults(store.Faults{})
		time.Sleep(5 * time.Second)
		f.duties()
		is.Equal(f.status(studio).Billed, int64(80)) // by its own journal; the rest waits
		f.declareGone("vm-1")
		f.duties()
		is.Equal(f.status(studio).Billed, int64(150))
		is.Equal(len(f.fake.Dump(ledger.AdoptedPrefix)), 0)
	})
}

// Two routers run one request, because the caller's retry reached another router.
// The request must be billed once, and what the second run consumed must count as
// lost.
func TestOneRequestOnTwoRouters(t *testing.T) {
	runTest(t, 10_000, func(t *testing.T, is *is.I, f *fleet) {
		a, b := f.start("vm-1", "1"), f.start("vm-2", "1")
		first, second := f.mustReserve(a, "same", 100), f.mustReserve(b, "same", 100)
		is.NoErr(first.Bill(t.Context(), 80))
		f.duties()
		time.Sleep(2 * time.Hour)
		is.NoErr(second.Bill(t.Context(), 80))
		f.duties()
		is.Equal(f.status(studio).Billed, int64(80))
		is.Equal(f.status(studio).Lost[budget.CauseDuplicate], int64(80))
	})
}

// An engine reports more tokens than the request's maximum, or a negative number.
// The bill must be clamped to what was reserved.
func TestWrongUsageIsClamped(t *testing.T) {
	runTest(t, 1000, func(t *testing.T, is *is.I, f *fleet) {
		m := f.start("vm-1", "1")
		is.NoErr(f.mustReserve(m, "too much", 300).Bill(t.Context(), 1<<40))
		is.NoErr(f.mustReserve(m, "negative", 300).Bill(t.Context(), -5))
		f.duties()
		is.Equal(f.status(studio).Billed, int64(300))
	})
}

// A budget is used up and then topped up. A request that waits during the top-up
// must be served, and so must the retry of one that was refused before it.
func TestTopUpWhileRefusing(t *testing.T) {
	runTest(t, 100, func(t *testing.T, is *is.I, f *fleet) {
		m, busy := f.start("vm-1", "1"), f.start("vm-2", "1")
		f.mustReserve(busy, "runs", 100)
		_, err := f.reserve(m, "early", 50)
		is.True(err.(*budget.Refusal).Certain)
		var clients sync.WaitGroup
		clients.Go(func() { f.mustReserve(m, "waits", 50) })
		time.Sleep(100 * time.Millisecond)
		f.topUp(studio, "order-2", 100)
		clients.Wait()
		f.mustReserve(m, "early, again", 50)
		f.topUp(studio, "order-2", 100) // the operator's retry adds nothing
		is.Equal(f.status(studio).Purchased, int64(200))
	})
}

// A router sends a grant to the table and crashes. The write arrives after
// everything that it held was reclaimed. Guards against a grant that still takes
// effect then: its tokens would never be reclaimed.
func TestGrantArrivesAfterItsHolderWasReclaimed(t *testing.T) {
	runTest(t, 1000, func(t *testing.T, is *is.I, f *fleet) {
		m := f.start("vm-1", "1")
		f.faults(store.Faults{DelayNext: 1})
		_, err := f.reserve(m, "lost", 100)
		is.True(err == nil || !err.(*budget.Refusal).Certain)
		_ = m.Stop()
		f.declareGone("vm-1")
		f.fake.ReleaseDelayed()
		is.Equal(f.status(studio).HeldTokens(), int64(0))
	})
}

// The operators lower the refusal weight, and with it a router's exposure, which
// bounds what its crash loses. The grant that lowers the exposure takes effect, but
// its answer is slow; the router dispatches in the meantime and crashes. Guards
// against a dispatch beyond the new exposure: its tokens would be granted a second
// time.
func TestExposureIsLoweredBeforeTheTableKnows(t *testing.T) {
	runTest(t, 10_000, func(t *testing.T, is *is.I, f *fleet) {
		f.weight = 1
		m := f.start("vm-1", "1")
		f.mustReserve(m, "in the journal", 100)
		time.Sleep(time.Second)
		idle := f.status(studio).Holders["vm-1#1"].Held - 100
		dispatched := 100 + idle - 60
		f.delayAppends()
		f.mustReserve(m, "young", idle-60)
		f.setRefusalWeight(0)
		f.fake.UpdateFaults(func(faults *store.Faults) { faults.Latency = 400 * time.Millisecond })
		var clients sync.WaitGroup
		var late atomic.Int64
		clients.Go(func() { _, _ = f.reserve(m, "asks for the grant", 100) })
		time.Sleep(600 * time.Millisecond) // the grant is in flight
		clients.Go(func() {
			if _, err := f.reserve(m, "meanwhile", 60); err == nil {
				late.Add(60)
			}
		})
		clients.Wait()
		_ = m.Stop()
		f.fake.SetHooks(store.Hooks{})
		f.faults(store.Faults{})
		f.declareGone("vm-1")
		is.True(f.status(studio).LostTokens() >= dispatched+late.Load())
	})
}

// Three control processes repeatedly fold one journal concurrently, while a router
// opens requests and bills some. Guards against lost updates: a folder that wrote a
// state read before another folder's write would drop open requests or fold a
// segment twice.
func TestFoldersRace(t *testing.T) {
	runTest(t, 100_000, func(t *testing.T, is *is.I, f *fleet) {
		f.weight = 0
		m := f.start("vm-1", "1")
		var open, billed int64
		for i := range 30 {
			var folders sync.WaitGroup
			for j := range 3 {
				folders.Go(func() {
					time.Sleep(time.Duration(i*j) * time.Millisecond)
					_, _ = journal.Folder{Table: f.table}.Run(t.Context())
				})
			}
			r := f.mustReserve(m, fmt.Sprint("r-", i), 100)
			time.Sleep(50 * time.Millisecond)
			if i%5 == 0 {
				is.NoErr(r.Bill(t.Context(), 10))
				billed += 10
			} else {
				open += 100
			}
			folders.Wait()
			f.audit()
		}
		_ = m.Stop()
		f.declareGone("vm-1")
		is.Equal(f.status(studio).Billed, billed)
		is.True(f.status(studio).LostTokens() >= open)
		is.Equal(len(f.status(studio).Holders), 0)
	})
}

// delayAppends delays journal appends indefinitely; other writes pass.
func (f *fleet) delayAppends() {
	f.fake.SetHooks(store.Hooks{Before: func(c store.Call) {
		if len(c.Txn.Writes) == 1 && strings.HasPrefix(c.Txn.Writes[0].Key, ledger.SegmentPrefix) {
			f.fake.UpdateFaults(func(faults *store.Faults) { faults.DelayNext = 1 })
		}
	}})
}
