// Package allowance spends prepaid budgets from grants, without a record of each
// request in the table.
//
// Each budget has a row, its pool: what is granted to each holder, and what ended
// holders have used. All of that together never exceeds the prepaid sum, so a
// holder that is cut off can go on with its grant and no budget is overspent. A
// holder is one process; it spends from its grant in memory.
//
// A process that dies takes with it the knowledge of what it spent. To lose little
// of a budget then, each holder also keeps to a bound that it has written down
// before: so much at the moment of the report, and more as time goes by, slowly at
// first and faster once the table has not been reached for seconds. The next
// process on the same VM, which can only start once the old one has ended, counts
// what the bound allows up to now as spent and gives the rest back.
//
// Both sides reckon the bound by the table service's clock. The holder uses a time
// that this clock has certainly reached, the successor one read after its own
// start, so that a pause, a slow answer or a jump of the time of day can only make
// the holder spend less than what is counted.
package allowance

import (
	"fmt"
	"time"
)

// Timing and sizes of grants and reports.
const (
	// reportInterval is the time between two reports of an active holder.
	reportInterval = 300 * time.Millisecond
	// coverSeconds is how many seconds of recent use a report allows ahead.
	coverSeconds = 0.7
	// steadyFactor multiplies recent use to what the bound grows by at first. Below
	// one, the cover of a cut-off VM lasts about until the knee.
	steadyFactor = 0.6
	// quietSeconds: a budget with less than one typical request in so many seconds
	// gets no cover in advance.
	quietSeconds = 20
	// knee is when a bound begins to grow fast. A process that lost power and
	// started again finds its report about one and a half seconds old; what the bound allows
	// by then is lost, so it grows fast only later.
	knee = 1700 * time.Millisecond
	// riseTime is the time after the knee in which the whole grant becomes usable.
	// Machines may be alone for eight to nine seconds.
	riseTime = 5 * time.Second
	// isolatedFactor multiplies recent demand, and isolatedShare the unspent grant, to
	// what the bound grows by after the knee: a machine that dies after a long cut
	// loses all that it was allowed and did not use.
	isolatedFactor = 1.2
	isolatedShare  = 0.3
	// grantShare is the part of a budget's rest that is handed out; what stays lets
	// a holder get more at once.
	grantShare = 0.95
	// firstShare is handed out while no use was seen: VMs come one after the other,
	// and the last must find something.
	firstShare = 0.92
	// knownDivisor: once this part of a budget is used, the use says by 63% who
	// needs the rest.
	knownDivisor = 40
	// trendWindow is the time over which use is averaged to divide a budget.
	trendWindow = 6 * time.Second
	// changePause is the least time between two changes of a share that no request
	// waits for.
	changePause = 1500 * time.Millisecond
	// changeVMs is the fleet for which changePause holds; it grows in proportion.
	changeVMs = 10
	// evenShare is the part of it that is divided evenly among the VMs; the
	// rest follows their use. A VM that had no requests may have all of them
	// while it is cut off.
	evenShare = 0.3
	// refillBelow and returnAbove bound a holder's unspent tokens as multiples of
	// its target; within them the pool is left alone.
	refillBelow = 0.75
	returnAbove = 1.7
	// returnLeast and refillLeast are the least parts of a budget, as divisors,
	// that a change of the pool is worth.
	returnLeast = 200
	refillLeast = 500
	// shortWait is how long a request waits for a report or a grant under way.
	shortWait = 250 * time.Millisecond
	// startWait is how long a request waits while the process reads what stood before
	// it; a table that answers is read in a fraction of that.
	startWait = 800 * time.Millisecond
	// retryDoubt is when a caller that was refused in doubt may come back.
	retryDoubt = 700 * time.Millisecond
	// rateWindow is the time over which use is averaged.
	rateWindow = 2 * time.Second
	// poorLasts is how long a search for tokens that found none counts. Budgets near
	// their end made nine calls of ten of a fleet to the table without it.
	poorLasts = 400 * time.Millisecond
	// buckets is how many parts the pools are spread over, since the platform
	// orders the transactions of one part one after the other.
	buckets = 16
)

// RefusedError reports a request that was not let in.
type RefusedError struct {
	Budget string
	// Certain says that the rest of the budget does not cover the request. Without
	// it there is a doubt: tokens are held elsewhere, or the table can't be asked.
	Certain    bool
	RetryAfter time.Duration
	Why        string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("budget %s: refused (certain: %t): %s", e.Budget, e.Certain, e.Why)
}
