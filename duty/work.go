package duty

import (
	"context"
	"time"

	"buckthornridge/budget"
	"buckthornridge/budget/journal"
	"buckthornridge/config"
	"buckthornridge/kernel"
)

// Intervals between the passes of the built-in duties. A reclaim pass reads the
// whole VM list, 60 KB at 340 VMs. A fold pass rewrites the recent bills of each
// budget with activity, up to 32 KB.
const (
	foldInterval    = 10 * time.Second
	reclaimInterval = 10 * time.Second
	pruneInterval   = time.Hour
)

func init() {
	kernel.Register(Namespace+".fold", func() any { return newFold() })
	kernel.Register(Namespace+".reclaim", func() any { return reclaim{} })
	kernel.Register(Namespace+".prune", func() any { return prune{} })
}

// fold applies the bills in the routers' journals to the budget rows. It is safe
// with two holders: each step commits on condition that the journal's fold row
// is unchanged.
type fold struct {
	// index caches the recent bills, so that a pass need not read them again. Bills
	// that another holder folded meanwhile show as a different row length.
	index *journal.Index
}

func newFold() fold { return fold{index: journal.NewIndex()} }

// Sharded implements Sharded: the bytes that folding moves grow with the requests.
func (fold) Sharded() {}

func (fold) Interval() time.Duration { return foldInterval }

func (f fold) Run(ctx context.Context, env Env) error {
	_, err := journal.Folder{Table: env.Platform.Table, Index: f.index, Owns: env.Owns}.Run(ctx)
	return err
}

// reclaim returns the grants of routers that are gone. It is safe with two
// holders: it acts only on sealed journals and commits under conditions on the
// rows that it changes.
type reclaim struct{}

func (reclaim) Interval() time.Duration { return reclaimInterval }

func (reclaim) Run(ctx context.Context, env Env) error {
	_, err := budget.Reclaimer{
		Table:  env.Platform.Table,
		VMs:    env.Platform.VMs,
		Fencer: budget.PeerWitnessFencer{Peers: env.Peers, VMs: env.Platform.VMs},
	}.Run(ctx)
	return err
}

// prune deletes old versions of the configuration. It is safe with two holders:
// the oldest version kept is set under a condition, and deletions are idempotent.
type prune struct{}

func (prune) Interval() time.Duration { return pruneInterval }

func (prune) Run(ctx context.Context, env Env) error {
	return env.Store.Prune(ctx, config.RetainedVersions)
}
