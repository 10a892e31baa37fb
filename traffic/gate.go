package traffic

import (
	"math"
	"sync/atomic"
	"time"
)

// Shares of a link's rate, in either direction, at which a VM stops and resumes accepting
// new callers. They are far below a full link: the balancer reacts a second or two later,
// connected callers keep using their connections, and all callers of a workspace may reach
// the same VM, so that the rest of the link fills within that time. Responses to the VM's
// own requests wait in the same queue: on a full link it gets no tokens and no notice of
// servers that are leaving.
const (
	closeThreshold = 0.35
	openThreshold  = 0.25
	// smoothingTime is the time constant of the moving average: shorter than the balancer's
	// check interval, longer than a few large requests take.
	smoothingTime = 150 * time.Millisecond
)

// Gate decides from the utilization of a VM's link whether it accepts new callers. Observe
// is for one goroutine; Open is safe for concurrent use.
type Gate struct {
	rate    float64 // link rate in each direction, bytes per second; 0 if unknown
	in, out float64 // moving averages, bytes per second
	closed  atomic.Bool
}

// NewGate returns an open gate for a link's rate in Mbit/s. With rate 0 it stays open.
func NewGate(mbit float64) *Gate { return &Gate{rate: mbit * 1e6 / 8} }

// Observe adds the bytes carried in the elapsed time and reports whether the gate changed.
func (g *Gate) Observe(carried Count, elapsed time.Duration) bool {
	if g.rate <= 0 || elapsed <= 0 {
		return false
	}
	decay := math.Exp(-float64(elapsed) / float64(smoothingTime))
	g.in = decay*g.in + (1-decay)*float64(carried.In)/elapsed.Seconds()
	g.out = decay*g.out + (1-decay)*float64(carried.Out)/elapsed.Seconds()
	switch utilization := g.Utilization(); {
	case utilization > closeThreshold:
		return g.closed.CompareAndSwap(false, true)
	case utilization < openThreshold:
		return g.closed.CompareAndSwap(true, false)
	}
	return false
}

// Utilization returns the recent utilization of the link's busier direction. It is for the
// goroutine that calls Observe.
func (g *Gate) Utilization() float64 {
	if g.rate <= 0 {
		return 0
	}
	return max(g.in, g.out) / g.rate
}

// Open reports whether new callers are accepted.
func (g *Gate) Open() bool { return !g.closed.Load() }
