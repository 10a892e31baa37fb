package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/budget/allowance"
	"buckthornridge/peer"
)

const (
	// methodGiveBack asks a peer to return tokens of a budget to its pool.
	methodGiveBack = "budget.give_back"
	// methodBorrow asks a peer to reserve a ceiling, methodReturn ends that.
	methodBorrow = "budget.borrow"
	methodReturn = "budget.return"
	// giveBackLimit bounds the question for tokens: a request waits for it.
	giveBackLimit = 200 * time.Millisecond
)

// giveBackRequest asks for tokens of a budget.
type giveBackRequest struct {
	Budget string `msgpack:"b"`
	Tokens int64  `msgpack:"t"`
}

// returnRequest ends a loan.
type returnRequest struct {
	ID       uint64 `msgpack:"i"`
	Consumed int64  `msgpack:"c"` // tokens
}

// serveBudgets lets peers ask this process's book for tokens.
func (p *peers) serveBudgets(server *peer.Server, book *allowance.Book) {
	server.Handle(methodGiveBack, func(ctx context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var request giveBackRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		return book.GiveBack(ctx, request.Budget, request.Tokens), nil
	})
	server.Handle(methodBorrow, func(ctx context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var loan allowance.Loan
		if err := decode(&loan); err != nil {
			return nil, err
		}
		return book.Lend(ctx, loan), nil
	})
	server.Handle(methodReturn, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var request returnRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		book.Returned(request.ID, request.Consumed)
		return true, nil
	})
}

// recall asks the given VMs for tokens and reports whether one gave some.
func (p *peers) recall(ctx context.Context, budget string, tokens int64, vms []string) bool {
	ctx, cancel := context.WithTimeout(ctx, giveBackLimit)
	defer cancel()
	var (
		given atomic.Bool
		tasks sync.WaitGroup
	)
	for _, vm := range vms {
		address := p.addressOf(vm)
		if address == "" {
			continue
		}
		tasks.Go(func() {
			var gave bool
			err := p.client.Call(ctx, address, methodGiveBack, giveBackRequest{Budget: budget, Tokens: tokens}, &gave)
			if err != nil {
				klog.V(1).Infof("step=recall peer=%s result=failed err=%q", address, err.Error())
			}
			if gave {
				given.Store(true)
			}
		})
	}
	tasks.Wait()
	return given.Load()
}

// addressOf returns where a VM listens for its peers, or nothing.
func (p *peers) addressOf(vm string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[vm]
}

// Borrow implements allowance.Lenders.
func (p *peers) Borrow(ctx context.Context, vm string, loan allowance.Loan) (bool, error) {
	address := p.addressOf(vm)
	if address == "" {
		return false, nil
	}
	var lends bool
	err := p.client.Call(ctx, address, methodBorrow, loan, &lends)
	return lends, eris.Wrapf(err, "borrow from %s", vm)
}

// Return implements allowance.Lenders.
func (p *peers) Return(ctx context.Context, vm string, id uint64, consumed int64) error {
	var done bool
	err := p.client.Call(ctx, p.addressOf(vm), methodReturn, returnRequest{ID: id, Consumed: consumed}, &done)
	return eris.Wrapf(err, "return to %s", vm)
}
