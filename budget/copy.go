package budget

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/pause"
	"buckthornridge/store"
)

// Timing of copies.
const (
	// copyTimeout bounds the time to copy a pending bill to another router; the
	// caller's answer waits for it.
	copyTimeout  = 300 * time.Millisecond
	copyInterval = 2 * time.Second // between two checks of the bills that are stored
)

// BillCopier copies a pending bill into the memory of another router. Without the
// copy, a crash of this router during an outage leaves a complete answer unbilled.
type BillCopier interface {
	// Copy returns nil once another router has stored the bill.
	Copy(ctx context.Context, number uint64, bill journal.Entry) error
	// Release notifies the other routers that the bills up to a number are durable.
	Release(ctx context.Context, upTo uint64) error
}

// copyBill copies a pending bill into the memory of a second VM. If no router
// accepts it, the bill is in this router's memory alone until the table is back.
// A crash before that leaves the answer unbilled, but its tokens are accounted
// for: they are part of what is written off.
func (m *GrantManager) copyBill(pending *journal.PendingEntry) {
	if m.cfg.Copier == nil {
		count.billsNotCopied.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, copyTimeout)
	defer cancel()
	number := m.numbers.Add(1)
	if err := m.cfg.Copier.Copy(ctx, number, pending.Entry()); err != nil {
		count.billsNotCopied.Add(1)
		return
	}
	m.lastCopied.Store(number)
}

// releaseCopies lets other routers delete bill copies once the bills are durable.
// Bills copied in the meantime have higher numbers, so that their copies stay.
func (m *GrantManager) releaseCopies(ctx context.Context) {
	upTo := m.lastCopied.Load()
	if upTo == 0 || m.journal.WaitDurable(ctx) != nil {
		return
	}
	if m.cfg.Copier.Release(ctx, upTo) == nil {
		m.lastCopied.CompareAndSwap(upTo, 0)
	}
}

// copyLoop releases bill copies as soon as the table accepts entries again.
func (m *GrantManager) copyLoop() {
	for pause.For(m.ctx, copyInterval) == nil {
		ctx, cancel := context.WithTimeout(m.ctx, durableTimeout)
		m.releaseCopies(ctx)
		cancel()
	}
}

// BillCopyStore stores copies of other routers' pending bills. A copy is deleted
// when its holder reports the bill as durable. If the holder's journal is sealed
// before that, the copy moves to this router's own journal as handed over.
type BillCopyStore struct {
	mu    sync.Mutex
	bills map[string][]numberedBill // by holder, in the order of arrival
}

type numberedBill struct {
	number uint64
	bill   journal.Entry
}

// NewBillCopyStore returns an empty store.
func NewBillCopyStore() *BillCopyStore { return &BillCopyStore{bills: map[string][]numberedBill{}} }

// Add stores a copy of a holder's bill.
func (b *BillCopyStore) Add(holder string, number uint64, bill journal.Entry) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.bills[holder]) >= maxPending {
		return eris.Errorf("budget: limit of %d bill copies reached for %s", maxPending, holder)
	}
	b.bills[holder] = append(b.bills[holder], numberedBill{number, bill})
	return nil
}

// Release deletes the copies of a holder's bills up to a number.
func (b *BillCopyStore) Release(holder string, upTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rest []numberedBill
	for _, n := range b.bills[holder] {
		if n.number > upTo {
			rest = append(rest, n)
		}
	}
	b.put(holder, rest)
}

// put replaces the copies of a holder's bills. The caller holds mu.
func (b *BillCopyStore) put(holder string, bills []numberedBill) {
	if len(bills) == 0 {
		delete(b.bills, holder)
		return
	}
	b.bills[holder] = bills
}

// Run moves bill copies of holders whose journals are sealed to this router's
// journal until ctx ends.
func (b *BillCopyStore) Run(ctx context.Context, table store.Table, w *journal.Writer) {
	for pause.For(ctx, copyInterval) == nil {
		for _, holder := range b.holders() {
			if sealed(ctx, table, holder) {
				b.handOver(holder, w)
			}
		}
	}
}

func (b *BillCopyStore) holders() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []string
	for holder := range b.bills {
		all = append(all, holder)
	}
	return all
}

// sealed reports whether a holder's journal is known to be sealed. While the
// table does not answer it is not: the holder may still write its bills itself.
func sealed(ctx context.Context, table store.Table, holder string) bool {
	rows, err := table.Read(ctx, ledger.LivenessKey(holder))
	return err == nil && rows[0].Version == 0
}

func (b *BillCopyStore) handOver(holder string, w *journal.Writer) {
	b.mu.Lock()
	kept := b.bills[holder]
	delete(b.bills, holder)
	b.mu.Unlock()
	entries := make([]journal.Entry, len(kept))
	for i, n := range kept {
		entries[i] = n.bill
	}
	w.Adopt(holder, entries)
}
