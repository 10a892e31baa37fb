package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/ratelimit"
	"buckthornridge/upstream"
)

// Guards against an upstream that names the rate it takes and gets as much as the others.
func TestUpstreamGetsNoMoreThanItNames(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		const (
			rate    = 2.0
			window  = 4 * time.Second
			allowed = 1.5*rate*4 + 5
		)
		b := newHarness(t, Idempotent)
		var arrivals []time.Time
		b.answer = func(out OutgoingRequest) step {
			s := answered("done")
			if out.Upstream.ID == "u1" {
				s.head.RateLimit = ratelimit.Reading{Named: true, PerSecond: rate}
				arrivals = append(arrivals, time.Now())
			}
			return s
		}
		began := time.Now()
		for time.Since(began) < 20*time.Second {
			q := b.request()
			q.Size = Size{} // no budget is needed
			is.Equal(b.serve(q).status, 200)
			time.Sleep(20 * time.Millisecond)
		}
		informed := began.Add(3 * time.Second)
		for i, first := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) < window {
					n++
				}
			}
			is.True(first.Before(informed) || float64(n) <= allowed)
		}
		is.True(len(arrivals) >= 10) // it is used
	})
}

// Guards against a rate that is overlooked because the answer that names it failed, and one
// that is taken from another upstream at the address.
func TestRateIsReadFromEachKindOfAnswer(t *testing.T) {
	named := ratelimit.Reading{Named: true, PerSecond: 2}
	cut := answered("x")
	cut.bodyErr = upstream.ErrBroken
	misdirected := refusing()
	misdirected.head.Status, misdirected.head.Misdirected = 421, true
	for _, c := range []struct {
		name  string
		step  step
		count int
	}{
		{"answered", answered("x"), 1},
		{"failed", failing(500), 1},
		{"refused", refusing(), 1},
		{"body breaks off", cut, 1},
		{"another upstream answers", misdirected, 0},
		{"no answer", broken(), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				is := is.New(t)
				c.step.head.RateLimit = named
				b := newHarness(t, AtMostOnce, c.step)
				b.serve(b.request())
				is.Equal(b.relay.Limiter.Count(), c.count)
			})
		})
	}
}

// Guards against requests that are held or told a wrong time when all upstreams of a service are limited.
func TestLimitedServiceRefusesAtOnce(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, Idempotent)
		b.answer = func(OutgoingRequest) step {
			s := answered("done")
			s.head.RateLimit = ratelimit.Reading{Named: true, PerSecond: 2}
			return s
		}
		q := b.request()
		q.Size = Size{}
		for range len(b.fleet) {
			is.Equal(b.serve(q).status, 200) // each upstream names its rate
		}
		began := time.Now()
		got := b.serve(q)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(got.status, 503)
		time.Sleep(got.problem.RetryAfter)
		is.Equal(b.serve(q).status, 200)
	})
}

// Guards against a caller who is told to wait for a limit although an upstream without one may take it sooner.
func TestLimitOfOneUpstreamDelaysNoRetry(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, Idempotent)
		b.answer = func(out OutgoingRequest) step {
			s := refusing()
			if out.Upstream.ID != "u1" {
				return notSent()
			}
			s.head.RateLimit = ratelimit.Reading{Named: true, PerSecond: 0.1}
			return s
		}
		for range 8 { // until u1 has named its rate
			b.serve(b.request())
		}
		is.Equal(b.relay.Limiter.Count(), 1)
		got := b.serve(b.request())
		is.Equal(got.status, 503)
		is.True(got.problem.RetryAfter <= retryAfterNoUpstream)
	})
}

// Guards against an upstream that names how many rejections it bears and gets the next
// request although it had no room.
func TestRejectionByBrittleUpstreamIsRecorded(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		full := refusing()
		full.head.RejectionLimit = ratelimit.Reading{Named: true, PerSecond: 1}
		b := newHarness(t, AtMostOnce, full, answered("ok"))
		is.Equal(b.serve(b.request()).status, 200)
		is.Equal(b.relay.Rejections.Count(), int64(1))
		rejecting := b.sent[0].Upstream.ID
		for range 20 {
			b.serve(b.request())
		}
		for _, out := range b.sent[1:] {
			is.True(out.Upstream.ID != rejecting)
		}
	})
}

// Guards against callers who are told to come back before any upstream's rest has ended, or long after.
func TestCallersComeBackAtTheEndOfTheFirstRest(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, Idempotent)
		resting := true
		b.answer = func(OutgoingRequest) step {
			s := answered("ok")
			if resting {
				s = refusing()
				s.head.Rest = ratelimit.RestReading{For: 2 * time.Second}
			}
			return s
		}
		for range 2 * len(b.fleet) { // until all upstreams have asked for rest
			b.serve(b.request())
		}
		is.Equal(len(b.sent), len(b.fleet))
		resting = false
		time.Sleep(time.Second)
		got := b.serve(b.request())
		is.Equal(got.status, 503)
		is.Equal(len(b.sent), len(b.fleet))
		is.True(got.problem.RetryAfter >= 900*time.Millisecond && got.problem.RetryAfter <= 1500*time.Millisecond)
		time.Sleep(got.problem.RetryAfter)
		is.Equal(b.serve(b.request()).status, 200)
	})
}
