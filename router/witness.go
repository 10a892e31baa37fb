package router

import (
	"context"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"buckthornridge/budget"
	"buckthornridge/membership"
	"buckthornridge/peer"
)

// witnessClient calls other routers as witnesses of this router's grants.
type witnessClient struct {
	peers peer.Caller
	view  *membership.ViewHolder
	self  string // VM id
}

var _ budget.Witnesses = (*witnessClient)(nil)

// Choose implements budget.Witnesses: it keeps the current witness while that is
// live, and otherwise picks a live router at random.
func (w *witnessClient) Choose(current string) string {
	var live []string
	for _, m := range w.view.Load().Members {
		if m.Role != roleRouter || m.ID == w.self || m.State != membership.Live {
			continue
		}
		holder := budget.HolderName(m.ID, m.Incarnation)
		if holder == current {
			return current
		}
		live = append(live, holder)
	}
	if len(live) == 0 {
		return ""
	}
	return live[rand.IntN(len(live))]
}

// Enter implements budget.Witnesses.
func (w *witnessClient) Enter(ctx context.Context, witness, holder string, number uint64) error {
	return w.send(ctx, budget.MethodEnter, witness, holder, number)
}

// Leave implements budget.Witnesses.
func (w *witnessClient) Leave(ctx context.Context, witness, holder string, number uint64) error {
	return w.send(ctx, budget.MethodLeave, witness, holder, number)
}

func (w *witnessClient) send(ctx context.Context, method, witness, holder string, number uint64) error {
	address, err := holderAddress(w.view.Load(), witness)
	if err != nil {
		return err
	}
	return w.peers.Call(ctx, address, method, budget.WitnessMessage{Witness: witness, Holder: holder, Number: number}, nil)
}

// holderAddress returns the peer address of the router incarnation that is the given
// holder.
func holderAddress(v *membership.View, holder string) (string, error) {
	for _, m := range v.Members {
		if m.Role == roleRouter && budget.HolderName(m.ID, m.Incarnation) == holder {
			return m.PeerAddress, nil
		}
	}
	return "", eris.Wrapf(peer.ErrUnreachable, "holder %s is not in the view", holder)
}
