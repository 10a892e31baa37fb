package store

import (
	"maps"
	"slices"
)

// Copy is the table of a Fake as of one moment.
type Copy struct {
	rows    map[string]Row
	keys    []string
	version int64
}

// CopyTable returns a copy of the table.
func (f *Fake) CopyTable() Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueWrites()
	return Copy{rows: maps.Clone(f.rows), keys: slices.Clone(f.keys), version: f.version}
}

// ComeBack replaces the table by an older copy. Its version numbers continue from the
// copy's, in a new era. Writes that are delayed take effect if their conditions hold for
// the numbers, as at a table that does not know of eras.
func (f *Fake) ComeBack(from Copy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueWrites()
	f.era++
	f.rows, f.keys, f.version = maps.Clone(from.rows), slices.Clone(from.keys), from.version
}

// TellEra records that a VM gets a response of the current era.
func (f *Fake) TellEra(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.toldEras[vm] = f.era
}

// ForgetEra is called when a VM's process starts, which knows no era.
func (f *Fake) ForgetEra(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.toldEras, vm)
}

// ToldEra returns the newest era of which a response has told a VM.
func (f *Fake) ToldEra(vm string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.toldEras[vm]
}

// Era returns the table's era.
func (f *Fake) Era() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}
