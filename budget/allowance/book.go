package allowance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// Options are what a book works with.
type Options struct {
	Table store.Table
	Feed  store.Feed
	Clock store.Clock
	// VM names the machine: a process that starts with this name ends the one
	// before it there.
	VM string
	// Incarnation tells this process from those before it.
	Incarnation string
	// Lenders reaches the other VMs' books for single requests. Nil asks no one.
	Lenders Lenders
	// VMs returns how many VMs share the budgets, at least 1.
	VMs func() int
}

// Book holds what one process has of all budgets.
type Book struct {
	options Options
	self    string
	// kickReport and kickGrant wake the two kinds of upkeep.
	kickReport, kickGrant chan struct{}

	mu       sync.Mutex
	accounts map[string]*account
	ready    bool // what stood before this process is settled or being settled
	started  time.Time
	closed   bool
	// ended holds the last reports of holders that closed, by holder.
	ended map[string]report
	// reached is the last time at which the table answered.
	reached time.Time
	// usageVersion is the version of this holder's report, -1 while unknown.
	usageVersion int64
	// loans are those given to other VMs, by id; silent is until when a VM is not
	// asked for one.
	loans  map[uint64]lent
	silent map[string]time.Time
	// borrowed and given count loans.
	borrowed, given int64
	reportedAt      time.Time
}

// New returns a book that grants nothing before Run has read the table.
func New(o Options) *Book {
	return &Book{
		options:    o,
		self:       holderName(o.VM, o.Incarnation),
		kickReport: make(chan struct{}, 1),
		kickGrant:  make(chan struct{}, 1),
		accounts:   map[string]*account{},
		ended:      map[string]report{},
		loans:      map[uint64]lent{},
		silent:     map[string]time.Time{},
		started:    time.Now(),
	}
}

// Reservation is a ceiling taken out of a budget for one request.
type Reservation struct {
	ceiling int64
	once    sync.Once
	// giveBack counts what was consumed and frees the rest.
	giveBack func(consumed int64)
}

// Settle counts what was consumed, at most the ceiling, and frees the rest.
func (r *Reservation) Settle(consumed int64) {
	r.once.Do(func() { r.giveBack(min(max(consumed, 0), r.ceiling)) })
}

// settle ends a reservation of this holder's own tokens.
func (b *Book) settle(a *account, ceiling, consumed int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.open -= ceiling
	a.settled += consumed
	a.wake()
}

// Reserve takes a ceiling out of a budget whose prepaid sum is limit, both in
// tokens. Where this VM lacks them it borrows from another. The error is a
// *RefusedError.
func (b *Book) Reserve(ctx context.Context, budget string, limit, ceiling int64) (*Reservation, error) {
	b.asked(budget, limit, ceiling)
	if b.options.Lenders != nil && b.lacksGrant(budget, ceiling) {
		if r := b.borrow(ctx, budget, ceiling); r != nil {
			return r, nil
		}
		b.wakeUp()
		return nil, b.lacking(budget, "neither this VM nor another has tokens; "+b.describe(budget))
	}
	r, err := b.reserveHere(ctx, budget, limit, ceiling)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Here {
		if r := b.borrow(ctx, budget, ceiling); r != nil {
			return r, nil
		}
	}
	return r, err
}

// lacksGrant reports whether a request lacks a grant here and the pool has none for
// it: others may have. It says no where the whole budget is short, which is a refusal
// of its own.
func (b *Book) lacksGrant(budget string, ceiling int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[budget]
	if !b.ready || b.closed || a.grant()-a.committed() >= ceiling {
		return false
	}
	free := a.limit - a.pool.committed()
	return free < ceiling && !a.certainlyShort(ceiling, b.self) && !a.likelyShort(ceiling, b.self)
}

// reserveHere takes a ceiling from what this holder has or can get.
func (b *Book) reserveHere(ctx context.Context, budget string, limit, ceiling int64) (*Reservation, error) {
	var timer <-chan time.Time
	for {
		r, changed, err := b.try(budget, limit, ceiling)
		if r != nil || err != nil {
			return r, err
		}
		if timer == nil {
			timer = time.After(b.patience())
			b.wait(budget, ceiling)
			defer b.wait(budget, -ceiling)
		}
		b.wakeUp()
		select {
		case <-changed:
		case <-timer:
			return nil, b.lacking(budget, "no tokens came in time; "+b.describe(budget))
		case <-ctx.Done():
			return nil, b.doubt(budget, "the request ended while it waited for tokens")
		}
	}
}

// typicalWeight is the weight of one request in the mean ceiling.
const typicalWeight = 0.1

// wait counts the ceiling of a request that begins or, negative, ends to wait.
func (b *Book) wait(budget string, ceiling int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[budget].waiting += ceiling
}

// asked counts what callers ask for, once for each request.
func (b *Book) asked(budget string, limit, ceiling int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(budget, limit)
	a.trend.add(ceiling, time.Now())
	if a.typical == 0 {
		a.typical = float64(ceiling)
	}
	a.typical += typicalWeight * (float64(ceiling) - a.typical)
}

// patience returns how long a request waits for tokens that are under way.
func (b *Book) patience() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ready {
		return shortWait
	}
	return max(shortWait, startWait-time.Since(b.started))
}

func (b *Book) doubt(budget, why string) error {
	return &RefusedError{Budget: budget, RetryAfter: retryElsewhere, Why: why}
}

// lacking is doubt because this VM has no tokens; others may have.
func (b *Book) lacking(budget, why string) error {
	return &RefusedError{Budget: budget, Here: true, RetryAfter: retryElsewhere, Why: why}
}

// describe says what a budget lacks here, for logs.
func (b *Book) describe(budget string) string {
	clock, _ := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accounts[budget].describe(clock)
}

func (a *account) describe(clock time.Duration) string {
	return fmt.Sprintf("limit=%d granted=%d bound=%d settled=%d open=%d free=%d bound_age_ms=%d",
		a.limit, a.grant(), a.bound(clock), a.settled, a.open, a.limit-a.pool.committed(),
		(clock - a.bounds[0].asOf).Milliseconds())
}

// try reserves at once, refuses, or returns a channel to wait on.
func (b *Book) try(budget string, limit, ceiling int64) (*Reservation, <-chan struct{}, error) {
	now := time.Now()
	clock, _ := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, nil, b.doubt(budget, "this router is stopping")
	}
	a := b.account(budget, limit)
	if a.room(clock) >= ceiling {
		a.open += ceiling
		a.use.add(ceiling, now)
		return &Reservation{ceiling: ceiling, giveBack: func(consumed int64) { b.settle(a, ceiling, consumed) }}, nil, nil
	}
	if a.certainlyShort(ceiling, b.self) {
		return nil, nil, &RefusedError{Budget: budget, Certain: true, Why: "the rest of the budget does not cover the request"}
	}
	if a.likelyShort(ceiling, b.self) {
		return nil, nil, &RefusedError{
			Budget: budget, RetryAfter: retryRest,
			Why: "the rest does not cover the request, unless less was lost than it seems",
		}
	}
	a.need, a.needAt = max(a.need, ceiling), now
	if b.ready && now.Sub(b.reached) > tableSilence || !b.ready && now.Sub(b.started) > startWait {
		return nil, nil, b.lacking(budget, "the table can't be asked; "+a.describe(clock))
	}
	return nil, a.changed, nil
}

// tableSilence is how long the table may not have answered before a request is
// refused at once in place of waiting for it.
const tableSilence = 1500 * time.Millisecond

// account returns the account of a budget and takes its newest limit.
func (b *Book) account(budget string, limit int64) *account {
	a := b.accounts[budget]
	if a == nil {
		a = newAccount(budget)
		b.accounts[budget] = a
		a.limit = limit
	}
	a.setLimit(b.self, limit, max(b.options.VMs(), 1))
	return a
}

// setLimit takes a new prepaid sum. A lower one binds at once, before the pool
// says so: each holder keeps to its part of what is left.
func (a *account) setLimit(self string, limit int64, vms int) {
	if limit >= a.limit {
		if a.lowered >= 0 && limit > a.limit {
			a.lowered = -1
		}
		a.limit = limit
		return
	}
	gone := a.pool.Settled + a.pool.Lost
	scaled := a.grant()
	if a.limit > gone {
		scaled = int64(float64(a.grant()) * float64(max(0, limit-gone)) / float64(a.limit-gone))
	}
	rest := max(0, limit-a.consumed(self)-a.pool.Lost)
	a.lowered = min(scaled, a.settled+rest/int64(max(vms, len(a.pool.Holders), 1)))
	a.limit = limit
}

// SetLimits takes the prepaid sums of all budgets in tokens, so that grants can be
// taken before the first request. Budgets beyond eagerBudgets wait for one.
func (b *Book) SetLimits(limits map[string]int64) {
	b.mu.Lock()
	for budget, limit := range limits {
		if _, known := b.accounts[budget]; known || len(b.accounts) < eagerBudgets {
			b.account(budget, limit)
		}
	}
	b.mu.Unlock()
	b.wakeUp()
}

// eagerBudgets is how many budgets a holder takes grants of before any request.
// Without one a VM that is cut off has to refuse; with all 820,000 the table
// would be full of grants that nobody uses.
const eagerBudgets = 256

func (b *Book) wakeUp() {
	kick(b.kickReport)
	kick(b.kickGrant)
}

func kick(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default: // it is awake already
	}
}

// Figures are what the book knows, for metrics.
type Figures struct {
	Granted, Settled, Open, Lost int64
	Budgets                      int
	// Borrowed and Lent count loans since the start, OpenLoans those given that have
	// not ended.
	Borrowed, Lent int64
	OpenLoans      int
}

// Figures returns sums over all budgets, in tokens.
func (b *Book) Figures() Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := Figures{Borrowed: b.borrowed, Lent: b.given, OpenLoans: len(b.loans)}
	for _, a := range b.accounts {
		f.Budgets++
		f.Granted += a.granted
		f.Settled += a.settled
		f.Open += a.open
		f.Lost += a.pool.Lost
	}
	return f
}

// answered notes that the table answered.
func (b *Book) answered(err error) {
	if err != nil {
		return
	}
	b.mu.Lock()
	b.reached = time.Now()
	b.mu.Unlock()
}

func logFailure(step string, err error) {
	klog.Warningf("step=%s result=failed err=%q", step, err.Error())
}
