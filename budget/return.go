package budget

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget/ledger"
	"buckthornridge/pause"
)

// sweepInterval is the time between two scans for unused grants.
const sweepInterval = 5 * time.Second

// Recall answers a recall by another holder: it returns up to want idle tokens of
// a budget to the table, and reports what running requests still reserve.
func (m *GrantManager) Recall(ctx context.Context, id ID, want int64) (RecallReply, error) {
	m.mu.RLock()
	acc := m.accounts[id]
	m.mu.RUnlock()
	if acc == nil || want <= 0 {
		return RecallReply{}, nil
	}
	if err := acc.waitBegin(ctx); err != nil {
		return RecallReply{Reserved: acc.outstanding()}, eris.Wrapf(err, "recall %s from %s", id, m.cfg.Holder)
	}
	if acc.endIfNothingIdle() {
		return RecallReply{Reserved: acc.outstanding()}, nil
	}
	given, err := m.returnTokens(ctx, want, acc)
	return RecallReply{Given: given, Reserved: acc.outstanding()}, err
}

// endIfNothingIdle ends the busy state of an account that has no idle tokens to
// return, and reports whether it did.
func (acc *account) endIfNothingIdle() bool {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if acc.idle > 0 {
		return false
	}
	acc.end()
	return true
}

// outstanding returns the tokens that this holder's requests may still use.
func (acc *account) outstanding() int64 {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	return acc.reserved
}

// waitBegin marks the account busy, after waiting for the operation that runs.
func (acc *account) waitBegin(ctx context.Context) error {
	for {
		acc.mu.Lock()
		if acc.begin() {
			acc.mu.Unlock()
			return nil
		}
		if acc.busyEnded == nil {
			acc.busyEnded = make(chan struct{})
		}
		ended := acc.busyEnded
		acc.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// returnTokens returns up to want idle tokens of each busy account to the table
// and ends its busy state. An account that is left without tokens and reservations
// is closed. Tokens are subtracted from idle before the table is written, so that
// they are never spent here and granted elsewhere.
func (m *GrantManager) returnTokens(ctx context.Context, want int64, accounts ...*account) (int64, error) {
	ops := make([]*transfer, len(accounts))
	taken := make([]int64, len(accounts))
	for i, acc := range accounts {
		acc.mu.Lock()
		taken[i] = min(want, acc.idle)
		acc.idle -= taken[i]
		acc.mu.Unlock()
		ops[i] = m.newTransfer(acc, func(*ledger.Budget) change { return acc.planReturn(taken[i]) })
	}
	err := m.transferAll(ctx, ops...)
	given := int64(0)
	for i, acc := range accounts {
		given += m.finishReturn(acc, ops[i], taken[i], err)
	}
	return given, err
}

// planReturn plans the return of tokens, and closes the holding of an account that
// is left empty. A closed account has no exposure, so that nothing can be
// dispatched from it.
func (acc *account) planReturn(tokens int64) change {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	done := acc.idle == 0 && acc.reserved == 0 && acc.uncommitted == 0
	if !acc.listed || (tokens == 0 && !done) {
		return change{skip: true}
	}
	if done {
		acc.exposure, acc.outageExposure = 0, 0
		return change{delta: -tokens, close: true}
	}
	return change{
		delta: -tokens, exposure: max(acc.exposure, acc.uncommitted),
		outageExposure: acc.outageExposure, witness: acc.witness,
	}
}

// finishReturn applies the outcome of a return to the account.
func (m *GrantManager) finishReturn(acc *account, op *transfer, taken int64, err error) int64 {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	defer m.evict(acc)
	acc.end()
	if err != nil && m.ctx.Err() == nil {
		acc.idle += taken // the error means that nothing was returned
		acc.onTokensFreed()
		return 0
	}
	if err != nil || op.change.skip {
		return 0
	}
	count.returns.Add(1)
	acc.listed = !op.change.close
	return taken
}

// sweepLoop returns grants that were not used for limits.idleTimeout.
func (m *GrantManager) sweepLoop() {
	for pause.For(m.ctx, sweepInterval) == nil {
		if m.Alive() && !m.draining.Load() {
			since := time.Now().Add(-m.limits().idleTimeout)
			_ = m.returnIdle(m.ctx, func(acc *account) bool { return acc.lastUse.Before(since) && acc.reserved == 0 })
		}
	}
}

// returnAll returns all idle tokens.
func (m *GrantManager) returnAll(ctx context.Context) error {
	return m.returnIdle(ctx, func(*account) bool { return true })
}

// returnIdle returns the idle tokens of the chosen accounts, up to maxBatch
// budgets in one transaction.
func (m *GrantManager) returnIdle(ctx context.Context, choose func(*account) bool) error {
	var all error
	var chosen []*account
	flush := func() {
		if len(chosen) > 0 {
			_, err := m.returnTokens(ctx, maxTokens, chosen...)
			all = errors.Join(all, err)
			chosen = nil
		}
	}
	for _, acc := range m.snapshot() {
		acc.mu.Lock()
		if !acc.evicted && !acc.busy && choose(acc) && acc.begin() {
			chosen = append(chosen, acc)
		}
		acc.mu.Unlock()
		if len(chosen) == maxBatch {
			flush()
		}
	}
	flush()
	return all
}

// maxTokens is larger than any budget.
const maxTokens = int64(1) << 62
