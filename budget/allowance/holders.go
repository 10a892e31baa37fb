package allowance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxHolders is how many VMs hold grants of one budget; the others borrow for each
// request. It keeps three things from growing with the fleet: the parts into which a
// limit and its tokens at risk are divided (one part of 83 is less than a large request's
// ceiling, so that each request waits for a report of its own), the rows and changes of a
// pool, and the reports. Nine is the largest fleet in which all VMs hold all budgets
// without these effects.
const MaxHolders = 9

// Peer is a VM that shares the budgets.
type Peer struct {
	VM         string
	DataCentre string
	// Strength is the VM's part of a core; a stronger VM holds more budgets. 0 counts as
	// 1.
	Strength float64
}

// ChooseHolders returns the VMs that hold a budget, at most MaxHolders: all of a small
// fleet, otherwise those that rank first in each data centre, so that borrowers find one
// nearby. VMs that know the same peers choose the same holders without coordination. If
// their views differ, one holder more or less does no harm, since only the pool's row
// grants tokens.
func ChooseHolders(budget string, peers []Peer) []Peer {
	if len(peers) <= MaxHolders {
		return slices.Clone(peers)
	}
	ranked := rank(budget, peers)
	inDataCentre := map[string]int{} // ranked so far, by data centre
	position := make(map[string]int, len(ranked))
	for _, p := range ranked {
		position[p.VM] = inDataCentre[p.DataCentre]
		inDataCentre[p.DataCentre]++
	}
	// The first of each data centre, then the second of each, and so on.
	slices.SortStableFunc(ranked, func(a, b Peer) int { return cmp.Compare(position[a.VM], position[b.VM]) })
	return ranked[:MaxHolders]
}

// rank orders peers for a name by weighted rendezvous hashing: a change of the fleet
// moves only what the VM that joined or left holds.
func rank(name string, peers []Peer) []Peer {
	weights := make(map[string]float64, len(peers))
	for _, p := range peers {
		weights[p.VM] = weight(name, p)
	}
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weights[b.VM], weights[a.VM]), cmp.Compare(a.VM, b.VM))
	})
	return ranked
}

// weight is positive, and a peer's chance to have the highest is proportional to its
// strength.
func weight(name string, p Peer) float64 {
	strength := p.Strength
	if strength <= 0 {
		strength = 1
	}
	drawn := (float64(xxhash.Sum64String(name+"\x00"+p.VM)>>11) + 0.5) / (1 << 53) // within (0, 1)
	return strength / -math.Log(drawn)
}

// OrderLenders returns the holders of a budget in the order in which a VM asks them:
// those of its own data centre first. Within one data centre each VM has its own order,
// so that the borrowers spread over the holders and each keeps to the same ones.
func OrderLenders(self Peer, budget string, holders []Peer) []string {
	ranked := rank(budget+"\x00"+self.VM, holders)
	slices.SortStableFunc(ranked, func(a, b Peer) int {
		return cmp.Compare(distance(self, a), distance(self, b))
	})
	names := make([]string, 0, len(ranked))
	for _, p := range ranked {
		if p.VM != self.VM {
			names = append(names, p.VM)
		}
	}
	return names
}

func distance(self, p Peer) int {
	if self.DataCentre == p.DataCentre {
		return 0
	}
	return 1
}

// Sharing says which VMs hold a budget, as seen by one VM.
type Sharing struct {
	// Holds says that this VM is one of them.
	Holds bool
	// Holders is their number, at least 1.
	Holders int
	// Lenders are the other holders in the order in which this VM asks them. Nil if all
	// VMs hold the budget: then it asks those with the most unspent tokens.
	Lenders []string
}

// sharedByAll is the sharing of a fleet in which all VMs hold all budgets.
func sharedByAll(vms int) Sharing { return Sharing{Holds: true, Holders: max(vms, 1)} }

// Share returns how a budget is shared in a fleet, as seen by the VM self, which is part
// of the fleet.
func Share(self Peer, budget string, fleet []Peer) Sharing {
	if len(fleet) <= MaxHolders {
		return sharedByAll(len(fleet))
	}
	holders := ChooseHolders(budget, fleet)
	holds := slices.ContainsFunc(holders, func(p Peer) bool { return p.VM == self.VM })
	return Sharing{Holds: holds, Holders: len(holders), Lenders: OrderLenders(self, budget, holders)}
}
