package routing

import "time"

const (
	maxHolders = 6  // holders returned by a lookup
	maxLookups = 48 // prefixes tried by a lookup, longest first
)

// hit is an upstream that probably caches a prefix of the prompt, with the number of
// blocks.
type hit struct {
	upstream string
	blocks   int64
	age      time.Duration // since the holder was last known to cache them
}

type hits struct {
	found [maxHolders]hit
	n     int
}

// forEntry returns the hit at an upstream, or a zero hit.
func (h *hits) forEntry(e *entry) hit {
	for _, known := range h.found[:h.n] {
		if e != nil && known.upstream == e.id {
			return known
		}
	}
	return hit{}
}

// find returns the holders of the longest known prefixes.
func (x *PrefixIndex) find(prefix []uint64) hits {
	var h hits
	now := time.Since(x.start)
	stride := max(1, (len(prefix)+maxLookups-1)/maxLookups)
	for i := len(prefix) - 1; i >= 0 && h.n < maxHolders; i -= stride {
		x.holders(prefix[i], int64(i+1), now, &h)
	}
	return h
}

// holders adds the upstreams that hold a prefix and are not in h yet.
func (x *PrefixIndex) holders(prefix uint64, blocks int64, now time.Duration, h *hits) {
	bucket, lock := x.bucket(prefix)
	lock.Lock()
	defer lock.Unlock()
	for i := range bucket {
		pair := &bucket[i]
		if pair.feed == nil || pair.prefix != prefix || !pair.valid(now) {
			continue
		}
		if h.n < maxHolders && !h.has(pair.feed.upstream) {
			h.found[h.n] = hit{upstream: pair.feed.upstream, blocks: blocks, age: now - pair.seen}
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

// valid reports whether the pair probably still holds.
func (p *prefixPair) valid(now time.Duration) bool {
	return p.epoch == p.feed.epoch.Load() && float64(now-p.seen) <= p.feed.lifetime.load()
}
