package budget

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget/journal"
)

// Errors of wrong use. A *Refusal reports that the budget does not suffice.
var (
	// ErrInvalidRequest reports a ceiling below 1 or an unusable request key.
	ErrInvalidRequest = eris.New("budget: invalid request")
	// ErrClosed reports a reservation that was already billed, lost or released.
	ErrClosed = eris.New("budget: reservation closed")
)

// Request asks for tokens.
type Request struct {
	Budget ID
	// RequestKey is the idempotency key under which the request is billed once in
	// its budget. It is the same for every attempt and every router.
	RequestKey string
	// Ceiling is the maximum number of tokens that the request can consume.
	Ceiling int64
}

// Reservation is a right to dispatch one attempt of a request. It ends by Bill,
// Lose or Release.
type Reservation struct {
	manager *GrantManager
	account *account
	request string
	number  uint64
	ceiling int64

	// Guarded by account.mu.
	pending *journal.PendingEntry
	exposed int64 // this reservation's part of account.uncommitted
	takenAt time.Time
	closed  bool
	run     string // the run that was dispatched; see Dispatch
	resumed bool   // the run was dispatched by another holder
}

// Ceiling returns the tokens that were reserved.
func (r *Reservation) Ceiling() int64 { return r.ceiling }

// Reserve reserves the request's ceiling from this holder's grant, from the table,
// or from other holders' idle grants, in that order, and waits a bounded time for
// other reservations to settle. The error is a *Refusal unless the request is
// invalid.
func (m *GrantManager) Reserve(ctx context.Context, req Request) (*Reservation, error) {
	if req.Ceiling < 1 || req.RequestKey == "" || len(req.RequestKey) > journal.MaxRequestKey {
		return nil, eris.Wrapf(ErrInvalidRequest, "reserve in %s: ceiling %d, key of %d bytes", req.Budget, req.Ceiling, len(req.RequestKey))
	}
	if refusal := m.refuseNotServing(req); refusal != nil {
		return nil, refusal
	}
	r := &Reservation{manager: m, request: req.RequestKey, number: m.numbers.Add(1), ceiling: req.Ceiling}
	acc := m.lockAccount(req.Budget)
	r.account = acc
	now := time.Now()
	acc.lastUse = now
	acc.demand.add(now, req.Ceiling)
	if acc.idle >= req.Ceiling {
		r.take()
		if acc.idle < acc.lowWater {
			acc.lowWater, acc.refill = 0, true
			m.startAcquire(acc)
		}
		acc.mu.Unlock()
		return r.awaitOpeningEntry(ctx)
	}
	w := &waiter{reservation: r, since: now, result: make(chan error, 1)}
	acc.waiters = append(acc.waiters, w)
	m.startAcquire(acc)
	acc.mu.Unlock()
	if err := m.await(ctx, w); err != nil {
		count.refused.Add(1)
		return nil, err
	}
	return r.awaitOpeningEntry(ctx)
}

// refuseNotServing refuses a request while the journal does not exist, is sealed
// or has too many pending entries, or while the router drains.
func (m *GrantManager) refuseNotServing(req Request) error {
	if m.journal.Alive() && !m.draining.Load() && m.journal.PendingCount() < maxPending {
		return nil
	}
	count.refused.Add(1)
	return &Refusal{Budget: req.Budget, Ceiling: req.Ceiling, RetryAfter: retryUncertain}
}

// take moves the ceiling from idle to reserved and queues the opening entry. If
// the exposure covers the ceiling, the request may be dispatched before that entry
// is durable. The caller holds account.mu.
func (r *Reservation) take() {
	acc := r.account
	acc.idle -= r.ceiling
	acc.reserved += r.ceiling
	acc.peakUncommitted = max(acc.peakUncommitted, acc.uncommitted+r.ceiling)
	acc.largestCeiling = max(acc.largestCeiling, r.ceiling)
	r.takenAt = time.Now()
	opening := r.entry(journal.KindOpen, r.ceiling, "")
	if r.cover() {
		r.pending = r.manager.journal.AddLazy(opening, r.onDurable)
		return
	}
	r.pending = r.manager.journal.Add(opening, r.onDurable)
	// Renewing the grant raises the exposure, so that later requests of this size
	// don't wait for a commit.
	acc.refill = true
	r.manager.startAcquire(acc)
}

// cover counts the ceiling as uncommitted if the exposure covers it. The caller
// holds account.mu.
func (r *Reservation) cover() bool {
	acc := r.account
	if acc.uncommitted+r.ceiling > r.manager.exposureInForce(acc) {
		return false
	}
	acc.uncommitted += r.ceiling
	r.exposed = r.ceiling
	return true
}

// onDurable runs when the journal records all that was dispatched under this
// reservation so far.
func (r *Reservation) onDurable() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.uncommitted -= r.exposed
	r.exposed = 0
}

func (r *Reservation) entry(kind journal.Kind, tokens int64, cause Cause) journal.Entry {
	e := journal.Entry{Kind: kind, Reservation: r.number, Budget: r.account.id, Tokens: tokens, Cause: cause}
	if kind == journal.KindBill {
		e.Request = r.request
	}
	if kind == journal.KindOpen || (kind == journal.KindBill && r.resumed) {
		e.Run = r.run
	}
	return e
}

// Dispatch records the name of the upstream's run that this reservation covers. It
// is called before the dispatch. resumed is set if another router dispatched the
// run and this one resumes it from its start, so that the bill covers the whole
// run. If the other router is gone, that bill frees what was written off for the
// run. The name must be unique among all runs; one name per request is not enough.
func (r *Reservation) Dispatch(run string, resumed bool) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.closed {
		return
	}
	r.run, r.resumed = run, resumed
	opening := r.entry(journal.KindOpen, r.ceiling, "")
	if !r.manager.journal.Replace(r.pending, opening, r.onDurable) {
		r.manager.journal.AddLazy(opening, nil)
	}
}

// awaitOpeningEntry waits, for a reservation that the exposure does not cover, until
// its opening entry is durable: a crash after that loses the whole ceiling, not less.
func (r *Reservation) awaitOpeningEntry(ctx context.Context) (*Reservation, error) {
	acc := r.account
	acc.mu.Lock()
	covered := r.exposed > 0
	pending := r.pending
	acc.mu.Unlock()
	if covered {
		return r, nil
	}
	count.openWaits.Add(1)
	if r.waitOpeningEntry(ctx, pending, enterOutageAfter) || r.coverInOutage(ctx) || r.waitOpeningEntry(ctx, pending, r.manager.limits().wait) {
		return r, nil
	}
	r.Release()
	count.refused.Add(1)
	return nil, &Refusal{Budget: acc.id, Ceiling: r.ceiling, RetryAfter: retryUncertain}
}

// waitOpeningEntry waits up to limit for the opening entry to become durable.
func (r *Reservation) waitOpeningEntry(ctx context.Context, pending *journal.PendingEntry, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-pending.Done():
		return pending.Err() == nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// coverInOutage covers the reservation by the outage exposure, if the witness
// acknowledges outage mode.
func (r *Reservation) coverInOutage(ctx context.Context) bool {
	if !r.manager.enterOutage(ctx, r.account) {
		return false
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.cover()
}

// await waits until the waiter is served or refused, or its wait times out.
func (m *GrantManager) await(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(m.limits().wait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
	case <-ctx.Done():
	case <-m.journal.SealNotify():
	}
	acc := w.reservation.account
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if !acc.remove(w) {
		return <-w.result
	}
	return acc.refusal(w, acc.view.at.After(w.since) || acc.view.at.Equal(w.since))
}

// refusal returns the error for a waiter that was not served. The caller holds
// acc.mu.
func (acc *account) refusal(w *waiter, certain bool) *Refusal {
	refusal := &Refusal{Budget: acc.id, Ceiling: w.reservation.ceiling, Free: acc.view.free, Certain: certain, RetryAfter: retryUncertain}
	if certain {
		refusal.RetryAfter = acc.retryAfter()
	}
	return refusal
}

// Bill settles the reservation of a request whose answer is complete. It returns
// nil once the bill is durable. ErrBillPending means that the table did not answer
// in time and the bill stays queued, journal.ErrSealed that this holder was
// declared gone and the bill will never be written. Tokens above the ceiling are
// not billed.
func (r *Reservation) Bill(ctx context.Context, tokens int64) error {
	if tokens > r.ceiling {
		count.clamped.Add(tokens - r.ceiling)
		tokens = r.ceiling
	}
	pending, err := r.close(journal.KindBill, max(0, tokens), "")
	if err != nil {
		return err
	}
	wait := r.manager.limits().billWait
	if r.manager.journal.Stuck(wait / 2) {
		wait = 0 // earlier entries show that the table does not answer
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-pending.Done():
		return eris.Wrapf(pending.Err(), "bill in %s", r.account.id)
	case <-timer.C:
	case <-ctx.Done():
	}
	count.billsPending.Add(1)
	r.manager.copyBill(pending)
	return eris.Wrapf(ErrBillPending, "bill in %s", r.account.id)
}

// Lose settles the reservation without a bill: the consumed tokens count as lost.
func (r *Reservation) Lose(tokens int64, cause Cause) {
	_, _ = r.close(journal.KindLost, min(max(0, tokens), r.ceiling), cause)
}

// Release ends a reservation of which nothing was consumed. It has no effect after
// Bill or Lose.
func (r *Reservation) Release() {
	acc := r.account
	acc.mu.Lock()
	if !r.closed && r.manager.journal.Remove(r.pending) {
		r.finish(0)
		acc.uncommitted -= r.exposed
		r.exposed = 0
		acc.mu.Unlock()
		return
	}
	acc.mu.Unlock()
	r.Lose(0, "")
}

// close queues the closing entry. It replaces the opening entry if that was not
// sent yet.
func (r *Reservation) close(kind journal.Kind, tokens int64, cause Cause) (*journal.PendingEntry, error) {
	acc := r.account
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if r.closed {
		return nil, eris.Wrapf(ErrClosed, "request in %s", acc.id)
	}
	entry := r.entry(kind, tokens, cause)
	if r.manager.journal.Replace(r.pending, entry, r.onDurable) {
		if r.exposed > 0 {
			acc.uncommitted += tokens - r.exposed
			r.exposed = tokens
		}
	} else {
		r.pending = r.manager.journal.Add(entry, nil)
	}
	r.finish(tokens)
	return r.pending, nil
}

// finish frees the tokens that were not consumed. The caller holds account.mu.
func (r *Reservation) finish(tokens int64) {
	r.closed = true
	r.account.reserved -= r.ceiling
	r.account.idle += r.ceiling - tokens
	r.account.observeLifetime(time.Since(r.takenAt))
	r.account.onTokensFreed()
}
