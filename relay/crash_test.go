package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/ratelimit"
)

// crashing returns steps of upstreams that end as soon as they run the request.
func (b *harness) crashing(n int) []step {
	for id := range b.fleet {
		b.ended[id+":1"] = true
	}
	steps := make([]step, n)
	for i := range steps {
		steps[i] = broken()
	}
	return steps
}

// restart gives each upstream a new process, which the next request may end again.
func (b *harness) restart() {
	for id, u := range b.fleet {
		u.Start++
		b.fleet[id] = u
	}
}

// Guards against a request that is sent on and on although each upstream that runs it ends.
func TestRequestThatEndsUpstreamsIsRefused(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, AtMostOnce)
		b.steps = b.crashing(20)
		for i := range 10 {
			q := b.request()
			q.ID = fmt.Sprint("r", i)
			b.serve(q)
			b.restart()
			time.Sleep(3 * time.Second) // the bound for acting on the third crash
		}
		is.Equal(len(b.sent), 3)
		q := b.request()
		got := b.serve(q)
		is.Equal(got.status, 503)
		is.True(got.problem.NotExecuted())
		is.Equal(b.settledTokens, int64(3*100)) // the refused ones are not charged
	})
}

// Guards against requests that are taken for the cause when upstreams end by the rejections that they had to send.
func TestEndByRejectionsIsNoEvidence(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, AtMostOnce)
		b.steps = b.crashing(20)
		b.relay.Rejections = ratelimit.NewRejections(func(string, ratelimit.Backoff) {}, func(string) int { return 1 })
		for i := range 10 {
			for id := range b.fleet {
				b.relay.Rejections.Learn(id, 100)
			}
			q := b.request()
			q.ID = fmt.Sprint("r", i)
			got := b.serve(q)
			is.True(got.problem == nil || got.problem.Name != "quarantined")
			b.restart()
			time.Sleep(3 * time.Second)
		}
		is.True(len(b.sent) > 3)
	})
}

// Guards against requests that are taken for the cause when upstreams end that had said in an answer that they leave.
func TestEndOfLeavingUpstreamIsNoEvidence(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, AtMostOnce)
		b.crashing(0)
		b.answer = func(out OutgoingRequest) step {
			b.relay.Observe(out.Upstream, Head{Leaving: true}) // to another request
			return broken()
		}
		for i := range 5 {
			q := b.request()
			q.ID = fmt.Sprint("r", i)
			got := b.serve(q)
			is.True(got.problem == nil || got.problem.Name != "quarantined")
			for id, u := range b.fleet { // new processes
				u.Leaving, u.Start = false, u.Start+1
				b.fleet[id] = u
			}
			time.Sleep(3 * time.Second)
		}
		is.True(len(b.sent) > 3)
	})
}
