package store

import (
	"bytes"
	"context"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// fakeTable is the table as used by one VM.
type fakeTable struct{ *caller }

func (t fakeTable) Read(ctx context.Context, keys ...string) ([]Row, error) {
	keys = slices.Clone(keys)
	var rows []Row
	r := request{Call: Call{Step: StepRead, Keys: keys}, rows: max(1, len(keys))}
	if err := CheckKeys(keys); err != nil {
		return nil, r.wrap(err)
	}
	r.effect = func() (err error) {
		rows, err = t.fake.readRows(keys)
		return err
	}
	if err := t.do(ctx, r); err != nil {
		return nil, err
	}
	return rows, nil
}

func (t fakeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	r := request{Call: Call{Step: StepScan, Keys: []string{prefix}}, rows: max(1, limit)}
	if err := CheckScan(prefix, after, limit); err != nil {
		return nil, r.wrap(err)
	}
	r.effect = func() (err error) {
		rows, err = t.fake.scanRows(prefix, after, limit)
		return err
	}
	if err := t.do(ctx, r); err != nil {
		return nil, err
	}
	return rows, nil
}

func (t fakeTable) Commit(ctx context.Context, txn Txn) (int64, error) {
	var version int64
	r := request{Call: Call{Step: StepCommit}, write: true, rows: len(txn.Writes)}
	if err := CheckTxn(txn); err != nil {
		return 0, r.wrap(err)
	}
	txn = copyTxn(txn)
	r.Txn = txn
	if t.namesEarlierEra(txn) {
		return 0, r.wrap(ErrConditionFailed)
	}
	r.effect = func() (err error) {
		version, err = t.fake.apply(txn)
		return err
	}
	if err := t.do(ctx, r); err != nil {
		return 0, err
	}
	if t.namesEarlierEra(txn) {
		return 0, r.wrap(ErrOutcomeUnknown)
	}
	return version, nil
}

// namesEarlierEra reports whether a condition names a version from before an era that this
// VM knows of.
func (t fakeTable) namesEarlierEra(txn Txn) bool {
	era := t.fake.ToldEra(t.vm)
	return slices.ContainsFunc(txn.Conditions, func(c Condition) bool { return c.Version != 0 && EraOf(c.Version) < era })
}

func copyTxn(txn Txn) Txn {
	writes := slices.Clone(txn.Writes)
	for i := range writes {
		writes[i].Value = copyValue(writes[i].Value)
	}
	return Txn{Conditions: slices.Clone(txn.Conditions), Writes: writes}
}

// copyValue clones a value. An empty value becomes nil, as it does over HTTP.
func copyValue(value []byte) []byte {
	if len(value) == 0 {
		return nil
	}
	return bytes.Clone(value)
}

func (f *Fake) readRows(keys []string) ([]Row, error) {
	rows := make([]Row, 0, len(keys))
	size := 0
	for _, key := range keys {
		row := f.row(key)
		size += len(row.Key) + len(row.Value)
		rows = append(rows, row)
	}
	return f.checkResponseSize(rows, size)
}

func (f *Fake) row(key string) Row {
	row := f.rows[key]
	if row.Version > 0 {
		row.Version = VersionIn(f.era, row.Version)
	}
	return Row{Key: key, Value: copyValue(row.Value), Version: row.Version}
}

func (f *Fake) scanRows(prefix, after string, limit int) ([]Row, error) {
	first, _ := slices.BinarySearch(f.keys, max(prefix, after))
	rows := []Row{}
	size := 0
	for _, key := range f.keys[first:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key <= after {
			continue
		}
		row := f.row(key)
		size += len(row.Key) + len(row.Value)
		if size > MaxResponseBytes {
			break
		}
		rows = append(rows, row)
	}
	return f.checkResponseSize(rows, size)
}

func (f *Fake) checkResponseSize(rows []Row, size int) ([]Row, error) {
	if size > MaxResponseBytes {
		return nil, eris.Wrapf(ErrTooLarge, "response of more than %d bytes", MaxResponseBytes)
	}
	f.counters.RowsRead += int64(len(rows))
	return rows, nil
}

func (f *Fake) apply(txn Txn) (int64, error) {
	for _, c := range txn.Conditions {
		if have := f.rows[c.Key].Version; have != NumberOf(c.Version) {
			f.counters.ConditionsFailed++
			return 0, eris.Wrapf(ErrConditionFailed, "row %q has version %d, not %d", c.Key, have, c.Version)
		}
	}
	f.version++
	for _, w := range txn.Writes {
		f.put(w)
	}
	f.counters.Txns++
	f.counters.RowsWritten += int64(len(txn.Writes))
	return VersionIn(f.era, f.version), nil
}

func (f *Fake) put(w Write) {
	i, present := slices.BinarySearch(f.keys, w.Key)
	if w.Delete {
		delete(f.rows, w.Key)
		if present {
			f.keys = slices.Delete(f.keys, i, i+1)
		}
		return
	}
	if !present {
		f.keys = slices.Insert(f.keys, i, w.Key)
	}
	f.rows[w.Key] = Row{Key: w.Key, Value: w.Value, Version: f.version}
}

// Dump returns all rows whose keys start with prefix, in key order. It bypasses
// faults and limits and is meant for audits.
func (f *Fake) Dump(prefix string) []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueWrites()
	first, _ := slices.BinarySearch(f.keys, prefix)
	rows := []Row{}
	for _, key := range f.keys[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		rows = append(rows, f.row(key))
	}
	return rows
}
