package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
)

// The rows in the table, all under "config/":
//
//	config/head               headRow: the accepted version
//	config/version/{n}        versionRow: the delta from n-1 to n and its record for the history
//	config/apply/{apply id}   applyRow: the version that this apply created
//	config/part/{blob}/{i}    the parts of a blob that is too large for one row
//
// Versions are zero-padded to 20 digits, so that rows sort by version.
const (
	headKey       = "config/head"
	versionPrefix = "config/version/"
	applyPrefix   = "config/apply/"
	partPrefix    = "config/part/"
)

func versionKey(v Version) string { return fmt.Sprintf("%s%020d", versionPrefix, v) }
func applyKey(id string) string   { return applyPrefix + id }

// headRow is the only row that every watcher polls, so it is kept small.
type headRow struct {
	Head
	// Checkpoint is the last version that is also stored as a full document;
	// 0 means none.
	Checkpoint Version `json:"checkpoint,omitempty"`
	// SinceCheckpoint is the total size in bytes of the deltas after Checkpoint.
	SinceCheckpoint int `json:"since_checkpoint"`
	// Oldest is the lowest version that can still be loaded.
	Oldest Version `json:"oldest,omitempty"`
}

// versionRow is the row of one accepted version.
type versionRow struct {
	Record
	Delta blob `json:"delta"`
	// FullDocument is the full document; it is set only on checkpoints.
	FullDocument *blob `json:"whole,omitempty"`
	// Checkpoint is the last checkpoint up to and including this version.
	Checkpoint Version `json:"checkpoint"`
}

// Record describes a version in the history.
type Record struct {
	Version Version   `json:"version"`
	Digest  string    `json:"digest"`
	Author  string    `json:"author"`
	ApplyID string    `json:"apply_id"`
	At      time.Time `json:"at"`
	Changes int       `json:"changes"` // number of entries set or deleted
	Bytes   int       `json:"bytes"`   // size of the packed delta
}

// applyRow makes an apply idempotent: it records the version that the id created.
type applyRow struct {
	Version Version `json:"version"`
	Digest  string  `json:"digest"`
}

// blob is packed data that is stored inline in its row or in Parts separate rows.
type blob struct {
	Inline []byte `json:"inline,omitempty"`
	Parts  int    `json:"parts,omitempty"`
	Size   int    `json:"size"`
}

// Size limits of blobs. JSON makes inline data a third larger.
const (
	maxInlineBytes = 32 << 10
	partBytes      = 512 << 10
	// maxBlobBytes keeps a transaction below store.MaxTxnBytes.
	maxBlobBytes = 3 << 20
)

func partKey(name string, i int) string { return fmt.Sprintf("%s%s/%04d", partPrefix, name, i) }

func deltaBlob(v Version) string    { return fmt.Sprintf("%020d-delta", v) }
func documentBlob(v Version) string { return fmt.Sprintf("%020d-whole", v) }

// splitBlob returns the blob for data and the writes of its part rows, if any.
func splitBlob(name string, data []byte) (blob, []store.Write) {
	b := blob{Size: len(data)}
	if len(data) <= maxInlineBytes {
		b.Inline = data
		return b, nil
	}
	var writes []store.Write
	for len(data) > 0 {
		n := min(len(data), partBytes)
		writes = append(writes, store.Write{Key: partKey(name, b.Parts), Value: data[:n]})
		data = data[n:]
		b.Parts++
	}
	return b, writes
}

func (b blob) partKeys(name string) []string {
	keys := make([]string, b.Parts)
	for i := range keys {
		keys[i] = partKey(name, i)
	}
	return keys
}

// ErrPruned reports a version that is too old: its rows were deleted.
var ErrPruned = eris.New("config: version is no longer kept")

func (s *Store) readBlob(ctx context.Context, name string, b blob) ([]byte, error) {
	if b.Parts == 0 {
		return b.Inline, nil
	}
	rows, err := s.table.Read(ctx, b.partKeys(name)...)
	if err != nil {
		return nil, eris.Wrapf(err, "read parts %s", name)
	}
	data := make([]byte, 0, b.Size)
	for _, row := range rows {
		if row.Version == 0 {
			return nil, eris.Wrapf(ErrPruned, "part %s", row.Key)
		}
		data = append(data, row.Value...)
	}
	return data, nil
}

// readJSON decodes one row into into. Version 0 means that the row does not exist.
func (s *Store) readJSON(ctx context.Context, key string, into any) (version int64, err error) {
	rows, err := s.table.Read(ctx, key)
	if err != nil {
		return 0, eris.Wrapf(err, "read %s", key)
	}
	return rows[0].Version, decodeRow(rows[0], into)
}

func decodeRow(row store.Row, into any) error {
	if row.Version == 0 {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(row.Value, into), "decode %s", row.Key)
}

func encodeRow(key string, value any) (store.Write, error) {
	text, err := json.Marshal(value)
	return store.Write{Key: key, Value: text}, eris.Wrapf(err, "encode %s", key)
}

// scan calls visit for each row with the prefix whose key is above after, in key
// order, until visit returns false. It requests fewer rows if a response would be
// too large.
func (s *Store) scan(ctx context.Context, prefix, after string, visit func(store.Row) (bool, error)) error {
	limit := maxScan
	for {
		rows, err := s.table.Scan(ctx, prefix, after, limit)
		if errors.Is(err, store.ErrTooLarge) && limit > 1 {
			limit /= 2
			continue
		}
		if err != nil {
			return eris.Wrapf(err, "scan %s", prefix)
		}
		for _, row := range rows {
			if more, err := visit(row); err != nil || !more {
				return err
			}
		}
		if len(rows) < limit {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// maxScan is the maximum number of rows that one scan requests.
const maxScan = 256
