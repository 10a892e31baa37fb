package allowance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The table does not answer for long, and several reports may or may not have come into
// force, with callers' demand falling from one to the next. The holder must not allow
// itself more than any of them, since its successor counts no more.
func TestMergedBoundsAllowNoMoreThanAny(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		b, a := New(Options{}), newAccount(studio)
		b.accounts[studio] = a
		a.bounds = nil
		for i := range 4 + random.IntN(4) {
			a.bounds = append(a.bounds, usageBound{
				reportEntry: reportEntry{
					Base: random.Int64N(1000), Rate: random.Int64N(100), Rest: random.Int64N(5000), Demand: random.Int64N(500),
				},
				curve: currentCurve(1 + random.IntN(200)),
				asOf:  time.Duration(i) * 100 * time.Millisecond,
			})
		}
		all := newAccount(studio)
		all.bounds = slices.Clone(a.bounds)
		b.mergeBounds(&b.primary)
		is.True(len(a.bounds) <= 2)
		for now := time.Second; now < 20*time.Second; now += 500 * time.Millisecond {
			is.True(a.bound(now) <= all.bound(now))
		}
	}
}

// Guards against a call to the table for each request that waits for a report while the
// partition of the reports refuses calls at once.
func TestFailedReportsArePaused(t *testing.T) {
	runTest(t, func(w *testEnv, is *is.I) {
		const limit, outage = 10_000_000, 3 * time.Second
		vms := w.startAll(limit, "a")
		time.Sleep(3 * time.Second)
		work := func(v *vm) { _ = v.request(studio, limit, 20_000) }
		load(vms, 2*time.Second, 20*time.Millisecond, work)
		w.setRefused(primaryUnavailable("a"))
		load(vms, outage, 10*time.Millisecond, work)
		w.setRefused(nil)
		t.Logf("%d calls in %v", w.refusals, outage)
		is.True(w.refusals <= 2*int(outage/reportInterval))
	})
}

// Guards against a report that is renewed late after an outage in which the table was
// silent: calls sent during it are never answered. A VM that loses power soon after the
// table's return would lose all that its bound allowed in the outage.
func TestReportIsRenewedOnceTheTableIsBack(t *testing.T) {
	for phase := range 12 {
		runTest(t, func(w *testEnv, is *is.I) {
			const limit = 10_000_000
			vms := w.startAll(limit, "a")
			time.Sleep(3 * time.Second)
			work := func(v *vm) { _ = v.request(studio, limit, 1000) }
			load(vms, time.Second, 20*time.Millisecond, work)
			vms[0].setCut(true)
			load(vms, 4*time.Second+time.Duration(phase)*110*time.Millisecond, 20*time.Millisecond, work)
			vms[0].setCut(false)
			back := time.Since(w.began)
			load(vms, reportInterval, 20*time.Millisecond, work)
			asOf := w.reportAsOf(is, "a")
			t.Logf("phase %d: report as of %v after the table's return", phase, asOf-back)
			is.True(asOf >= back)
		})
	}
}

// Guards against a silent table that is asked more often than it would be written to,
// by each VM of a fleet at once.
func TestSilentTableIsReadTwiceAReport(t *testing.T) {
	runTest(t, func(w *testEnv, is *is.I) {
		const limit, outage = 10_000_000, 5 * time.Second
		vms := w.startAll(limit, "a")
		time.Sleep(3 * time.Second)
		work := func(v *vm) { _ = v.request(studio, limit, 1000) }
		load(vms, time.Second, 20*time.Millisecond, work)
		calls, silent := 0, primaryUnavailable("a")
		w.setUnavailable(func(key string) bool {
			if silent(key) {
				calls++
			}
			return silent(key)
		})
		load(vms, outage, 20*time.Millisecond, work)
		w.setUnavailable(nil)
		t.Logf("%d calls in %v", calls, outage)
		is.True(calls <= rereadsPerReport*int(outage/reportInterval))
	})
}
