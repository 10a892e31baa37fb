package edge

import (
	"slices"
	"sync"
	"time"

	"buckthornridge/store"
)

// The table may come back from an older copy. It has lost what was written last; operators
// and upstreams write theirs again a little later.

const (
	// copyAge is how old the copy is taken to be at most where an upper bound is needed.
	copyAge = 30 * time.Second
	// orderHold is how long an operator's order that the copy lacks stays in force. Work in
	// a data centre that was to be emptied costs more than a little less capacity.
	orderHold = 5 * time.Second
)

// enterUpstreamEra prepares the list of upstreams for the rows of an older copy: what has
// left does not come back, and what the copy lacks has the time to be written again that it
// has after an outage.
func (p *Process) enterUpstreamEra() {
	if !p.inOutage.Load() {
		p.outageBegan.setEarlier(copyAge)
	}
	p.lastOutage.set()
	p.fleet.keepLeaving()
}

// renewQuarantine has the own record of crashes written again.
func (p *Process) renewQuarantine() {
	select {
	case p.quarantineRenewal <- struct{}{}:
	default: // it will be anyway
	}
}

// heldOrders keeps orders in force that a new era of the table lacks.
type heldOrders struct {
	mu    sync.Mutex
	until time.Time // of the current hold
	held  map[string]time.Time
}

// enterEra begins a hold.
func (h *heldOrders) enterEra() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Now().Add(orderHold)
}

// hold takes a change of an order, and reports whether it is put off.
func (h *heldOrders) hold(order string, stands bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if stands || !time.Now().Before(h.until) {
		delete(h.held, order)
		return false
	}
	if h.held == nil {
		h.held = map[string]time.Time{}
	}
	h.held[order] = h.until
	return true
}

// ended returns the orders whose hold has ended.
func (h *heldOrders) ended() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	orders := map[string]bool{}
	for order, until := range h.held {
		if !time.Now().Before(until) {
			delete(h.held, order)
			orders[order] = false
		}
	}
	return orders
}

// lostMemberTime is how long a member counts that is missing from the table after its return
// from an older copy: it writes its row again in that time.
const lostMemberTime = 2 * memberInterval

// withLostMembers returns the rows of the members, and those that a return of the table from an
// older copy may have lost.
func (p *peers) withLostMembers(all store.Changes) []store.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if era := store.EraOf(all.Version); era > p.era {
		p.era, p.before, p.beforeUntil = era, p.last, time.Now().Add(lostMemberTime)
	}
	p.last = all.Changes
	if time.Now().After(p.beforeUntil) {
		p.before = nil
	}
	merged := slices.Clone(all.Changes)
	for _, lost := range p.before {
		if !slices.ContainsFunc(all.Changes, func(c store.Change) bool { return c.Key == lost.Key }) {
			lost.Version = 0 // as the table has it
			merged = append(merged, lost)
		}
	}
	return merged
}
