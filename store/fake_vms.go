package store

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// fakeVMs is the VM list as one VM sees it.
type fakeVMs struct{ *caller }

func (v fakeVMs) List(ctx context.Context) ([]VM, time.Time, error) {
	var vms []VM
	var asOf time.Time
	r := request{Call: Call{Step: StepVMs}}
	r.effect = func() error {
		v.fake.advanceVMList()
		asOf = v.fake.vms.shown
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

// SetVMState sets the state of the present incarnation of a VM, as the platform
// does when it takes a VM away. A gone incarnation stays gone.
func (f *Fake) SetVMState(id string, state VMState) error {
	if err := CheckState(state); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	return f.vms.setState(id, state)
}

// VMs returns the entries as they are now, without lag.
func (f *Fake) VMs() []VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	return f.vms.at(time.Now())
}

// advanceVMList moves what the list shows up to now less the lag. It never goes
// back, also when the lag grows.
func (f *Fake) advanceVMList() {
	if f.faults.VMListFrozen {
		return
	}
	if shown := time.Now().Add(-f.faults.VMListLag); shown.After(f.vms.shown) {
		f.vms.shown = shown
	}
}

// maxEntryHistory bounds the kept states of one incarnation; a list whose lag
// spans more of them shows the oldest kept one.
const maxEntryHistory = 64

// vmHistory keeps what each incarnation looked like when, for lagging views.
type vmHistory struct {
	entries []vmEntry // sorted by id, then by incarnation
	shown   time.Time // what the list shows is true as of this time
}

type vmEntry struct {
	id, incarnation string
	history         []vmChange // in order of time
}

type vmChange struct {
	at time.Time
	vm VM
}

func (e vmEntry) now() VM { return e.history[len(e.history)-1].vm }

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
	at, _ := slices.BinarySearchFunc(h.entries, id, func(e vmEntry, id string) int {
		if e.id <= id {
			return -1
		}
		return 1
	})
	if at == 0 || h.entries[at-1].id != id {
		return -1
	}
	return at - 1
}

func (h *vmHistory) announce(vm VM) error {
	at := h.latest(vm.ID)
	if at < 0 {
		h.add(vm)
		return nil
	}
	present := h.entries[at].now()
	if OlderIncarnation(vm.Incarnation, present.Incarnation) {
		return eris.Wrapf(ErrInvalid, "vm %s: incarnation %s is gone, %s came after it", vm.ID, vm.Incarnation, present.Incarnation)
	}
	if vm.Incarnation != present.Incarnation {
		h.record(at, VMGone)
		h.add(vm)
		return nil
	}
	if present.State == VMGone && vm.State != VMGone {
		return eris.Wrapf(ErrInvalid, "vm %s: incarnation %s is gone", vm.ID, vm.Incarnation)
	}
	h.update(at, forward(present.State, vm))
	return nil
}

// forward keeps a VM that the platform takes away from announcing itself back
// to live.
func forward(present VMState, vm VM) VM {
	if present == VMLeaving && vm.State == VMLive {
		vm.State = VMLeaving
	}
	return vm
}

func (h *vmHistory) setState(id string, state VMState) error {
	at := h.latest(id)
	if at < 0 {
		return eris.Wrapf(ErrNotFound, "vm %s", id)
	}
	if h.entries[at].now().State == VMGone && state != VMGone {
		return eris.Wrapf(ErrInvalid, "vm %s is gone", id)
	}
	h.record(at, state)
	return nil
}

func (h *vmHistory) record(at int, state VMState) {
	vm := h.entries[at].now()
	vm.State = state
	h.update(at, vm)
}

func (h *vmHistory) update(at int, vm VM) {
	entry := &h.entries[at]
	if entry.now() == vm {
		return
	}
	entry.history = append(entry.history, vmChange{time.Now(), vm})
	if len(entry.history) > maxEntryHistory {
		entry.history = slices.Delete(entry.history, 0, 1)
	}
}

func (h *vmHistory) add(vm VM) {
	entry := vmEntry{vm.ID, vm.Incarnation, []vmChange{{time.Now(), vm}}}
	at, _ := slices.BinarySearchFunc(h.entries, entry, vmEntry.compare)
	h.entries = slices.Insert(h.entries, at, entry)
}
