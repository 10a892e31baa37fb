// Command buckthorn-edge is the only process of buckthornridge on an entry VM of
// the users' platform. It contains the data path, the budgets and the view of the
// fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"k8s.io/klog/v2"

	"buckthornridge/edge"
	"buckthornridge/platform"
	"buckthornridge/program"
	"buckthornridge/telemetry"
)

// memoryLimitFraction is the fraction of the memory_bytes setting that is set as
// the soft memory limit of the Go runtime.
const memoryLimitFraction = 0.7

func main() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before the settings are read: the signal ends a process that does not expect it
	var s edge.Settings
	program.MustLoad("Entry process on the users' platform.", &s)
	program.Exit(run(s, hup))
}

// run serves until SIGTERM or an interrupt, then drains. SIGHUP signals that the
// settings file was rewritten. It is only logged, since the settings of a running
// process do not change.
func run(s edge.Settings, hup <-chan os.Signal) error {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	flush, err := telemetry.Start(ctx, "buckthorn-edge", s.VM, s.Trace)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.Background()) }()
	client := platform.NewStore(s.Store)
	p, err := edge.New(s, platform.Adapter(client))
	if err != nil {
		return err
	}
	if err := p.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-hup:
			klog.Infof("step=settings result=kept reason=%q", "settings are read only at startup")
		case <-ctx.Done():
			p.Drain(context.Background())
			p.Stop()
			return nil
		}
	}
}
