package edge

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget/allowance"
	"buckthornridge/peer"
	"buckthornridge/traffic"
)

const (
	// methodBorrow asks a peer to reserve tokens for a request of this process.
	methodBorrow = "budget.borrow"
	// methodReturn settles a loan.
	methodReturn = "budget.return"
)

// returnRequest settles a loan.
type returnRequest struct {
	ID       uint64 `msgpack:"i"`
	Consumed int64  `msgpack:"c"` // tokens
}

// serveBudgets serves peers that borrow from this process's grants.
func (p *peers) serveBudgets(server *peer.Server, manager *allowance.Manager) {
	server.Handle(methodBorrow, func(ctx context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var loan allowance.Loan
		if err := decode(&loan); err != nil {
			return nil, err
		}
		return manager.Lend(ctx, loan), nil
	})
	server.Handle(methodReturn, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var request returnRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		manager.SettleLoan(request.ID, request.Consumed)
		return true, nil
	})
}

// addressOf returns a VM's peer address, or "".
func (p *peers) addressOf(vm string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[vm]
}

// Borrow implements allowance.LoanClient.
func (p *peers) Borrow(ctx context.Context, vm string, loan allowance.Loan) (int64, error) {
	address := p.addressOf(vm)
	if address == "" {
		return 0, nil
	}
	var lends int64
	err := p.timed(func() error { return p.client.Call(ctx, address, methodBorrow, loan, &lends) })
	return lends, eris.Wrapf(err, "borrow from %s", vm)
}

// Return implements allowance.LoanClient.
func (p *peers) Return(ctx context.Context, vm string, id uint64, consumed int64) error {
	var done bool
	err := p.timed(func() error {
		return p.client.Call(ctx, p.addressOf(vm), methodReturn, returnRequest{ID: id, Consumed: consumed}, &done)
	})
	return eris.Wrapf(err, "return to %s", vm)
}

// timed makes a call to a peer and records how long it took.
func (p *peers) timed(call func() error) error {
	began := time.Now()
	err := call()
	took := time.Since(began)
	p.traffic.RecordCall(traffic.Peers, 0, took, err)
	p.traffic.RecordAnswer(took)
	return err
}
