package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/config"
)

// configInterval is the time between two looks at the accepted version.
const configInterval = time.Second

// followConfig keeps the router on the accepted configuration.
func (r *Router) followConfig(ctx context.Context) {
	ticker := time.NewTicker(configInterval)
	defer ticker.Stop()
	for {
		if err := r.refreshConfig(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).Infof("configuration not refreshed: %v", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// refreshConfig takes the accepted version if it is higher than the one in force.
func (r *Router) refreshConfig(ctx context.Context) error {
	head, err := r.store.Head(ctx)
	if err != nil || head.Version == 0 {
		return err
	}
	if now := r.snapshots.Load(); now != nil && now.Version >= head.Version {
		return nil
	}
	state, err := r.store.Load(ctx, head.Version)
	if err != nil {
		return err
	}
	snapshot, err := config.Compile(state.Version, state.Document)
	if err != nil {
		return err
	}
	r.install(snapshot)
	return nil
}
