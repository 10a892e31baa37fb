package ratelimit

import (
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// Limiter follows the rates that upstreams name. All methods are safe for concurrent use.
type Limiter struct {
	// rates holds the named rates by upstream; it is replaced as a whole.
	rates atomic.Pointer[map[string]float64]
	mu    sync.Mutex // held while rates is replaced
}

// NewLimiter returns a limiter that knows no rates.
func NewLimiter() *Limiter {
	l := &Limiter{}
	l.rates.Store(&map[string]float64{})
	return l
}

// Observe takes the reading of an upstream's answer. An answer that names no rate ends the
// earlier one.
func (l *Limiter) Observe(upstream string, r Reading) {
	old, known := (*l.rates.Load())[upstream]
	if r.Invalid || known == r.Named && old == r.PerSecond {
		return
	}
	l.set(upstream, r)
}

func (l *Limiter) set(upstream string, r Reading) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := *l.rates.Load()
	next := make(map[string]float64, len(current)+1)
	for id, rate := range current {
		next[id] = rate
	}
	delete(next, upstream)
	if r.Named {
		next[upstream] = r.PerSecond
	}
	l.rates.Store(&next)
	klog.Infof("step=upstream_limit upstream=%s limited=%t per_second=%g", upstream, r.Named, r.PerSecond)
}
