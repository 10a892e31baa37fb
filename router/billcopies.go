package router

import (
	"context"
	"errors"
	"sync"

	"github.com/rotisserie/eris"

	"buckthornridge/budget"
	"buckthornridge/budget/journal"
	"buckthornridge/membership"
	"buckthornridge/peer"
)

// Peer methods for copies of pending bills.
const (
	methodCopy    = "budget.copy"
	methodRelease = "budget.release"
)

// copyRequest is the message of methodCopy.
type copyRequest struct {
	Holder string        `msgpack:"h"`
	Number uint64        `msgpack:"n"`
	Bill   journal.Entry `msgpack:"b"`
}

// releaseRequest is the message of methodRelease.
type releaseRequest struct {
	Holder string `msgpack:"h"`
	UpTo   uint64 `msgpack:"n"`
}

// billCopier stores copies of this router's pending bills at other routers.
type billCopier struct {
	peers  peer.Caller
	view   *membership.ViewHolder
	self   string // VM id
	holder string

	mu          sync.Mutex
	copyHolders map[string]bool // peer addresses of the routers that store copies
}

var _ budget.BillCopier = (*billCopier)(nil)

// Copy implements budget.BillCopier: the first live router that accepts the copy
// stores it.
func (c *billCopier) Copy(ctx context.Context, number uint64, bill journal.Entry) error {
	message := copyRequest{Holder: c.holder, Number: number, Bill: bill}
	lastErr := peer.ErrUnreachable
	for _, m := range c.view.Load().Members {
		if m.Role != roleRouter || m.ID == c.self || m.State != membership.Live {
			continue
		}
		if lastErr = c.peers.Call(ctx, m.PeerAddress, methodCopy, message, nil); lastErr == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.copyHolders[m.PeerAddress] = true
			return nil
		}
	}
	return eris.Wrap(lastErr, "copy a pending bill")
}

// Release implements budget.BillCopier. A router that can't be reached keeps its
// copies until this router's journal is sealed, which is harmless.
func (c *billCopier) Release(ctx context.Context, upTo uint64) error {
	c.mu.Lock()
	var addresses []string
	for address := range c.copyHolders {
		addresses = append(addresses, address)
	}
	c.mu.Unlock()
	var errs error
	for _, address := range addresses {
		err := c.peers.Call(ctx, address, methodRelease, releaseRequest{Holder: c.holder, UpTo: upTo}, nil)
		if errors.Is(err, peer.ErrUnreachable) {
			err = nil // the router is gone, and so are its copies
		}
		errs = errors.Join(errs, err)
	}
	if errs == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		clear(c.copyHolders)
	}
	return errs
}

// registerBillCopies serves the peer methods that store bills for other routers.
func registerBillCopies(s *peer.Server, store *budget.BillCopyStore) {
	s.Handle(methodCopy, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var q copyRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		if q.Holder == "" || q.Bill.Kind != journal.KindBill {
			return nil, eris.Wrap(peer.ErrMalformed, "budget.copy: no holder or no bill")
		}
		return nil, store.Add(q.Holder, q.Number, q.Bill)
	})
	s.Handle(methodRelease, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var q releaseRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		store.Release(q.Holder, q.UpTo)
		return nil, nil
	})
}
