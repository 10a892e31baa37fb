// Command buckthorn-router is the data path on an entry VM. It receives the
// callers' requests and forwards them to upstreams.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"buckthornridge/program"
	"buckthornridge/router"
	"buckthornridge/telemetry"
)

func main() {
	s := router.DefaultSettings()
	program.MustLoad("Router: serves callers, enforces prepaid budgets, routes requests to upstreams.", &s)
	program.Exit(run(s))
}

// run serves until a signal or an operator requests a stop, then drains. A second
// signal or the drain limit ends the drain early.
func run(s router.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	flush, err := telemetry.Start(ctx, "buckthorn-router", s.VM, s.Trace)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.Background()) }()
	r, err := router.New(s)
	if err != nil {
		return err
	}
	r.Publish()
	if err := r.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-r.StopRequested():
	}
	secondSignal, stopSecond := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stopSecond()
	drainCtx, cancel := context.WithTimeout(secondSignal, s.DrainLimit.D())
	defer cancel()
	if err := r.Drain(drainCtx); err != nil {
		klog.Errorf("drain did not complete: %v", err)
	}
	return r.Stop()
}
