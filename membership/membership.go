// Package membership keeps each process's view of live VMs and upstreams. Its
// sources are the platform's VM list, which lags, heartbeats and the outcome of
// calls.
//
// The view is an optimisation. No guarantee depends on it: two VMs may hold
// different views at any time.
//
// A process that joins or leaves is announced by an update, which describes the
// member in full. Processes send each other heartbeats, updates and reports of
// failed calls by gossip, and now and then compare their full state in an
// exchange. A VM that starts again under the same ID has a newer incarnation,
// which is a new member; evidence about older incarnations is ignored.
package membership

import "sync/atomic"

// State is the state of a member, as all packages use it.
type State uint8

// The states of a member, from best to worst.
const (
	// Live members take work.
	Live State = iota
	// Suspected members failed a call or missed heartbeats. Requests go to them
	// only if no other member is left to try.
	Suspected
	// Leaving members finish their current work and get no new work.
	Leaving
	// Dead members were silent for too long. No durable decision follows from it.
	Dead
	// Gone members were removed according to the platform: that incarnation never
	// acts again. Only this state allows reclaiming what the member held.
	Gone
)

// String returns the state's name in lower case.
func (s State) String() string {
	return [...]string{"live", "suspected", "leaving", "dead", "gone"}[s]
}

// Member is one process of the fleet or one upstream.
type Member struct {
	ID          string `msgpack:"id" json:"id"`
	Incarnation string `msgpack:"in" json:"incarnation"`
	Role        string `msgpack:"ro" json:"role"`
	DataCentre  string `msgpack:"dc" json:"data_centre"`
	Region      string `msgpack:"re" json:"region"`
	Address     string `msgpack:"ad" json:"address"`
	PeerAddress string `msgpack:"pa" json:"peer_address"`
	State       State  `msgpack:"st" json:"state"`
}

// View is an immutable set of members.
type View struct {
	Members map[string]Member // by ID
}

// ViewHolder publishes views by read-copy-update: readers load a pointer, the single
// writer stores a new view.
type ViewHolder struct{ current atomic.Pointer[View] }

// Load returns the current view; it is never nil.
func (h *ViewHolder) Load() *View {
	if v := h.current.Load(); v != nil {
		return v
	}
	return &View{}
}

// Store publishes a new view. The caller must not change it afterwards.
func (h *ViewHolder) Store(v *View) { h.current.Store(v) }
