package control

import (
	"context"
	"sync/atomic"
	"time"

	"buckthornridge/store"
)

// Intervals of reads of the VM list. The list need not be fresh, since it serves
// only to choose peers and to divide sharded duties, and it is large: with 340 VMs,
// a read every 5 s would use the whole resource limit of a control process.
const (
	listInterval        = 30 * time.Second
	initialListInterval = 2 * time.Second // until the first successful read
	listTimeout         = 2 * time.Second
)

// Roles of the fleet's own processes in the VM list.
const (
	roleRouter  = "router"
	roleControl = "control"
)

// members caches the peer addresses of the fleet's processes and the assignment of
// sharded duties. If the VM list is unavailable, the last one read stays in use.
type members struct {
	list          store.VMList
	seeds         []string // peer addresses from the settings
	peerAddresses atomic.Pointer[[]string]
	self          string // id of this process
	assignment    atomic.Pointer[assignment]
}

// owns reports whether the journal of a holder is assigned to this process. Before
// the first read of the VM list, all journals are.
func (m *members) owns(holder string) bool {
	a := m.assignment.Load()
	return a == nil || a.owns(holder)
}

// refresh reads the VM list and replaces the cached state if that succeeds.
func (m *members) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, _, err := m.list.List(ctx)
	if err != nil {
		return
	}
	var addresses []string
	for _, vm := range vms {
		ours := vm.Role == roleRouter || vm.Role == roleControl
		if ours && vm.State != store.VMGone && vm.PeerAddress != "" {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	m.peerAddresses.Store(&addresses)
	m.assignment.Store(newAssignment(m.self, vms))
}

// interval returns the time until the next read of the VM list.
func (m *members) interval() time.Duration {
	if m.peerAddresses.Load() == nil {
		return initialListInterval
	}
	return listInterval
}

// addresses returns the peer addresses of the listed processes, or the seeds if
// none are known.
func (m *members) addresses() []string {
	if known := m.peerAddresses.Load(); known != nil && len(*known) > 0 {
		return *known
	}
	return m.seeds
}
