package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// affinityUpstreams is the number of affinity upstreams of a prefix.
const affinityUpstreams = 2

// ringPoints is the number of points per upstream on the ring. With one, the busiest of 12
// upstreams gets about three times its share of prefixes.
const ringPoints = 16

// ringPoint is one point of an upstream on the hash ring.
type ringPoint struct {
	at    uint64
	entry *entry
}

// newRing returns a consistent hash ring, so that all routers send a prefix to the same few
// upstreams without communication, and a change of membership moves only few prefixes.
func newRing(list []*entry) []ringPoint {
	ring := make([]ringPoint, 0, len(list)*ringPoints)
	for _, e := range list {
		at := xxhash.Sum64String(e.id)
		for range ringPoints {
			ring = append(ring, ringPoint{at: at, entry: e})
			at = mix(at)
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
	return ring
}

// ringUpstreamAt returns the i-th affinity upstream of the request's prefix, or nil for a
// prompt without a full block.
func (v *view) ringUpstreamAt(i int) *entry {
	ring := v.pool.rings[v.set.topology.region[v.from]]
	if len(ring) == 0 || len(v.request.Prefix) == 0 {
		return nil
	}
	block := v.request.AffinityKey
	if block == 0 {
		block = v.affinityBlock()
	}
	key := mix(block + uint64(i))
	at, _ := slices.BinarySearchFunc(ring, key, func(p ringPoint, key uint64) int { return cmp.Compare(p.at, key) })
	return ring[at%len(ring)].entry
}

// affinityBlock returns the hash of the block that decides the affinity upstream: the last
// block at a power of two within the first half of the prompt. Prompts that share a long
// prefix and differ at the end agree on it, whatever their exact lengths.
func (v *view) affinityBlock() uint64 {
	at := 1
	for at*4 <= len(v.request.Prefix) {
		at *= 2
	}
	return v.request.Prefix[at-1]
}
