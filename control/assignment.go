package control

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"buckthornridge/admin"
	"buckthornridge/store"
)

// assignment divides the keys of sharded duties among the control processes that
// are live in the VM list. Processes see a change of the list at different times.
// Until all have seen it, a key may be assigned to two processes or to none, which
// the duties tolerate.
type assignment struct {
	self     string          // id of this process
	controls map[string]bool // live control processes by id
}

func newAssignment(self string, vms []store.VM) *assignment {
	a := &assignment{self: self, controls: map[string]bool{}}
	for _, vm := range vms {
		if vm.Role == roleControl && vm.State == store.VMLive {
			a.controls[vm.ID] = true
		}
	}
	return a
}

// owns reports whether the journal of a holder is assigned to this process. The
// journals of a VM go to its own control process while that is live, and are
// otherwise spread over the live control processes by rendezvous hashing.
func (a *assignment) owns(holder string) bool {
	vm, _, _ := strings.Cut(holder, "#")
	if local := admin.ControlID(vm); a.controls[local] {
		return local == a.self
	}
	best, bestScore := a.self, uint64(0)
	for id := range a.controls {
		if score := xxhash.Sum64String(holder + "|" + id); score > bestScore {
			best, bestScore = id, score
		}
	}
	return best == a.self
}
