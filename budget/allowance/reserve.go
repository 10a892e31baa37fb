package allowance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// startTimeout is how long a request waits while the process reads its predecessors'
// state; a table that answers is read in a fraction of that.
const startTimeout = 800 * time.Millisecond

// Retry times of refused callers.
const (
	// retryElsewhere applies when this VM had no tokens: the caller reaches another VM
	// then, which may have some, and still meets its latency target.
	retryElsewhere = 50 * time.Millisecond
	// retryRemainder applies when the whole rest of the budget does not cover the
	// request: running requests may leave some of their ceilings unused.
	retryRemainder = 700 * time.Millisecond
	// staleReportAge is the age from which on a report is taken to be the last for a
	// while.
	staleReportAge = 600 * time.Millisecond
	// maxRetryAfter is the latest retry time given to a caller; a caller comes back
	// within a third of the time that it has left. retryAfterStep is the resolution.
	maxRetryAfter  = 4 * time.Second
	retryAfterStep = 100 * time.Millisecond
)

// Reservation is a ceiling reserved from a budget for one request.
type Reservation struct {
	ceiling int64
	once    sync.Once
	// release counts what was consumed and frees the rest.
	release func(consumed int64)
}

// Settle counts what was consumed, at most the ceiling, and frees the rest.
func (r *Reservation) Settle(consumed int64) {
	r.once.Do(func() { r.release(min(max(consumed, 0), r.ceiling)) })
}

// take reserves tokens that an account has available. The caller holds m.mu.
func (m *Manager) take(a *account, tokens int64) *Reservation {
	a.open += tokens
	a.useMeter.add(tokens, time.Now())
	return &Reservation{ceiling: tokens, release: func(consumed int64) { m.settle(a, tokens, consumed) }}
}

// settle ends a reservation of this holder's own tokens.
func (m *Manager) settle(a *account, ceiling, consumed int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.open -= ceiling
	a.settled += consumed
	a.notifyWaiters()
}

// Reserve reserves a ceiling from a budget whose prepaid limit is limit, both in tokens.
// What this VM lacks it borrows from other VMs. The error is a *RefusedError.
func (m *Manager) Reserve(ctx context.Context, budget string, limit, ceiling int64) (*Reservation, error) {
	m.countDemand(budget, limit, ceiling)
	if m.options.LoanClient != nil && m.shouldBorrow(budget, ceiling) {
		if r := m.borrow(ctx, budget, ceiling); r != nil {
			return r, nil
		}
		m.requestUpkeep()
		return nil, m.localRefusal(budget, ceiling, "this VM lacks tokens and no other VM lends; "+m.describe(budget))
	}
	r, err := m.reserveLocally(ctx, budget, limit, ceiling)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Local {
		if r := m.borrow(ctx, budget, ceiling); r != nil {
			return r, nil
		}
	}
	return r, err
}

// shouldBorrow reports whether a request borrows what it lacks on this VM: where other
// VMs hold the budget, and where the pool has nothing for it. It is false where the whole
// budget is short, which is refused separately.
func (m *Manager) shouldBorrow(budget string, ceiling int64) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[budget]
	if !m.ready || m.closed || a.grant()-a.committed() >= ceiling {
		return false
	}
	if a.certainlyShort(ceiling, m.self) || a.likelyShort(ceiling, m.self) {
		return false
	}
	if sharing := m.sharing(a); !sharing.Holds {
		// While all holders are unresponsive, a grant of its own is the only source.
		return len(m.responsive(sharing.Lenders, now)) > 0
	}
	return a.obtainable() < ceiling
}

// reserveLocally reserves a ceiling from what this holder has or can get from the pool.
func (m *Manager) reserveLocally(ctx context.Context, budget string, limit, ceiling int64) (*Reservation, error) {
	var timer <-chan time.Time
	for {
		r, changed, err := m.tryReserve(budget, limit, ceiling)
		if r != nil || err != nil {
			return r, err
		}
		if timer == nil {
			timer = time.After(m.waitForTokens(budget))
			m.addWaiting(budget, ceiling)
			defer m.addWaiting(budget, -ceiling)
		}
		m.requestUpkeep()
		select {
		case <-changed:
		case <-timer:
			return nil, m.localRefusal(budget, ceiling, "no tokens were granted in time; "+m.describe(budget))
		case <-ctx.Done():
			return nil, m.stoppingError(budget, "the request was cancelled while it waited for tokens")
		}
	}
}

// meanCeilingWeight is the weight of one request in the mean ceiling.
const meanCeilingWeight = 0.1

// addWaiting adds the ceiling of a request that starts to wait or, negative, of one that
// stops waiting.
func (m *Manager) addWaiting(budget string, ceiling int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accounts[budget].waiting += ceiling
}

// countDemand counts what callers ask for, once for each request.
func (m *Manager) countDemand(budget string, limit, ceiling int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account(budget, limit).addDemand(ceiling, time.Now())
}

// addDemand counts what a caller or a borrower asks for, in tokens.
func (a *account) addDemand(tokens int64, now time.Time) {
	a.demandMeter.add(tokens, now)
	if a.meanCeiling == 0 {
		a.meanCeiling = float64(tokens)
	}
	a.meanCeiling += meanCeilingWeight * (float64(tokens) - a.meanCeiling)
}

// waitForTokens returns how long a request waits for tokens. Shortly after the start it
// waits longer, since what the predecessors left is reclaimed soon.
func (m *Manager) waitForTokens(budget string) time.Duration {
	wait := m.timeouts().tokens
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ready && !m.reclaiming(m.accounts[budget]) {
		return wait
	}
	return max(wait, startTimeout-time.Since(m.started))
}

func (m *Manager) stoppingError(budget, why string) error {
	return &RefusedError{Budget: budget, RetryAfter: retryElsewhere, Cause: CauseStopping, Detail: why}
}

// localRefusal is the refusal of a request for which this VM has no tokens; others may
// have.
func (m *Manager) localRefusal(budget string, ceiling int64, why string) error {
	clock, _ := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.localRefusalLocked(m.accounts[budget], ceiling, clock, why)
}

// localRefusalLocked is localRefusal for a caller that holds m.mu.
func (m *Manager) localRefusalLocked(a *account, ceiling int64, clock time.Duration, why string) error {
	return &RefusedError{
		Budget: a.budget, Local: true, RetryAfter: m.retryAfter(a, ceiling, clock), Cause: a.cause(ceiling), Detail: why,
	}
}

// cause says what a request lacks on this VM while the whole budget is not short.
func (a *account) cause(ceiling int64) Cause {
	switch {
	case a.grant() == 0:
		return CauseNoGrant
	case a.grant()-a.committed() >= ceiling:
		return CauseBound
	case a.limit-a.pool.committed() >= ceiling:
		return CauseGrantFree
	}
	return CauseGrantUsed
}

// retryAfter returns when a caller that this VM had no tokens for may come back. If the
// grant covers the request and only the bound of an old report does not, that is when the
// bound will cover it: the other VMs' reports are as old, and a retry there at once would
// waste the caller's only retry. If this VM borrows and the table is unreachable, its
// lenders wait for the same moment. Otherwise another VM may have tokens.
func (m *Manager) retryAfter(a *account, ceiling int64, clock time.Duration) time.Duration {
	if a.grant()-a.committed() < ceiling {
		sinceReply, rampStart := time.Since(m.tableReachedAt), currentCurve(m.options.VMs()).RampStart
		if !m.sharing(a).Holds && sinceReply > staleReportAge && sinceReply < rampStart {
			return rampStart - sinceReply + retryAfterStep
		}
		return retryElsewhere
	}
	if clock-a.bounds[0].asOf < staleReportAge {
		return retryElsewhere
	}
	for after := retryAfterStep; after <= maxRetryAfter; after += retryAfterStep {
		if a.available(clock+after) >= ceiling {
			return after
		}
	}
	return retryElsewhere
}

// describe returns the state of a budget on this VM, for logs.
func (m *Manager) describe(budget string) string {
	clock, _ := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accounts[budget].describe(clock)
}

func (a *account) describe(clock time.Duration) string {
	return fmt.Sprintf("limit=%d granted=%d bound=%d settled=%d open=%d free=%d bound_age_ms=%d",
		a.limit, a.grant(), a.bound(clock), a.settled, a.open, a.limit-a.pool.committed(),
		(clock - a.bounds[0].asOf).Milliseconds())
}

// tryReserve reserves at once, refuses, or returns a channel to wait on.
func (m *Manager) tryReserve(budget string, limit, ceiling int64) (*Reservation, <-chan struct{}, error) {
	now := time.Now()
	clock, _ := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, nil, m.stoppingError(budget, "this router is stopping")
	}
	a := m.account(budget, limit)
	if a.available(clock) >= ceiling {
		return m.take(a, ceiling), nil, nil
	}
	if a.certainlyShort(ceiling, m.self) {
		return nil, nil, &RefusedError{Budget: budget, Certain: true, Cause: CauseExhausted, Detail: "the rest of the budget does not cover the request"}
	}
	if a.likelyShort(ceiling, m.self) {
		return nil, nil, &RefusedError{
			Budget: budget, RetryAfter: retryRemainder, Cause: CauseWrittenOff,
			Detail: "the rest of the budget may not cover the request: tokens of dead holders were written off",
		}
	}
	a.need, a.needAt = max(a.need, ceiling), now
	if m.tableUnreachable(now) {
		return nil, nil, m.localRefusalLocked(a, ceiling, clock, "the table is unreachable; "+a.describe(clock))
	}
	return nil, a.changed, nil
}

// tableUnreachable reports whether the table has not answered for a while. The caller
// holds m.mu.
func (m *Manager) tableUnreachable(now time.Time) bool {
	if m.tableReachedAt.IsZero() {
		return now.Sub(m.started) > startTimeout
	}
	return now.Sub(m.tableReachedAt) > tableUnreachableAfter
}

// tableUnreachableAfter is how long the table may not have answered before a request is
// refused at once instead of waiting for it.
const tableUnreachableAfter = 1500 * time.Millisecond
