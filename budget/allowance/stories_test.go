package allowance

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/store"
)

const studio = "studio"

// A caller of a fresh fleet is served at once, and what it consumed is what the
// pool says after a planned stop and the next start.
func TestServesAndSettles(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		a := w.vm("a")
		a.start(1)
		a.book.SetLimits(map[string]int64{studio: 100_000})
		time.Sleep(2 * time.Second)
		for range 20 {
			is.NoErr(a.request(studio, 100_000, 1000))
		}
		a.close()
		a.start(1)
		time.Sleep(2 * time.Second)
		p := w.pool(studio)
		is.Equal(p.Settled, w.total(studio))
		is.Equal(p.Lost, int64(0))
	})
}

// All VMs lose power at once and start again a second later. What they had not
// reported counts as lost, but it is little beside what they were granted: callers
// are refused later for what was lost now.
func TestAllLosePower(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		const limit = 10_000_000
		vms := w.startAll(limit, "a", "b", "c")
		time.Sleep(3 * time.Second)
		load(vms, 5*time.Second, 20*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 1000) })
		losePower(vms, limit, 1100*time.Millisecond)
		time.Sleep(2 * time.Second)
		p := w.pool(studio)
		is.True(p.Settled+p.Lost >= w.total(studio))                           // nothing consumed is forgotten
		is.True(float64(p.Lost) < 2.5*float64(w.total(studio))/5)              // at most two and a half seconds of use
		is.True(vms[0].request(studio, limit, 1000) == nil)                    // and all serve on
		is.True(vms[1].book.Figures().Granted > vms[1].book.Figures().Settled) // with what was left
	})
}

// A budget is small beside its use: nine VMs use it up in about 45 seconds, with
// large requests. All lose power in the middle. If what they may have consumed counts
// for more than 3 in 100 of the sum, its callers are refused from its early end on
// although a single counter would still let them in.
func TestPowerLossCostsLittleOfASmallBudget(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		const limit = 2_000_000
		vms := w.startAll(limit, "a", "b", "c", "d", "e", "f", "g", "h", "i")
		time.Sleep(3 * time.Second)
		load(vms, 15*time.Second, time.Second, func(v *vm) { _ = v.request(studio, limit, 3000+w.below(4000)) })
		losePower(vms, limit, 1150*time.Millisecond)
		time.Sleep(3 * time.Second)
		p := w.pool(studio)
		counted := p.Settled + p.Lost
		is.True(counted >= w.total(studio))
		t.Logf("counted beyond what was consumed: %.3f of the sum", float64(counted-w.total(studio))/limit)
		is.True(counted-w.total(studio) <= limit*3/100)
	})
}

// The process after an upgrade finds the report of one that grew its bounds in
// another way. It counts what that one allowed itself, not what it would have.
func TestCountsByTheShapeInTheReport(t *testing.T) {
	is := is.New(t)
	l := ledger{Base: 1000, Rate: 100, Rest: 10_000, Demand: 500}
	data, err := encode(report{Shape: shape{Knee: time.Second, Rise: time.Second, Factor: 2, Share: 1}, Budgets: map[string]ledger{studio: l}})
	is.NoErr(err)
	r, err := decodeReport(data)
	is.NoErr(err)
	is.Equal(r.Budgets[studio].allows(time.Second, r.Shape), int64(1100))
	is.Equal(r.Budgets[studio].allows(2*time.Second, r.Shape), int64(11_200))
	old, err := encode(map[string]any{"b": map[string]ledger{studio: l}})
	is.NoErr(err)
	r, err = decodeReport(old)
	is.NoErr(err)
	is.Equal(r.Budgets[studio].allows(2700*time.Millisecond, r.Shape), int64(1000+270+600+600))
}

// losePower ends all processes and starts them again after a while.
func losePower(vms []*vm, limit int64, off time.Duration) {
	for _, v := range vms {
		v.kill()
	}
	time.Sleep(off)
	for _, v := range vms {
		v.start(len(vms))
		v.book.SetLimits(map[string]int64{studio: limit})
	}
}

// load sends requests to all VMs at an even pace.
func load(vms []*vm, length, gap time.Duration, request func(*vm)) {
	var tasks sync.WaitGroup
	for _, v := range vms {
		tasks.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(gap) {
				tasks.Go(func() { request(v) })
			}
		})
	}
	tasks.Wait()
}

// All VMs are cut from the table and from each other for eight seconds, while
// callers go on. They spend what they hold; when the cut heals, nothing is
// overspent, and few were refused although plenty was left.
func TestAloneForSeconds(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		const limit = 10_000_000
		vms := w.startAll(limit, "a", "b", "c")
		time.Sleep(3 * time.Second)
		load(vms, 4*time.Second, 20*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 1000) })
		for _, v := range vms {
			v.setCut(true)
		}
		var mu sync.Mutex
		asked, refused := 0, 0
		load(vms, 8*time.Second, 20*time.Millisecond, func(v *vm) {
			err := v.request(studio, limit, 1000)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if err != nil {
				refused++
			}
		})
		for _, v := range vms {
			v.setCut(false)
		}
		time.Sleep(2 * time.Second)
		is.True(w.total(studio) <= limit)
		is.True(refused*20 < asked) // under 5 in 100
	})
}

// A fleet of twelve starts, and no process knows at first how many there are. Were a
// fresh budget divided at once, the first would take all; and a VM that lost the race
// for the row must not wait long for its next try. Before any caller comes, each VM
// has about its part, so that it can serve when it is cut off.
func TestDividesAFreshBudgetEvenly(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		const limit, fleet = 1_200_000, 12
		began := time.Now()
		var vms []*vm
		for i := range fleet {
			v := w.vm(string(rune('a' + i)))
			v.start(1)
			v.book.options.VMs = func() int {
				if time.Since(began) < time.Second {
					return 1
				}
				return fleet
			}
			v.book.SetLimits(map[string]int64{studio: limit})
			vms = append(vms, v)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, v := range vms {
			is.True(v.book.Figures().Granted <= limit/fleet)
		}
		time.Sleep(4500 * time.Millisecond)
		for _, v := range vms {
			granted := v.book.Figures().Granted
			is.True(granted > limit/fleet/2)
			is.True(granted <= limit/fleet)
		}
	})
}

// The answer to a grant is lost although the grant has taken effect. The holder
// finds it in the row; otherwise the tokens would be no one's until the end.
func TestGrantWithLostAnswer(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		a := w.vm("a")
		a.start(1)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.loseGrant = true
		w.mu.Unlock()
		a.book.SetLimits(map[string]int64{studio: 100_000})
		time.Sleep(5 * time.Second)
		is.True(w.pool(studio).committed() > 0)
		is.Equal(a.book.Figures().Granted, w.pool(studio).committed())
		is.NoErr(a.request(studio, 100_000, 1000))
	})
}

// One VM has all callers, the tokens lie with another. The first borrows them
// through its peer, and its caller is served.
func TestBorrowsIdleTokens(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		const limit = 20_000
		w.lend = true
		rich, poor := w.vm("rich"), w.vm("poor")
		rich.start(1)
		rich.book.SetLimits(map[string]int64{studio: limit})
		time.Sleep(3 * time.Second)
		poor.start(2)
		time.Sleep(2 * time.Second)
		served := 0
		for range 18 {
			if err := poor.request(studio, limit, 1000); err == nil {
				served++
			} else {
				t.Log(err)
			}
		}
		is.True(served >= 16)
	})
}

// A budget ends: the refusal is certain, and comes only when less than the ceiling
// is left of it.
func TestRefusesForCertain(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		a := w.vm("a")
		a.start(1)
		a.book.SetLimits(map[string]int64{studio: 10_000})
		time.Sleep(2 * time.Second)
		for a.request(studio, 10_000, 1000) == nil {
		}
		time.Sleep(2 * time.Second)
		err := a.request(studio, 10_000, 1000)
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.True(refused.Certain)
		is.True(w.total(studio) > 10_000-1000)
		is.True(w.total(studio) <= 10_000)
		is.NoErr(a.request(studio, 20_000, 1000)) // a top-up serves the next one
	})
}

// The operators lower the sum while VMs hold grants of the old one and are cut off.
// They keep to their part of the new sum at once.
func TestLoweredSumBindsAtOnce(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		vms := w.startAll(1_000_000, "a", "b")
		time.Sleep(3 * time.Second)
		for _, v := range vms {
			v.setCut(true)
			v.book.SetLimits(map[string]int64{studio: 100_000})
		}
		load(vms, 10*time.Second, 10*time.Millisecond, func(v *vm) { _ = v.request(studio, 100_000, 1000) })
		is.True(w.total(studio) <= 100_000)
	})
}

// A VM stops as planned and does not come back. The others take what it had left,
// though it cannot give anything back itself any more.
func TestTakesOverFromAClosedHolder(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		const limit = 100_000
		a, b := w.vm("a"), w.vm("b")
		a.start(1)
		a.book.SetLimits(map[string]int64{studio: limit})
		time.Sleep(2 * time.Second)
		is.NoErr(a.request(studio, limit, 5000))
		a.close()
		b.start(1)
		b.book.SetLimits(map[string]int64{studio: limit})
		time.Sleep(closedHold + 3*time.Second)
		served := 0
		for range 90 {
			if err := b.request(studio, limit, 1000); err == nil {
				served++
			} else {
				t.Log(err)
			}
		}
		is.True(served >= 85)
		is.True(w.total(studio) <= limit)
	})
}

// Random schedules of cuts, kills, planned stops, lost and late answers: whatever
// happens, no more is consumed than was paid for.
func TestNeverOverspends(t *testing.T) {
	for seed := range uint64(12) {
		inTime(t, func(w *world, is *is.I) { neverOverspends(w, is, seed) })
	}
}

// The same with loans between VMs, of which one in ten is given and not heard of.
func TestNeverOverspendsWithLoans(t *testing.T) {
	for seed := range uint64(12) {
		inTime(t, func(w *world, is *is.I) {
			w.lend, w.loseLoans = true, 10
			neverOverspends(w, is, seed)
		})
	}
}

func neverOverspends(w *world, is *is.I, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	const limit = 3_000_000
	vms := []*vm{w.vm("a"), w.vm("b"), w.vm("c"), w.vm("d")}
	for _, v := range vms {
		v.start(len(vms))
		v.book.SetLimits(map[string]int64{studio: limit})
	}
	time.Sleep(2 * time.Second)
	for range 12 {
		disturb(w, vms[random.IntN(len(vms))], random)
		load(vms, 2*time.Second, 10*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 2000) })
	}
	for _, v := range vms {
		v.setCut(false)
	}
	time.Sleep(3 * time.Second)
	is.True(w.total(studio) <= limit)
	is.True(w.pool(studio).committed() <= limit)
}

// disturb does one thing to a VM or to the table.
func disturb(w *world, v *vm, random *rand.Rand) {
	switch random.IntN(6) {
	case 0:
		v.setCut(true)
	case 1:
		v.setCut(false)
	case 2:
		v.kill()
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		v.start(4)
	case 3:
		v.setCut(false)
		v.close()
		v.start(4)
	case 4:
		w.fake.UpdateFaults(func(f *store.Faults) { f.LoseNext = 1 + random.IntN(4) })
	case 5:
		w.fake.UpdateFaults(func(f *store.Faults) { f.DelayNext, f.Delay = 2, 1500*time.Millisecond })
	}
}

// A VM dies while it is cut off, starts again at once and reaches the table only
// seconds later. What its predecessor may have spent ends with its death; counting
// the time of the cut as well would lose nearly all that it was granted.
func TestStartsWhileCutOff(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		const limit = 10_000_000
		a := w.vm("a")
		a.start(1)
		a.book.SetLimits(map[string]int64{studio: limit})
		time.Sleep(2 * time.Second)
		load([]*vm{a}, 5*time.Second, 20*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 1000) })
		a.setCut(true)
		a.kill()
		a.start(1)
		time.Sleep(8 * time.Second)
		a.setCut(false)
		time.Sleep(6 * time.Second)
		p := w.pool(studio)
		is.True(p.Settled+p.Lost >= w.total(studio))
		is.True(p.Lost < w.total(studio)/2) // what it used in five seconds
	})
}

// All machines are cut off, and one of them stops. Its callers come to another,
// which had none of theirs: it has a grant, and may spend a good part of it before
// the cut heals, although no one asked it before.
func TestTakesOverCallersWhileCutOff(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		const limit = 10_000_000
		vms := w.startAll(limit, "a", "b")
		time.Sleep(3 * time.Second)
		load(vms[:1], 3*time.Second, 20*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 1000) })
		time.Sleep(2 * time.Second)
		granted := vms[1].book.Figures().Granted
		for _, v := range vms {
			v.setCut(true)
		}
		vms[0].kill()
		before := w.total(studio)
		load(vms[1:], 9*time.Second, 5*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 1000) })
		is.True(granted > 0)
		is.True(w.total(studio)-before > granted/4)
	})
}

// The operators lower a sum below what was consumed already. Holders say so in the
// pool once; they must not write it again and again.
func TestLoweredBelowWhatWasConsumed(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		a := w.vm("a")
		a.start(1)
		a.book.SetLimits(map[string]int64{studio: 100_000})
		time.Sleep(2 * time.Second)
		for range 50 {
			is.NoErr(a.request(studio, 100_000, 1000))
		}
		a.book.SetLimits(map[string]int64{studio: 20_000})
		time.Sleep(3 * time.Second)
		var refused *RefusedError
		is.True(errors.As(a.request(studio, 20_000, 1000), &refused))
		is.True(refused.Certain)
		before := w.fake.Dump(poolPrefix)[0].Version
		time.Sleep(3 * time.Second)
		is.Equal(w.fake.Dump(poolPrefix)[0].Version, before)
	})
}

// A burst far over the usual comes while a machine is cut off, and then it dies.
// What it consumed stays within the bound of its last report, so that its successor
// counts all of it; a holder that went by its grant alone would consume more.
func TestBurstThenDeathWhileCutOff(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		const limit = 10_000_000
		vms := w.startAll(limit, "a")
		time.Sleep(3 * time.Second)
		load(vms, 2*time.Second, 100*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 1000) })
		vms[0].setCut(true)
		load(vms, time.Second, time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 5000) })
		vms[0].kill()
		vms[0].setCut(false)
		vms[0].start(1)
		time.Sleep(3 * time.Second)
		p := w.pool(studio)
		is.True(p.Settled+p.Lost >= w.total(studio))
		is.True(p.Lost > 0)
	})
}

// The answer to a grant was lost, and nothing is free any more that another change
// could take: only the row tells the holder what it has. A return that may still
// take effect holds against an older row.
func TestRowTellsTheGrant(t *testing.T) {
	inTime(t, func(w *world, is *is.I) {
		a := w.vm("a")
		a.start(1)
		b := a.book
		b.mu.Lock()
		account := b.account(studio, 5000)
		b.mu.Unlock()
		row := func(granted, version int64) store.Row {
			data, err := encode(pool{Holders: map[string]share{b.self: {Granted: granted}}})
			is.NoErr(err)
			return store.Row{Key: poolKey(studio), Value: data, Version: version}
		}
		is.True(b.seen(account, row(5000, 7)))
		is.Equal(account.granted, int64(5000))
		account.granted, account.returning = 1000, 7 // a return was sent under version 7
		b.seen(account, row(5000, 7))
		is.Equal(account.granted, int64(1000))
		b.seen(account, row(4000, 8)) // it failed: another change came first
		is.Equal(account.granted, int64(4000))
		is.True(!b.seen(account, row(9000, 3))) // a stale read
		is.Equal(account.granted, int64(4000))
	})
}
