package router

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/budget"
	"buckthornridge/budget/journal"
	"buckthornridge/membership"
	"buckthornridge/peer"
)

// methodAdopt is the peer method by which a stopping router passes on the bills that
// it could not write to the table.
const methodAdopt = "journal.adopt"

// adoptRequest is the message of methodAdopt.
type adoptRequest struct {
	Holder  string          `msgpack:"h"`
	Entries []journal.Entry `msgpack:"e"`
}

// maxAdopters is the number of routers that adopt the pending bills: one of them may
// fail before the table is available again. Duplicates are harmless, since a request
// is billed once.
const maxAdopters = 2

// handOverBills passes the pending bills to other routers after the table could not
// store them. Otherwise a planned stop during an outage of the table would lose
// them. It returns cause if there is nothing to pass.
func (r *Router) handOverBills(ctx context.Context, cause error) error {
	pending := r.grantManager.Journal().Pending()
	if len(pending) == 0 {
		return cause
	}
	message := adoptRequest{Holder: r.grantManager.Journal().Holder(), Entries: pending}
	adopted := 0
	for _, m := range r.members.view.Load().Members {
		if m.Role != roleRouter || m.ID == r.settings.VM || m.State > membership.Suspected {
			continue
		}
		if err := r.peers.Call(ctx, m.PeerAddress, methodAdopt, message, nil); err != nil {
			klog.Warningf("router %s did not adopt the pending bills: %v", m.ID, err)
			continue
		}
		if adopted++; adopted == maxAdopters {
			break
		}
	}
	if adopted == 0 {
		return errors.Join(cause, eris.Errorf("%d pending bills are lost: no router adopted them", len(pending)))
	}
	klog.Warningf("handed over %d pending bills to %d routers: %v", len(pending), adopted, cause)
	return nil
}

// registerAdopt serves methodAdopt: this router's journal takes over the bills.
func registerAdopt(s *peer.Server, grantManager *budget.GrantManager) {
	s.Handle(methodAdopt, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var q adoptRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		if q.Holder == "" {
			return nil, eris.Wrap(peer.ErrMalformed, "journal.adopt: no holder")
		}
		grantManager.Journal().Adopt(q.Holder, q.Entries)
		return nil, nil
	})
}
