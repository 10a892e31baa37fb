package routing

import (
	"math/rand/v2"
	"sync/atomic"
)

// random is a random number generator for concurrent use without a lock (SplitMix64 over
// an atomic counter). With a given seed and one goroutine it is deterministic.
type random struct{ state atomic.Uint64 }

func (r *random) seed(seed uint64) { r.state.Store(seed) }

func (r *random) seedRandomly() { r.seed(rand.Uint64()) }

func (r *random) next() uint64 {
	return mix(r.state.Add(0x9e3779b97f4a7c15))
}

// mix is the output function of SplitMix64, which also serves as a hash.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// below returns a number from 0 to n-1.
func (r *random) below(n int) int { return int(r.next() % uint64(n)) }

// fraction returns a number in [0, 1).
func (r *random) fraction() float64 { return float64(r.next()>>11) / (1 << 53) }
