package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
)

// Guards against requests that go on to an upstream whose address belongs to another one
// while the list of upstreams can't be read. One response is enough to stop them, at this
// router and, by one notice, at the others.
func TestReplacedUpstreamGetsNoMoreRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		here, elsewhere := newRouter(t, 3, ""), newRouter(t, 3, "")
		notices := 0
		here.table.OnReplaced(func(id string) {
			notices++
			elsewhere.table.MarkReplaced(id)
		})
		here.table.Observe("e1", Outcome{Kind: OutcomeReplaced})
		is.Equal(notices, 1)
		time.Sleep(maxEjection / 2)
		for _, r := range []*Router{here, elsewhere} {
			for range 100 {
				c, err := r.Pick(Request{Target: model})
				is.NoErr(err)
				is.True(c.UpstreamID != "e1")
				c.Done(Outcome{Kind: OutcomeCancelled})
			}
		}
		elsewhere.table.MarkReplaced("unknown")
	})
}

// Guards against an upstream that stays ejected for good after it returned under its old id.
func TestReplacedUpstreamIsProbedAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(t, 2, "")
		r.table.Observe("e1", Outcome{Kind: OutcomeReplaced})
		time.Sleep(maxEjection + time.Millisecond)
		probed := false
		for range 100 {
			c, err := r.Pick(Request{Target: model})
			is.NoErr(err)
			if c.UpstreamID == "e1" {
				probed = true
				c.Done(Outcome{Kind: OutcomeOK, FirstToken: time.Millisecond, Total: time.Millisecond})
				break
			}
			c.Done(Outcome{Kind: OutcomeCancelled})
		}
		is.True(probed)
		is.True(!r.table.current.Load().entries["e1"].health.ejected())
	})
}
