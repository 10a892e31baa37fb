package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/membership"
	"buckthornridge/platform"
)

// suspectFor is how long direct evidence against a member lasts unless it is
// renewed; the VM list lags, so it cannot clear the member sooner.
const suspectFor = 5 * time.Second

// members keeps the router's view of the fleet from the VM list and from calls
// that failed.
type members struct {
	list     platform.VMList
	interval time.Duration
	view     *membership.Holder

	mu       sync.Mutex
	listed   map[string]membership.Member
	suspects map[string]time.Time // until when

	self      string // set once this VM is leaving
	selfState membership.State
}

func newMembers(list platform.VMList, interval time.Duration) *members {
	return &members{
		list:     list,
		interval: interval,
		view:     new(membership.Holder),
		listed:   map[string]membership.Member{},
		suspects: map[string]time.Time{},
	}
}

// run looks at the VM list until the context ends.
func (m *members) run(ctx context.Context) {
	ticker := time.NewTicker(m.interval)
	defer ticker.Stop()
	for {
		m.refresh(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// refresh takes the VM list; while it does not answer the last one stands.
func (m *members) refresh(ctx context.Context) {
	vms, _, err := m.list.List(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.listed = membersOf(vms)
	}
	m.publish()
}

// membersOf keeps the present incarnation of each VM.
func membersOf(vms []platform.VM) map[string]membership.Member {
	listed := make(map[string]membership.Member, len(vms))
	for _, vm := range vms {
		if vm.State == platform.VMGone {
			continue
		}
		listed[vm.ID] = membership.Member{
			ID:          vm.ID,
			Incarnation: vm.Incarnation,
			Role:        vm.Role,
			DataCentre:  vm.DataCentre,
			Region:      vm.Region,
			Address:     vm.Address,
			PeerAddress: vm.PeerAddress,
			State:       stateOf(vm.State),
		}
	}
	return listed
}

func stateOf(s platform.VMState) membership.State {
	if s == platform.VMLeaving {
		return membership.Leaving
	}
	return membership.Live
}

// suspect takes direct evidence that a member does not answer.
func (m *members) suspect(id string, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, already := m.suspects[id]; !already {
		klog.Warningf("member %s is suspected: %v", id, cause)
	}
	m.suspects[id] = time.Now().Add(suspectFor)
	m.publish()
}

// publish stores the view of the listed members with the evidence against them.
// The caller holds mu.
func (m *members) publish() {
	view := &membership.View{Members: maps.Clone(m.listed)}
	now := time.Now()
	for id, until := range m.suspects {
		if now.After(until) {
			delete(m.suspects, id)
			klog.Infof("member %s is no longer suspected", id)
			continue
		}
		if member, listed := view.Members[id]; listed && member.State == membership.Live {
			member.State = membership.Suspected
			view.Members[id] = member
		}
	}
	if own, listed := view.Members[m.self]; listed {
		own.State = m.selfState
		view.Members[m.self] = own
	}
	m.view.Store(view)
}

// routers returns how many routers take work.
func (m *members) routers() int {
	n := 0
	for _, member := range m.view.Load().Members {
		if member.Role == roleRouter && member.State <= membership.Suspected {
			n++
		}
	}
	return n
}

// setSelf overrides the list for this VM, which knows its own state first.
func (m *members) setSelf(id string, state membership.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self, m.selfState = id, state
	m.publish()
}
