package traffic

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func contextFor(t *testing.T, length time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(t.Context(), length)
}

// Load: a burst fills the link for five seconds. It counts as full at once, callers are kept off
// until the balancer has moved them, and two seconds after its end all is as before.
func TestSaturationFollowsABurst(t *testing.T) {
	is := is.New(t)
	s, start := new(Saturation), time.Now()
	observe := func(from, to time.Duration, utilization float64, delay time.Duration) {
		for at := from; at < to; at += 100 * time.Millisecond {
			s.Observe(start.Add(at), utilization, delay)
		}
	}
	observe(0, time.Second, 0.4, 3*time.Millisecond)
	is.True(!s.Saturated() && !s.Held())
	observe(time.Second, 6*time.Second, 0.95, 700*time.Millisecond)
	is.True(s.Saturated() && s.Held())
	is.Equal(s.AnswerDelay(), 700*time.Millisecond)
	is.Equal(s.UntilMoved(start.Add(6*time.Second)), time.Duration(0))
	is.True(s.UntilMoved(start.Add(1500*time.Millisecond)) > time.Second)
	observe(6*time.Second, 6500*time.Millisecond, 0.2, 3*time.Millisecond)
	is.True(!s.Saturated() && s.Held())
	observe(6500*time.Millisecond, 8500*time.Millisecond, 0.2, 3*time.Millisecond)
	is.True(!s.Saturated() && !s.Held())
	var none *Saturation
	is.True(!none.Saturated() && !none.Held() && none.AnswerDelay() == 0)
}

// Guards against a slow table that is taken for a full link: answers that are late beside an idle
// link say nothing about the link.
func TestLateAnswersAloneAreNoFullLink(t *testing.T) {
	is := is.New(t)
	s := new(Saturation)
	s.Observe(time.Now(), 0.3, 2*time.Second)
	is.True(!s.Saturated())
	s.Observe(time.Now(), 0.6, 2*time.Second)
	is.True(s.Saturated())
}

// The fastest recent answer tells how long all wait at the link; old samples are forgotten.
func TestAnswerDelay(t *testing.T) {
	is := is.New(t)
	var d AnswerDelay
	start := time.Now()
	is.Equal(d.Estimate(start), time.Duration(0))
	d.Record(start, 900*time.Millisecond)
	d.Record(start.Add(100*time.Millisecond), 300*time.Millisecond)
	d.Record(start.Add(200*time.Millisecond), 800*time.Millisecond)
	is.Equal(d.Estimate(start.Add(300*time.Millisecond)), 300*time.Millisecond)
	d.Record(start.Add(1100*time.Millisecond), 5*time.Millisecond)
	is.Equal(d.Estimate(start.Add(1200*time.Millisecond)), 5*time.Millisecond)
	is.Equal(d.Estimate(start.Add(5*time.Second)), time.Duration(0))
}

// Load: two hundred callers are refused at the same moment. They come back at a rate that the
// link can read, the urgent ones first, and none later than it would wait.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	const mbit, size, earliest, latest = 8, 9000, 200 * time.Millisecond, 3 * time.Second
	r, now := NewReturns(mbit), time.Now()
	perSlot := map[time.Duration]int64{}
	var lastUrgent, firstOther time.Duration
	for i := range 200 {
		after := r.After(now, 1+i%2, size, earliest, latest)
		is.True(after >= earliest && after <= latest)
		if after < latest {
			perSlot[after/(100*time.Millisecond)] += size
		}
	}
	for slot, bytes := range perSlot {
		is.True(float64(bytes) <= returnShare*mbit*1e6/8/10+2*size) // a slot is a tenth of a second
		firstOther = max(firstOther, slot)
	}
	lastUrgent = r.After(now, 0, size, earliest, latest)
	is.Equal(lastUrgent, earliest)
	is.True(firstOther > 20) // the others are spread over two seconds and more
	is.Equal(r.After(now, 0, size, 5*time.Second, latest), latest)
}
