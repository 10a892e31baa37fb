package ratelimit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// rejectionWindow is the time over which an upstream counts its rejections.
	rejectionWindow = time.Second
	// pauseJitter spreads the end of a pause over the routers, as a share of its length.
	pauseJitter = 0.3
	// rampInterval spaces the requests of all routers together for rampTime after a pause,
	// so that one rejection is known to all before further requests are rejected.
	rampInterval = 4 * time.Millisecond
	rampTime     = time.Second
	// growthShare is the part of the rejections which an upstream bears that routers cause
	// to find out whether it has more room.
	growthShare = 0.25
	// lapseTime is how long what was learned of the room is kept after a rejection.
	lapseTime = 10 * time.Second
)

// Backoff is what a router does after a rejection.
type Backoff struct {
	// Own says that a request of this router was rejected, of the size Tokens.
	Own    bool
	Tokens int64
	// Pause is how long the upstream gets nothing if the rejection was not expected; 0 if it
	// may go on. If this router is the Only one that sends there and it took others, it gets
	// one request at a time.
	Pause time.Duration
	Only  bool
	// Interval is the least time between two requests in the time Ramp after a pause.
	Interval, Ramp time.Duration
	// Guard is how long fewer requests are in flight than the upstream has room for, Hold
	// how long it takes until one more is tried.
	Guard, Hold time.Duration
	// Lapse is how long the room that was learned bounds the requests in flight.
	Lapse time.Duration
}

// Rejections keeps upstreams that bear few rejections from getting requests that they must
// reject for want of room. A router whose request was rejected learns from it how much room
// there is; before there are too many rejections, all routers pause. All methods are safe
// for concurrent use.
type Rejections struct {
	apply   func(upstream string, b Backoff)
	routers func(upstream string) int // that send to an upstream
	// onRejected is called for rejections that this router has got.
	onRejected atomic.Pointer[func(upstream string, perSecond float64)]
	count      atomic.Int64

	mu     sync.Mutex
	recent map[string][]time.Time // rejections of all routers, by upstream
}

// NewRejections returns Rejections that know of none. apply puts a backoff into force,
// routers returns how many routers send to an upstream.
func NewRejections(apply func(upstream string, b Backoff), routers func(upstream string) int) *Rejections {
	return &Rejections{apply: apply, routers: routers, recent: map[string][]time.Time{}}
}

// OnRejected sets a function that is called for each rejection that this router gets.
func (r *Rejections) OnRejected(f func(upstream string, perSecond float64)) { r.onRejected.Store(&f) }

// Count returns the number of rejections that this router has got.
func (r *Rejections) Count() int64 { return r.count.Load() }

// Rejected records that an upstream has rejected a request of this router, of some tokens and
// still counted in flight, for want of room. limit is how many rejections a second it bears;
// for one that names none nothing changes.
func (r *Rejections) Rejected(upstream string, tokens int64, limit Reading) {
	if !limit.Named {
		return
	}
	r.count.Add(1)
	r.record(upstream, limit.PerSecond, Backoff{Own: true, Tokens: tokens})
	if f := r.onRejected.Load(); f != nil {
		(*f)(upstream, limit.PerSecond)
	}
}

// Recent reports whether an upstream that names a limit has lately rejected a request of any
// router. It may fail by that.
func (r *Rejections) Recent(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(time.Now())
	return len(r.recent[upstream]) > 0
}

// Learn records that an upstream has rejected a request of another router.
func (r *Rejections) Learn(upstream string, perSecond float64) {
	r.record(upstream, perSecond, Backoff{})
}

// record applies a rejection; b says whose it is.
func (r *Rejections) record(upstream string, perSecond float64, b Backoff) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	times := append(r.recent[upstream], now)
	r.recent[upstream] = times
	perSecond = max(perSecond, 1/lapseTime.Seconds())
	routers := max(r.routers(upstream), 1)
	hold := time.Duration(float64(routers) / (growthShare * perSecond) * float64(time.Second))
	b.Only, b.Guard, b.Hold, b.Lapse = routers == 1, rejectionWindow, max(hold, rejectionWindow), lapseTime+hold
	if left := perSecond - float64(len(times)); pauses(left, routers, len(times), b.Own) {
		b.Pause = rejectionWindow - now.Sub(times[0])
		b.Pause += jitter(time.Duration(pauseJitter * float64(rejectionWindow)))
		b.Interval, b.Ramp = time.Duration(routers)*rampInterval, rampTime
	}
	r.apply(upstream, b)
	klog.V(1).Infof("step=upstream_full upstream=%s own=%t bears=%g recent=%d pause_ms=%d", upstream, b.Own, perSecond, len(times), b.Pause.Milliseconds())
}

// pauses reports whether an upstream that bears left further rejections gets nothing. Each
// router may cause one before it knows of the last one.
func pauses(left float64, routers, rejections int, own bool) bool {
	if own {
		return left < float64(routers)
	}
	return left <= 0 && rejections > 1
}

// jitter returns a random time of at most limit.
func jitter(limit time.Duration) time.Duration { return time.Duration(rand.Float64() * float64(limit)) }

// forget removes the rejections that upstreams no longer count.
func (r *Rejections) forget(now time.Time) {
	for u, times := range r.recent {
		for len(times) > 0 && now.Sub(times[0]) >= rejectionWindow {
			times = times[1:]
		}
		if len(times) == 0 {
			delete(r.recent, u)
		} else {
			r.recent[u] = times
		}
	}
}
