package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/config"
	"buckthornridge/membership"
	"buckthornridge/peer"
	"buckthornridge/routing"
	"buckthornridge/store"
)

const (
	// listTimeout bounds a read of the VM list.
	listTimeout = 2 * time.Second
	// applyInterval is the time after which all upstream states are passed to
	// routing again, since a new configuration may add upstreams whose state is
	// already known here.
	applyInterval = time.Second
)

// members maintains the router's view of the fleet from the VM list, heartbeats and
// failed calls, and passes the states of upstreams to routing.
type members struct {
	list     store.VMList
	interval time.Duration
	tracker  *membership.Tracker
	gossip   *membership.Gossip
	table    *routing.Table
	view     *membership.ViewHolder
}

func newMembers(s Settings, self membership.Member, list store.VMList, peers peer.Caller, table *routing.Table) *members {
	tracker := membership.NewTracker(membership.Options{
		Self:           self,
		HeartbeatRoles: map[string]bool{roleRouter: true},
	})
	gossip := membership.NewGossip(tracker, peers)
	gossip.Seeds = s.Peers
	return &members{
		list:     list,
		interval: s.MemberInterval.D(),
		tracker:  tracker,
		gossip:   gossip,
		table:    table,
		view:     tracker.View(),
	}
}

// run maintains the view until the context is cancelled.
func (m *members) run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.gossip.Run(ctx) })
	tasks.Go(func() { m.applyStates(ctx) })
	for ctx.Err() == nil {
		m.refresh(ctx)
		select {
		case <-time.After(membership.ListInterval(m.interval, m.routerCount())):
		case <-ctx.Done():
		}
	}
	tasks.Wait()
}

// refresh reads the VM list. If that fails, the view stays as it is.
func (m *members) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if vms, _, err := m.list.List(ctx); err == nil {
		m.tracker.ApplyVMList(vms)
	}
}

// applyStates passes the states of upstreams to routing, at each change and
// periodically.
func (m *members) applyStates(ctx context.Context) {
	ticker := time.NewTicker(applyInterval)
	defer ticker.Stop()
	for {
		for id, member := range m.view.Load().Members {
			if member.Role != roleRouter {
				m.table.SetState(id, member.State)
			}
		}
		select {
		case <-m.tracker.Changed():
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// suspect reports a failed call to a member.
func (m *members) suspect(id string, cause error) { m.tracker.Suspect(id, cause) }

// reportLeaving records that an upstream announced itself as leaving.
func (m *members) reportLeaving(id string, kind config.UpstreamKind) {
	m.tracker.ReportLeaving(id, string(kind))
}

// setConfiguredLeaving applies the upstreams that the configuration marks as
// leaving, which get no new work.
func (m *members) setConfiguredLeaving(s *config.Snapshot) {
	leaving := map[string]bool{}
	for id, u := range s.Upstreams {
		if u.Leaving {
			leaving[id] = true
		}
	}
	m.tracker.SetConfiguredLeaving(leaving)
}

// routerCount returns the number of routers that accept work.
func (m *members) routerCount() int {
	n := 0
	for _, member := range m.view.Load().Members {
		if member.Role == roleRouter && member.State <= membership.Suspected {
			n++
		}
	}
	return n
}

// routerNames returns the sorted ids of the routers that accept work.
func (m *members) routerNames() []string {
	var names []string
	for id, member := range m.view.Load().Members {
		if member.Role == roleRouter && member.State <= membership.Suspected {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names
}

// gossipLeaving announces to the other routers that this one is leaving.
func (m *members) gossipLeaving() {
	klog.V(1).Info("announcing to the other routers that this one is leaving")
	m.tracker.Leave()
}
