package journal

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget/ledger"
	"buckthornridge/pause"
	"buckthornridge/store"
)

// Bounds of one pass of a Folder.
const (
	foldSegments = 64 // segments in one transaction
	foldTxns     = 50 // transactions per holder and pass
	foldRetries  = 8  // after write conflicts or lost answers
	scanPage     = 500
)

// Folder folds journals into the budget rows. Any number of folders may run
// concurrently: each transaction is conditional on the versions of the journal's
// fold row and of every budget row that it writes, so that each segment is folded
// exactly once, even if answers are lost.
type Folder struct {
	Table store.Table
	// Index caches, from pass to pass, which requests were billed; with nil, each
	// pass reads them from the table.
	Index *Index
	// Owns reports whether this folder folds the journal of a holder; nil for all.
	Owns func(holder string) bool
}

// FoldStats counts what a pass did.
type FoldStats struct {
	Holders    int   `json:"holders"`
	Txns       int   `json:"txns"`
	Segments   int   `json:"segments"`
	Bills      int   `json:"bills"`
	Duplicates int   `json:"duplicates"` // bills of requests that were already billed
	Billed     int64 `json:"billed_tokens"`
	Lost       int64 `json:"lost_tokens"`
	Restored   int64 `json:"restored_tokens"` // tokens of resumed runs that no longer count as lost
}

func (s *FoldStats) add(o FoldStats) {
	s.Txns += o.Txns
	s.Segments += o.Segments
	s.Bills += o.Bills
	s.Duplicates += o.Duplicates
	s.Billed += o.Billed
	s.Lost += o.Lost
	s.Restored += o.Restored
}

// Run makes one bounded pass over all journals and handed-over bills. An error in
// one journal does not end the pass.
func (f Folder) Run(ctx context.Context) (FoldStats, error) {
	f.Table = ledger.WithTimeout(f.Table)
	var stats FoldStats
	holders, err := Holders(ctx, f.Table)
	if err != nil {
		return stats, err
	}
	var all error
	for _, holder := range holders {
		if f.Owns != nil && !f.Owns(holder) {
			continue
		}
		one, _, err := f.FoldHolder(ctx, holder)
		stats.Holders++
		stats.add(one)
		all = errors.Join(all, err)
	}
	adopted, err := f.foldAdopted(ctx)
	stats.add(adopted)
	return stats, errors.Join(all, err)
}

// Holders lists the holders whose journals still have a fold row.
func Holders(ctx context.Context, table store.Table) ([]string, error) {
	var holders []string
	after := ""
	for {
		rows, err := table.Scan(ctx, ledger.FoldPrefix, after, scanPage)
		if err != nil {
			return nil, eris.Wrapf(err, "scan journals")
		}
		for _, row := range rows {
			holder, err := ledger.ParseHolder(ledger.FoldPrefix, row.Key)
			if err != nil {
				return nil, err
			}
			holders = append(holders, holder)
			after = row.Key
		}
		if len(rows) == 0 {
			return holders, nil
		}
	}
}

// FoldHolder folds one journal as far as the bounds of a pass allow. complete
// reports whether nothing was left at the last read; if the journal was sealed
// before, nothing can follow.
func (f Folder) FoldHolder(ctx context.Context, holder string) (stats FoldStats, complete bool, err error) {
	f.Table = ledger.WithTimeout(f.Table)
	retries := 0
	for stats.Txns < foldTxns {
		one, more, err := f.foldNext(ctx, holder)
		if err == nil {
			stats.add(one)
			retries = 0
			if !more {
				return stats, true, nil
			}
			continue
		}
		retries++
		if retries > foldRetries || !retryable(err) {
			return stats, false, eris.Wrapf(err, "fold journal of %s", holder)
		}
		if err := pause.For(ctx, minBackoff*time.Duration(retries)); err != nil {
			return stats, false, err
		}
	}
	return stats, false, nil
}

// retryable reports whether a new read resolves the error: it is a write conflict,
// or a lost answer whose transaction either shows in the rows or can no longer
// take effect once a new one does.
func retryable(err error) bool {
	return errors.Is(err, store.ErrConditionFailed) || errors.Is(err, store.ErrOutcomeUnknown)
}

// foldNext folds the next segments of a journal in one transaction.
func (f Folder) foldNext(ctx context.Context, holder string) (stats FoldStats, more bool, err error) {
	work, err := f.load(ctx, holder)
	if err != nil || len(work.keys) == 0 {
		return stats, false, err
	}
	if err := work.budgets.read(ctx, f.Table, f.Index, work.budgetIDs()); err != nil {
		return stats, false, err
	}
	for _, segment := range work.segments {
		for _, e := range segment.Entries {
			if err := work.apply(e); err != nil {
				return stats, false, err
			}
		}
	}
	if _, err := f.Table.Commit(ctx, work.txn()); err != nil {
		return stats, false, eris.Wrapf(err, "commit fold")
	}
	work.budgets.cacheIndex(f.Index)
	work.stats.Txns, work.stats.Segments = 1, len(work.segments)
	return work.stats, true, nil
}

// foldWork is the state from which one fold transaction is built.
type foldWork struct {
	holder   string
	state    FoldState
	version  int64 // of the fold row
	segments []Segment
	keys     []string // of the segments, and of stray copies of folded ones
	budgets  foldBudgets
	stats    FoldStats
}

// load reads the fold state and the segments that follow it.
func (f Folder) load(ctx context.Context, holder string) (*foldWork, error) {
	rows, err := f.Table.Read(ctx, ledger.FoldKey(holder))
	if err != nil {
		return nil, eris.Wrapf(err, "read fold state")
	}
	work := &foldWork{holder: holder, version: rows[0].Version}
	if work.version == 0 {
		return work, nil // the holder was reclaimed and removed
	}
	if err := ledger.Decode(rows[0].Key, rows[0].Value, &work.state); err != nil {
		return nil, err
	}
	if work.state.Open == nil {
		work.state.Open = map[uint64]OpenReservation{}
	}
	found, err := f.Table.Scan(ctx, ledger.SegmentsPrefix(holder), "", foldSegments)
	if err != nil {
		return nil, eris.Wrapf(err, "scan segments")
	}
	return work, work.selectSegments(found)
}

// selectSegments selects the next segments, in sequence, that fit in one
// transaction.
func (w *foldWork) selectSegments(found []store.Row) error {
	budgets := map[ledger.ID]bool{}
	for _, row := range found {
		if row.Key < ledger.SegmentKey(w.holder, w.state.Next) {
			// A stray copy: it was sent again after a lost answer and arrived after
			// the first copy was folded and deleted.
			w.keys = append(w.keys, row.Key)
			continue
		}
		if row.Key != ledger.SegmentKey(w.holder, w.state.Next+uint64(len(w.segments))) {
			return nil // another folder has folded since the state was read
		}
		var segment Segment
		if err := ledger.Decode(row.Key, row.Value, &segment); err != nil {
			return err
		}
		for _, e := range segment.Entries {
			budgets[e.Budget] = true
		}
		if len(w.segments) > 0 && len(budgets) > MaxSegmentBudgets {
			return nil
		}
		w.segments = append(w.segments, segment)
		w.keys = append(w.keys, row.Key)
	}
	return nil
}

func (w *foldWork) budgetIDs() []ledger.ID {
	var ids []ledger.ID
	seen := map[ledger.ID]bool{}
	for _, segment := range w.segments {
		for _, e := range segment.Entries {
			if !seen[e.Budget] {
				seen[e.Budget] = true
				ids = append(ids, e.Budget)
			}
		}
	}
	return ids
}

// apply folds one entry. The first bill of a request counts; the tokens of a
// second one, of another attempt, are lost.
func (w *foldWork) apply(e Entry) error {
	if e.Kind == KindOpen {
		w.state.Open[e.Reservation] = OpenReservation{Budget: e.Budget, Ceiling: e.Tokens, Run: e.Run}
		return nil
	}
	delete(w.state.Open, e.Reservation)
	budget := w.budgets.get(e.Budget)
	if e.Kind == KindBill && budget.firstBill(e.Request) {
		w.stats.Bills++
		w.stats.Billed += e.Tokens
		w.stats.Restored += budget.addBilledRun(e.Run)
		return budget.row.Bill(w.holder, e.Tokens)
	}
	cause := e.Cause
	if e.Kind == KindBill {
		cause = ledger.CauseDuplicate
		w.stats.Duplicates++
	}
	if e.Tokens == 0 {
		return nil
	}
	w.stats.Lost += e.Tokens
	return budget.row.Lose(w.holder, e.Tokens, cause)
}

func (w *foldWork) txn() store.Txn {
	w.state.Next += uint64(len(w.segments))
	foldKey := ledger.FoldKey(w.holder)
	txn := store.Txn{
		Conditions: []store.Condition{{Key: foldKey, Version: w.version}},
		Writes:     []store.Write{{Key: foldKey, Value: ledger.Encode(w.state)}},
	}
	for _, key := range w.keys {
		txn.Writes = append(txn.Writes, store.Write{Key: key, Delete: true})
	}
	for _, id := range w.budgets.ids() {
		if w.budgets.get(id).row.RemoveIfClosed(w.holder) {
			txn.Writes = append(txn.Writes, store.Write{Key: ledger.HeldKey(w.holder, id), Delete: true})
		}
	}
	w.budgets.write(&txn, time.Now())
	return txn
}
