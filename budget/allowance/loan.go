package allowance

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxLenders is how many holders one request asks for loans, one after the other.
	// When tokens are scattered over many holders, each has only a part of one request's
	// ceiling.
	maxLenders = 4
	// lendTimeout is how long a lender waits for a report that lets it lend. It is less
	// than the borrower waits: a borrower that gets no answer treats the lender as
	// unresponsive and does not ask it for a while.
	lendTimeout = 30 * time.Millisecond
	// unresponsivePause is how long a VM that did not answer is not asked. Otherwise each
	// request would wait for it while this VM is disconnected.
	unresponsivePause = time.Second
	// loanTTL is when a loan counts as consumed in full because its borrower did not
	// settle it. A request that runs longer is counted too high, never too low.
	loanTTL = 60 * time.Second
	// settleLoanTimeout bounds the call that settles a loan.
	settleLoanTimeout = time.Second
)

// Loan is a request for tokens that another VM reserves for a request of this one.
type Loan struct {
	ID     uint64 `msgpack:"i"`
	Budget string `msgpack:"b"`
	Tokens int64  `msgpack:"t"` // at most
}

// LoanClient calls the managers of other VMs.
type LoanClient interface {
	// Borrow returns how many tokens the VM lends. After an error it may have lent some.
	Borrow(ctx context.Context, vm string, loan Loan) (int64, error)
	// Return reports what was consumed of a loan, in tokens.
	Return(ctx context.Context, vm string, id uint64, consumed int64) error
}

// outstandingLoan is a loan that this holder gave and that is not settled yet.
type outstandingLoan struct {
	reservation *Reservation
	until       time.Time
}

// Lend reserves tokens for a request on another VM, at most those of the loan, and
// returns how many. This holder treats them like a request of its own: they count in its
// reports until SettleLoan, so that no budget is overspent whatever happens to either VM.
func (m *Manager) Lend(ctx context.Context, loan Loan) int64 {
	m.mu.Lock()
	a := m.accounts[loan.Budget]
	if a == nil || !m.ready || m.lendingStopped {
		m.mu.Unlock()
		return 0
	}
	if sharing := m.sharing(a); sharing.Lenders != nil {
		// Where all VMs hold the budget, the borrower publishes this demand itself.
		a.addDemand(loan.Tokens, time.Now())
	}
	free := max(0, a.limit-a.pool.committed()) // it can take these from the pool
	limit, tokens := a.limit, min(loan.Tokens, a.grant()-a.committed()+free)
	m.mu.Unlock()
	if tokens <= 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	reservation, err := m.reserveLocally(ctx, loan.Budget, limit, tokens)
	if err != nil {
		// Lends a part: others may have the rest.
		reservation = m.takeAvailable(loan.Budget, tokens)
	}
	if reservation.ceiling == 0 {
		klog.V(1).Infof("step=lend budget=%s tokens=%d result=refused err=%q", loan.Budget, tokens, err.Error())
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loans[loan.ID] = outstandingLoan{reservation, time.Now().Add(loanTTL)}
	m.lent++
	return reservation.ceiling
}

// SettleLoan ends a loan that this holder gave. An unknown one has ended before.
func (m *Manager) SettleLoan(id uint64, consumed int64) {
	m.mu.Lock()
	loan, known := m.loans[id]
	delete(m.loans, id)
	m.mu.Unlock()
	if known {
		loan.reservation.Settle(consumed)
	}
}

// expireLoans counts loans in full that were not settled in time.
func (m *Manager) expireLoans() {
	now := time.Now()
	m.mu.Lock()
	var expired []uint64
	for id, loan := range m.loans {
		if now.After(loan.until) {
			expired = append(expired, id)
		}
	}
	m.mu.Unlock()
	for _, id := range expired {
		klog.Warningf("step=end_loan id=%d result=counted_in_full", id)
		m.SettleLoan(id, maxConsumed)
	}
}

// maxConsumed is more than any ceiling; a reservation settles at most its ceiling.
const maxConsumed = 1 << 62

// borrow reserves a ceiling from what this holder has at once and, for the rest, from the
// VMs with the most unspent tokens. It returns nil if they do not cover it.
func (m *Manager) borrow(ctx context.Context, budget string, ceiling int64) *Reservation {
	lenders := m.lenders(budget, ceiling)
	if len(lenders) == 0 {
		return nil
	}
	all := jointReservation{m.takeAvailable(budget, ceiling)}
	began, lends, limit := time.Now(), true, m.timeouts().loan
	for _, vm := range lenders {
		missing := ceiling - all.ceiling()
		if missing <= 0 || !lends && time.Since(began) > limit {
			break
		}
		part := m.requestLoan(ctx, vm, budget, missing, limit)
		lends = part.ceiling > 0
		all = append(all, part)
	}
	if missing := ceiling - all.ceiling(); missing > 0 {
		all = append(all, m.takeOwn(ctx, budget, missing))
	}
	if all.ceiling() < ceiling {
		all.settle(0)
		return nil
	}
	return &Reservation{ceiling: ceiling, release: all.settle}
}

// takeOwn reserves the rest of a ceiling from what a holder has and sees free in the
// pool, once a report and a grant allow it. Just after other holders have returned
// tokens, the pool has what they would have lent, and neither covers a large request
// alone.
func (m *Manager) takeOwn(ctx context.Context, budget string, missing int64) *Reservation {
	m.mu.Lock()
	a := m.accounts[budget]
	limit, reachable, holds := a.limit, a.obtainable(), m.sharing(a).Holds
	m.mu.Unlock()
	if !holds || reachable < missing {
		return emptyReservation()
	}
	r, err := m.reserveLocally(ctx, budget, limit, missing)
	if err != nil {
		klog.V(1).Infof("step=take_own budget=%s tokens=%d result=refused err=%q", budget, missing, err.Error())
		return emptyReservation()
	}
	return r
}

// jointReservation is several reservations that together cover one request.
type jointReservation []*Reservation

func (j jointReservation) ceiling() int64 {
	var sum int64
	for _, r := range j {
		sum += r.ceiling
	}
	return sum
}

// settle charges what was consumed to the reservations in their order.
func (j jointReservation) settle(consumed int64) {
	for _, r := range j {
		r.Settle(consumed)
		consumed = max(0, consumed-r.ceiling)
	}
}

// emptyReservation reserves no tokens.
func emptyReservation() *Reservation { return &Reservation{release: func(int64) {}} }

// takeAvailable reserves what this holder has available at once, at most a ceiling.
func (m *Manager) takeAvailable(budget string, ceiling int64) *Reservation {
	clock, _ := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[budget]
	tokens := min(ceiling, a.available(clock))
	if tokens <= 0 || m.closed {
		return emptyReservation()
	}
	return m.take(a, tokens)
}

// requestLoan asks one VM for a loan, with a timeout.
func (m *Manager) requestLoan(ctx context.Context, vm, budget string, tokens int64, limit time.Duration) *Reservation {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	loan := Loan{ID: rand.Uint64(), Budget: budget, Tokens: tokens}
	lends, err := m.options.LoanClient.Borrow(ctx, vm, loan)
	if err != nil {
		klog.V(1).Infof("step=borrow vm=%s budget=%s result=failed err=%q", vm, budget, err.Error())
		m.markUnresponsive(vm)
		go m.returnLoan(vm, loan.ID, 0) // it may have lent before the error
		return emptyReservation()
	}
	if lends <= 0 {
		return emptyReservation()
	}
	m.countBorrowed()
	return &Reservation{ceiling: lends, release: func(consumed int64) { go m.returnLoan(vm, loan.ID, consumed) }}
}

// returnLoan tells the lender what was consumed. A lender that is not told counts the
// whole loan.
func (m *Manager) returnLoan(vm string, id uint64, consumed int64) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLoanTimeout)
	defer cancel()
	if err := m.options.LoanClient.Return(ctx, vm, id, consumed); err != nil {
		logFailure("return a loan to "+vm, err)
	}
}

// lenders returns the VMs to ask for loans. A holder gets none if what they seem to have
// does not cover a ceiling together with what it has and the pool has free.
func (m *Manager) lenders(budget string, ceiling int64) []string {
	if m.options.LoanClient == nil {
		return nil
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[budget]
	candidates := a.candidates(m.self)
	if sharing := m.sharing(a); !sharing.Holds {
		return m.responsive(borrowOrder(sharing, candidates), now)
	}
	covered := a.obtainable()
	var vms []string
	for _, holder := range candidates {
		if now.After(m.unresponsiveUntil[holder.vm]) && len(vms) < maxLenders {
			vms = append(vms, holder.vm)
			covered += holder.unspent
		}
	}
	if covered < ceiling {
		return nil
	}
	return vms
}

// preferredLenders is how many of its own lenders a VM asks before those with the most
// unspent tokens.
const preferredLenders = 2

// borrowOrder returns the order in which a VM without a grant asks for loans: its
// preferred lenders, then the VMs with the most unspent tokens, which may hold the budget
// for their own callers.
func borrowOrder(s Sharing, candidates []candidate) []string {
	vms := slices.Clone(s.Lenders[:min(preferredLenders, len(s.Lenders))])
	rest := make([]string, 0, len(candidates)+len(s.Lenders))
	for _, holder := range candidates {
		rest = append(rest, holder.vm)
	}
	for _, vm := range append(rest, s.Lenders...) {
		if !slices.Contains(vms, vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// responsive leaves out the VMs that recently did not answer, and returns at most
// maxLenders. The caller holds m.mu.
func (m *Manager) responsive(vms []string, now time.Time) []string {
	var asked []string
	for _, vm := range vms {
		if now.After(m.unresponsiveUntil[vm]) && len(asked) < maxLenders {
			asked = append(asked, vm)
		}
	}
	return asked
}

// StopLending ends lending at a planned stop. The process then waits for OpenLoans to
// reach 0: a loan that is not settled counts in full.
func (m *Manager) StopLending() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lendingStopped = true
}

// OpenLoans returns how many loans that this holder gave are not settled.
func (m *Manager) OpenLoans() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.loans)
}

func (m *Manager) countBorrowed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.borrowed++
}

func (m *Manager) markUnresponsive(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsiveUntil[vm] = time.Now().Add(unresponsivePause)
}

// candidate is a VM that may lend, and what its holders have not spent as far as is
// known.
type candidate struct {
	vm      string
	unspent int64
}

// candidates returns the VMs of other holders, those with the most unspent tokens first.
func (a *account) candidates(self string) []candidate {
	var all []candidate
	for holder, s := range a.pool.Holders {
		unspent := s.Granted - max(s.Settled, a.others[holder].Settled)
		if holder != self && unspent > 0 {
			vm, _ := holderVM(holder)
			all = append(all, candidate{vm, unspent})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int { return cmp.Compare(y.unspent, x.unspent) })
	return all
}
