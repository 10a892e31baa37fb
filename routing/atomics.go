package routing

import (
	"math"
	"sync/atomic"
)

// atomicFloat is a float64 that several goroutines update without a lock.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64 { return math.Float64frombits(f.bits.Load()) }

func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// update replaces the value by next(value). The function may run more than once.
func (f *atomicFloat) update(next func(float64) float64) {
	for {
		old := f.bits.Load()
		if f.bits.CompareAndSwap(old, math.Float64bits(next(math.Float64frombits(old)))) {
			return
		}
	}
}

// ewma is an exponentially weighted mean; 0 means that nothing was observed.
type ewma struct{ atomicFloat }

func (e *ewma) observe(v, weight float64) {
	e.update(func(old float64) float64 {
		if old == 0 {
			return v
		}
		return old + weight*(v-old)
	})
}
