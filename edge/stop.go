package edge

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/pause"
	"buckthornridge/relay"
)

// Timing of a planned stop.
const (
	// leaveNotice is how long new callers are still served while the load balancer takes
	// this VM out: it checks once a second and acts on the second failure.
	leaveNotice = 3 * time.Second
	// answerReserve is the time before the end of the last requests in which those without an
	// answer get one.
	answerReserve = 100 * time.Millisecond
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
	// lateRequests is how long after the notice a first request is awaited on connections that
	// have sent none.
	lateRequests = time.Second
	// requestPollInterval is the time between two checks for requests in progress.
	requestPollInterval = 20 * time.Millisecond
)

// requestStop bounds callers' requests in a planned stop.
type requestStop struct {
	at       atomic.Pointer[time.Time]    // the end of the last requests; nil unless it is bounded
	requests context.Context              // that of all requests
	end      context.CancelCauseFunc      // ends requests
	listener atomic.Pointer[net.Listener] // for callers; nil before it is served
}

func newRequestStop() *requestStop {
	s := &requestStop{}
	s.requests, s.end = context.WithCancelCause(context.Background())
	return s
}

// serveCallers serves callers on a listener.
func (p *Process) serveCallers(l net.Listener) error {
	p.stop.listener.Store(&l)
	return p.callers.Serve(l)
}

// stopsAt implements relay.Relay.StopsAt.
func (s *requestStop) stopsAt() (at time.Time, stops bool) {
	if bound := s.at.Load(); bound != nil {
		return *bound, true
	}
	return time.Time{}, false
}

// Drain performs a planned stop: the ready check fails first, requests in progress are
// completed, and the remaining grants are returned.
func (p *Process) Drain(ctx context.Context) {
	began := time.Now()
	p.stopping.Store(true)
	klog.Infof("step=drain vm=%s active=%d connections=%d", p.settings.VM, p.active.Load(), p.callerConns.Counts().Open)
	requests, cancel := context.WithTimeout(ctx, p.settings.DrainLimit.D()-closeReserve)
	defer cancel()
	_ = pause.For(requests, leaveNotice)
	p.finishRequests(requests)
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

// finishRequests ends the requests of callers before the deadline of a context. From here on
// a new one is served only if its deadline lies before that; others are refused.
// http.Server.Shutdown alone would close the connections of new requests without an answer.
func (p *Process) finishRequests(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	at := deadline.Add(-answerReserve)
	p.stop.at.Store(&at)
	if l := p.stop.listener.Load(); l != nil {
		(*l).Close()
	}
	p.callers.SetKeepAlivesEnabled(false) // closes idle connections, and others after their answers
	until, cancel := context.WithDeadline(ctx, at)
	defer cancel()
	began := time.Now()
	for p.requestsExpected(time.Since(began)) && pause.For(until, requestPollInterval) == nil {
	}
	p.stop.end(relay.ErrStopping)
}

// requestsExpected reports whether requests are in progress, or may still arrive some time
// after the notice.
func (p *Process) requestsExpected(sinceNotice time.Duration) bool {
	return p.active.Load() > 0 || sinceNotice < lateRequests && p.callerConns.Counts().Open > 0
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
