package routing

import "time"

const (
	maxHolders = 6  // holders that a lookup returns
	maxLookups = 48 // prefixes that a lookup tries, longest first
)

// hit is a known holder with the number of the prompt's blocks that it has.
type hit struct {
	upstream string
	blocks   int64
}

type hits struct {
	found [maxHolders]hit
	n     int
}

// of returns the known blocks at an upstream.
func (h *hits) of(e *entry) int64 {
	if e == nil {
		return 0
	}
	for _, known := range h.found[:h.n] {
		if known.upstream == e.id {
			return known.blocks
		}
	}
	return 0
}

// find returns the holders of the longest known prefixes.
func (x *PrefixIndex) find(prefix []uint64, _ time.Duration) hits {
	var h hits
	stride := max(1, (len(prefix)+maxLookups-1)/maxLookups)
	for i := len(prefix) - 1; i >= 0 && h.n < maxHolders; i -= stride {
		x.holders(prefix[i], int64(i+1), &h)
	}
	return h
}

// holders adds the upstreams that hold a prefix and are not in h yet.
func (x *PrefixIndex) holders(prefix uint64, blocks int64, h *hits) {
	now := time.Since(x.start)
	bucket, lock := x.bucket(prefix)
	lock.Lock()
	defer lock.Unlock()
	for i := range bucket {
		pair := &bucket[i]
		if pair.feed == nil || pair.prefix != prefix || now-pair.seen > prefixMaxAge {
			continue
		}
		if h.n < maxHolders && !h.has(pair.feed.upstream) {
			h.found[h.n] = hit{upstream: pair.feed.upstream, blocks: pair.credit(blocks)}
			h.n++
		}
	}
}

func (h *hits) has(id string) bool {
	for _, known := range h.found[:h.n] {
		if known.upstream == id {
			return true
		}
	}
	return false
}

// credit halves what is known from before a gap in the events: an eviction may
// be among the lost ones.
func (p *prefixPair) credit(blocks int64) int64 {
	if int64(p.seen) < p.feed.gapAt.Load() {
		return blocks / 2
	}
	return blocks
}
