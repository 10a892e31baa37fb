package quarantine

import (
	"cmp"
	"context"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
)

// operatorRouter is the name under which operators' releases are recorded.
const operatorRouter = "operator"

// ErrNotSuspected reports that no upstream ended under a request, as far as it is recorded.
var ErrNotSuspected = eris.New("quarantine: the request is not suspected")

// Entry is a suspected request as operators see it.
type Entry struct {
	// Fingerprint is that of a whole request in hexadecimal, or the names of parts of
	// prompts, of which requests have all.
	Fingerprint string `json:"fingerprint"`
	// Crashes is the number of upstreams that ended under it.
	Crashes     int  `json:"crashes"`
	Quarantined bool `json:"quarantined"`
}

// List returns the suspected requests, those with the most crashes first.
func List(ctx context.Context, table store.Table) ([]Entry, error) {
	t, _, err := readAll(ctx, table)
	if err != nil {
		return nil, err
	}
	entries := []Entry{}
	for f, s := range t.view.Load().suspects {
		entries = append(entries, Entry{Fingerprint: f.String(), Crashes: s.crashes, Quarantined: !s.from.IsZero()})
	}
	for _, verdicts := range t.view.Load().parts.verdicts {
		for _, v := range verdicts {
			entries = append(entries, Entry{Fingerprint: v.String(), Crashes: len(v.crashes), Quarantined: true})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return entries, nil
}

// Release clears a request of all crashes recorded so far. It returns ErrNotSuspected if
// there are none, and store.ErrConditionFailed if another release was made meanwhile.
func Release(ctx context.Context, table store.Table, fingerprint string) error {
	t, row, err := readAll(ctx, table)
	if err != nil {
		return err
	}
	_, record, err := Decode(row.Key, row.Value)
	if err != nil {
		return eris.Wrap(err, "decode earlier releases")
	}
	record.Cleared = slices.DeleteFunc(record.Cleared, func(c Crash) bool { return !t.recorded(c) })
	earlier := len(record.Cleared)
	for c := range t.allCrashes(time.Now()) {
		if hex.EncodeToString(c.Fingerprint[:]) == fingerprint {
			record.Cleared = append(record.Cleared, c)
		}
	}
	if len(record.Cleared) == earlier && !t.releaseParts(&record, fingerprint) {
		return ErrNotSuspected
	}
	value, err := Encode(record)
	if err != nil {
		return eris.Wrap(err, "encode release")
	}
	_, err = table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []store.Write{{Key: row.Key, Value: value}},
	})
	return err
}

// releaseMargin covers the rounding of times in records.
const releaseMargin = 10 * time.Millisecond

// releaseParts adds to a record that the parts of a verdict were answered after its last
// crash. It reports whether there is such a verdict.
func (t *Table) releaseParts(record *Record, name string) bool {
	for _, verdicts := range t.view.Load().parts.verdicts {
		for _, v := range verdicts {
			if v.String() != name {
				continue
			}
			last := slices.MaxFunc(slices.Collect(maps.Values(v.crashes)), time.Time.Compare)
			for _, k := range v.keys {
				record.PartsAnswered = append(record.PartsAnswered, PartAnswered{Key: k, At: t.clock.toShared(last.Add(releaseMargin))})
			}
			record.PartsAnswered = record.PartsAnswered[max(0, len(record.PartsAnswered)-maxPartCrashes):]
			return true
		}
	}
	return false
}

// recorded reports whether a router still keeps the crash.
func (t *Table) recorded(c Crash) bool {
	for _, o := range t.others {
		if _, kept := o.crashes[c]; kept {
			return true
		}
	}
	return false
}

// readAll returns the evidence of all routers and the row of operators' releases.
func readAll(ctx context.Context, table store.Table) (*Table, store.Row, error) {
	t, row := NewTable(), store.Row{Key: Key(operatorRouter)}
	for after := ""; ; {
		rows, err := table.Scan(ctx, Segment+"/", after, store.MaxScanRows)
		if err != nil {
			return nil, row, err
		}
		changes := make([]store.Change, 0, len(rows))
		for _, r := range rows {
			if r.Key == row.Key {
				row = r
			}
			changes = append(changes, store.Change{Row: r})
			after = r.Key
		}
		t.ApplyChanges(changes)
		if len(rows) < store.MaxScanRows {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.evaluate(time.Now())
			return t, row, nil
		}
	}
}
