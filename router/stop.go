package router

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// Drain performs a planned stop without interrupting requests in progress. It first
// announces the stop to the load balancer and the other routers. New requests are
// then refused or go to other routers, the running ones complete, bills are flushed
// and grants returned. The context bounds the whole stop.
func (r *Router) Drain(ctx context.Context) error {
	r.leaving.Store(true)
	klog.Infof("router %s is leaving", r.settings.VM)
	r.members.gossipLeaving()
	r.announceLeaving(ctx)
	r.wait(ctx, r.settings.LeaveNotice.D())

	drained := make(chan error, 1)
	go func() { drained <- r.executor.Drain(ctx) }()
	shutdownErr := r.callers.Shutdown(ctx)
	err := errors.Join(eris.Wrap(shutdownErr, "drain callers"), eris.Wrap(<-drained, "drain requests"))
	return errors.Join(err, r.drainBudgets(ctx))
}

// announceLeaving marks this VM as leaving in the VM list. During a platform outage
// the other routers learn it from gossip.
func (r *Router) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := r.announce(ctx, store.VMLeaving); err != nil {
		klog.Warningf("announcing to the VM list that this router is leaving failed: %v", err)
	}
}

// wait sleeps for d or until the context is cancelled.
func (r *Router) wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// drainBudgets flushes bills and returns grants. If the table is unavailable, it
// passes the pending bills to other routers, which write them once the table is
// available again.
func (r *Router) drainBudgets(ctx context.Context) error {
	tableCtx, cancel := context.WithTimeout(ctx, budgetDrainLimit)
	defer cancel()
	err := r.grantManager.Drain(tableCtx)
	if err == nil {
		return nil
	}
	return r.handOverBills(ctx, err)
}

// budgetDrainLimit is how long a planned stop waits for the table before it passes
// the pending bills to other routers.
const budgetDrainLimit = 10 * time.Second

// Stop stops the router immediately and waits for its goroutines.
func (r *Router) Stop() error {
	if r.cancel != nil {
		r.cancel()
	}
	r.executor.Stop()
	err := errors.Join(r.callers.Close(), r.admin.Close(), r.peerSrv.Close(), r.grantManager.Stop(), r.watcher.Stop(), r.peers.Close())
	r.tasks.Wait()
	r.client.Close()
	return err
}
