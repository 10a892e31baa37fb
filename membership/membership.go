// Package membership keeps each process's view of live VMs and upstreams, fed
// by the platform's lagging VM list, heartbeats and direct evidence from calls.
//
// The view only makes things fast. No promise rests on it: two VMs may hold
// different views at any time.
package membership

import "sync/atomic"

// State is the one way in which all parts say how a member is.
type State uint8

// The states of a member, from best to worst.
const (
	// Live members take work.
	Live State = iota
	// Suspected members failed a call or missed heartbeats; they are tried last.
	Suspected
	// Leaving members finish what they have and get no new work.
	Leaving
	// Dead members did not answer for long; nothing durable follows from it.
	Dead
	// Gone members were confirmed gone by the platform: that incarnation never
	// acts again. Only Gone allows reclaiming what it held.
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

// Holder publishes views by read-copy-update: readers load a pointer, the one
// writer stores a new view.
type Holder struct{ current atomic.Pointer[View] }

// Load returns the current view; it is never nil.
func (h *Holder) Load() *View {
	if v := h.current.Load(); v != nil {
		return v
	}
	return &View{}
}

// Store publishes a new view. The caller must not change it afterwards.
func (h *Holder) Store(v *View) { h.current.Store(v) }
