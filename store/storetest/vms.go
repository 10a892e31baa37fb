package storetest

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/store"
)

var vmContracts = []contract{
	{"the VM list shows what was announced", vmAnnounced},
	{"the VM list lags", vmListLags},
	{"the VM list is frozen", vmListFrozen},
	{"a new incarnation makes the old one gone", incarnationReplaced},
	{"a gone incarnation stays gone", goneStaysGone},
	{"the platform's leaving is not announced away", leavingStays},
	{"announcements come late or get lost", announcementFaults},
	{"malformed announcements", malformedAnnouncements},
	{"weights", weightsListed},
}

func liveVM(id, incarnation string) store.VM {
	return store.VM{
		ID: id, Incarnation: incarnation, Role: "router", DataCentre: "dc-1", Region: "north",
		Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", State: store.VMLive,
	}
}

func withState(vm store.VM, state store.VMState) store.VM {
	vm.State = state
	return vm
}

func mustList(t *testing.T, h Harness) []store.VM {
	t.Helper()
	vms, _, err := h.As("a").VMs.List(t.Context())
	is.New(t).NoErr(err)
	return vms
}

func mustAnnounce(t *testing.T, h Harness, vm store.VM) {
	t.Helper()
	is.New(t).NoErr(h.As(vm.ID).VMs.Announce(t.Context(), vm))
}

func vmAnnounced(t *testing.T, h Harness) {
	is := is.New(t)
	is.Equal(len(mustList(t, h)), 0)
	mustAnnounce(t, h, liveVM("b", "1"))
	mustAnnounce(t, h, liveVM("a", "1"))
	mustAnnounce(t, h, liveVM("a", "1"))
	is.Equal(mustList(t, h), []store.VM{liveVM("a", "1"), liveVM("b", "1")})
	moved := liveVM("a", "1")
	moved.Address = "127.0.0.1:3"
	mustAnnounce(t, h, moved)
	is.Equal(mustList(t, h), []store.VM{moved, liveVM("b", "1")})
}

func vmListLags(t *testing.T, h Harness) {
	is := is.New(t)
	mustAnnounce(t, h, liveVM("a", "1"))
	vms, before, err := h.As("a").VMs.List(t.Context())
	is.NoErr(err)
	is.Equal(len(vms), 1)
	h.Fake.SetFaults(store.Faults{VMListLag: forever})
	mustAnnounce(t, h, liveVM("b", "1"))
	is.NoErr(h.Fake.SetVMState("a", store.VMGone))
	vms, asOf, err := h.As("a").VMs.List(t.Context())
	is.NoErr(err)
	is.Equal(vms, []store.VM{liveVM("a", "1")})
	is.True(!asOf.Before(before)) // a growing lag does not turn the list back
	h.Fake.SetFaults(store.Faults{})
	is.Equal(mustList(t, h), []store.VM{withState(liveVM("a", "1"), store.VMGone), liveVM("b", "1")})
}

func vmListFrozen(t *testing.T, h Harness) {
	is := is.New(t)
	mustAnnounce(t, h, liveVM("a", "1"))
	h.Fake.SetFaults(store.Faults{VMListFrozen: true})
	mustAnnounce(t, h, liveVM("b", "1"))
	vms, asOf, err := h.As("a").VMs.List(t.Context())
	is.NoErr(err)
	is.Equal(len(vms), 1)
	_, again, err := h.As("a").VMs.List(t.Context())
	is.NoErr(err)
	is.True(again.Equal(asOf))
	h.Fake.SetFaults(store.Faults{})
	is.Equal(len(mustList(t, h)), 2)
}

// A router dies and starts again under its old id. Whoever reclaims what the
// dead incarnation held needs to see that one as gone, and the new one as live.
func incarnationReplaced(t *testing.T, h Harness) {
	is := is.New(t)
	mustAnnounce(t, h, liveVM("a", "9"))
	mustAnnounce(t, h, liveVM("a", "10"))
	old := withState(liveVM("a", "9"), store.VMGone)
	is.Equal(mustList(t, h), []store.VM{old, liveVM("a", "10")})
	// the last words of the old process arrive after its successor's first
	err := h.As("a").VMs.Announce(t.Context(), liveVM("a", "9"))
	expect(t, err, store.ErrInvalid)
	err = h.As("a").VMs.Announce(t.Context(), liveVM("a", "8"))
	expect(t, err, store.ErrInvalid)
	is.Equal(mustList(t, h), []store.VM{old, liveVM("a", "10")})
}

func goneStaysGone(t *testing.T, h Harness) {
	is := is.New(t)
	mustAnnounce(t, h, liveVM("a", "1"))
	is.NoErr(h.Fake.SetVMState("a", store.VMGone))
	err := h.As("a").VMs.Announce(t.Context(), liveVM("a", "1"))
	expect(t, err, store.ErrInvalid)
	expect(t, h.Fake.SetVMState("a", store.VMLive), store.ErrInvalid)
	expect(t, h.Fake.SetVMState("nobody", store.VMGone), store.ErrNotFound)
	expect(t, h.Fake.SetVMState("a", "asleep"), store.ErrInvalid)
	is.Equal(mustList(t, h), []store.VM{withState(liveVM("a", "1"), store.VMGone)})
}

func leavingStays(t *testing.T, h Harness) {
	is := is.New(t)
	mustAnnounce(t, h, liveVM("a", "1"))
	is.NoErr(h.Fake.SetVMState("a", store.VMLeaving))
	mustAnnounce(t, h, liveVM("a", "1"))
	is.Equal(mustList(t, h)[0].State, store.VMLeaving)
	mustAnnounce(t, h, withState(liveVM("a", "1"), store.VMGone))
	is.Equal(mustList(t, h)[0].State, store.VMGone)
}

func announcementFaults(t *testing.T, h Harness) {
	is := is.New(t)
	h.Fake.SetFaults(store.Faults{LoseNext: 1})
	err := h.As("a").VMs.Announce(t.Context(), liveVM("a", "1"))
	expect(t, err, store.ErrOutcomeUnknown)
	is.Equal(mustList(t, h), []store.VM{liveVM("a", "1")})
	h.Fake.SetFaults(store.Faults{DelayNext: 1})
	err = h.As("a").VMs.Announce(t.Context(), liveVM("a", "2"))
	expect(t, err, store.ErrOutcomeUnknown)
	mustAnnounce(t, h, liveVM("a", "3"))
	h.Fake.ReleaseDelayed()
	is.Equal(mustList(t, h), []store.VM{withState(liveVM("a", "1"), store.VMGone), liveVM("a", "3")})
}

func malformedAnnouncements(t *testing.T, h Harness) {
	is := is.New(t)
	long := liveVM("a", "1")
	long.Region = strings.Repeat("r", store.MaxNameBytes+1)
	cases := map[string]struct {
		vm   store.VM
		want error
	}{
		"no id":          {liveVM("", "1"), store.ErrInvalid},
		"no incarnation": {liveVM("a", ""), store.ErrInvalid},
		"no state":       {withState(liveVM("a", "1"), ""), store.ErrInvalid},
		"no such state":  {withState(liveVM("a", "1"), "asleep"), store.ErrInvalid},
		"no UTF-8":       {liveVM("\xff", "1"), store.ErrInvalid},
		"too long":       {long, store.ErrTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			expect(t, h.As("a").VMs.Announce(t.Context(), c.vm), c.want)
		})
	}
	is.Equal(len(mustList(t, h)), 0)
}

func weightsListed(t *testing.T, h Harness) {
	is := is.New(t)
	weights, bytesPerSecond, err := h.As("a").Weights.Weights(t.Context())
	is.NoErr(err)
	is.Equal(weights, Weights)
	is.Equal(bytesPerSecond, int64(WeightRate))
}
