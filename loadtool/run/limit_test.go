package run

import (
	"testing"

	"github.com/matryer/is"

	"buckthornridge/standin/node"
)

// Guards against an oracle that passes what the rule forbids, or counts what it allows.
func TestBeyondLimit(t *testing.T) {
	every := func(ms, n int64) []int64 {
		var all []int64
		for i := range n {
			all = append(all, i*ms)
		}
		return all
	}
	for _, c := range []struct {
		name     string
		rate     float64
		arrivals []int64
		want     int
	}{
		{"none", 1, nil, 0},
		{"at the rate", 1, every(1000, 20), 0},
		{"many before the notice", 1, every(10, 300), 0},
		{"as many as allowed", 1, every(400, 40), 0},
		{"twice the rate and more", 1, every(200, 100), 20 - 11},
		{"with a rate of zero", 0, every(500, 20), 8 - 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(beyondLimit(node.LimitPeriod{PerSecond: c.rate, Arrivals: c.arrivals}), c.want)
		})
	}
}
