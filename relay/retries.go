package relay

import (
	"sync"
	"time"
)

// RetryBudget bounds how often requests are sent to a second upstream. In each window
// all routers together may retry a share of a service's requests and a fixed number in
// addition; a router keeps to its part of that number without talking to the others.
//
// It prevents retry storms: when an upstream fails, each failure would otherwise become
// another request for the remaining upstreams.
type RetryBudget struct {
	policy RetryPolicy

	mu       sync.Mutex
	services map[string]*retryBucket
}

// RetryPolicy is what the operators allow for each service.
type RetryPolicy struct {
	// Share is the part of a service's requests that may be retried.
	Share float64
	// Extra is the number of additional retries of all routers in a window.
	Extra float64
	// Window is the time over which both are counted.
	Window time.Duration
}

const (
	// retrySafety is the part of the budget that is used; the rest covers requests that
	// cross the boundary of a window.
	retrySafety = 0.8
)

// retryBucket is a token bucket of retries. It is refilled by requests and by time, up
// to its capacity.
type retryBucket struct {
	level float64
	last  time.Time
}

// NewRetryBudget returns a budget that is full for each service.
func NewRetryBudget(policy RetryPolicy) *RetryBudget {
	return &RetryBudget{policy: policy, services: map[string]*retryBucket{}}
}

// Request counts a request for a service. routers is the number of routers that share
// the budget.
func (r *RetryBudget) Request(service string, routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, routers)
	b.level = min(b.level+retrySafety*r.policy.Share, r.capacity(routers))
}

// Take takes one retry and reports whether there was one.
func (r *RetryBudget) Take(service string, routers int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, routers)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// routerExtra returns this router's part of the fixed number. Half of it fills the
// bucket at first and the other half refills it over a window, so that no window exceeds
// the number.
func (r *RetryBudget) routerExtra(routers int) float64 {
	return retrySafety * r.policy.Extra / 2 / float64(max(routers, 1))
}

// capacity returns the size of the bucket: at least one whole retry, or a router of a
// large fleet could never save up for one.
func (r *RetryBudget) capacity(routers int) float64 { return max(1, r.routerExtra(routers)) }

func (r *RetryBudget) bucket(service string, routers int) *retryBucket {
	now := time.Now()
	b := r.services[service]
	if b == nil {
		b = &retryBucket{level: r.routerExtra(routers), last: now}
		r.services[service] = b
	}
	refill := r.routerExtra(routers) * float64(now.Sub(b.last)) / float64(r.policy.Window)
	b.level = min(b.level+refill, r.capacity(routers))
	b.last = now
	return b
}
