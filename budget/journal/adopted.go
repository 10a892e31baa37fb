package journal

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/budget/ledger"
	"buckthornridge/pause"
	"buckthornridge/store"
)

// foldAdopted folds bills that a stopped holder handed over to another router.
// They wait until that holder's grants are reclaimed. Its unsettled reservations
// count as lost from then on, and a bill for one of them moves its tokens to
// billed. If the holder's own copy of the bill became durable, it was folded
// before that.
func (f Folder) foldAdopted(ctx context.Context) (FoldStats, error) {
	var stats FoldStats
	var all error
	after := ""
	for {
		rows, err := f.Table.Scan(ctx, ledger.AdoptedPrefix, after, scanPage)
		if err != nil {
			return stats, errors.Join(all, eris.Wrapf(err, "scan handed-over bills"))
		}
		for _, row := range rows {
			one, err := f.foldAdoptedRow(ctx, row)
			stats.add(one)
			all = errors.Join(all, err)
			after = row.Key
		}
		if len(rows) == 0 {
			return stats, all
		}
	}
}

func (f Folder) foldAdoptedRow(ctx context.Context, row store.Row) (FoldStats, error) {
	var stats FoldStats
	var segment Segment
	if err := ledger.Decode(row.Key, row.Value, &segment); err != nil {
		return stats, err
	}
	holder, err := ledger.ParseHolder(ledger.AdoptedPrefix, row.Key)
	if err != nil {
		return stats, err
	}
	state, err := f.Table.Read(ctx, ledger.FoldKey(holder))
	if err != nil {
		return stats, eris.Wrapf(err, "read fold state of %s", holder)
	}
	if state[0].Version != 0 {
		return stats, f.dropBilled(ctx, row, segment)
	}
	for retries := 1; ; retries++ {
		stats, err = f.recoverBills(ctx, row, segment)
		if err == nil || retries > foldRetries || !retryable(err) || f.isDeleted(ctx, row.Key) {
			return stats, eris.Wrapf(err, "fold %s", row.Key)
		}
		if err := pause.For(ctx, minBackoff*time.Duration(retries)); err != nil {
			return stats, err
		}
	}
}

// dropBilled deletes an adopted copy whose bills the holder has written itself. A
// copy that stays until the holder is gone, possibly days later, would outlive the
// retention of the index and be billed a second time.
func (f Folder) dropBilled(ctx context.Context, row store.Row, segment Segment) error {
	work := foldWork{segments: []Segment{segment}}
	if err := work.budgets.read(ctx, f.Table, f.Index, work.budgetIDs()); err != nil {
		return err
	}
	for _, e := range segment.Entries {
		if e.Kind == KindBill && !work.budgets.get(e.Budget).billed(e.Request) {
			return nil
		}
	}
	_, err := f.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []store.Write{{Key: row.Key, Delete: true}},
	})
	if retryable(err) {
		return nil // the next pass checks again
	}
	return eris.Wrapf(err, "drop %s", row.Key)
}

// isDeleted reports whether a row no longer exists: another folder, or a
// transaction whose answer was lost, has deleted it.
func (f Folder) isDeleted(ctx context.Context, key string) bool {
	rows, err := f.Table.Read(ctx, key)
	return err == nil && rows[0].Version == 0
}

func (f Folder) recoverBills(ctx context.Context, row store.Row, segment Segment) (FoldStats, error) {
	var stats FoldStats
	work := foldWork{segments: []Segment{segment}}
	if err := work.budgets.read(ctx, f.Table, f.Index, work.budgetIDs()); err != nil {
		return stats, err
	}
	for _, e := range segment.Entries {
		if e.Kind != KindBill {
			continue // counted as lost when the holder's grants were reclaimed
		}
		budget := work.budgets.get(e.Budget)
		if !budget.firstBill(e.Request) {
			stats.Duplicates++
			continue
		}
		if err := budget.row.BillLost(e.Tokens); err != nil {
			// The holder's losses cover every bill that it can have handed over.
			// This line in the log means that this invariant is broken.
			klog.ErrorS(err, "handed-over bill exceeds the losses of holders that are gone", "budget", e.Budget, "row", row.Key)
			continue
		}
		stats.Bills++
		stats.Billed += e.Tokens
	}
	txn := store.Txn{
		Conditions: []store.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []store.Write{{Key: row.Key, Delete: true}},
	}
	work.budgets.write(&txn, time.Now())
	_, err := f.Table.Commit(ctx, txn)
	stats.Txns++
	return stats, eris.Wrapf(err, "commit")
}
