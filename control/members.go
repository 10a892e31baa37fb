package control

import (
	"context"
	"sync/atomic"
	"time"

	"buckthornridge/store"
)

// Timing of the VM list. It serves only to choose peers, so it need not be
// fresh, and it is large: at 340 VMs a look each 5 s would cost the whole of what
// a control process may use.
const (
	listInterval  = 30 * time.Second
	firstInterval = 2 * time.Second // until there is a list
	listTimeout   = 2 * time.Second
)

// Roles of the system's own processes.
const (
	roleRouter  = "router"
	roleControl = "control"
)

// members keeps the addresses of the system's other processes. While the VM
// list does not answer the last one stands.
type members struct {
	list  store.VMList
	seeds []string
	known atomic.Pointer[[]string]
	self  string // id of this process
	share atomic.Pointer[share]
}

// mine reports whether shared work on a holder's journal is this process's;
// before there is a list all of it is.
func (m *members) mine(holder string) bool {
	s := m.share.Load()
	return s == nil || s.mine(holder)
}

func (m *members) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, _, err := m.list.List(ctx)
	if err != nil {
		return
	}
	var addresses []string
	for _, vm := range vms {
		own := vm.Role == roleRouter || vm.Role == roleControl
		if own && vm.State != store.VMGone && vm.PeerAddress != "" {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	m.known.Store(&addresses)
	m.share.Store(newShare(m.self, vms))
}

// interval returns the time to the next look.
func (m *members) interval() time.Duration {
	if m.known.Load() == nil {
		return firstInterval
	}
	return listInterval
}

// addresses returns the listed processes and, until there were any, the seeds.
func (m *members) addresses() []string {
	if known := m.known.Load(); known != nil && len(*known) > 0 {
		return *known
	}
	return m.seeds
}
