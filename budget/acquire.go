package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"buckthornridge/budget/ledger"
)

// Timing of the acquire loop.
const (
	minPoll       = 20 * time.Millisecond // between two reads of the table
	maxPoll       = 100 * time.Millisecond
	recallTimeout = 300 * time.Millisecond
	// renewRequests is the minimum size of a grant, in requests, for it to be
	// renewed before it is used up.
	renewRequests = 8
	// recallFanOut bounds the holders that one recall asks concurrently.
	recallFanOut = 16
	// While the table is healthy, the exposure covers the demand of healthyWindow,
	// several times the wait of an opening entry for its group commit, and a burst
	// of healthyBurst of the largest requests, so that a dispatch rarely waits for
	// a commit.
	healthyWindow = time.Second
	healthyBurst  = 4
)

// startAcquire starts the account's acquire loop unless one runs. The caller
// holds acc.mu.
func (m *GrantManager) startAcquire(acc *account) {
	if m.ctx.Err() == nil && !acc.acquiring {
		acc.acquiring = true
		m.spawn(func() { m.acquire(acc) })
	}
}

// acquire requests what the waiters need from the table and then from the other
// holders, until no waiter is left. All waiters of a budget share its operations.
// The account is busy only during its own table operations, so that two holders
// that recall from each other don't block each other.
func (m *GrantManager) acquire(acc *account) {
	for poll := minPoll; m.shouldAcquire(acc); poll = min(2*poll, maxPoll) {
		if m.acquireOnce(acc) {
			poll = minPoll / 2
			continue
		}
		m.waitChange(acc, poll)
	}
}

// shouldAcquire reports whether the acquire loop should go on, and marks it as
// ended otherwise.
func (m *GrantManager) shouldAcquire(acc *account) bool {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if (len(acc.waiters) > 0 || acc.refill) && m.ctx.Err() == nil {
		return true
	}
	acc.acquiring = false
	m.evict(acc)
	return false
}

// acquireOnce makes one attempt to get tokens and reports whether it got any.
func (m *GrantManager) acquireOnce(acc *account) bool {
	asked := time.Now()
	acc.mu.Lock()
	acc.refill = false
	acc.mu.Unlock()
	row, granted, err := m.grant(acc)
	if err != nil {
		return false
	}
	if granted > 0 {
		return true
	}
	acc.mu.Lock()
	missing := acc.shortfall() - row.Free
	acc.mu.Unlock()
	given, reserved, complete := int64(0), int64(0), false
	if missing > 0 {
		given, reserved, complete = m.recall(acc, row, missing)
	}
	if given > 0 {
		return true
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.view = view{at: asked, free: row.Free, others: heldByOthers(row, m.cfg.Holder)}
	if complete {
		acc.view.others = reserved
	}
	m.refuseUnsatisfiable(acc, asked)
	return false
}

// refuseUnsatisfiable refuses the waiters whose ceilings exceed all tokens that
// settlements and recalls could free. The caller holds acc.mu.
func (m *GrantManager) refuseUnsatisfiable(acc *account, asked time.Time) {
	reachable := acc.idle + acc.reserved + acc.view.free + acc.view.others
	for _, w := range append([]*waiter(nil), acc.waiters...) {
		if w.reservation.ceiling > reachable && !w.since.After(asked) {
			acc.remove(w)
			w.result <- acc.refusal(w, true)
		}
	}
}

func heldByOthers(row *ledger.Budget, holder string) int64 {
	return row.HeldTokens() - row.Holders[holder].Held
}

// grant moves tokens from the table to this holder: what the waiters need, and a
// prefetch that shrinks as the budget runs out.
func (m *GrantManager) grant(acc *account) (*ledger.Budget, int64, error) {
	limits := m.limits()
	op := m.newTransfer(acc, func(row *ledger.Budget) change {
		return m.planGrant(acc, row, limits)
	})
	if err := acc.waitBegin(m.ctx); err != nil {
		return nil, 0, err
	}
	err := m.transferAll(m.ctx, op)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.end()
	if err != nil {
		return nil, 0, err
	}
	if op.change.skip {
		return &op.row, 0, nil
	}
	count.grants.Add(1)
	acc.listed = true
	acc.idle += op.change.delta
	acc.exposure, acc.outageExposure, acc.witness = op.change.exposure, op.change.outageExposure, op.change.witness
	acc.view = view{at: acc.view.at, free: op.row.Free, others: heldByOthers(&op.row, m.cfg.Holder)}
	acc.serve()
	return &op.row, op.change.delta, nil
}

// PrefetchInput is what the prefetch of a grant depends on.
type PrefetchInput struct {
	Remaining int64         // free tokens that remain after the present need
	Holders   int           // holders of the budget, this one included
	Rate      float64       // this holder's recent demand in tokens per second
	Horizon   time.Duration // the time that a grant should last by the policy
	// Share is the fraction of Remaining that the policy lets all holders together
	// prefetch.
	Share float64
}

// PrefetchForDemand covers the demand of the horizon while the budget is full,
// and less and less as the budget runs out.
func PrefetchForDemand(s PrefetchInput) int64 {
	horizon := s.Rate * s.Horizon.Seconds()
	return int64(min(horizon, float64(s.Remaining)*s.Share/float64(s.Holders)))
}

// planGrant decides the size of a grant and the exposures that come with it.
func (m *GrantManager) planGrant(acc *account, row *ledger.Budget, limits limits) change {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	need := acc.coverableShortfall(row.Free)
	if (need <= 0 && len(acc.waiters) > 0) || need > row.Free {
		return change{skip: true}
	}
	ahead := m.cfg.Prefetch(PrefetchInput{
		Remaining: row.Free - need, Holders: len(row.Holders) + 1,
		Rate: acc.demand.rate(time.Now()), Horizon: limits.horizon, Share: limits.prefetchShare,
	})
	ahead = min(max(0, ahead), row.Free-need)
	if len(acc.waiters) == 0 {
		ahead -= acc.idle // renew only the used part of an earlier grant
	}
	if need+ahead <= 0 && acc.peakUncommitted <= acc.exposure {
		return change{skip: true}
	}
	// A grant of no tokens raises the exposure to what requests asked for.
	c := change{delta: max(0, need+ahead)}
	if c.delta > 0 {
		acc.lowWater = acc.lowWaterMark(acc.idle + ahead)
	}
	m.planExposure(acc, &c, limits)
	return c
}

// lowWaterMark returns the low-water mark of a grant: half of it, or 0 if the grant is
// smaller than renewRequests requests, so that a budget that runs out is not
// divided into ever smaller grants.
func (acc *account) lowWaterMark(grant int64) int64 {
	if grant < renewRequests*acc.peakUncommitted {
		return 0
	}
	return grant / 2
}

// planExposure sets the exposures after a grant. The small one covers what is
// uncommitted while group commits are healthy: the recent peak, or the demand of
// healthyWindow, or a burst of large requests. The outage exposure is the policy's
// share of what is held; without a witness it is always in force.
//
// An exposure never falls below what is uncommitted. Until the outcome of the
// operation is certain, the lower of the old and the new value is in force, and
// no witness if the witness changes. The caller holds acc.mu.
func (m *GrantManager) planExposure(acc *account, c *change, limits limits) {
	held := acc.idle + acc.reserved + c.delta
	for _, w := range acc.waiters {
		acc.peakUncommitted = max(acc.peakUncommitted, w.reservation.ceiling)
		acc.largestCeiling = max(acc.largestCeiling, w.reservation.ceiling)
	}
	window := int64(acc.demand.rate(time.Now()) * healthyWindow.Seconds())
	healthy := max(acc.peakUncommitted, window, healthyBurst*acc.largestCeiling)
	c.exposure = max(min(healthy, held), acc.uncommitted)
	c.outageExposure = max(min(int64(float64(held)*limits.exposedShare), held), c.exposure)
	if m.cfg.Witnesses != nil {
		c.witness = m.cfg.Witnesses.Choose(acc.witness)
	}
	if c.witness == "" {
		c.exposure, c.outageExposure = c.outageExposure, 0
	}
	acc.peakUncommitted = acc.uncommitted
	acc.exposure = min(acc.exposure, c.exposure)
	acc.outageExposure = min(acc.outageExposure, c.outageExposure)
	if acc.witness != c.witness {
		acc.witness = ""
	}
}

// recall asks the other holders of the row to return idle tokens. complete
// reports whether all of them answered; reserved is what their running requests
// may still use.
func (m *GrantManager) recall(acc *account, row *ledger.Budget, want int64) (given, reserved int64, complete bool) {
	if m.cfg.Recaller == nil {
		return 0, 0, false
	}
	holders := m.otherHolders(row)
	complete = len(holders) <= recallFanOut
	holders = holders[:min(len(holders), recallFanOut)]
	ctx, cancel := context.WithTimeout(m.ctx, recallTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, holder := range holders {
		group.Go(func() {
			reply, err := m.cfg.Recaller.Recall(ctx, holder, acc.id, want)
			mu.Lock()
			defer mu.Unlock()
			given += reply.Given
			reserved += reply.Reserved
			complete = complete && err == nil
		})
	}
	group.Wait()
	count.recalls.Add(1)
	return given, reserved, complete
}

// otherHolders lists the other holders that have tokens, in random order.
func (m *GrantManager) otherHolders(row *ledger.Budget) []string {
	var holders []string
	for holder, entry := range row.Holders {
		if holder != m.cfg.Holder && entry.Held > 0 && !entry.Closed {
			holders = append(holders, holder)
		}
	}
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	return holders
}

// waitChange waits for a settlement or until the next read of the table is due.
func (m *GrantManager) waitChange(acc *account, poll time.Duration) {
	timer := time.NewTimer(poll)
	defer timer.Stop()
	select {
	case <-acc.changed:
	case <-timer.C:
	case <-m.ctx.Done():
	}
}
