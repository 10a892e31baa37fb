package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ReadinessBalancer is a Balancer that polls each router's /readyz, as the platform's
// balancer does, and returns the ready routers in turn.
type ReadinessBalancer struct {
	routers []Router
	checks  []string // URLs of /readyz
	client  *http.Client
	next    atomic.Uint64

	mu    sync.Mutex
	ready []bool
}

// Interval and timeout of the readiness checks.
const (
	checkInterval = 250 * time.Millisecond
	checkTimeout  = 500 * time.Millisecond
)

// NewReadinessBalancer returns a balancer over routers and their admin addresses. Every
// router counts as ready until it is checked.
func NewReadinessBalancer(routers []Router, admin []string) *ReadinessBalancer {
	b := &ReadinessBalancer{routers: routers, client: &http.Client{Timeout: checkTimeout}, ready: make([]bool, len(routers))}
	for i := range routers {
		b.checks = append(b.checks, "http://"+admin[i]+"/readyz")
		b.ready[i] = true
	}
	return b
}

// Run checks all routers until ctx ends.
func (b *ReadinessBalancer) Run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range b.routers {
		group.Go(func() { b.checkPeriodically(ctx, i) })
	}
	group.Wait()
	b.client.CloseIdleConnections()
}

func (b *ReadinessBalancer) checkPeriodically(ctx context.Context, i int) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		response, err := b.client.Get(b.checks[i])
		if err == nil {
			_ = response.Body.Close()
		}
		b.mu.Lock()
		b.ready[i] = err == nil && response.StatusCode == http.StatusOK
		b.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Next implements Balancer. If no router is ready it returns any.
func (b *ReadinessBalancer) Next(avoid string) Router {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := int(b.next.Add(1) % uint64(len(b.routers)))
	choice := -1
	for i := range b.routers {
		at := (first + i) % len(b.routers)
		if !b.ready[at] {
			continue
		}
		if b.routers[at].VM != avoid {
			return b.routers[at]
		}
		choice = at
	}
	if choice < 0 {
		choice = first
	}
	return b.routers[choice]
}
