package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/pause"
)

// Timing of a planned stop.
const (
	// leaveNotice is how long new callers are still served while the load balancer takes
	// this VM out: it checks once a second and acts on the second failure.
	leaveNotice = 3 * time.Second
	// closeReserve is the part of the drain limit that is reserved for returning grants.
	closeReserve = 1200 * time.Millisecond
	// closeTimeout bounds the return of grants. The rest of closeReserve is for the
	// process to exit before it is killed.
	closeTimeout = 900 * time.Millisecond
	// loanTimeout bounds the wait for loans. Most requests end within it, and the
	// process must have exited before it is killed.
	loanTimeout = 2 * time.Second
	// loanPollInterval is the time between two checks for outstanding loans.
	loanPollInterval = 50 * time.Millisecond
)

// Drain performs a planned stop: the ready check fails first, requests in progress are
// completed, and the remaining grants are returned.
func (p *Process) Drain(ctx context.Context) {
	began := time.Now()
	p.stopping.Store(true)
	klog.Infof("step=drain vm=%s active=%d connections=%d", p.settings.VM, p.active.Load(), p.callerConns.Counts().Open)
	requests, cancel := context.WithTimeout(ctx, p.settings.DrainLimit.D()-closeReserve)
	defer cancel()
	_ = pause.For(requests, leaveNotice)
	// No new requests are accepted from here on: a late stream could not be completed.
	if err := p.callers.Shutdown(requests); err != nil {
		klog.Warningf("step=drain result=cut active=%d err=%q", p.active.Load(), err.Error())
		p.callers.Close()
	}
	p.awaitForwarded(requests)
	p.awaitLoans(requests)
	p.cancel()
	closing, done := context.WithTimeout(ctx, closeTimeout)
	defer done()
	p.tasks.Wait()
	p.manager.Close(closing)
	p.peers.deregister(closing)
	klog.Infof("step=drain result=done after_ms=%d", time.Since(began).Milliseconds())
}

// awaitLoans stops lending and waits for tokens lent to other VMs: a loan that is not
// returned is charged in full.
func (p *Process) awaitLoans(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	p.manager.StopLending()
	for p.manager.OpenLoans() > 0 && pause.For(ctx, loanPollInterval) == nil {
	}
}

// awaitForwarded waits for the requests of peers that are in progress. New ones are
// refused since the stop began.
func (p *Process) awaitForwarded(ctx context.Context) {
	for p.forwarded.active.Load() > 0 && pause.For(ctx, loanPollInterval) == nil {
	}
}

// Stop ends all work at once.
func (p *Process) Stop() {
	p.cancel()
	for _, server := range []interface{ Close() error }{p.callers, p.ready, p.metricsServer, p.peerSrv, p.peers.client} {
		if err := server.Close(); err != nil {
			klog.Warningf("step=stop err=%q", err.Error())
		}
	}
	p.tasks.Wait()
}
