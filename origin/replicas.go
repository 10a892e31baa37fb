package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Copies is how many routers hold a copy of a record, besides the one that made it.
	Copies = 4
	// Asked is how many routers are asked for a record: those with the copies, and some
	// that come next, since routers may know different lists of members.
	Asked = Copies + 3
)

// Member is a router of the fleet.
type Member struct {
	Name       string
	DataCentre string
}

// Replicas returns the n members that come first for a record, by rendezvous hashing, without
// the router self. The first ones stand in different data centres, as far as there are any,
// so that the loss of one leaves a copy.
func Replicas(id, self string, members []Member, n int) []Member {
	type candidate struct {
		member Member
		score  uint64
		round  int // how many members of its data centre come before it
	}
	ranked := make([]candidate, 0, len(members))
	for _, m := range members {
		if m.Name == self {
			continue
		}
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(id) // never fails
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(m.Name)
		ranked = append(ranked, candidate{member: m, score: d.Sum64()})
	}
	slices.SortFunc(ranked, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	inDataCentre := map[string]int{}
	for i := range ranked {
		ranked[i].round = inDataCentre[ranked[i].member.DataCentre]
		inDataCentre[ranked[i].member.DataCentre]++
	}
	slices.SortStableFunc(ranked, func(a, b candidate) int { return cmp.Compare(a.round, b.round) })
	first := make([]Member, 0, min(n, len(ranked)))
	for _, c := range ranked[:min(n, len(ranked))] {
		first = append(first, c.member)
	}
	return first
}

// Elects reports whether a router is the one of all that comes first for a key, by
// rendezvous hashing.
func Elects(key, self string, names []string) bool {
	members := make([]Member, len(names))
	for i, name := range names {
		members[i] = Member{Name: name}
	}
	first := Replicas(key, "", members, 1)
	return len(first) == 1 && first[0].Name == self
}
