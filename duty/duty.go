// Package duty runs the fleet's recurring background jobs, called duties:
// folding journals, reclaiming the grants of routers that are gone, deleting old
// configuration versions. A lease row in the platform's table, one for each
// duty, decides which process runs it. Sharded duties run without a lease.
//
// A lease is best effort, not mutual exclusion. A holder that is paused past the
// expiry of its lease resumes in the middle of a pass while another process has
// taken over. Every duty must therefore be safe with two concurrent holders,
// through conditions on the rows that it changes or through the fencing token.
package duty

import (
	"context"
	"time"

	"buckthornridge/config"
	"buckthornridge/kernel"
	"buckthornridge/peer"
	"buckthornridge/store"
)

// Namespace is the namespace of duties in the module registry.
const Namespace = "control.duty"

// Duty is a recurring background job. It is constructed once per process.
type Duty interface {
	// Interval returns the delay between two passes.
	Interval() time.Duration
	// Run makes one bounded pass. The context is cancelled when the lease is lost
	// or the process stops.
	Run(ctx context.Context, env Env) error
}

// Sharded marks a duty that all processes run without a lease, each for the keys
// that Env.Owns assigns to it. It suits work that grows with the fleet.
type Sharded interface{ Sharded() }

// Env holds the dependencies of a pass.
type Env struct {
	Platform store.Services
	Peers    peer.Caller // calls the other processes of the fleet
	Store    *config.Store
	// Config is the configuration in force; nil if there is none yet.
	Config *config.Snapshot
	// Fence is the fencing token of the lease. It increases with each takeover, so
	// the receiver of an order that carries it can refuse orders of an earlier
	// holder.
	Fence uint64
	// Owns reports whether a key of a sharded duty is assigned to this process.
	Owns func(key string) bool
}

// Registered constructs all registered duties, by name.
func Registered() (map[string]Duty, error) {
	duties := map[string]Duty{}
	for _, name := range kernel.Names(Namespace) {
		duty, err := kernel.New[Duty](Namespace, name)
		if err != nil {
			return nil, err
		}
		duties[name] = duty
	}
	return duties, nil
}
