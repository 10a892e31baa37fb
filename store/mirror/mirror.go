// Package mirror keeps the newest rows of one segment of the table in memory, from
// whatever source has them: the table's feed or another process's mirror.
//
// A machine that the table turns away learns changes from its peers in this way.
// Each row counts by its version, so sources may be mixed and late ones do no harm.
package mirror

import (
	"slices"
	"sync"

	"buckthornridge/store"
)

// maxTombstones is how many deletions are remembered. A reader that is further
// behind gets all rows.
const maxTombstones = 4096

// Mirror holds the rows of one segment. All methods are safe for concurrent use.
type Mirror struct {
	mu      sync.RWMutex
	rows    map[string]store.Change // deleted ones included
	version int64                   // all changes up to here are in
	since   int64                   // deletions after this version are known
	deleted int
	changed chan struct{} // closed at the next change
}

// Update is what a reader lacks.
type Update struct {
	Changes []store.Change `msgpack:"c"`
	Version int64          `msgpack:"v"`
	// Whole says that rows which are not among the changes do not exist.
	Whole bool `msgpack:"w"`
}

// New returns an empty mirror, which knows nothing.
func New() *Mirror {
	return &Mirror{rows: map[string]store.Change{}, changed: make(chan struct{})}
}

// Version returns the version up to which all changes are known; 0 before any.
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

// Apply takes an update and returns what it changed, in the order of versions. An
// update that is older than what is known changes nothing.
func (m *Mirror) Apply(u Update) []store.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.Whole && u.Version < m.version {
		return nil
	}
	var news []store.Change
	if u.Whole {
		news = m.vanish(u)
	}
	for _, change := range u.Changes {
		if known, has := m.rows[change.Key]; has && known.Version >= change.Version {
			continue
		}
		m.put(change)
		news = append(news, change)
	}
	if u.Whole && m.version == 0 {
		m.since = u.Version
	}
	m.version = max(m.version, u.Version)
	if len(news) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	slices.SortStableFunc(news, func(a, b store.Change) int { return int(min(max(a.Version-b.Version, -1), 1)) })
	return news
}

// vanish deletes the rows that a whole update no longer has.
func (m *Mirror) vanish(u Update) []store.Change {
	present := make(map[string]bool, len(u.Changes))
	for _, change := range u.Changes {
		present[change.Key] = true
	}
	var news []store.Change
	for key, known := range m.rows {
		if known.Deleted || present[key] || known.Version > u.Version {
			continue
		}
		gone := store.Change{Row: store.Row{Key: key, Version: u.Version}, Deleted: true}
		m.put(gone)
		news = append(news, gone)
	}
	return news
}

func (m *Mirror) put(change store.Change) {
	if old, has := m.rows[change.Key]; has && old.Deleted {
		m.deleted--
	}
	if change.Deleted {
		change.Value = nil
		m.deleted++
	}
	m.rows[change.Key] = change
	if m.deleted > maxTombstones {
		m.dropTombstones()
	}
}

func (m *Mirror) dropTombstones() {
	for key, row := range m.rows {
		if row.Deleted {
			m.since = max(m.since, row.Version)
			delete(m.rows, key)
		}
	}
	m.deleted = 0
}

// Since returns what a reader lacks that knows everything up to a version.
func (m *Mirror) Since(version int64) Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	u := Update{Version: m.version, Whole: version < m.since}
	for _, change := range m.rows {
		if u.Whole && !change.Deleted || !u.Whole && change.Version > version {
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
