package allowance

import (
	"math"
	"time"
)

// Windows over which use is averaged.
const (
	// rateWindow is the window of the use that bounds are computed from.
	rateWindow = 2 * time.Second
	// demandWindow is the window of the demand by which a budget is divided. One VM sees
	// a few requests a second of a workspace, of sizes that differ tenfold.
	demandWindow = 15 * time.Second
)

// What a report allows beyond known requests.
const (
	// headroomSeconds is how many seconds of recent use a report allows at once.
	headroomSeconds = 0.7
	// steadyFactor times recent use is the growth of the bound before the ramp start.
	steadyFactor = 0.6
	// quietSeconds: a budget with less than one mean request in this time gets no
	// headroom for its next one.
	quietSeconds = 20
	// maxLossShare is the part of a prepaid limit that all holders together put at risk
	// before the ramp start. 97 in 100 of a limit must be spendable after a power loss.
	maxLossShare = 0.027
	// minLossShare is put at risk even after earlier losses took more than that.
	minLossShare = 0.004
	// lowRestShare is the part of a prepaid limit below which less is put at risk before
	// the ramp start the less is left, down to minLowRestRisk of the usual amount.
	lowRestShare   = 0.4
	minLowRestRisk = 0.25
	// minGrowthShare is the part of the growth after the ramp start that remains once
	// losses have taken maxLossShare.
	minGrowthShare = 0.1
)

// account is the state of one budget in one holder. It is guarded by Manager.mu.
type account struct {
	budget string
	// limit is the prepaid limit in force.
	limit   int64
	granted int64
	// returnVersion is the row version on which the last return of tokens is conditioned.
	// Until the row is past it, the return may still take effect.
	returnVersion int64
	settled       int64
	open          int64 // ceilings of running requests
	// loweredGrant caps the grant after the prepaid limit was lowered, until the pool
	// reflects that; negative if there is no such cap.
	loweredGrant int64
	// bounds are the bound in force and those whose write is not known to have failed.
	// The holder keeps to all of them.
	bounds []usageBound
	// fallbackBounds are the same for the fallback report, empty while none may be in
	// force.
	fallbackBounds []usageBound
	pool           pool
	// others is the usage that other holders published for this budget, by holder.
	others map[string]usage
	// version is the pool's row version, -1 while it has to be read.
	version int64
	// newestVersion is the highest row version seen; older rows are ignored.
	newestVersion int64
	// era is that of the row. merged says that what this holder knew before has been added to
	// it, earlier is the newest row of an earlier era that it knows, source the newest one
	// that the table has.
	era             int64
	merged          bool
	earlier, source knownPool
	// vouches says that it knew the pool in an earlier era.
	vouches bool
	need    int64 // ceiling of a waiting request that the grant does not cover
	needAt  time.Time
	// waiting is the sum of the ceilings of all waiting requests. One report must admit
	// all of them: after a start many wait at once.
	waiting     int64
	useMeter    meter // recent use, for bounds
	demandMeter meter // demand over a longer window, for dividing the budget
	// reportedHeadroom is what the last report allowed beyond what was committed, in
	// tokens.
	reportedHeadroom int64
	// meanCeiling is the moving average of request ceilings, in tokens.
	meanCeiling float64
	// mainUser says that this VM's callers use so much of the budget that it holds a
	// grant for them.
	mainUser bool
	// divideFrom is when the process knows the number of VMs. Before that it takes tokens
	// of an unused budget only for waiting requests.
	divideFrom time.Time
	changedAt  time.Time
	changed    chan struct{} // closed when more tokens may be available
}

// usageBound is what a report allows from its time on.
type usageBound struct {
	reportEntry
	curve growthCurve
	asOf  time.Duration
}

func newAccount(budget string) *account {
	return &account{
		budget: budget, loweredGrant: -1, version: -1, returnVersion: -1, bounds: []usageBound{{}}, others: map[string]usage{},
		useMeter: meter{window: rateWindow}, demandMeter: meter{window: demandWindow}, changed: make(chan struct{}),
	}
}

// committed is what the requests that ran and run may have consumed.
func (a *account) committed() int64 { return a.settled + a.open }

// grant is what the holder may consume by its grant.
func (a *account) grant() int64 {
	if a.loweredGrant >= 0 {
		return min(a.granted, a.loweredGrant)
	}
	return a.granted
}

// bound is what the holder may consume by its reports.
func (a *account) bound(now time.Duration) int64 {
	least := int64(math.MaxInt64)
	for _, bounds := range [][]usageBound{a.bounds, a.fallbackBounds} {
		for _, b := range bounds {
			least = min(least, b.allows(now-b.asOf, b.curve))
		}
	}
	return least
}

// obtainable is the unspent part of the grant and what is free in the pool as far as
// known. A report and a change of the pool may have to come first.
func (a *account) obtainable() int64 {
	return max(0, a.grant()-a.committed()) + max(0, a.limit-a.pool.committed())
}

// available is what a new request may reserve now.
func (a *account) available(now time.Duration) int64 {
	return min(a.grant(), a.bound(now)) - a.committed()
}

// certainlyShort reports whether the rest of the budget does not cover a ceiling,
// whatever other holders have consumed since.
func (a *account) certainlyShort(ceiling int64, self string) bool {
	if a.version < 0 {
		return false
	}
	return a.limit-a.consumed(self) < ceiling
}

// likelyShort reports whether the rest does not cover a ceiling if everything that may
// have been lost was consumed. Less may have been consumed, so this is no proof.
func (a *account) likelyShort(ceiling int64, self string) bool {
	return a.version >= 0 && a.limit-a.pool.Lost-a.consumed(self) < ceiling
}

// newEntry returns the budget's entry in a new report.
func (a *account) newEntry(self string, holders int, rampStart time.Duration, now time.Time) reportEntry {
	atOnce, growth := a.headroom(self, holders, rampStart, now)
	base := a.committed() + int64(atOnce) + a.waiting
	growthShare := a.growthShare()
	return reportEntry{
		Settled: a.settled,
		Open:    a.open,
		Base:    max(min(base, a.grant()), a.committed()),
		Rate:    int64(growth),
		Rest:    int64(growthShare * float64(max(0, a.grant()-a.committed()))),
		Demand:  int64(growthShare * a.demandMeter.rate(now)),
	}
}

// headroom returns what a report allows beyond known requests: tokens at once, and growth
// in tokens a second until the ramp start.
func (a *account) headroom(self string, holders int, rampStart time.Duration, now time.Time) (atOnce, growth float64) {
	rate := a.useMeter.rate(now)
	atOnce = headroomSeconds * rate
	if a.demandMeter.rate(now) > a.meanCeiling/quietSeconds {
		atOnce += a.meanCeiling // a budget with few callers needs room for the next request
	}
	growth = steadyFactor * rate
	atRampStart := atOnce + growth*rampStart.Seconds()
	if atRampStart <= 0 {
		return 0, 0
	}
	scale := min(1, a.maxAtRisk(self, holders, now)/atRampStart)
	return scale * atOnce, scale * growth
}

// maxAtRisk is how many tokens this holder may put at risk before the ramp start: its
// fraction of what the budget may lose.
func (a *account) maxAtRisk(self string, holders int, now time.Time) float64 {
	limit := float64(a.limit)
	left := max(maxLossShare*limit-float64(a.pool.Lost), minLossShare*limit)
	return left * a.lowRestRisk(self) * a.fraction(self, holders, a.demandMeter.rate(now))
}

// lowRestRisk scales what is put at risk by what is left of the budget. Near the end of a
// budget each lost token is refused to a caller soon, while one that a report does not
// allow is only spent a moment later.
func (a *account) lowRestRisk(self string) float64 {
	rest := float64(max(0, a.limit-a.pool.Lost-a.consumed(self)))
	low := min(1, rest/(lowRestShare*float64(max(a.limit, 1))))
	return max(minLowRestRisk, low*low*low)
}

// growthShare scales the growth of a bound after the ramp start by how much the budget
// may still lose. Up to maxLossShare callers notice no loss; beyond it each token that is
// lost is refused to a caller later, while one that is not allowed to an isolated VM is
// only spent later.
func (a *account) growthShare() float64 {
	return max(minGrowthShare, 1-float64(a.pool.Lost)/(maxLossShare*float64(max(a.limit, 1))))
}

// notifyWaiters makes waiting requests try again.
func (a *account) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// meter is an exponentially decaying average of use over its window.
type meter struct {
	window time.Duration
	level  float64 // tokens, decaying
	last   time.Time
}

func (m *meter) add(tokens int64, now time.Time) {
	m.decay(now)
	m.level += float64(tokens)
}

func (m *meter) decay(now time.Time) {
	if !m.last.IsZero() {
		m.level *= math.Exp(-float64(now.Sub(m.last)) / float64(m.window))
	}
	m.last = now
}

// rate returns tokens a second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.level / m.window.Seconds()
}
