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
	onChange atomic.Pointer[func(upstream string, process int64, r Reading)]

	// rates holds the named rates by upstream; it is replaced as a whole.
	rates atomic.Pointer[map[string]namedRate]
	mu    sync.Mutex // held while rates is replaced
}

// namedRate is the rate that one process of an upstream has named.
type namedRate struct {
	perSecond float64
	process   int64
	since     time.Time
}

// maxRates bounds the number of rates. They outlast their upstreams, since an upstream that
// drops out of the list may come back.
const maxRates = 2048

// NewLimiter returns a limiter that knows no rates. apply puts a limit into force.
func NewLimiter(routers *Routers, apply func(upstream string, l Limit)) *Limiter {
	l := &Limiter{routers: routers, apply: apply}
	l.rates.Store(&map[string]namedRate{})
	return l
}

// OnChange sets a function that is called when an answer names a rate for the first time, a
// much different one, or none any more.
func (l *Limiter) OnChange(f func(upstream string, process int64, r Reading)) { l.onChange.Store(&f) }

// Count returns the number of upstreams that name a rate.
func (l *Limiter) Count() int { return len(*l.rates.Load()) }

// Observe takes the reading of an answer of an upstream's process. An answer that names no
// rate ends the earlier one.
func (l *Limiter) Observe(upstream string, process int64, r Reading) {
	old, known := (*l.rates.Load())[upstream]
	if !l.Learn(upstream, process, r) {
		return
	}
	changed := math.Abs(r.PerSecond-old.perSecond) > notifiedChange*old.perSecond
	if f := l.onChange.Load(); f != nil && (known != r.Named || changed) {
		(*f)(upstream, process, r)
	}
}

// Learn takes what another router has read. It reports whether that is new.
func (l *Limiter) Learn(upstream string, process int64, r Reading) bool {
	old, known := (*l.rates.Load())[upstream]
	if r.Invalid || known == r.Named && old.perSecond == r.PerSecond && (!known || old.process == process) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(*l.rates.Load())
	delete(next, upstream)
	if r.Named {
		if len(next) >= maxRates {
			delete(next, oldest(next))
		}
		next[upstream] = namedRate{perSecond: r.PerSecond, process: process, since: time.Now()}
	}
	l.rates.Store(&next)
	l.limit(upstream, r.Named, r.PerSecond)
	klog.Infof("step=upstream_limit upstream=%s limited=%t per_second=%g", upstream, r.Named, r.PerSecond)
	return true
}

func oldest(rates map[string]namedRate) string {
	first := ""
	for upstream, rate := range rates {
		if first == "" || rate.since.Before(rates[first].since) {
			first = upstream
		}
	}
	return first
}

// Started tells which process an upstream has now. It ends the limit of an earlier one.
func (l *Limiter) Started(upstream string, process int64) {
	if old, known := (*l.rates.Load())[upstream]; known && old.process != process {
		l.Learn(upstream, process, Reading{})
	}
}

// Apply puts the limits into force again, for upstreams that were added.
func (l *Limiter) Apply() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream, rate := range *l.rates.Load() {
		l.limit(upstream, true, rate.perSecond)
	}
}

// SetRouters sets the routers that share the upstreams and adapts the limits to them. It
// reports whether they changed.
func (l *Limiter) SetRouters(self string, names []string) bool {
	changed := l.routers.Set(self, names)
	if changed {
		l.Apply()
	}
	return changed
}

// limit puts this router's part of a rate into force. The caller must hold l.mu.
func (l *Limiter) limit(upstream string, named bool, perSecond float64) {
	if !named {
		l.apply(upstream, Limit{})
		return
	}
	rate := Rate{PerSecond: perSecond, Window: namedWindow}
	limit := Limit{Active: true, Interval: l.routers.Interval(upstream, rate), Delay: l.routers.FirstTurn(upstream, rate)}
	if limit.Interval == 0 {
		limit.Interval, limit.Delay = l.routers.Probe(upstream, rate)
	}
	l.apply(upstream, limit)
}
