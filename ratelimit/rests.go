package ratelimit

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxRest bounds how long an upstream gets no requests for one answer: a wrong value
	// must not take it out of use for good.
	maxRest = 5 * time.Minute
	// restJitter spreads the ends of the rests that an upstream asked many routers for.
	restJitter = 250 * time.Millisecond
	// maxRests bounds the number of rests that are kept.
	maxRests = 2048
)

// RestReading is what a rejection says of the time for which the upstream wants no requests
// of the router that it rejected.
type RestReading struct {
	// For is that time; 0 if the rejection names none.
	For time.Duration
	// Invalid says that the rejection names something that is no number of seconds.
	Invalid bool
}

// ReadRest returns the reading of the values of a rejection's header field, decimal seconds.
// Of several times the longest holds, and none is longer than maxRest.
func ReadRest(values []string) RestReading {
	r := RestReading{}
	for _, value := range values {
		value = strings.TrimSpace(value)
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || !decimal.MatchString(value) {
			r.Invalid = true
			continue
		}
		r.For = max(r.For, time.Duration(min(seconds, maxRest.Seconds())*float64(time.Second)))
	}
	return r
}

// Process is one process of an upstream.
type Process struct {
	Upstream string
	Start    int64 // distinguishes successive processes under one id
}

// Rests keeps until when upstream processes want no requests of this router. All methods
// are safe for concurrent use.
type Rests struct {
	apply   func(upstream string, rest Backoff)
	routers func(upstream string) int // that send to an upstream

	asked, invalid atomic.Int64

	mu    sync.Mutex
	until map[Process]time.Time
}

// NewRests returns Rests that know of none. apply puts a rest into force, or ends it with an
// empty one; routers returns how many routers send to an upstream.
func NewRests(apply func(upstream string, rest Backoff), routers func(upstream string) int) *Rests {
	return &Rests{apply: apply, routers: routers, until: map[Process]time.Time{}}
}

// Observe takes what a rejection by a process says. An earlier and longer rest stays.
func (r *Rests) Observe(p Process, reading RestReading) {
	if reading.Invalid {
		r.invalid.Add(1)
		klog.V(1).Infof("step=upstream_rests upstream=%s result=ignored", p.Upstream)
	}
	if reading.For <= 0 {
		return
	}
	r.asked.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	until := now.Add(reading.For)
	if !until.After(r.until[p]) {
		return
	}
	if !r.until[p].After(now) {
		klog.Infof("step=upstream_rests upstream=%s start=%d rest_ms=%d", p.Upstream, p.Start, reading.For.Milliseconds())
	}
	if len(r.until) >= maxRests {
		r.forget(now)
	}
	r.until[p] = until
	r.put(p, now)
}

// Apply puts the rest of an upstream's process into force again, or ends that of an earlier
// process.
func (r *Rests) Apply(p Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(p, time.Now())
}

// Counts returns how often upstreams have asked for rest, and how often for something that is
// no time.
func (r *Rests) Counts() (asked, invalid int64) { return r.asked.Load(), r.invalid.Load() }

// put applies what is kept of a process. The caller must hold r.mu.
func (r *Rests) put(p Process, now time.Time) {
	left := r.until[p].Sub(now)
	if left <= 0 {
		r.apply(p.Upstream, Backoff{})
		return
	}
	interval := time.Duration(max(r.routers(p.Upstream), 1)) * rampInterval
	r.apply(p.Upstream, Backoff{Pause: left + jitter(min(restJitter, left/4)), Interval: interval, Ramp: min(rampTime, left)})
}

// forget removes the rests that have ended, or all if none has.
func (r *Rests) forget(now time.Time) {
	for p, until := range r.until {
		if !until.After(now) {
			delete(r.until, p)
		}
	}
	if len(r.until) >= maxRests {
		clear(r.until)
	}
}
