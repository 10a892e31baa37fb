package router

import (
	"context"

	"github.com/rotisserie/eris"

	"buckthornridge/budget"
	"buckthornridge/journal"
	"buckthornridge/membership"
	"buckthornridge/peer"
)

// copies gives pending bills to another router.
type copies struct {
	peers  peer.Caller
	view   *membership.Holder
	self   string // VM id
	holder string
}

var _ budget.Copies = (*copies)(nil)

// Copy implements budget.Copies: the first live router that answers keeps it.
func (c *copies) Copy(ctx context.Context, bill journal.Entry) error {
	message := adoptRequest{Holder: c.holder, Entries: []journal.Entry{bill}}
	var last error = peer.ErrUnreachable
	for _, m := range c.view.Load().Members {
		if m.Role != roleRouter || m.ID == c.self || m.State != membership.Live {
			continue
		}
		if last = c.peers.Call(ctx, m.PeerAddress, methodAdopt, message, nil); last == nil {
			return nil
		}
	}
	return eris.Wrap(last, "copy a pending bill")
}
