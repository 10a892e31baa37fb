package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/budget/allowance"
	"buckthornridge/ratelimit"
	"buckthornridge/routing"
)

// The rule: in any limitWindow, from limitKnown after an upstream first named its rate on,
// it gets at most limitFactor times what the rate allows and limitSlack requests.
const (
	limitKnown  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// namingUpstream is an upstream, d1 of a coldEnv, that names a rate, or none if it is
// negative. Each VM learns of it by the answers to its own requests.
type namingUpstream struct {
	env      *coldEnv
	rate     float64
	arrivals []time.Time
}

// load makes all routers send as much as they may for a while.
func (u *namingUpstream) load(length time.Duration) {
	const step = 50 * time.Millisecond
	for range length / step {
		for i, r := range u.env.routers {
			c, err := r.Pick(routing.Request{Target: routing.Target{Service: "orders"}})
			if err != nil {
				continue
			}
			u.arrivals = append(u.arrivals, time.Now())
			u.env.fleets[i].limiter.Observe("d1", 0, ratelimit.Reading{Named: u.rate >= 0, PerSecond: max(u.rate, 0)})
			c.Done(routing.Outcome{Kind: routing.OutcomeOK, Total: time.Millisecond})
		}
		time.Sleep(step)
	}
}

// most returns the largest number of arrivals in a window that begins at from or later.
func (u *namingUpstream) most(from time.Time) int {
	most, first := 0, 0
	for last, at := range u.arrivals {
		for at.Sub(u.arrivals[first]) >= limitWindow || u.arrivals[first].Before(from) {
			if first == last {
				break
			}
			first++
		}
		if !u.arrivals[first].Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// keepsTo reports whether the rule held for an upstream that first named the rate at began.
func (u *namingUpstream) keepsTo(began time.Time, rate float64) bool {
	return float64(u.most(began.Add(limitKnown))) <= limitFactor*rate*limitWindow.Seconds()+limitSlack
}

// Guards against an upstream that names a rate and gets more from all VMs together.
func TestLimitedUpstreamGetsOnlyItsRate(t *testing.T) {
	for _, vms := range []int{1, 2, 9, 18, 59, 340} {
		for _, rate := range []float64{0, 0.3, 2, 4.2, 20} {
			t.Run(fmt.Sprintf("%d VMs, %g a second", vms, rate), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					is := is.New(t)
					e := newColdEnv(t, vms)
					e.apply(writeOf("d1", "warm"))
					u := &namingUpstream{env: e, rate: rate}
					began := time.Now()
					u.load(24 * time.Second)
					is.True(u.keepsTo(began, rate))
					is.True(float64(len(u.arrivals)) >= 0.4*rate*24) // it is used
				})
			})
		}
	}
}

// Guards against a VM that has no part of the rate, gets no answers and never learns that the limit has ended.
func TestEndOfALimitIsLearned(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newColdEnv(t, 18)
		e.apply(writeOf("d1", "warm"))
		u := &namingUpstream{env: e, rate: 1}
		u.load(10 * time.Second)
		u.rate = -1
		u.load(probeTime)
		for _, f := range e.fleets {
			is.Equal(f.limiter.Count(), 0)
		}
	})
}

// probeTime is the time in which each of 18 VMs has probed.
const probeTime = 18 * 2 * limitWindow

// Guards against a new process under the same id that is held to the limit of the one before.
func TestLimitEndsWithItsProcess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newColdEnv(t, 1)
		e.apply(writeOf("d1", "warm"))
		u := &namingUpstream{env: e, rate: 0}
		u.load(time.Second)
		is.Equal(e.fleets[0].limiter.Count(), 1)
		e.apply(writeOf("d1", "restarted"))
		is.Equal(e.fleets[0].limiter.Count(), 0)
		u.rate, u.arrivals = -1, nil
		u.load(time.Second)
		is.True(len(u.arrivals) > 10)
	})
}

// Guards against a limit that is forgotten while the entry of its upstream has lapsed.
func TestLimitOutlastsALapsedEntry(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newColdEnv(t, 9)
		e.apply(writeOf("d1", "warm"))
		u := &namingUpstream{env: e, rate: 2}
		began := time.Now()
		for range 8 {
			u.load(2 * time.Second)
			e.apply(deletionOf("d1"))
			u.load(time.Second)
			e.apply(writeOf("d1", "warm"))
		}
		is.True(float64(u.most(began.Add(limitKnown))) <= 2*limitWindow.Seconds()+1) // turns are taken as before
	})
}

// Guards against VMs that disagree on which VMs there are and together exceed the rate.
func TestLimitHoldsWhileVMsDisagreeOnTheFleet(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newColdEnv(t, 12)
		for i, f := range e.fleets[:6] { // half of them do not know the others yet
			all := make([]allowance.Peer, 6)
			for j := range all {
				all[j].VM = fmt.Sprint("vm-", j)
			}
			f.routers = func() (string, []allowance.Peer) { return fmt.Sprint("vm-", i), all }
		}
		e.apply(writeOf("d1", "warm"))
		u := &namingUpstream{env: e, rate: 4}
		began := time.Now()
		u.load(30 * time.Second)
		is.True(u.keepsTo(began, 4))
	})
}

// Guards against a notice that does not reach the limiter, and a lost one that matters.
func TestVMsLearnLimitsFromEachOther(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newColdEnv(t, 2)
		e.apply(writeOf("d1", "warm"))
		first, second := e.fleets[0].limiter, e.fleets[1].limiter
		receiver := &notices{observer: noticeReceiver{routing.NewTable(), second, e.fleets[1].rejections, nil}}
		first.OnChange(func(id string, process int64, r ratelimit.Reading) {
			receiver.deliver(notice{Limit: &limitNotice{Upstream: id, Process: process, Named: r.Named, PerSecond: r.PerSecond}})
		})
		first.Observe("d1", 0, ratelimit.Reading{Named: true, PerSecond: 2})
		is.Equal(second.Count(), 1)
		first.Observe("d1", 0, ratelimit.Reading{Invalid: true})
		is.Equal(second.Count(), 1)
		first.Observe("d1", 0, ratelimit.Reading{})
		is.Equal(second.Count(), 0)
	})
}
