package allowance

import (
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// primaryUnavailable says that the partitions of some VMs' primary reports don't answer.
func primaryUnavailable(names ...string) func(key string) bool {
	return func(key string) bool {
		for _, name := range names {
			if strings.HasPrefix(key, reportKeyPrefix(name)) {
				return true
			}
		}
		return false
	}
}

// The partition of a VM's primary report is unavailable for eight seconds while the
// others answer; then all VMs lose power. Without a fallback report everything that the
// VM's bound allowed in eight seconds would be lost, although nobody used it.
func TestWritesFallbackReportWhilePartitionIsUnavailable(t *testing.T) {
	runTest(t, func(w *testEnv, is *is.I) {
		const limit = 10_000_000
		vms := w.startAll(limit, "a", "b", "c")
		time.Sleep(3 * time.Second)
		load(vms, 4*time.Second, 20*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 1000) })
		w.setUnavailable(func(key string) bool { // and one partition of the fallback row
			return primaryUnavailable("a")(key) || strings.HasPrefix(key, fallbackKeyPrefix("a", 0))
		})
		load(vms, 8*time.Second, 100*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 1000) })
		w.setUnavailable(nil)
		losePower(vms, limit, 1150*time.Millisecond)
		time.Sleep(3 * time.Second)
		p := w.pool(studio)
		is.True(p.Settled+p.Lost >= w.total(studio))
		is.True(p.Settled+p.Lost-w.total(studio) <= limit*3/100)
	})
}

// The partition comes back and the VM goes on. Its fallback report is no longer in force,
// and the next process does not count by it.
func TestFallbackReportEndsWithTheOutage(t *testing.T) {
	runTest(t, func(w *testEnv, is *is.I) {
		const limit = 10_000_000
		vms := w.startAll(limit, "a", "b")
		time.Sleep(3 * time.Second)
		work := func(v *vm) { _ = v.request(studio, limit, 1000) }
		load(vms, 2*time.Second, 50*time.Millisecond, work)
		w.setUnavailable(primaryUnavailable("a"))
		load(vms, 3*time.Second, 50*time.Millisecond, work)
		w.setUnavailable(nil)
		var refused atomic.Int64
		load(vms, 12*time.Second, 50*time.Millisecond, func(v *vm) {
			if v.request(studio, limit, 5000) != nil {
				refused.Add(1)
			}
		})
		is.Equal(refused.Load(), int64(0))
		losePower(vms, limit, 1150*time.Millisecond)
		time.Sleep(3 * time.Second)
		is.True(w.pool(studio).Settled+w.pool(studio).Lost >= w.total(studio))
	})
}

// The partition of the fallback report is unavailable when the next process starts. It
// counts by the primary report alone and is not delayed.
func TestStartsWithoutTheFallbackReport(t *testing.T) {
	runTest(t, func(w *testEnv, is *is.I) {
		const limit = 10_000_000
		vms := w.startAll(limit, "a", "b")
		time.Sleep(3 * time.Second)
		load(vms, 2*time.Second, 50*time.Millisecond, func(v *vm) { _ = v.request(studio, limit, 1000) })
		w.setUnavailable(func(key string) bool { return strings.HasPrefix(key, fallbackPrefix) })
		losePower(vms, limit, 1150*time.Millisecond)
		time.Sleep(fallbackReadTimeout + 300*time.Millisecond)
		is.NoErr(vms[0].request(studio, limit, 1000))
		time.Sleep(2 * time.Second)
		is.True(w.pool(studio).Settled+w.pool(studio).Lost >= w.total(studio))
	})
}

// Partitions of the table become unavailable and come back, answers are lost, writes take
// effect seconds later, processes die at any moment and start again. Whatever rows the
// next process finds, it counts at least what was consumed.
func TestNeverOverspentWhateverTheRowsSay(t *testing.T) {
	for seed := range uint64(12) {
		runTest(t, func(w *testEnv, is *is.I) {
			const limit = 3_000_000
			w.random = rand.New(rand.NewPCG(seed, 5))
			w.lateWrites, w.lend, w.loseLoans = 12, true, 10
			vms := w.startAll(limit, "a", "b", "c")
			for range 12 {
				switch victim := vms[w.randomBelow(3)]; w.randomBelow(5) {
				case 0:
					w.setUnavailable(primaryUnavailable(victim.name))
				case 1:
					w.setUnavailable(func(key string) bool { return strings.HasPrefix(key, fallbackPrefix) })
				case 2:
					w.setUnavailable(nil)
				case 3:
					victim.setCut(!victim.isCut())
				case 4:
					losePower(vms[:1+w.randomBelow(3)], limit, time.Duration(w.randomBelow(int64(2*time.Second))))
				}
				load(vms, time.Duration(w.randomBelow(int64(3*time.Second))), 50*time.Millisecond, func(v *vm) {
					_ = v.request(studio, limit, 500+w.randomBelow(8000))
				})
			}
			w.setUnavailable(nil)
			for _, v := range vms {
				v.setCut(false)
			}
			losePower(vms, limit, time.Second)
			time.Sleep(8 * time.Second)
			p, consumed := w.pool(studio), w.total(studio)
			t.Logf("seed %d: consumed %d, settled %d, lost %d", seed, consumed, p.Settled, p.Lost)
			is.True(p.Settled+p.Lost >= consumed) // everything consumed is counted
			is.True(consumed <= limit)
		})
	}
}

// Guards against a loss of everything that a bound allowed in an outage in which the
// partitions of a VM's first fallback rows are unavailable too, with and without answers,
// while others could take its reports.
func TestFallbackReportFindsAnAvailablePartition(t *testing.T) {
	runTest(t, func(w *testEnv, is *is.I) {
		const limit, unavailable = 10_000_000, 4
		vms := w.startAll(limit, "a", "b", "c")
		time.Sleep(3 * time.Second)
		work := func(v *vm) { _ = v.request(studio, limit, 1000) }
		load(vms, 4*time.Second, 20*time.Millisecond, work)
		w.setUnavailable(func(key string) bool {
			for partition := range unavailable {
				if strings.HasPrefix(key, fallbackKeyPrefix("a", partition)) {
					return true
				}
			}
			return primaryUnavailable("a")(key)
		})
		load(vms, 5*time.Second, 20*time.Millisecond, work)
		losePower(vms, limit, 1150*time.Millisecond)
		w.setUnavailable(nil)
		time.Sleep(3 * time.Second)
		p := w.pool(studio)
		is.True(p.Settled+p.Lost >= w.total(studio))
		t.Logf("counted beyond what was consumed: %.3f of the sum", float64(p.Settled+p.Lost-w.total(studio))/limit)
		is.True(p.Settled+p.Lost-w.total(studio) <= limit*3/100)
	})
}
