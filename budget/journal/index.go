package journal

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"

	"buckthornridge/budget/ledger"
	"buckthornridge/store"
)

// keySet is the set of keys of one generation of the index. It is immutable.
type keySet struct {
	raw    []byte   // the row's value: the keys in the order of billing
	sorted []uint64 // for binary search
}

func parseKeySet(raw []byte) *keySet {
	set := &keySet{raw: raw, sorted: make([]uint64, 0, len(raw)/keyBytes)}
	for at := 0; at+keyBytes <= len(raw); at += keyBytes {
		set.sorted = append(set.sorted, binary.BigEndian.Uint64(raw[at:]))
	}
	slices.Sort(set.sorted)
	return set
}

func (s *keySet) has(key uint64) bool {
	_, found := slices.BinarySearch(s.sorted, key)
	return found
}

// with returns a copy of the set with keys added.
func (s *keySet) with(keys []uint64) *keySet {
	raw := slices.Clone(s.raw)
	for _, key := range keys {
		raw = binary.BigEndian.AppendUint64(raw, key)
	}
	sorted := slices.Concat(s.sorted, keys)
	slices.Sort(sorted)
	return &keySet{raw: raw, sorted: sorted}
}

func (s *keySet) bytes() int { return len(s.raw) + keyBytes*len(s.sorted) }

// maxIndexBytes bounds the memory of an Index.
const maxIndexBytes = 8 << 20

// Index caches the index rows of billed requests between passes of a folder, so
// that a folder reads a row once instead of in every pass. A cached generation is
// valid if it has as many keys as the budget's row records: keys are only appended,
// and every append changes that row.
type Index struct {
	mu     sync.Mutex
	cached map[indexKey]*keySet
	bytes  int
}

type indexKey struct {
	budget     ledger.ID
	generation uint64
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{cached: map[indexKey]*keySet{}} }

// load returns a budget's generations, from the cache where valid.
func (x *Index) load(ctx context.Context, table store.Table, id ledger.ID, list []ledger.Generation) ([]*keySet, error) {
	sets := make([]*keySet, len(list))
	var missing []string
	for i, generation := range list {
		if sets[i] = x.get(indexKey{id, generation.Number}, generation.Keys); sets[i] == nil {
			missing = append(missing, ledger.IndexKey(id, generation.Number))
		}
	}
	if len(missing) == 0 {
		return sets, nil
	}
	rows, err := table.Read(ctx, missing...)
	if err != nil {
		return nil, err
	}
	for i, generation := range list {
		if sets[i] != nil {
			continue
		}
		sets[i] = parseKeySet(rows[0].Value)
		rows = rows[1:]
		if len(sets[i].sorted) == generation.Keys {
			x.put(indexKey{id, generation.Number}, sets[i])
		}
	}
	return sets, nil
}

func (x *Index) get(key indexKey, keys int) *keySet {
	if x == nil {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if set := x.cached[key]; set != nil && len(set.sorted) == keys {
		return set
	}
	return nil
}

func (x *Index) put(key indexKey, set *keySet) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.drop(key)
	x.cached[key] = set
	x.bytes += set.bytes()
	for other := range x.cached { // in random order
		if x.bytes <= maxIndexBytes {
			return
		}
		x.drop(other)
	}
}

func (x *Index) drop(key indexKey) {
	if set := x.cached[key]; set != nil {
		x.bytes -= set.bytes()
		delete(x.cached, key)
	}
}
