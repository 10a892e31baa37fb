package budget

import (
	"expvar"
	"math"
	"time"
)

// Retry delays that refusals carry.
const (
	retryUncertain = time.Second            // the table did not answer
	retryMin       = 200 * time.Millisecond // a settlement is due soon
	retryTopUp     = 2 * time.Second        // only a top-up can help
)

// maxPending bounds the entries that stay in memory while the table is down.
const maxPending = 100_000

// limits holds the values derived from the policy's refusal weight. None of them
// can cause overspend.
type limits struct {
	// wait bounds how long a request waits for tokens.
	wait time.Duration
	// billWait bounds how long Bill waits for the table.
	billWait time.Duration
	// horizon is the time for which a grant should cover the demand.
	horizon time.Duration
	// prefetchShare is the fraction of a budget's free tokens that prefetches may
	// take.
	prefetchShare float64
	// exposedShare is the fraction of a grant that may be spent while the table is
	// down. It is also the fraction that a crash can lose.
	exposedShare float64
	// idleTimeout is the time after which an unused grant is returned.
	idleTimeout time.Duration
}

// limits interpolates, by the policy's refusal weight, between few stranded and
// lost tokens (weight 0) and few refusals (weight 1). Times and shares are
// interpolated geometrically.
func (m *GrantManager) limits() limits {
	weight := min(max(m.cfg.Policy().RefusalWeight, 0), 1)
	between := func(low, high time.Duration) time.Duration {
		return time.Duration(float64(low) * math.Pow(float64(high)/float64(low), weight))
	}
	return limits{
		wait:          250 * time.Millisecond,
		billWait:      2 * time.Second,
		prefetchShare: math.Pow(2, weight) / 16,
		horizon:       between(10*time.Second, time.Hour),
		exposedShare:  weight,
		idleTimeout:   between(15*time.Second, 5*time.Minute),
	}
}

// count holds the counters of this package.
var count = struct {
	refused, openWaits, billsPending, clamped *expvar.Int
	grants, returns, conflicts, recalls       *expvar.Int
	witnessRefused, billsNotCopied            *expvar.Int
}{}

func init() {
	all := expvar.NewMap("budget")
	counter := func(name string) *expvar.Int {
		c := new(expvar.Int)
		all.Set(name, c)
		return c
	}
	count.refused = counter("refused")
	count.openWaits = counter("open_waits")      // dispatches that waited for their opening entry
	count.billsPending = counter("bill_pending") // bills that were not durable in time
	count.clamped = counter("clamped_tokens")    // tokens reported above the ceiling
	count.grants = counter("grants")
	count.returns = counter("returns")
	count.conflicts = counter("conflicts")
	count.recalls = counter("recalls")
	count.billsNotCopied = counter("bill_alone")      // pending bills that no other router has a copy of
	count.witnessRefused = counter("witness_refused") // a witness did not answer, or has fenced this holder
}
