package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/ratelimit"
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
