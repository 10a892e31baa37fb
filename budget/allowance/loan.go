package allowance

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// lendersAsked is how many holders one request asks for a loan, one after the
	// other, those with the most unspent tokens first.
	lendersAsked = 4
	// borrowLimit bounds the question to one of them: two ways between data
	// centres, and at the lender a report.
	borrowLimit = 40 * time.Millisecond
	// silentPause is how long a VM that did not answer is not asked. While this one
	// is cut off, each request would wait for it else.
	silentPause = time.Second
	// loanLife is when a loan counts as consumed in full because its borrower has not
	// said anything. No request runs that long.
	loanLife = 60 * time.Second
	// returnLimit bounds the message that ends a loan.
	returnLimit = time.Second
)

// Loan names one ceiling that another VM reserves for a request of this one.
type Loan struct {
	ID      uint64 `msgpack:"i"`
	Budget  string `msgpack:"b"`
	Ceiling int64  `msgpack:"c"` // tokens
}

// Lenders reaches the books of other VMs.
type Lenders interface {
	// Borrow reports whether the VM lends. An error means that it may have done so.
	Borrow(ctx context.Context, vm string, loan Loan) (bool, error)
	// Return says what was consumed of a loan, in tokens.
	Return(ctx context.Context, vm string, id uint64, consumed int64) error
}

// lent is a loan that this holder gave.
type lent struct {
	reservation *Reservation
	until       time.Time
}

// Lend reserves a ceiling for a request on another VM. To this holder it is a
// request of its own: it is counted in its reports until Returned ends it, so that
// whatever happens to either VM no budget is overspent.
func (b *Book) Lend(ctx context.Context, loan Loan) bool {
	b.mu.Lock()
	a := b.accounts[loan.Budget]
	if a == nil || !b.ready {
		b.mu.Unlock()
		return false
	}
	limit := a.limit
	b.mu.Unlock()
	reservation, err := b.reserveHere(ctx, loan.Budget, limit, loan.Ceiling)
	if err != nil {
		klog.V(1).Infof("step=lend budget=%s tokens=%d result=refused err=%q", loan.Budget, loan.Ceiling, err.Error())
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans[loan.ID] = lent{reservation, time.Now().Add(loanLife)}
	b.given++
	return true
}

// Returned ends a loan that this holder gave. Unknown ones were ended before.
func (b *Book) Returned(id uint64, consumed int64) {
	b.mu.Lock()
	loan, known := b.loans[id]
	delete(b.loans, id)
	b.mu.Unlock()
	if known {
		loan.reservation.Settle(consumed)
	}
}

// endLoans counts loans as consumed whose borrowers are silent.
func (b *Book) endLoans() {
	now := time.Now()
	b.mu.Lock()
	var over []uint64
	for id, loan := range b.loans {
		if now.After(loan.until) {
			over = append(over, id)
		}
	}
	b.mu.Unlock()
	for _, id := range over {
		klog.Warningf("step=end_loan id=%d result=counted_in_full", id)
		b.Returned(id, consumedAll)
	}
}

// consumedAll is more than any ceiling; a reservation settles at most that.
const consumedAll = 1 << 62

// borrow asks the holders with the most unspent tokens for a loan, or returns nil.
func (b *Book) borrow(ctx context.Context, budget string, ceiling int64) *Reservation {
	if b.options.Lenders == nil {
		return nil
	}
	for _, vm := range b.lenders(budget, ceiling) {
		loan := Loan{ID: rand.Uint64(), Budget: budget, Ceiling: ceiling}
		lends, err := b.askFor(ctx, vm, loan)
		if lends {
			b.noteBorrowed()
			return &Reservation{ceiling: ceiling, giveBack: func(consumed int64) { go b.returnLoan(vm, loan.ID, consumed) }}
		}
		if err != nil {
			klog.V(1).Infof("step=borrow vm=%s budget=%s result=failed err=%q", vm, budget, err.Error())
			b.noteSilent(vm)
			go b.returnLoan(vm, loan.ID, 0) // it may have lent all the same
		}
	}
	return nil
}

func (b *Book) askFor(ctx context.Context, vm string, loan Loan) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowLimit)
	defer cancel()
	return b.options.Lenders.Borrow(ctx, vm, loan)
}

// returnLoan tells the lender what was consumed. If it does not hear of it, it counts
// the whole ceiling.
func (b *Book) returnLoan(vm string, id uint64, consumed int64) {
	ctx, cancel := context.WithTimeout(context.Background(), returnLimit)
	defer cancel()
	if err := b.options.Lenders.Return(ctx, vm, id, consumed); err != nil {
		logFailure("return a loan to "+vm, err)
	}
}

// lenders returns the VMs to ask for a loan.
func (b *Book) lenders(budget string, ceiling int64) []string {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var vms []string
	for _, vm := range b.accounts[budget].richest(b.self, ceiling) {
		if now.After(b.silent[vm]) && len(vms) < lendersAsked {
			vms = append(vms, vm)
		}
	}
	return vms
}

func (b *Book) noteBorrowed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.borrowed++
}

func (b *Book) noteSilent(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent[vm] = time.Now().Add(silentPause)
}

// richest returns the VMs of the holders with at least so many unspent tokens, those
// with the most first.
func (a *account) richest(self string, least int64) []string {
	unspent := map[string]int64{}
	for holder, s := range a.pool.Holders {
		left := s.Granted - max(s.Settled, a.others[holder].Settled)
		if vm, _ := holderVM(holder); holder != self && left >= least {
			unspent[vm] = left
		}
	}
	return slices.SortedFunc(maps.Keys(unspent), func(x, y string) int { return cmp.Compare(unspent[y], unspent[x]) })
}
