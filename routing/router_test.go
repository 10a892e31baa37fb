package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/config"
	"buckthornridge/kernel"
	"buckthornridge/membership"
	"buckthornridge/upstream"
)

var model = Target{Model: "m"}

// snapshotOf returns a configuration with n engines in two data centres.
func snapshotOf(n int) *config.Snapshot {
	s := &config.Snapshot{}
	s.Fleet.DataCentres = map[string]config.DataCentre{
		"a": {Region: "r"}, "b": {Region: "r"}, "far": {Region: "other"},
	}
	s.Upstreams = map[string]config.Upstream{}
	for i := range n {
		s.Upstreams[fmt.Sprintf("e%d", i)] = config.Upstream{
			Kind: config.UpstreamEngine, Address: fmt.Sprint("127.0.0.1:", 1000+i),
			DataCentre: []string{"a", "b"}[i%2], Models: []string{"m"}, Slots: 8,
		}
	}
	return s
}

func newRouter(t testing.TB, n int, policy string) *Router {
	table := NewTable()
	table.Update(snapshotOf(n))
	r, err := NewRouter(table, policy)
	if err != nil {
		t.Fatal(err)
	}
	r.Seed(1)
	return r
}

func TestEveryPolicyAvoidsUnavailableUpstreams(t *testing.T) {
	for _, policy := range kernel.Names(Namespace) {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(t, 6, policy)
			r.table.SetState("e0", membership.Leaving)
			r.table.SetState("e1", membership.Gone)
			r.table.Report("e2", upstream.Load{Leaving: true, Models: []string{"m"}})
			r.table.Report("e3", upstream.Load{Models: []string{"another"}})
			for range 200 {
				c, err := r.Pick(Request{Target: model, DataCentre: "a", Exclude: []string{"e4"}})
				is.NoErr(err)
				is.Equal(c.UpstreamID, "e5") // the only one available
				c.Done(Outcome{Kind: OutcomeOK, FirstToken: time.Millisecond})
			}
		})
	}
}

func TestPickFailsWithoutUpstream(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, 1, "")
	_, err := r.Pick(Request{ID: "q", Target: Target{Model: "unknown"}})
	var none *NoUpstreamError
	is.True(errors.As(err, &none))
	is.True(none.RetryAfter > 0)
	_, err = r.Pick(Request{Target: model, Exclude: []string{"e0"}})
	is.True(errors.As(err, &none))
	is.Equal(r.Explain("q")[0].Why, ReasonNoPool)
}

func TestDoneReleasesEverything(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(t, 1, "")
		e := r.table.current.Load().entries["e0"]
		for _, first := range []time.Duration{0, time.Second} {
			c, err := r.Pick(Request{Target: model, PromptTokens: 100})
			is.NoErr(err)
			is.Equal(e.inFlight.Load(), int64(1))
			is.Equal(e.prefillAhead(0), int64(100))
			c.Done(Outcome{Kind: OutcomeOK, FirstToken: first})
			c.Done(Outcome{Kind: OutcomeOK, FirstToken: first})
			is.Equal(e.inFlight.Load(), int64(0))
			is.Equal(e.waiting.Load(), int64(0))
			is.Equal(e.prefillAhead(0), int64(0))
		}
	})
}

func TestLeavingOverridesOlderReports(t *testing.T) {
	// An engine refuses a request with "leaving". An older load report and the lagging
	// VM list both still call it live. Without the mark, further requests would go there
	// seconds after the announcement.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(t, 2, "")
		time.Sleep(10 * time.Second)
		c, err := r.Pick(Request{Target: model, Exclude: []string{"e1"}})
		is.NoErr(err)
		c.Done(Outcome{Kind: OutcomeLeaving})
		r.table.SetState("e0", membership.Live)
		r.table.Report("e0", upstream.Load{Models: []string{"m"}, AgeMillis: 1000})
		_, err = r.Pick(Request{Target: model, Exclude: []string{"e1"}})
		is.True(err != nil) // e0 gets no requests

		time.Sleep(time.Second)
		r.table.Report("e0", upstream.Load{Models: []string{"m"}})
		_, err = r.Pick(Request{Target: model, Exclude: []string{"e1"}})
		is.NoErr(err) // a later report clears the mark
	})
}

func TestStatusReportsEveryUpstream(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(t, 3, "")
		r.table.SetState("e1", membership.Suspected)
		r.table.MarkLeaving("e2")
		r.table.Report("e0", upstream.Load{Running: 3, Queued: 2, Models: []string{"m"}, AgeMillis: 1000})
		_, err := r.Pick(Request{Target: model})
		is.NoErr(err)
		all := r.table.Status()
		is.Equal(len(all), 3)
		is.Equal(all[0].Others, int64(5))
		is.Equal(all[0].InFlight, int64(1))
		is.Equal(all[0].ReportAge, time.Second)
		is.Equal(all[0].DataCentre, "a")
		is.Equal(all[1].State, "suspected")
		is.Equal(all[2].State, "leaving")
		is.Equal(r.table.Demand(model), 6.0)
	})
}
