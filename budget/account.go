package budget

import (
	"math"
	"sync"
	"time"
)

// account is what this holder has of one budget.
type account struct {
	id ID

	mu       sync.Mutex
	idle     int64 // granted, neither reserved nor spent
	reserved int64 // ceilings of open reservations
	// exposure is the bound of uncommitted that the budget row records. A crash
	// loses that many tokens.
	exposure int64
	// outageExposure replaces exposure once the witness has recorded that this
	// holder is in outage mode; see witness.go.
	outageExposure int64
	witness        string
	// uncommitted counts dispatched tokens that the journal does not record yet.
	uncommitted int64
	// peakUncommitted is the highest value of uncommitted that recent requests
	// required.
	peakUncommitted int64
	largestCeiling  int64 // highest ceiling since the account was opened
	demand          meter
	waiters         []*waiter
	// lowWater is the idle amount below which the grant is renewed before a
	// request has to wait for it.
	lowWater int64
	refill   bool // the acquire loop should renew the grant
	// acquiring is set while an acquire loop runs; changed notifies it of
	// settlements.
	acquiring bool
	changed   chan struct{}
	// busy is set while a table operation runs; unbusy is closed when it ends, and
	// nil if nothing waits for that.
	busy      bool
	busyEnded chan struct{}
	listed    bool // the budget row lists this holder
	evicted   bool
	lastUse   time.Time
	view      view
	// lifetime is the smoothed time from a reservation to its settlement.
	lifetime time.Duration
}

// view is the state of a budget as last read from the table.
type view struct {
	at     time.Time // start of the read; zero if never read
	free   int64
	others int64 // held by other holders, including their unfolded bills
}

// waiter is a request that the local grant does not cover.
type waiter struct {
	reservation *Reservation
	since       time.Time
	result      chan error // buffered; nil means that the tokens are reserved
}

func newAccount(id ID) *account {
	return &account{id: id, changed: make(chan struct{}, 1)}
}

// begin marks the account busy. It reports false if it already is. The caller
// holds acc.mu.
func (acc *account) begin() bool {
	if acc.busy {
		return false
	}
	acc.busy = true
	return true
}

// end clears the busy state and wakes those that wait for it. The caller holds
// acc.mu.
func (acc *account) end() {
	acc.busy = false
	if acc.busyEnded != nil {
		close(acc.busyEnded)
		acc.busyEnded = nil
	}
}

// shortfall returns the tokens that the waiters need beyond the idle ones.
func (acc *account) shortfall() int64 {
	var asked int64
	for _, w := range acc.waiters {
		asked += w.reservation.ceiling
	}
	return max(0, asked-acc.idle)
}

// coverableShortfall returns the tokens beyond the idle ones that are needed by
// the waiters that idle + free can cover, in queue order.
func (acc *account) coverableShortfall(free int64) int64 {
	room, used := acc.idle+free, int64(0)
	for _, w := range acc.waiters {
		if used+w.reservation.ceiling <= room {
			used += w.reservation.ceiling
		}
	}
	return max(0, used-acc.idle)
}

// serve reserves idle tokens for the waiters that they cover, in queue order. The
// caller holds acc.mu.
func (acc *account) serve() {
	rest := acc.waiters[:0]
	for _, w := range acc.waiters {
		if acc.idle < w.reservation.ceiling {
			rest = append(rest, w)
			continue
		}
		w.reservation.take()
		w.result <- nil
	}
	clear(acc.waiters[len(rest):])
	acc.waiters = rest
}

// onTokensFreed serves waiters after tokens became idle and notifies the acquire
// loop. The caller holds acc.mu.
func (acc *account) onTokensFreed() {
	acc.serve()
	select {
	case acc.changed <- struct{}{}:
	default:
	}
}

// remove takes a waiter out of the queue. It reports false if the waiter was
// already served or refused. The caller holds acc.mu.
func (acc *account) remove(w *waiter) bool {
	for at, queued := range acc.waiters {
		if queued == w {
			acc.waiters = append(acc.waiters[:at], acc.waiters[at+1:]...)
			return true
		}
	}
	return false
}

// observeLifetime updates the smoothed lifetime with that of a settled
// reservation. The caller holds acc.mu.
func (acc *account) observeLifetime(d time.Duration) {
	const weight = 8 // of the moving average against one reservation
	if acc.lifetime == 0 {
		acc.lifetime = d
	}
	acc.lifetime += (d - acc.lifetime) / weight
}

// retryAfter estimates when a settlement may free tokens: after half the lifetime
// of a reservation, or after retryTopUp if nothing is outstanding, since only a
// top-up can help then. The caller holds acc.mu.
func (acc *account) retryAfter() time.Duration {
	if acc.reserved == 0 && acc.view.others == 0 {
		return retryTopUp
	}
	return min(max(acc.lifetime/2, retryMin), retryTopUp)
}

// meterWindow is the time constant of a demand meter.
const meterWindow = 10 * time.Second

// meter estimates a rate in tokens per second with exponential decay.
type meter struct {
	last  time.Time
	value float64
}

func (m *meter) add(now time.Time, tokens int64) {
	m.value = m.rate(now) + float64(tokens)/meterWindow.Seconds()
	m.last = now
}

func (m *meter) rate(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.last).Seconds()/meterWindow.Seconds())
}
