// Package node runs a stand-in upstream as a process: it serves the upstream over
// HTTP, announces it to the platform's VM list, and drains it before it stops.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// Upstream is the engine or service that a node runs.
type Upstream interface {
	Start(context.Context) error
	// Leave makes the upstream reject new requests, if its protocol allows that.
	Leave()
	// ActiveRequests returns the number of requests in progress.
	ActiveRequests() int
	Stop() error
	Handler() http.Handler
}

// Options configure how a node is announced and drained.
type Options struct {
	// VM is the node's entry in the VM list. The node sets its State.
	VM store.VM
	// VMList is the VM list. If it is nil, the node is not announced.
	VMList store.VMList
	// LeaveGrace is the minimum time for which a leaving node keeps responding, so
	// that callers learn that it is leaving before it closes its listener.
	LeaveGrace time.Duration
	// DrainTimeout limits how long a leaving node waits for requests in progress.
	DrainTimeout time.Duration
}

// Limits of the HTTP server and of its shutdown.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	stopTimeout    = time.Second
)

// pollInterval is how often a leaving node checks whether requests are in progress.
const pollInterval = 20 * time.Millisecond

// Run serves the upstream until ctx ends. It then announces that the node is
// leaving, drains the requests in progress, and stops.
func Run(ctx context.Context, listener net.Listener, up Upstream, o Options) error {
	if err := up.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	crashes := newCrashHandler(&saysHandler{next: &limitHandler{next: up.Handler()}})
	closing := &closingHandler{next: withTracing(crashes)}
	announcer := startAnnouncer(o)
	klog.InfoS("upstream started", "vm", o.VM.ID, "address", listener.Addr().String())
	var runErr error
	for listener != nil {
		server := newServer(closing)
		served := make(chan error, 1)
		go func(l net.Listener) { served <- server.Serve(l) }(listener)
		select {
		case err := <-served:
			runErr, listener = eris.Wrapf(err, "serve %s", listener.Addr()), nil
		case <-crashes.signal:
			if listener, runErr = crash(ctx, server, listener, up); listener != nil {
				announcer.restarted()
			} else {
				announcer.enqueue(store.VMGone)
			}
		case <-ctx.Done():
			closing.closing.Store(true)
			runErr, listener = drain(server, up, announcer, o), nil
			announcer.enqueue(store.VMGone)
		}
	}
	announcer.stop()
	klog.InfoS("upstream stopped", "vm", o.VM.ID)
	return errors.Join(runErr, up.Stop())
}

// crash ends the server without notice and returns the listener of the next process at
// the same address, or nil if ctx ends before.
func crash(ctx context.Context, server *http.Server, listener net.Listener, up Upstream) (net.Listener, error) {
	address := listener.Addr().String()
	klog.InfoS("upstream crashes", "address", address)
	err := server.Close()
	if c, ok := up.(Crasher); ok {
		c.Crash()
	}
	sleepContext(ctx, crashDowntime)
	if err != nil || ctx.Err() != nil {
		return nil, eris.Wrapf(err, "crash %s", address)
	}
	next, err := net.Listen("tcp", address)
	return next, eris.Wrapf(err, "listen on %s after a crash", address)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// closingHandler makes clients close their connections to a leaving node, by
// sending Connection: close with each response.
//
// If the server closed idle connections at once, it would break requests that are
// already on their way over them, and the client would see a lost response though
// the stop was planned. A leaving node therefore responds once more on each
// connection and asks the client to close it. A connection that is idle when the
// server shuts down has been idle for the whole grace period.
type closingHandler struct {
	next    http.Handler
	closing atomic.Bool
}

// ServeHTTP implements http.Handler.
func (h *closingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	h.next.ServeHTTP(w, r)
}

// drain makes the upstream reject new requests, waits at least for the grace period
// and up to the drain timeout for requests in progress, and shuts the server down.
func drain(server *http.Server, up Upstream, announcer *announcer, o Options) error {
	klog.InfoS("upstream is leaving; draining requests", "vm", o.VM.ID, "open", up.ActiveRequests())
	announcer.enqueue(store.VMLeaving)
	up.Leave()
	graceEnd := time.Now().Add(o.LeaveGrace)
	drainDeadline := time.Now().Add(o.DrainTimeout)
	for now := time.Now(); now.Before(graceEnd) || (up.ActiveRequests() > 0 && now.Before(drainDeadline)); now = time.Now() {
		time.Sleep(pollInterval)
	}
	if open := up.ActiveRequests(); open > 0 {
		klog.InfoS("drain timeout exceeded; aborting remaining requests", "vm", o.VM.ID, "open", open)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return eris.Wrapf(server.Close(), "close %s", o.VM.ID)
	}
	return nil
}

// announcer writes the node's latest state to the VM list and retries while the
// platform is unavailable.
type announcer struct {
	options Options
	vm      store.VM
	queue   chan store.VM
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// Timeout and retry interval of announcements.
const (
	announceTimeout = 2 * time.Second
	announceRetry   = 200 * time.Millisecond
)

func startAnnouncer(o Options) *announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{options: o, vm: o.VM, queue: make(chan store.VM, 3), cancel: cancel}
	if o.VMList != nil {
		a.done.Go(func() { a.run(ctx) })
	}
	a.enqueue(store.VMLive)
	return a
}

// enqueue queues a state to be announced. Older ones that were not announced yet are
// skipped, so it blocks only while the announcer is about to skip them.
func (a *announcer) enqueue(state store.VMState) {
	a.vm.State = state
	if a.options.VMList != nil {
		a.queue <- a.vm
	}
}

// restarted announces a new process under the same id.
func (a *announcer) restarted() {
	a.vm.Incarnation = strconv.FormatInt(time.Now().UnixNano(), 10)
	a.enqueue(store.VMLive)
}

func (a *announcer) run(ctx context.Context) {
	for vm := range a.queue {
		// Stop retrying a state once a newer one is queued.
		for len(a.queue) == 0 && ctx.Err() == nil && !a.announce(ctx, vm) {
			sleepContext(ctx, announceRetry)
		}
	}
}

func (a *announcer) announce(ctx context.Context, vm store.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := a.options.VMList.Announce(ctx, vm)
	if errors.Is(err, store.ErrInvalid) {
		klog.ErrorS(err, "VM list rejected the announcement; not retrying", "vm", vm.ID, "state", vm.State)
		return true // a newer incarnation holds this ID, so a retry would fail too
	}
	return err == nil
}

// stop waits for the last announcement, for at most announceTimeout, since the
// platform may be unavailable.
func (a *announcer) stop() {
	close(a.queue)
	timer := time.AfterFunc(announceTimeout, a.cancel)
	a.done.Wait()
	timer.Stop()
	a.cancel()
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
