package budget

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/pause"
	"buckthornridge/store"
)

// Backoff between attempts while the table does not answer.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// maxBatch bounds the budgets in one transaction; each takes two rows.
const maxBatch = 100

// change is what an operation does to this holder's holding in a budget row.
type change struct {
	skip           bool  // leave the row unchanged
	delta          int64 // tokens moved to this holder; negative: back to free
	exposure       int64
	outageExposure int64  // exposure in outage mode
	witness        string // holder that records outage mode; empty for none
	close          bool   // the holder needs nothing more of the budget
}

// transfer is one numbered operation on one budget row.
type transfer struct {
	acc  *account
	op   uint64
	plan func(row *ledger.Budget) change

	row     ledger.Budget // as last read or written
	version int64         // of the row as last read
	change  change        // last planned; certain after success
}

// batch carries out transfers in one transaction.
type batch struct {
	manager *GrantManager
	ops     []*transfer
	// unresolved is the transaction whose answer was lost, with the row versions
	// of its conditions; nil if no earlier attempt can still take effect.
	unresolved *store.Txn
}

func (m *GrantManager) newTransfer(acc *account, plan func(*ledger.Budget) change) *transfer {
	return &transfer{acc: acc, op: m.numbers.Add(1), plan: plan}
}

// transferAll carries out operations and returns once their outcome is certain.
// An error means that nothing took effect, unless the grant manager was stopped.
//
// A lost answer is resolved by reading back: the row records the holder's last
// operation. While every row still has the version that the lost transaction
// requires, exactly that transaction is sent again, since the first attempt may
// still take effect. Once a version differs it never can, and a new transaction is
// planned.
func (m *GrantManager) transferAll(ctx context.Context, ops ...*transfer) error {
	b := &batch{manager: m, ops: ops}
	backoff, conflicts := minBackoff, 0
	for {
		err := b.attempt(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, journal.ErrSealed) {
			m.journal.MarkSealed(err)
			return err
		}
		wait := backoff
		if errors.Is(err, store.ErrConditionFailed) {
			conflicts++
			wait = conflictBackoff(conflicts)
		} else if b.unresolved == nil {
			return err
		} else {
			backoff = min(2*backoff, maxBackoff)
		}
		ctx = m.ctx // once sent, it must be resolved even if the caller's context ends
		if pause.For(m.ctx, wait) != nil {
			return err
		}
	}
}

// conflictBackoff returns the delay after a write conflict. Another holder made
// progress on the row, so that the delay is short. Its random part grows with the
// number of conflicts.
func conflictBackoff(conflicts int) time.Duration {
	count.conflicts.Add(1)
	return time.Millisecond + rand.N(time.Duration(min(conflicts, 8))*4*time.Millisecond)
}

func (b *batch) attempt(ctx context.Context) error {
	if err := b.read(ctx); err != nil {
		return err
	}
	if b.unresolved != nil && b.tookEffect() {
		return nil
	}
	if b.unresolved != nil && !b.sameVersions() {
		b.unresolved = nil
	}
	txn := b.unresolved
	if txn == nil {
		planned, err := b.planAll()
		if err != nil || len(planned.Writes) == 0 {
			return err
		}
		txn = &planned
	}
	err := b.manager.commit(ctx, *txn)
	if err != nil && !ledger.NoEffect(err) {
		b.unresolved = txn
	}
	return err
}

// read refreshes the rows and checks that the journal is not sealed.
func (b *batch) read(ctx context.Context) error {
	liveness := b.manager.journal.Condition()
	keys := []string{liveness.Key}
	for _, op := range b.ops {
		keys = append(keys, ledger.BudgetKey(op.acc.id))
	}
	rows, err := b.manager.cfg.Table.Read(ctx, keys...)
	if err != nil {
		return eris.Wrapf(err, "read budgets of %s", b.manager.cfg.Holder)
	}
	if rows[0].Version != liveness.Version {
		return eris.Wrapf(journal.ErrSealed, "read budgets of %s", b.manager.cfg.Holder)
	}
	for i, op := range b.ops {
		row := rows[i+1]
		op.row, op.version = ledger.Budget{}, row.Version
		if err := ledger.Decode(row.Key, row.Value, &op.row); err != nil {
			return err
		}
	}
	return nil
}

// tookEffect reports whether the unresolved transaction was applied. It is applied
// atomically, so that one row decides. While the journal is not sealed, only a
// closed holding is removed, by its transfer or by the fold: if the planned change
// closes the holding, a missing holding means that the change took effect.
func (b *batch) tookEffect() bool {
	for _, op := range b.ops {
		if op.change.skip {
			continue
		}
		entry, listed := op.row.Holders[b.manager.cfg.Holder]
		return entry.Op == op.op || (op.change.close && !listed)
	}
	return false
}

func (b *batch) sameVersions() bool {
	required := map[string]int64{}
	for _, c := range b.unresolved.Conditions {
		required[c.Key] = c.Version
	}
	for _, op := range b.ops {
		if !op.change.skip && required[ledger.BudgetKey(op.acc.id)] != op.version {
			return false
		}
	}
	return true
}

func (b *batch) planAll() (store.Txn, error) {
	txn := store.Txn{Conditions: []store.Condition{b.manager.journal.Condition()}}
	for _, op := range b.ops {
		op.change = op.plan(&op.row)
		if op.change.skip {
			continue
		}
		if err := b.plan(op, &txn); err != nil {
			return txn, err
		}
	}
	return txn, nil
}

// plan adds the writes of one budget row, and of the row that lists it among the
// holder's budgets, which a reclaim scans.
func (b *batch) plan(op *transfer, txn *store.Txn) error {
	holder := b.manager.cfg.Holder
	_, listed := op.row.Holders[holder]
	err := op.row.Transfer(holder, ledger.Holding{
		Op: op.op, Delta: op.change.delta, Closed: op.change.close,
		Exposure: op.change.exposure, OutageExposure: op.change.outageExposure, Witness: op.change.witness,
	})
	if err != nil {
		return eris.Wrapf(err, "transfer in %s", op.acc.id)
	}
	heldKey := ledger.HeldKey(holder, op.acc.id)
	if op.row.RemoveIfClosed(holder) {
		txn.Writes = append(txn.Writes, store.Write{Key: heldKey, Delete: true})
	} else if !listed {
		txn.Writes = append(txn.Writes, store.Write{Key: heldKey})
	}
	key := ledger.BudgetKey(op.acc.id)
	txn.Conditions = append(txn.Conditions, store.Condition{Key: key, Version: op.version})
	txn.Writes = append(txn.Writes, store.Write{Key: key, Value: ledger.Encode(&op.row)})
	return nil
}

func (m *GrantManager) commit(ctx context.Context, txn store.Txn) error {
	_, err := m.cfg.Table.Commit(ctx, txn)
	return eris.Wrapf(err, "transfer of %s", m.cfg.Holder)
}
