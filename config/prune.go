package config

import (
	"context"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
)

// RetainedVersions is the number of versions below the head that can be loaded. At
// 3,700 changes a day this is more than five days of history.
const RetainedVersions = 20_000

// pruneBatch is the number of versions that one transaction deletes. It keeps the
// transaction below store.MaxTxnRows: a version has its own row, the row of its
// apply and its part rows, at most 2*maxBlobBytes/partBytes+2 rows in all.
const pruneBatch = 8

// Prune deletes versions that are more than keep below the head, but not the last
// checkpoint that the remaining versions need nor the versions after it. Two
// processes may run it concurrently: the new oldest version is committed first, and
// deleting a row twice has no effect.
func (s *Store) Prune(ctx context.Context, keep Version) error {
	var head headRow
	rowVersion, err := s.readJSON(ctx, headKey, &head)
	if err != nil || head.Version <= keep {
		return err
	}
	var row versionRow
	found, err := s.readJSON(ctx, versionKey(head.Version-keep), &row)
	if err != nil {
		return err
	}
	if found > 0 && row.Checkpoint > head.Oldest {
		if err := s.raiseOldest(ctx, rowVersion, head, row.Checkpoint); err != nil {
			return err
		}
		head.Oldest = row.Checkpoint
	}
	return s.deleteBelow(ctx, head.Oldest)
}

func (s *Store) raiseOldest(ctx context.Context, rowVersion int64, head headRow, oldest Version) error {
	head.Oldest = oldest
	write, err := encodeRow(headKey, head)
	if err != nil {
		return err
	}
	_, err = s.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: headKey, Version: rowVersion}},
		Writes:     []store.Write{write},
	})
	return eris.Wrap(err, "raise oldest config version")
}

func (s *Store) deleteBelow(ctx context.Context, oldest Version) error {
	var txn store.Txn
	versions := 0
	flush := func() error {
		if len(txn.Writes) == 0 {
			return nil
		}
		_, err := s.table.Commit(ctx, txn)
		txn, versions = store.Txn{}, 0
		return eris.Wrap(err, "delete old config versions")
	}
	err := s.scan(ctx, versionPrefix, "", func(row store.Row) (bool, error) {
		var entry versionRow
		if err := decodeRow(row, &entry); err != nil || entry.Version >= oldest {
			return false, err
		}
		for _, key := range entry.rowKeys() {
			txn.Writes = append(txn.Writes, store.Write{Key: key, Delete: true})
		}
		if versions++; versions < pruneBatch {
			return true, nil
		}
		return true, flush()
	})
	if err != nil {
		return err
	}
	return flush()
}

// rowKeys returns the keys of all rows of a version.
func (r versionRow) rowKeys() []string {
	keys := []string{versionKey(r.Version), applyKey(r.ApplyID)}
	keys = append(keys, r.Delta.partKeys(deltaBlob(r.Version))...)
	if r.FullDocument != nil {
		keys = append(keys, r.FullDocument.partKeys(documentBlob(r.Version))...)
	}
	return keys
}
