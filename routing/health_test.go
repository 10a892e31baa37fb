package routing

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/config"
	"buckthornridge/membership"
	"buckthornridge/upstream"
)

// failAttempts reports failed attempts at an upstream.
func failAttempts(t *testing.T, r *Router, id string, times int) {
	t.Helper()
	for range times {
		r.table.Observe(id, Outcome{Kind: OutcomeUnreachable})
	}
}

func TestEjectedUpstreamComesBackByOneProbe(t *testing.T) {
	// An engine refuses connections for a while. After the ejection a single request
	// probes it: with ten probes at once, ten callers would wait.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(t, 4, "")
		r.Seed(1)
		r.table.index.Apply("e0", []upstream.CacheEvent{stored(900, 7)})
		failAttempts(t, r, "e0", failuresToEject)
		var probes []*Choice
		pick := func(times int) {
			for range times {
				c, err := r.Pick(Request{Target: model})
				is.NoErr(err)
				if c.UpstreamID == "e0" {
					is.Equal(c.Why, ReasonProbe)
					probes = append(probes, c)
					continue
				}
				c.Done(Outcome{Kind: OutcomeCancelled})
			}
		}
		pick(100)
		is.Equal(len(probes), 0) // ejected
		time.Sleep(firstEjection)
		pick(100)
		is.Equal(len(probes), 1)
		probes[0].Done(Outcome{Kind: OutcomeUnreachable})
		time.Sleep(firstEjection)
		pick(100)
		is.Equal(len(probes), 1) // the second ejection is longer
		time.Sleep(firstEjection)
		pick(100)
		is.Equal(len(probes), 2)
		probes[1].Done(Outcome{Kind: OutcomeOK, FirstToken: time.Millisecond})
		is.True(!r.table.current.Load().entries["e0"].health.ejected())
		is.Equal(r.table.index.LastEvent("e0"), int64(0)) // a new process restarts its event sequence
	})
}

func TestEjectionLeavesHalfOfThePool(t *testing.T) {
	// A fault of the router's own network makes every engine look broken. If all of them
	// were ejected, a short fault would turn into an outage.
	is := is.New(t)
	r := newRouter(t, 4, "")
	for _, id := range []string{"e0", "e1", "e2", "e3"} {
		failAttempts(t, r, id, 2*failuresToEject)
	}
	ejected := 0
	for _, e := range r.table.current.Load().entries {
		if e.health.ejected() {
			ejected++
		}
	}
	is.Equal(ejected, 2)
	_, err := r.Pick(Request{Target: model})
	is.NoErr(err)
}

func TestSuspectedUpstreamsAreTriedLast(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, 2, "")
	r.table.SetState("e0", membership.Suspected)
	for range 50 {
		c, err := r.Pick(Request{Target: model})
		is.NoErr(err)
		is.Equal(c.UpstreamID, "e1")
	}
	c, err := r.Pick(Request{Target: model, Exclude: []string{"e1"}})
	is.NoErr(err)
	is.Equal(c.UpstreamID, "e0")
	is.Equal(c.Why, ReasonNoneLive)
}

func TestRetriesAreAShareOfRequests(t *testing.T) {
	// Every engine fails every request. Retries stop when the budget is used up, so that the
	// load on the remaining engines grows by a fifth at most and not by a factor.
	is := is.New(t)
	r := newRouter(t, 50, "")
	first, retries := 0, 0
	for range 1000 {
		for attempt := range 3 {
			c, err := r.Pick(Request{Workspace: "w", Target: model, Attempt: attempt})
			if err != nil {
				var none *NoUpstreamError
				is.True(errors.As(err, &none))
				break
			}
			if attempt == 0 {
				first++
			} else {
				retries++
			}
			c.Done(Outcome{Kind: OutcomeFull})
		}
	}
	is.Equal(first, 1000)
	is.True(retries <= 1000*workspaceRetryShare*1.2+workspaceRetryBurst)
	is.True(retries >= workspaceRetryBurst)
}

func TestBusyServiceIsNotStalled(t *testing.T) {
	// A plain service returns responses and no tokens, and its servers always have some call
	// waiting. If silence were counted from the first call, all servers would count as
	// stalled after seconds and calls would go to an arbitrary one.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := snapshotOf(0)
		s.Upstreams["s0"] = config.Upstream{Kind: config.UpstreamService, Address: "s0", Service: "orders"}
		r := newRouter(t, 0, "")
		r.table.Update(s)
		var open []*Choice
		for range 100 {
			c, err := r.Pick(Request{Target: Target{Service: "orders"}})
			is.NoErr(err)
			is.Equal(c.Why, ReasonPolicy)
			open = append(open, c)
			time.Sleep(100 * time.Millisecond)
			if len(open) > 4 { // calls overlap: there is always one waiting
				open[0].Done(Outcome{Kind: OutcomeOK, Total: 500 * time.Millisecond})
				open = open[1:]
			}
		}
	})
}

func TestNearUpstreamsGoFirstUntilTheyAreBusy(t *testing.T) {
	// Engines are nearby and 40 ms away. Requests should go to the nearby ones while they
	// have free capacity, and to the distant one instead of a queue of seconds.
	is := is.New(t)
	s := snapshotOf(2)
	s.Upstreams["far"] = config.Upstream{
		Kind: config.UpstreamEngine, Address: "far", DataCentre: "far", Models: []string{"m"}, Slots: 8,
	}
	r := newRouter(t, 0, "")
	r.table.Update(s)
	count := func() (far int) {
		for range 48 {
			c, err := r.Pick(Request{Target: model, DataCentre: "a"})
			is.NoErr(err)
			if c.UpstreamID == "far" {
				far++
			}
		}
		return far
	}
	is.Equal(s.Upstreams["e0"].DataCentre, "a")
	c, err := r.Pick(Request{Target: model, DataCentre: "a"})
	is.NoErr(err)
	is.True(c.UpstreamID != "far")
	far := count()
	is.True(far > 4 && far < 24)
}
