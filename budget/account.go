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
	// exposure is the durable bound of uncommitted. A crash loses that much.
	exposure int64
	// outage takes its place once the witness knows that a table outage is
	// ridden out; see witness.go.
	outage  int64
	witness string
	// uncommitted counts dispatched tokens that the journal does not tell of.
	uncommitted int64
	// wish is the highest uncommitted that requests asked for lately.
	wish    int64
	largest int64 // highest ceiling since the account was opened
	demand  meter
	waiters []*waiter
	// lowWater is the idle amount below which the grant is renewed before a
	// request has to wait for it.
	lowWater int64
	refill   bool // the acquire loop should renew the grant
	// acquiring says that an acquire loop runs; changed tells it of settlements.
	acquiring bool
	changed   chan struct{}
	// busy says that a table operation runs; unbusy is closed when it ends, and
	// nil if nobody waits for that.
	busy    bool
	unbusy  chan struct{}
	listed  bool // the budget row names this holder
	evicted bool
	lastUse time.Time
	view    view
	// lifetime is the smoothed time from a reservation to its settlement.
	lifetime time.Duration
}

// view is what the table said last about a budget.
type view struct {
	at     time.Time // when the question was asked; zero if never
	free   int64
	others int64 // held by other holders, their unfolded bills included
}

// waiter is a request that the local grant does not cover.
type waiter struct {
	reservation *Reservation
	since       time.Time
	result      chan error // buffered; nil means the tokens are taken
}

func newAccount(id ID) *account {
	return &account{id: id, changed: make(chan struct{}, 1)}
}

// begin marks the account busy, or reports that it is. The caller holds acc.mu.
func (acc *account) begin() bool {
	if acc.busy {
		return false
	}
	acc.busy = true
	return true
}

// end lets others operate on the account. The caller holds acc.mu.
func (acc *account) end() {
	acc.busy = false
	if acc.unbusy != nil {
		close(acc.unbusy)
		acc.unbusy = nil
	}
}

// shortfall returns what the waiters ask for beyond what is idle.
func (acc *account) shortfall() int64 {
	var asked int64
	for _, w := range acc.waiters {
		asked += w.reservation.ceiling
	}
	return max(0, asked-acc.idle)
}

// fitting returns what the waiters that fit into idle + free ask for beyond
// idle, in their order.
func (acc *account) fitting(free int64) int64 {
	room, used := acc.idle+free, int64(0)
	for _, w := range acc.waiters {
		if used+w.reservation.ceiling <= room {
			used += w.reservation.ceiling
		}
	}
	return max(0, used-acc.idle)
}

// serve gives idle tokens to the waiters that fit, in their order. The caller
// holds acc.mu.
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

// settled serves waiters after tokens became idle and tells the acquire loop.
// The caller holds acc.mu.
func (acc *account) settled() {
	acc.serve()
	select {
	case acc.changed <- struct{}{}:
	default:
	}
}

// remove takes a waiter out of the queue. It reports false if the waiter was
// served or refused before. The caller holds acc.mu.
func (acc *account) remove(w *waiter) bool {
	for at, queued := range acc.waiters {
		if queued == w {
			acc.waiters = append(acc.waiters[:at], acc.waiters[at+1:]...)
			return true
		}
	}
	return false
}

// lasted learns from a settled reservation. The caller holds acc.mu.
func (acc *account) lasted(d time.Duration) {
	const weight = 8 // of the past against one reservation
	if acc.lifetime == 0 {
		acc.lifetime = d
	}
	acc.lifetime += (d - acc.lifetime) / weight
}

// retryAfter estimates when a settlement may free tokens: half a reservation's
// lifetime, or when the next top-up may be there if nothing is outstanding. The
// caller holds acc.mu.
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
