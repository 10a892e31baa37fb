package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of the moving average. The drain rate of the least
// urgent kind is a difference of two noisy rates. Shorter time constants made it so
// small at times that requests with enough time were refused.
const rateWindow = 5 * time.Second

// rate is an exponentially weighted moving average of events per second.
type rate struct {
	sum   float64
	last  time.Time
	start time.Time
}

func (r *rate) add(now time.Time, n float64) {
	if r.start.IsZero() {
		r.start = now
	}
	r.sum = r.decayed(now) + n
	r.last = now
}

func (r *rate) decayed(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.last).Seconds()/rateWindow.Seconds())
}

// perSecond returns the rate, or 0 if the observed time is too short for one.
func (r *rate) perSecond(now time.Time) float64 {
	seen := now.Sub(r.start)
	if r.start.IsZero() || seen < rateWindow/10 {
		return 0
	}
	full := rateWindow.Seconds() * (1 - math.Exp(-seen.Seconds()/rateWindow.Seconds()))
	return r.decayed(now) / full
}
