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

// Backoff between attempts while the table does not answer.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// create inserts the liveness row and the fold row of a new journal.
func (w *Writer) create(ctx context.Context) error {
	lifeKey, foldKey := ledger.LivenessKey(w.holder), ledger.FoldKey(w.holder)
	value := ledger.Encode(liveness{Nonce: w.nonce, Started: time.Now().UnixMilli()})
	txn := store.Txn{
		Conditions: []store.Condition{{Key: lifeKey}, {Key: foldKey}},
		Writes:     []store.Write{{Key: lifeKey, Value: value}, {Key: foldKey, Value: ledger.Encode(FoldState{})}},
	}
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		version, err := w.commit(ctx, txn)
		if errors.Is(err, store.ErrConditionFailed) {
			version, err = w.readBackLiveness(ctx)
		}
		if err == nil {
			w.version.Store(version)
			close(w.ready)
			return nil
		}
		if errors.Is(err, ErrTaken) || errors.Is(err, ErrSealed) {
			return err
		}
		if err := pause.For(ctx, backoff); err != nil {
			return err
		}
	}
}

// readBackLiveness resolves a creation that may already have taken effect: the row
// is this writer's if it has this writer's nonce.
func (w *Writer) readBackLiveness(ctx context.Context) (int64, error) {
	row, err := w.readLiveness(ctx)
	if err != nil {
		return 0, err
	}
	if row.Version == 0 {
		return 0, eris.Wrapf(ErrSealed, "create journal of %s", w.holder)
	}
	var found liveness
	if err := ledger.Decode(row.Key, row.Value, &found); err != nil {
		return 0, err
	}
	if found.Nonce != w.nonce {
		return 0, eris.Wrapf(ErrTaken, "create journal of %s", w.holder)
	}
	return row.Version, nil
}

func (w *Writer) readLiveness(ctx context.Context) (store.Row, error) {
	rows, err := w.table.Read(ctx, ledger.LivenessKey(w.holder))
	if err != nil {
		return store.Row{}, eris.Wrapf(err, "read liveness row of %s", w.holder)
	}
	return rows[0], nil
}

// writeAll writes the next batch of the queue and all adopted bills, and schedules
// what is left. It returns how often the table refused with ErrRateLimited.
func (w *Writer) writeAll(ctx context.Context) (refusals int, err error) {
	batch := w.takeBatch()
	if len(batch) > 0 {
		if refusals, err = w.append(ctx, batch); err != nil {
			return refusals, err
		}
		w.markDurable(batch)
	}
	if err := w.writeAdopted(ctx); err != nil {
		return refusals, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.empty() {
		w.scheduleRest()
	} else if w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
	return refusals, nil
}

// takeBatch moves the next batch from the queue to inFlight.
func (w *Writer) takeBatch() []*PendingEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := prefix(w.queue, func(i *PendingEntry) Entry { return i.entry })
	batch := w.queue[:count:count]
	for _, item := range batch {
		item.taken = true
	}
	w.queue = append([]*PendingEntry(nil), w.queue[count:]...)
	w.lazyArmed = false
	w.inFlight = batch
	w.inFlightSince = time.Now()
	return batch
}

// prefix returns how many of the first items fit in one segment.
func prefix[T any](items []T, entry func(T) Entry) int {
	budgets := map[ledger.ID]bool{}
	for at, item := range items {
		budgets[entry(item).Budget] = true
		if at == MaxSegmentEntries || len(budgets) > MaxSegmentBudgets {
			return at
		}
	}
	return len(items)
}

// append writes one segment and returns once it is durable. After a lost answer it
// sends the same segment under the same key again. The segment takes effect only
// once, because the key must not exist and the fold row records which sequence
// numbers were folded.
func (w *Writer) append(ctx context.Context, batch []*PendingEntry) (refusals int, err error) {
	segment := Segment{Entries: make([]Entry, len(batch))}
	for i, item := range batch {
		segment.Entries[i] = item.entry
	}
	key := ledger.SegmentKey(w.holder, w.next)
	txn := store.Txn{
		Conditions: []store.Condition{w.Condition(), {Key: key}},
		Writes:     []store.Write{{Key: key, Value: ledger.Encode(segment)}},
	}
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, err := w.commit(ctx, txn)
		if errors.Is(err, store.ErrConditionFailed) {
			err = w.readBackSegment(ctx, key)
		}
		if err == nil {
			w.next++
			return refusals, nil
		}
		if errors.Is(err, ErrSealed) {
			return refusals, err
		}
		if errors.Is(err, store.ErrRateLimited) {
			refusals++
		}
		if err := pause.For(ctx, backoff); err != nil {
			return refusals, err
		}
	}
}

// readBackSegment returns nil if a segment whose conditions failed had already
// taken effect: it exists, or it is folded. Otherwise the journal is sealed.
func (w *Writer) readBackSegment(ctx context.Context, key string) error {
	rows, err := w.table.Read(ctx, key, ledger.FoldKey(w.holder))
	if err != nil {
		return eris.Wrapf(err, "read back %s", key)
	}
	if rows[0].Version != 0 {
		return nil
	}
	var state FoldState
	if err := ledger.Decode(rows[1].Key, rows[1].Value, &state); err != nil {
		return err
	}
	if state.Next > w.next {
		return nil
	}
	return eris.Wrapf(ErrSealed, "append %s", key)
}

func (w *Writer) markDurable(batch []*PendingEntry) {
	w.mu.Lock()
	w.inFlight = nil
	w.mu.Unlock()
	for _, item := range batch {
		if item.notify != nil {
			item.notify()
		}
		close(item.done)
	}
}

// writeAdopted writes the adopted bills of other holders.
func (w *Writer) writeAdopted(ctx context.Context) error {
	for {
		w.mu.Lock()
		if len(w.adopted) == 0 {
			w.mu.Unlock()
			return nil
		}
		next := w.adopted[0]
		w.mu.Unlock()
		txn := store.Txn{
			Conditions: []store.Condition{w.Condition(), {Key: next.key}},
			Writes:     []store.Write{{Key: next.key, Value: next.value}},
		}
		if err := w.commitAdopted(ctx, txn); err != nil {
			return err
		}
		w.mu.Lock()
		w.adopted = w.adopted[1:]
		w.mu.Unlock()
	}
}

// commitAdopted returns once the row is written. A second copy, written after the
// first was folded, is harmless: its requests are already billed.
func (w *Writer) commitAdopted(ctx context.Context, txn store.Txn) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, err := w.commit(ctx, txn)
		if err == nil {
			return nil
		}
		if errors.Is(err, store.ErrConditionFailed) {
			row, err := w.readLiveness(ctx)
			if err == nil && row.Version == w.version.Load() {
				return nil
			}
			if err == nil {
				return eris.Wrapf(ErrSealed, "write adopted bills with journal of %s", w.holder)
			}
		}
		if err := pause.For(ctx, backoff); err != nil {
			return err
		}
	}
}

// Seal seals the journal: no entry can be appended after it returned nil. The
// holder calls it in a planned stop.
func (w *Writer) Seal(ctx context.Context) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if w.sealed.Load() {
			return nil
		}
		txn := store.Txn{
			Conditions: []store.Condition{w.Condition()},
			Writes:     []store.Write{{Key: ledger.LivenessKey(w.holder), Delete: true}},
		}
		_, err := w.commit(ctx, txn)
		if err == nil || errors.Is(err, store.ErrConditionFailed) {
			w.MarkSealed(eris.New("planned stop"))
			return nil
		}
		if err := pause.For(ctx, backoff); err != nil {
			return eris.Wrapf(err, "seal journal of %s", w.holder)
		}
	}
}

func (w *Writer) commit(ctx context.Context, txn store.Txn) (int64, error) {
	version, err := w.table.Commit(ctx, txn)
	return version, eris.Wrapf(err, "journal of %s", w.holder)
}
