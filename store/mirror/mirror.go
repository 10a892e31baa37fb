// Package mirror keeps an in-memory copy of the newest rows of one segment of the
// table. Updates come from the table's change feed or from another process's mirror.
//
// A VM that can't reach the table thus learns changes from its peers. Rows are
// compared by version, so updates from several sources may be mixed and stale ones
// have no effect.
package mirror

import (
	"slices"
	"sync"

	"buckthornridge/store"
)

// maxTombstones is the maximum number of deletions kept. A reader whose version is
// older than the kept deletions gets all rows.
const maxTombstones = 4096

// Mirror holds the rows of one segment. All methods are safe for concurrent use.
type Mirror struct {
	mu            sync.RWMutex
	rows          map[string]store.Change // including tombstones
	version       int64                   // all changes up to this version are applied
	retainedSince int64                   // deletions after this version are kept
	tombstones    int
	changed       chan struct{} // closed at the next change
}

// Update is the set of changes that a reader is missing.
type Update struct {
	Changes []store.Change `msgpack:"c"`
	Version int64          `msgpack:"v"`
	// Full marks a full snapshot: rows that are not in Changes do not exist.
	Full bool `msgpack:"w"`
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{rows: map[string]store.Change{}, changed: make(chan struct{})}
}

// Version returns the version up to which all changes are applied; 0 before the
// first update.
func (m *Mirror) Version() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.version
}

// Changed returns a channel that is closed at the next change.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Apply applies an update and returns the rows that it changed, in the order of
// versions. Changes that are older than the known rows have no effect.
func (m *Mirror) Apply(u Update) []store.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.Full && u.Version < m.version {
		return nil
	}
	var applied []store.Change
	if u.Full {
		applied = m.deleteMissing(u)
	}
	for _, change := range u.Changes {
		if known, has := m.rows[change.Key]; has && known.Version >= change.Version {
			continue
		}
		m.put(change)
		applied = append(applied, change)
	}
	if u.Full && m.version == 0 {
		m.retainedSince = u.Version
	}
	m.version = max(m.version, u.Version)
	if len(applied) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	slices.SortStableFunc(applied, func(a, b store.Change) int { return int(min(max(a.Version-b.Version, -1), 1)) })
	return applied
}

// deleteMissing deletes the rows that are missing from a whole update.
func (m *Mirror) deleteMissing(u Update) []store.Change {
	present := make(map[string]bool, len(u.Changes))
	for _, change := range u.Changes {
		present[change.Key] = true
	}
	var deletions []store.Change
	for key, known := range m.rows {
		if known.Deleted || present[key] || known.Version > u.Version {
			continue
		}
		deletion := store.Change{Row: store.Row{Key: key, Version: u.Version}, Deleted: true}
		m.put(deletion)
		deletions = append(deletions, deletion)
	}
	return deletions
}

func (m *Mirror) put(change store.Change) {
	if old, has := m.rows[change.Key]; has && old.Deleted {
		m.tombstones--
	}
	if change.Deleted {
		change.Value = nil
		m.tombstones++
	}
	m.rows[change.Key] = change
	if m.tombstones > maxTombstones {
		m.dropTombstones()
	}
}

func (m *Mirror) dropTombstones() {
	for key, row := range m.rows {
		if row.Deleted {
			m.retainedSince = max(m.retainedSince, row.Version)
			delete(m.rows, key)
		}
	}
	m.tombstones = 0
}

// Since returns the changes after a version, for a reader that has applied all
// changes up to it, or all rows if deletions after that version were dropped.
func (m *Mirror) Since(version int64) Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	u := Update{Version: m.version, Full: version < m.retainedSince}
	for _, change := range m.rows {
		if u.Full && !change.Deleted || !u.Full && change.Version > version {
			u.Changes = append(u.Changes, change)
		}
	}
	return u
}

// Rows returns the rows that exist.
func (m *Mirror) Rows() []store.Row {
	m.mu.RLock()
	defer m.mu.RUnlock()
	rows := make([]store.Row, 0, len(m.rows))
	for _, change := range m.rows {
		if !change.Deleted {
			rows = append(rows, change.Row)
		}
	}
	return rows
}
