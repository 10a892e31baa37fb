package control

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/store"
)

// Every journal is folded by exactly one of the live control processes: that of
// its own VM, and for a VM without one some other.
func TestEveryJournalHasOneFolder(t *testing.T) {
	is := is.New(t)
	var vms []store.VM
	for i := range 9 {
		state := store.VMLive
		if i == 4 {
			state = store.VMGone
		}
		vms = append(vms, store.VM{ID: fmt.Sprintf("vm-%d/control", i), Role: roleControl, State: state})
	}
	for holder := range 9 {
		owners := 0
		name := fmt.Sprintf("vm-%d#17", holder)
		for _, vm := range vms {
			if vm.State == store.VMLive && newShare(vm.ID, vms).mine(name) {
				owners++
				is.True(holder == 4 || vm.ID == fmt.Sprintf("vm-%d/control", holder))
			}
		}
		is.Equal(owners, 1)
	}
	is.True(newShare("vm-1/control", nil).mine("vm-2#1")) // no list yet: better twice than never
}
