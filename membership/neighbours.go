package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Neighbours returns up to n peers to send to. It takes them in turn from a bounded
// set, so that a process holds few connections and sends to each regularly. The set
// consists of the peers at the distances 1, 2, 4 and so on along a ring that is
// ordered by the hashes of the IDs. So each process is in as many sets as its own
// set has members, and an update reaches the whole fleet in a logarithmic number of
// steps. Dead processes are not in the ring. One of them, chosen at random, is
// added to the result, or the two sides of a healed network partition would never
// exchange messages again.
func (t *Tracker) Neighbours(n int) []Member {
	t.lock()
	defer t.mu.Unlock()
	alive, dead := t.gossipPeers()
	ring := ringSet(alive, t.self.ID)
	var chosen []Member
	for range min(n, len(ring)) {
		chosen = append(chosen, ring[t.nextNeighbour%len(ring)])
		t.nextNeighbour++
	}
	if len(dead) > 0 {
		chosen = append(chosen, dead[t.random.IntN(len(dead))])
	}
	return chosen
}

// gossipPeers returns the processes that heartbeats can be sent to, ordered by ID.
func (t *Tracker) gossipPeers() (alive, dead []Member) {
	for id, r := range t.records {
		switch {
		case id == t.self.ID, !r.sendsHeartbeats, r.member.PeerAddress == "", r.member.State == Gone:
		case r.member.State == Dead:
			dead = append(dead, r.member)
		default:
			alive = append(alive, r.member)
		}
	}
	byID := func(a, b Member) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(alive, byID)
	slices.SortFunc(dead, byID)
	return alive, dead
}

// ringSet returns the members at distances 1, 2, 4, ... after self.
func ringSet(members []Member, self string) []Member {
	ringDistance := func(id string) uint64 { return xxhash.Sum64String(id) - xxhash.Sum64String(self) }
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b Member) int {
		return cmp.Compare(ringDistance(a.ID), ringDistance(b.ID))
	})
	var set []Member
	for distance := 1; distance <= len(ring); distance *= 2 {
		set = append(set, ring[distance-1])
	}
	return set
}
