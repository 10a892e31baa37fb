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
// A request that a VM has no room for borrows tokens from other VMs, which count them
// like a request of their own (see Lenders).
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

// Timing and sizes of grants and reports. Measured figures are means of the worth
// of six days with four seeds on each of the platform's two first deployments.
const (
	// reportInterval is the time between two reports of an active holder in a small
	// fleet; from reportVMs on it grows with the fleet, since each report is a call.
	// 300 ms left a death half a second more to count (0.727 and 0.591 against 0.725
	// and 0.601 at 150 ms).
	reportInterval = 150 * time.Millisecond
	reportVMs      = 40
	// coverSeconds is how many seconds of recent use a report allows ahead.
	coverSeconds = 0.7
	// steadyFactor multiplies recent use to what the bound grows by at first. Below
	// one, the cover of a cut-off VM lasts about until the knee.
	steadyFactor = 0.6
	// quietSeconds: a budget with less than one typical request in so many seconds
	// gets no cover in advance.
	quietSeconds = 20
	// lossShare is the part of a prepaid sum that all holders together put at risk
	// before the knee. Of a sum 97 in 100 must be spendable, and callers of one that
	// ends below that are refused wrongly from then on until a top-up. 2.7% leaves
	// the rest for the last scraps (0.734 and 0.618; 2% 0.727 and 0.604; 3.5% 0.713
	// and 0.607; no limit 0.713 and 0.602).
	lossShare = 0.027
	// leastLossShare is put at risk also after earlier losses took more than that.
	leastLossShare = 0.004
	// restartTime is how long a process takes from a loss of power to its next start:
	// 1.15 s on the platform.
	restartTime = 1200 * time.Millisecond
	// riseTime is the time after the knee in which the whole grant becomes usable.
	// Machines may be alone for eight to nine seconds.
	riseTime = 5 * time.Second
	// isolatedFactor multiplies recent demand, and isolatedShare the unspent grant, to
	// what the bound grows by after the knee: a machine that dies after a long cut
	// loses all that it was allowed and did not use. 1.0 and 0.2 gave 0.721 and
	// 0.603, 1.5 and 0.4 gave 0.719 and 0.610, these 0.727 and 0.604.
	isolatedFactor = 1.2
	isolatedShare  = 0.3
	// grantShare is the part of a budget's rest that is handed out; what stays lets
	// a holder get more at once.
	grantShare = 0.95
	// settleIn is how long a new process waits before it takes a part of a fresh budget
	// that no request asks for: it does not know yet how many VMs share it. In a fleet
	// of 82 the first dozen took all, and most VMs had nothing when they were cut off.
	// settleSpread keeps the VMs from meeting at the same rows.
	settleIn     = 2500 * time.Millisecond
	settleSpread = 1500 * time.Millisecond
	// firstShare is handed out while no use was seen: VMs come one after the other,
	// and the last must find something.
	firstShare = 0.92
	// knownDivisor: once this part of a budget is used, the use says by 63% who
	// needs the rest.
	knownDivisor = 40
	// trendWindow is the time over which use is averaged to divide a budget. One VM
	// sees a few requests a second of a workspace, of sizes that differ tenfold: over
	// six seconds half of the figure was chance (0.702 and 0.594; over 15 s, with the
	// smaller even part, 0.714 and 0.596).
	trendWindow = 15 * time.Second
	// changePause is the least time between two changes of a share that no request
	// waits for.
	changePause = 1500 * time.Millisecond
	// changeVMs is the fleet for which changePause holds; it grows in proportion.
	changeVMs = 10
	// evenShare is the part of it that is divided evenly among the VMs; the
	// rest follows their use. A VM that had no requests may have all of them
	// while it is cut off.
	evenShare = 0.15
	// mainShare is the part of a budget's demand from which on a VM holds grants of it
	// for its own callers; at most six such VMs join the holders. It ceases to below
	// mainShareKept.
	mainShare     = 1.0 / 6
	mainShareKept = 1.0 / 12
	// refillBelow and returnAbove bound a holder's unspent tokens as multiples of
	// its target; within them the pool is left alone.
	refillBelow = 0.75
	returnAbove = 1.7
	// returnLeast and refillLeast are the least parts of a budget, as divisors,
	// that a change of the pool is worth.
	returnLeast = 200
	refillLeast = 500
	// startWait is how long a request waits while the process reads what stood before
	// it; a table that answers is read in a fraction of that.
	startWait = 800 * time.Millisecond
	// retryElsewhere is when a caller may come back whom this VM had no tokens for:
	// it reaches another VM then, which may have some, and still meets its aim.
	retryElsewhere = 50 * time.Millisecond
	// oldReport is the age from which on a report is taken to be the last for a while.
	oldReport = 600 * time.Millisecond
	// longestComeBack is the latest time that a caller is told; a caller comes back
	// within a third of the time that it has left. comeBackStep is its resolution.
	longestComeBack = 4 * time.Second
	comeBackStep    = 100 * time.Millisecond
	// retryRest is when a caller may come back whom the whole rest does not cover:
	// requests that run may leave some of their ceilings.
	retryRest = 700 * time.Millisecond
	// rateWindow is the time over which use is averaged.
	rateWindow = 2 * time.Second
	// buckets is how many parts the pools are spread over, since the platform
	// orders the transactions of one part one after the other.
	buckets = 16
)

// Cause says what a refused request lacked.
type Cause string

// The causes, as they stand in logs.
const (
	// CauseNoGrant: this VM holds nothing of the budget, and no other lent.
	CauseNoGrant Cause = "no_grant"
	// CauseGrantUsed: its grant is used up, the pool has too little, and no other lent.
	CauseGrantUsed Cause = "grant_used"
	// CauseGrantFree: its grant is used up, and the pool's tokens did not come in time.
	CauseGrantFree Cause = "grant_free"
	// CauseBound: its grant covers the request, the last report does not.
	CauseBound Cause = "bound"
	// CauseWrittenOff: what is left does not cover it, if all that may have been lost
	// with dead holders was consumed.
	CauseWrittenOff Cause = "written_off"
	// CauseExhausted: what is left does not cover it.
	CauseExhausted Cause = "exhausted"
	// CauseStopping: the process is stopping or has just begun, or the caller left.
	CauseStopping Cause = "stopping"
)

// RefusedError reports a request that was not let in.
type RefusedError struct {
	Budget string
	// Certain says that the rest of the budget does not cover the request. Without
	// it there is a doubt: tokens are held elsewhere, or the table can't be asked.
	Certain bool
	// Here says that only this VM lacks the tokens, as far as it knows.
	Here       bool
	RetryAfter time.Duration
	Cause      Cause
	Why        string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("budget %s: refused (certain: %t): %s", e.Budget, e.Certain, e.Why)
}
