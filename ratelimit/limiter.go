package ratelimit

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// namedWindow is the time over which a named rate is counted.
const namedWindow = 4 * time.Second

// notifiedChange is the relative change of a rate that other routers are told of.
const notifiedChange = 0.2

// Limit bounds one router's requests to an upstream.
type Limit struct {
	// Active says that there is a limit.
	Active bool
	// Interval is the least time between two requests; with 0 there are none.
	Interval time.Duration
	// Delay is the time before the first request.
	Delay time.Duration
}

// Limiter follows the rates that upstreams name and limits this router's requests to its
// part of them. All methods are safe for concurrent use.
type Limiter struct {
	routers *Routers
	apply   func(upstream string, l Limit)
	// onChange is called for rates that this router learned by an answer.
	onChange atomic.Pointer[func(upstream string, r Reading)]

	// rates holds the named rates by upstream; it is replaced as a whole.
	rates atomic.Pointer[map[string]float64]
	mu    sync.Mutex // held while rates is replaced
}

// NewLimiter returns a limiter that knows no rates. apply puts a limit into force.
func NewLimiter(routers *Routers, apply func(upstream string, l Limit)) *Limiter {
	l := &Limiter{routers: routers, apply: apply}
	l.rates.Store(&map[string]float64{})
	return l
}

// OnChange sets a function that is called when an answer names a rate for the first time, a
// much different one, or none any more.
func (l *Limiter) OnChange(f func(upstream string, r Reading)) { l.onChange.Store(&f) }

// Count returns the number of upstreams that name a rate.
func (l *Limiter) Count() int { return len(*l.rates.Load()) }

// Observe takes the reading of an upstream's answer. An answer that names no rate ends the
// earlier one.
func (l *Limiter) Observe(upstream string, r Reading) {
	old, known := (*l.rates.Load())[upstream]
	if !l.Learn(upstream, r) {
		return
	}
	if f := l.onChange.Load(); f != nil && (known != r.Named || math.Abs(r.PerSecond-old) > notifiedChange*old) {
		(*f)(upstream, r)
	}
}

// Learn takes what another router has read. It reports whether that is new.
func (l *Limiter) Learn(upstream string, r Reading) bool {
	old, known := (*l.rates.Load())[upstream]
	if r.Invalid || known == r.Named && old == r.PerSecond {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(*l.rates.Load())
	delete(next, upstream)
	if r.Named {
		next[upstream] = r.PerSecond
	}
	l.rates.Store(&next)
	l.limit(upstream, r.Named, r.PerSecond)
	klog.Infof("step=upstream_limit upstream=%s limited=%t per_second=%g", upstream, r.Named, r.PerSecond)
	return true
}

// Forget removes what is known of an upstream that has left or has started again.
func (l *Limiter) Forget(upstream string) { l.Learn(upstream, Reading{}) }

// Apply puts the limits into force again, for upstreams that were added.
func (l *Limiter) Apply() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream, rate := range *l.rates.Load() {
		l.limit(upstream, true, rate)
	}
}

// SetRouters sets the routers that share the upstreams and adapts the limits to them.
func (l *Limiter) SetRouters(self string, names []string) {
	if l.routers.Set(self, names) {
		l.Apply()
	}
}

// limit puts this router's part of a rate into force. The caller must hold l.mu.
func (l *Limiter) limit(upstream string, named bool, perSecond float64) {
	if !named {
		l.apply(upstream, Limit{})
		return
	}
	rate := Rate{PerSecond: perSecond, Window: namedWindow}
	limit := Limit{Active: true, Interval: l.routers.Interval(upstream, rate)}
	if limit.Interval == 0 {
		limit.Interval, limit.Delay = l.routers.Probe(upstream, rate)
	}
	l.apply(upstream, limit)
}
