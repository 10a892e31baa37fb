package router

import (
	"context"
	"strings"

	"github.com/rotisserie/eris"

	"buckthornridge/budget"
	"buckthornridge/membership"
	"buckthornridge/peer"
)

// methodRecall is the peer method that asks a router to return unused tokens of its
// grant of a budget.
const methodRecall = "budget.recall"

// recallRequest is the message of methodRecall.
type recallRequest struct {
	Budget budget.ID `msgpack:"b"`
	Want   int64     `msgpack:"w"`
}

// recaller calls the other holders of a budget over the peer protocol.
type recaller struct {
	peers peer.Caller
	view  *membership.ViewHolder
}

var _ budget.Recaller = (*recaller)(nil)

// Recall implements budget.Recaller.
func (r *recaller) Recall(ctx context.Context, holder string, id budget.ID, want int64) (budget.RecallReply, error) {
	address, err := holderAddress(r.view.Load(), holder)
	if err != nil {
		return budget.RecallReply{}, err
	}
	var reply budget.RecallReply
	err = r.peers.Call(ctx, address, methodRecall, recallRequest{Budget: id, Want: want}, &reply)
	return reply, err
}

// registerRecall serves methodRecall from this router's grants.
func registerRecall(s *peer.Server, grantManager *budget.GrantManager) {
	s.Handle(methodRecall, func(ctx context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var q recallRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		if strings.TrimSpace(q.Budget.Workspace) == "" || q.Want <= 0 {
			return nil, eris.Wrap(peer.ErrMalformed, "budget.recall: no budget or no amount")
		}
		return grantManager.Recall(ctx, q.Budget, q.Want)
	})
}
