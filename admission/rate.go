package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant over which rates are averaged. Shorter ones
// made the pace left for the least urgent kind, a difference of two noisy rates,
// so small at times that requests were refused which had ample time.
const rateWindow = 5 * time.Second

// rate counts events per second with exponential forgetting.
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

// perSecond returns the rate, or 0 if too little was seen to tell.
func (r *rate) perSecond(now time.Time) float64 {
	seen := now.Sub(r.start)
	if r.start.IsZero() || seen < rateWindow/10 {
		return 0
	}
	full := rateWindow.Seconds() * (1 - math.Exp(-seen.Seconds()/rateWindow.Seconds()))
	return r.decayed(now) / full
}
