package allowance

import (
	"context"
	"time"

	"buckthornridge/pause"
	"buckthornridge/store"
)

// A reclaim slot is the time in which one VM reads and changes a pool.
const (
	minSlot = 20 * time.Millisecond
	maxSlot = 60 * time.Millisecond
	// slotPerPool is what each pool of a partition adds, since the table serializes
	// changes within a partition.
	slotPerPool = 10 * time.Millisecond
)

// awaitSlot waits until the VMs that come before this one in a pool have had the time to
// reclaim their shares, and returns the row as it is then. When all VMs lose power
// together, each changes the same rows at the same time. Without an order all but one
// fail each time, and callers find no tokens for seconds.
func (m *Manager) awaitSlot(ctx context.Context, row store.Row, state partitionState) (store.Row, error) {
	p, err := decodePool(row.Value)
	if err != nil {
		return row, err
	}
	if !p.heldByPredecessor(m.self) {
		return row, nil
	}
	slot := slotOf(p, m.options.VM)
	if slot == 0 {
		return row, nil
	}
	wait := time.Until(state.readAt.Add(time.Duration(slot) * slotLength(len(state.pools))))
	if err := pause.For(ctx, wait); err != nil {
		return row, err
	}
	return m.readRow(ctx, row.Key) // other VMs have changed it since
}

// slotLength returns the length of the slots for a partition with a number of pools.
func slotLength(pools int) time.Duration {
	return min(max(minSlot, time.Duration(pools)*slotPerPool), maxSlot)
}

// slotOf counts the VMs whose holders come before a VM's in a pool. All VMs that start
// together read the same row and so compute the same order.
func slotOf(p pool, vm string) int {
	before := map[string]bool{}
	for holder := range p.Holders {
		if other, _ := holderVM(holder); other < vm {
			before[other] = true
		}
	}
	return len(before)
}

// reclaiming reports whether a predecessor on this VM has a share of a budget that is yet
// to be reclaimed. Until then the holder asks for nothing more: it would contend with the
// VMs that reclaim theirs. A share that the predecessor's late write restores afterwards
// does not count. The caller holds m.mu.
func (m *Manager) reclaiming(a *account) bool {
	return a.pool.heldByPredecessor(m.self) && !m.reclaimed[partitionOf(a.budget)]
}

// heldByPredecessor reports whether another process of a holder's VM has a share.
func (p pool) heldByPredecessor(self string) bool {
	own, _ := holderVM(self)
	for holder := range p.Holders {
		if vm, _ := holderVM(holder); vm == own && holder != self {
			return true
		}
	}
	return false
}
