package journal

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"buckthornridge/budget/ledger"
	"buckthornridge/store"
)

// Limits of the index of billed requests.
const (
	// Retention is the minimum time for which the index holds a folded bill, by the
	// clocks of the folders. Two bills of one request that are folded further apart
	// count as two requests.
	Retention = 3 * time.Hour
	// A generation ends at generationAge or at maxGeneration keys.
	generationAge = Retention / 6
	maxGeneration = 4096
	keyBytes      = 8
)

// foldBudget is one budget in a fold transaction: its row, and the index of
// requests that were billed recently.
type foldBudget struct {
	id      ledger.ID
	row     ledger.Budget
	version int64
	// generations are the index of billed requests, oldest first.
	generations []*keySet
	added       []uint64 // keys that this transaction adds
}

// foldBudgets holds the budgets of one fold transaction.
type foldBudgets struct{ byID map[ledger.ID]*foldBudget }

func (b *foldBudgets) get(id ledger.ID) *foldBudget { return b.byID[id] }

// ids lists the budgets, sorted.
func (b *foldBudgets) ids() []ledger.ID {
	ids := make([]ledger.ID, 0, len(b.byID))
	for id := range b.byID {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ledger.ID) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Name, b.Name))
	})
	return ids
}

// read loads the budget rows and then their indexes. An index needs no conditions
// of its own: every change of it also changes the budget row, on whose version the
// transaction is conditional, and it is read after that row.
func (b *foldBudgets) read(ctx context.Context, table store.Table, index *Index, ids []ledger.ID) error {
	b.byID = map[ledger.ID]*foldBudget{}
	if len(ids) == 0 {
		return nil
	}
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = ledger.BudgetKey(id)
	}
	rows, err := table.Read(ctx, keys...)
	if err != nil {
		return eris.Wrapf(err, "read budgets")
	}
	for i, row := range rows {
		one := &foldBudget{id: ids[i], version: row.Version}
		if err := ledger.Decode(row.Key, row.Value, &one.row); err != nil {
			return err
		}
		b.byID[one.id] = one
		if err := one.readIndex(ctx, table, index); err != nil {
			return err
		}
	}
	return nil
}

func (b *foldBudget) readIndex(ctx context.Context, table store.Table, index *Index) error {
	all, err := index.load(ctx, table, b.id, b.row.Index)
	if err != nil {
		return eris.Wrapf(err, "read index of %s", b.id)
	}
	b.generations = all
	return nil
}

// firstBill reports whether the request was not billed before, and adds it to the
// index. If two different keys have the same hash, the second counts as a
// duplicate: its tokens are lost instead of billed, so that a caller gains nothing
// from a collision.
func (b *foldBudget) firstBill(request string) bool {
	key := xxhash.Sum64String(request)
	if b.has(key) {
		return false
	}
	b.added = append(b.added, key)
	return true
}

// billed reports whether the request was billed.
func (b *foldBudget) billed(request string) bool { return b.has(xxhash.Sum64String(request)) }

func (b *foldBudget) has(key uint64) bool {
	if slices.Contains(b.added, key) {
		return true
	}
	for _, generation := range b.generations {
		if generation.has(key) {
			return true
		}
	}
	return false
}

// RunHash returns the hash that identifies a run in a budget's row and index.
func RunHash(run string) uint64 { return xxhash.Sum64String("run\x00" + run) }

// addBilledRun adds a resumed run that is billed whole to the index, so that a
// later reclaim of its first holder does not count it as lost. It frees and returns
// the tokens that an earlier reclaim counted as lost.
func (b *foldBudget) addBilledRun(run string) int64 {
	if run == "" {
		return 0
	}
	b.added = append(b.added, RunHash(run))
	return b.row.FreeOrphan(RunHash(run))
}

// BilledRuns reports which of the runs another holder resumed and billed, as of a
// version of the budget's row.
func BilledRuns(ctx context.Context, table store.Table, id ledger.ID, row *ledger.Budget, runs []string) (map[string]bool, error) {
	billed := map[string]bool{}
	if len(runs) == 0 {
		return billed, nil
	}
	budget := &foldBudget{id: id, row: *row}
	if err := budget.readIndex(ctx, table, nil); err != nil {
		return nil, err
	}
	for _, run := range runs {
		billed[run] = budget.has(RunHash(run))
	}
	return billed, nil
}

// write adds the rows, their conditions and the index to a transaction.
func (b *foldBudgets) write(txn *store.Txn, now time.Time) {
	for _, id := range b.ids() {
		one := b.byID[id]
		if len(one.added) > 0 {
			one.writeIndex(txn, now)
		}
		one.row.ExpireOrphans(now)
		key := ledger.BudgetKey(id)
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key, Version: one.version})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: ledger.Encode(&one.row)})
	}
}

// writeIndex appends the new keys to the latest generation or starts a new one,
// and drops generations whose last key is older than Retention.
func (b *foldBudget) writeIndex(txn *store.Txn, now time.Time) {
	index := b.row.Index
	last := len(index) - 1
	if last < 0 || index[last].Keys >= maxGeneration || age(now, index[last]) >= generationAge {
		next := ledger.Generation{Started: now.UnixMilli(), Number: 1}
		if last >= 0 {
			next.Number = index[last].Number + 1
		}
		index = append(index, next)
		b.generations = append(b.generations, &keySet{})
		last++
	}
	b.generations[last] = b.generations[last].with(b.added)
	index[last].Keys += len(b.added)
	for len(index) > 1 && age(now, index[1]) > Retention {
		txn.Writes = append(txn.Writes, store.Write{Key: ledger.IndexKey(b.id, index[0].Number), Delete: true})
		index, b.generations = index[1:], b.generations[1:]
	}
	b.row.Index = index
	youngest := len(index) - 1
	txn.Writes = append(txn.Writes, store.Write{
		Key: ledger.IndexKey(b.id, index[youngest].Number), Value: b.generations[youngest].raw,
	})
}

func age(now time.Time, g ledger.Generation) time.Duration {
	return now.Sub(time.UnixMilli(g.Started))
}

// cacheIndex caches the index rows that a transaction wrote.
func (b *foldBudgets) cacheIndex(index *Index) {
	for _, one := range b.byID {
		if youngest := len(one.row.Index) - 1; youngest >= 0 {
			index.put(indexKey{one.id, one.row.Index[youngest].Number}, one.generations[youngest])
		}
	}
}
