package allowance

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// recallPause is the least time between two questions to other holders about
	// one budget. It is less than shortWait, so that each request that waits is
	// asked for.
	recallPause = 60 * time.Millisecond
	// recalledHolders is how many holders are asked at once, those with the most
	// unspent tokens first.
	recalledHolders = 4
)

// recall asks other holders for what a waiting request lacks and the pool does
// not have.
func (b *Book) recall(ctx context.Context, a *account) {
	b.mu.Lock()
	short := a.short()
	due := a.mayRecall(time.Now())
	if due {
		a.recalledAt = time.Now()
	}
	holders := a.richest(b.self, 1)
	holders = holders[:min(len(holders), recalledHolders)]
	b.mu.Unlock()
	if !due || b.options.Recall == nil || len(holders) == 0 {
		return
	}
	gave := b.options.Recall(ctx, a.budget, short, holders)
	klog.V(1).Infof("step=recall budget=%s tokens=%d gave=%t", a.budget, short, gave)
	b.readPool(ctx, a) // also if none gave: what is known of the pool is up to a second old
}

// short is what a waiting request lacks beyond this holder's unspent tokens and
// the pool.
func (a *account) short() int64 {
	return a.need - (a.grant() - a.committed()) - max(0, a.limit-a.pool.committed())
}

func (a *account) mayRecall(now time.Time) bool {
	return a.need > 0 && a.short() > 0 && now.Sub(a.recalledAt) >= recallPause
}

// richest returns the VMs of the holders with at least so many unspent tokens, those
// with the most first.
func (a *account) richest(self string, least int64) []string {
	unspent := map[string]int64{}
	for holder, s := range a.pool.Holders {
		left := s.Granted - max(s.Settled, a.others[holder].Settled)
		if vm, _ := holderVM(holder); holder != self && left >= least {
			unspent[vm] = left
		}
	}
	return slices.SortedFunc(maps.Keys(unspent), func(x, y string) int { return cmp.Compare(unspent[y], unspent[x]) })
}

// GiveBack returns tokens of a budget to its pool because another holder lacks
// them. It reports whether it gave any.
func (b *Book) GiveBack(ctx context.Context, budget string, tokens int64) bool {
	b.mu.Lock()
	a := b.accounts[budget]
	if a == nil || b.closed {
		b.mu.Unlock()
		return false
	}
	b.mu.Unlock()
	if !b.readPool(ctx, a) { // what is known of it is up to a second old
		return false
	}
	b.mu.Lock()
	a.wanted = tokens
	before := a.granted
	b.mu.Unlock()
	b.change(ctx, a)
	b.mu.Lock()
	defer b.mu.Unlock()
	a.wanted = 0
	return a.granted < before
}
