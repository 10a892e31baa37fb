package store

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// fakeVMs is the VM list as used by one VM.
type fakeVMs struct{ *caller }

func (v fakeVMs) List(ctx context.Context) ([]VM, time.Time, error) {
	var vms []VM
	var asOf time.Time
	r := request{Call: Call{Step: StepVMs}}
	r.effect = func() error {
		v.fake.advanceVMList()
		asOf = v.fake.vms.asOf
		vms = v.fake.vms.at(asOf)
		return nil
	}
	if err := v.do(ctx, r); err != nil {
		return nil, time.Time{}, err
	}
	return vms, asOf, nil
}

func (v fakeVMs) Announce(ctx context.Context, vm VM) error {
	r := request{Call: Call{Step: StepAnnounce}, write: true}
	if err := CheckVM(vm); err != nil {
		return r.wrap(err)
	}
	r.effect = func() error { return v.fake.vms.announce(vm) }
	return v.do(ctx, r)
}

// SetVMState sets the state of the current incarnation of a VM, as the platform does
// when it removes a VM. The state of a gone incarnation can't change.
func (f *Fake) SetVMState(id string, state VMState) error {
	if err := CheckState(state); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueWrites()
	return f.vms.setState(id, state)
}

// VMs returns the current entries, without lag.
func (f *Fake) VMs() []VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueWrites()
	return f.vms.at(time.Now())
}

// advanceVMList advances the time that the list reflects to the present time minus
// the lag. It never moves backwards, not even when the lag increases.
func (f *Fake) advanceVMList() {
	if f.faults.VMListFrozen {
		return
	}
	if asOf := time.Now().Add(-f.faults.VMListLag); asOf.After(f.vms.asOf) {
		f.vms.asOf = asOf
	}
}

// maxEntryHistory is the maximum number of states kept for one incarnation; a list
// whose lag spans more of them contains the oldest kept one.
const maxEntryHistory = 64

// vmHistory records the states of each incarnation over time, for lists with a lag.
type vmHistory struct {
	entries []vmEntry // sorted by id, then by incarnation
	asOf    time.Time // time that the VM list reflects
}

type vmEntry struct {
	id, incarnation string
	history         []vmChange // in order of time
}

type vmChange struct {
	at time.Time
	vm VM
}

func (e vmEntry) current() VM { return e.history[len(e.history)-1].vm }

func (e vmEntry) compare(other vmEntry) int {
	if byID := strings.Compare(e.id, other.id); byID != 0 {
		return byID
	}
	if e.incarnation == other.incarnation {
		return 0
	}
	if OlderIncarnation(e.incarnation, other.incarnation) {
		return -1
	}
	return 1
}

func (h *vmHistory) at(when time.Time) []VM {
	vms := []VM{}
	for _, entry := range h.entries {
		for _, change := range slices.Backward(entry.history) {
			if !change.at.After(when) {
				vms = append(vms, change.vm)
				break
			}
		}
	}
	return vms
}

// latest returns the index of the newest incarnation of an id, or -1.
func (h *vmHistory) latest(id string) int {
	i, _ := slices.BinarySearchFunc(h.entries, id, func(e vmEntry, id string) int {
		if e.id <= id {
			return -1
		}
		return 1
	})
	if i == 0 || h.entries[i-1].id != id {
		return -1
	}
	return i - 1
}

func (h *vmHistory) announce(vm VM) error {
	i := h.latest(vm.ID)
	if i < 0 {
		h.add(vm)
		return nil
	}
	current := h.entries[i].current()
	if OlderIncarnation(vm.Incarnation, current.Incarnation) {
		return eris.Wrapf(ErrInvalid, "vm %s: incarnation %s is gone, replaced by %s", vm.ID, vm.Incarnation, current.Incarnation)
	}
	if vm.Incarnation != current.Incarnation {
		h.setStateAt(i, VMGone)
		h.add(vm)
		return nil
	}
	if current.State == VMGone && vm.State != VMGone {
		return eris.Wrapf(ErrInvalid, "vm %s: incarnation %s is gone", vm.ID, vm.Incarnation)
	}
	h.update(i, keepLeaving(current.State, vm))
	return nil
}

// keepLeaving prevents a VM that the platform is removing from changing its state
// back to live.
func keepLeaving(current VMState, vm VM) VM {
	if current == VMLeaving && vm.State == VMLive {
		vm.State = VMLeaving
	}
	return vm
}

func (h *vmHistory) setState(id string, state VMState) error {
	i := h.latest(id)
	if i < 0 {
		return eris.Wrapf(ErrNotFound, "vm %s", id)
	}
	if h.entries[i].current().State == VMGone && state != VMGone {
		return eris.Wrapf(ErrInvalid, "vm %s is gone", id)
	}
	h.setStateAt(i, state)
	return nil
}

func (h *vmHistory) setStateAt(i int, state VMState) {
	vm := h.entries[i].current()
	vm.State = state
	h.update(i, vm)
}

func (h *vmHistory) update(i int, vm VM) {
	entry := &h.entries[i]
	if entry.current() == vm {
		return
	}
	entry.history = append(entry.history, vmChange{time.Now(), vm})
	if len(entry.history) > maxEntryHistory {
		entry.history = slices.Delete(entry.history, 0, 1)
	}
}

func (h *vmHistory) add(vm VM) {
	entry := vmEntry{vm.ID, vm.Incarnation, []vmChange{{time.Now(), vm}}}
	i, _ := slices.BinarySearchFunc(h.entries, entry, vmEntry.compare)
	h.entries = slices.Insert(h.entries, i, entry)
}
