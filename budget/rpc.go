package budget

import (
	"context"
	"strings"

	"github.com/rotisserie/eris"

	"buckthornridge/peer"
	"buckthornridge/store"
)

// Peer methods that a router serves as a witness.
const (
	MethodEnter = "budget.enter"
	MethodLeave = "budget.leave"
	MethodAsk   = "budget.ask"
)

// WitnessMessage is the request of all three methods.
type WitnessMessage struct {
	// Witness is the incarnation that is addressed. Another incarnation does not
	// have its state and must not answer for it.
	Witness string `msgpack:"w"`
	Holder  string `msgpack:"h"`
	Number  uint64 `msgpack:"n"`
}

// AskReply is the answer of MethodAsk.
type AskReply struct {
	Entered bool `msgpack:"e"`
}

// ServeWitness registers the witness methods at a peer server. self is the holder
// name of this process.
func ServeWitness(s *peer.Server, self string, state *WitnessState) {
	serve := func(method string, answer func(WitnessMessage) (any, error)) {
		s.Handle(method, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
			var m WitnessMessage
			if err := decode(&m); err != nil {
				return nil, err
			}
			if m.Witness != self || m.Holder == "" {
				return nil, eris.Wrapf(ErrNoWitness, "%s was asked as %s", self, m.Witness)
			}
			return answer(m)
		})
	}
	serve(MethodEnter, func(m WitnessMessage) (any, error) { return nil, state.Enter(m.Holder, m.Number) })
	serve(MethodLeave, func(m WitnessMessage) (any, error) {
		state.Leave(m.Holder, m.Number)
		return nil, nil
	})
	serve(MethodAsk, func(m WitnessMessage) (any, error) { return AskReply{Entered: state.Fence(m.Holder)}, nil })
}

// PeerWitnessFencer calls witnesses over the peer protocol, at the addresses in
// the platform's VM list.
type PeerWitnessFencer struct {
	Peers peer.Caller
	VMs   store.VMList
}

var _ WitnessFencer = PeerWitnessFencer{}

// Fence implements WitnessFencer.
func (q PeerWitnessFencer) Fence(ctx context.Context, witness, holder string) (bool, error) {
	vms, _, err := q.VMs.List(ctx)
	if err != nil {
		return false, eris.Wrap(err, "list VMs")
	}
	id, incarnation, _ := strings.Cut(witness, holderSeparator)
	for _, vm := range vms {
		if vm.ID != id || vm.Incarnation != incarnation {
			continue
		}
		var reply AskReply
		err := q.Peers.Call(ctx, vm.PeerAddress, MethodAsk, WitnessMessage{Witness: witness, Holder: holder}, &reply)
		return reply.Entered, err
	}
	return false, eris.Wrapf(ErrNoWitness, "%s is not listed", witness)
}
