package control

import (
	"context"
	"sync/atomic"
	"time"

	"buckthornridge/platform"
)

// Timing of the VM list.
const (
	listInterval = 5 * time.Second
	listTimeout  = 2 * time.Second
)

// Roles of the system's own processes.
const (
	roleRouter  = "router"
	roleControl = "control"
)

// members keeps the addresses of the system's other processes. While the VM
// list does not answer the last one stands.
type members struct {
	list  platform.VMList
	seeds []string
	known atomic.Pointer[[]string]
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
		if own && vm.State != platform.VMGone && vm.PeerAddress != "" {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	m.known.Store(&addresses)
}

// addresses returns the listed processes and, until there were any, the seeds.
func (m *members) addresses() []string {
	if known := m.known.Load(); known != nil && len(*known) > 0 {
		return *known
	}
	return m.seeds
}
