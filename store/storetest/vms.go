package storetest

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/store"
)

var vmContracts = []contractTest{
	{"the VM list contains announced VMs", vmsAnnounced},
	{"the VM list lags", vmListLags},
	{"the VM list is frozen", vmListFrozen},
	{"a new incarnation makes the old one gone", incarnationReplaced},
	{"a gone incarnation stays gone", goneIsFinal},
	{"an announcement does not revoke the leaving state", leavingIsNotRevoked},
	{"announcements are delayed or lost", announcementFaults},
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

func vmsAnnounced(t *testing.T, h Harness) {
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
	h.Fake.SetFaults(store.Faults{VMListLag: longDelay})
	mustAnnounce(t, h, liveVM("b", "1"))
	is.NoErr(h.Fake.SetVMState("a", store.VMGone))
	vms, asOf, err := h.As("a").VMs.List(t.Context())
	is.NoErr(err)
	is.Equal(vms, []store.VM{liveVM("a", "1")})
	is.True(!asOf.Before(before)) // an increased lag does not move the list backwards
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
	_, asOfAgain, err := h.As("a").VMs.List(t.Context())
	is.NoErr(err)
	is.True(asOfAgain.Equal(asOf))
	h.Fake.SetFaults(store.Faults{})
	is.Equal(len(mustList(t, h)), 2)
}

// A router crashes and restarts with the same id. A process that reclaims the
// resources of the old incarnation must see it as gone and the new one as live.
func incarnationReplaced(t *testing.T, h Harness) {
	is := is.New(t)
	mustAnnounce(t, h, liveVM("a", "9"))
	mustAnnounce(t, h, liveVM("a", "10"))
	old := withState(liveVM("a", "9"), store.VMGone)
	is.Equal(mustList(t, h), []store.VM{old, liveVM("a", "10")})
	// a late announcement of the old process arrives after that of its successor
	err := h.As("a").VMs.Announce(t.Context(), liveVM("a", "9"))
	expectError(t, err, store.ErrInvalid)
	err = h.As("a").VMs.Announce(t.Context(), liveVM("a", "8"))
	expectError(t, err, store.ErrInvalid)
	is.Equal(mustList(t, h), []store.VM{old, liveVM("a", "10")})
}

func goneIsFinal(t *testing.T, h Harness) {
	is := is.New(t)
	mustAnnounce(t, h, liveVM("a", "1"))
	is.NoErr(h.Fake.SetVMState("a", store.VMGone))
	err := h.As("a").VMs.Announce(t.Context(), liveVM("a", "1"))
	expectError(t, err, store.ErrInvalid)
	expectError(t, h.Fake.SetVMState("a", store.VMLive), store.ErrInvalid)
	expectError(t, h.Fake.SetVMState("nobody", store.VMGone), store.ErrNotFound)
	expectError(t, h.Fake.SetVMState("a", "asleep"), store.ErrInvalid)
	is.Equal(mustList(t, h), []store.VM{withState(liveVM("a", "1"), store.VMGone)})
}

func leavingIsNotRevoked(t *testing.T, h Harness) {
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
	expectError(t, err, store.ErrOutcomeUnknown)
	is.Equal(mustList(t, h), []store.VM{liveVM("a", "1")})
	h.Fake.SetFaults(store.Faults{DelayNext: 1})
	err = h.As("a").VMs.Announce(t.Context(), liveVM("a", "2"))
	expectError(t, err, store.ErrOutcomeUnknown)
	mustAnnounce(t, h, liveVM("a", "3"))
	h.Fake.ReleaseDelayed()
	is.Equal(mustList(t, h), []store.VM{withState(liveVM("a", "1"), store.VMGone), liveVM("a", "3")})
}

func malformedAnnouncements(t *testing.T, h Harness) {
	is := is.New(t)
	longRegion := liveVM("a", "1")
	longRegion.Region = strings.Repeat("r", store.MaxNameBytes+1)
	cases := map[string]struct {
		vm   store.VM
		want error
	}{
		"no id":          {liveVM("", "1"), store.ErrInvalid},
		"no incarnation": {liveVM("a", ""), store.ErrInvalid},
		"no state":       {withState(liveVM("a", "1"), ""), store.ErrInvalid},
		"unknown state":  {withState(liveVM("a", "1"), "asleep"), store.ErrInvalid},
		"not UTF-8":      {liveVM("\xff", "1"), store.ErrInvalid},
		"too long":       {longRegion, store.ErrTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			expectError(t, h.As("a").VMs.Announce(t.Context(), c.vm), c.want)
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
