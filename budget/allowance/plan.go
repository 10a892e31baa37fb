package allowance

import (
	"math"
	"time"
)

// How a budget is divided among its holders.
const (
	// grantShare is the part of a budget's rest that is granted; what stays in the pool
	// lets a holder get more at once.
	grantShare = 0.95
	// initialGrantShare is granted while no use was seen: VMs come one after the other,
	// and the last must find tokens.
	initialGrantShare = 0.92
	// confidenceDivisor: once this part of a budget is used, the observed use decides to
	// 63% who gets the rest.
	confidenceDivisor = 40
	// evenShare is the part that is divided evenly among the VMs; the rest follows their
	// use. A VM that had no requests may get all of them while it is disconnected from
	// the table.
	evenShare = 0.15
	// mainShare is the part of a budget's demand from which on a VM holds a grant of it
	// for its own callers; at most six such VMs join the holders. Below mainShareKept it
	// stops.
	mainShare     = 1.0 / 6
	mainShareKept = 1.0 / 12
)

// When a holder changes its share of a pool.
const (
	// changeCooldown is the least time between two changes of a share that no request
	// waits for, in a fleet of cooldownVMs; it grows in proportion.
	changeCooldown = 1500 * time.Millisecond
	cooldownVMs    = 10
	// refillBelow and returnAbove bound a holder's unspent tokens as multiples of its
	// target; within them the pool is left alone.
	refillBelow = 0.75
	returnAbove = 1.7
	// minReturnDivisor and minRefillDivisor give the smallest part of a budget, as
	// divisors, for which the pool is changed.
	minReturnDivisor = 200
	minRefillDivisor = 500
)

// plan says how a holder's share of a pool should change.
type plan struct {
	change  bool
	granted int64
}

// target is how many unspent tokens the holder should have: its fraction of the rest of
// the budget, partly even and partly by use.
func (a *account) target(self string, holders int, rate float64) int64 {
	rest := a.limit - a.pool.Lost - a.consumed(self)
	if rest <= 0 {
		return 0
	}
	confidence := a.useConfidence(self)
	return int64((initialGrantShare + (grantShare-initialGrantShare)*confidence) * a.fraction(self, holders, rate) * float64(rest))
}

// fraction is this holder's fraction of what is divided among all holders: partly even
// and partly by use.
func (a *account) fraction(self string, holders int, rate float64) float64 {
	all := rate
	for holder := range a.pool.Holders {
		if holder != self {
			all += float64(a.others[holder].Demand)
		}
	}
	part := 1 / float64(max(holders, a.unspentHolders(self), 1))
	if all > 0 {
		byUse := (1 - evenShare) * a.useConfidence(self)
		part = (1-byUse)*part + byUse*rate/all
	}
	return part
}

// isMainUser reports whether this VM's callers ask for so much of the budget that the VM
// takes a grant itself although others are the budget's holders. Otherwise a workspace
// whose callers all come through one VM would borrow for each request, and a VM with a
// saturated link does not receive loans in time.
func (a *account) isMainUser(self string, now time.Time) bool {
	own := a.demandMeter.rate(now)
	var all float64
	for holder := range a.pool.Holders {
		if holder != self {
			all += float64(a.others[holder].Demand)
		}
	}
	if a.mainUser {
		return own > mainShareKept*(own+all)
	}
	return all > 0 && own > mainShare*all // its loans are part of the lenders' demand
}

// unspentHolders counts this holder and the others that have unspent tokens of the
// budget. A VM that returned its rest stays in the row with what it used.
func (a *account) unspentHolders(self string) int {
	count := 1
	for holder, s := range a.pool.Holders {
		if holder != self && s.Granted > max(s.Settled, a.others[holder].Settled) {
			count++
		}
	}
	return count
}

// useConfidence tells from 0 to 1 how much the observed use says about who needs the
// budget: the first few requests say little.
func (a *account) useConfidence(self string) float64 {
	return 1 - math.Exp(-confidenceDivisor*float64(a.consumed(self))/float64(max(a.limit, 1)))
}

// consumed is what all holders have certainly consumed of the budget.
func (a *account) consumed(self string) int64 {
	sum := a.pool.Settled + a.settled
	for holder, s := range a.pool.Holders {
		if holder != self {
			sum += max(s.Settled, a.others[holder].Settled)
		}
	}
	return sum
}

// planShare plans the change of the holder's share, given the newest pool.
func (a *account) planShare(self string, sharing Sharing, now time.Time) plan {
	rate := a.demandMeter.rate(now)
	target := int64(0)
	if sharing.Holds {
		target = a.target(self, sharing.Holders, rate)
	}
	free := a.limit - a.pool.committed()
	unspent := a.grant() - a.committed()
	mine := a.pool.Holders[self]
	if free < 0 || a.loweredGrant >= 0 {
		return plan{change: a.grant() < mine.Granted || a.loweredGrant >= 0, granted: max(a.committed(), a.grant())}
	}
	if a.need <= unspent && now.Before(a.divideFrom) && a.consumed(self) == 0 {
		return plan{granted: mine.Granted}
	}
	if a.need > unspent || float64(unspent) < refillBelow*float64(target) {
		if p := a.refill(max(target, a.need)-unspent, free, mine); p.change && (a.need > unspent || a.cooldownOver(now, sharing.Holders)) {
			return p
		}
	}
	if !a.cooldownOver(now, sharing.Holders) {
		return plan{granted: mine.Granted}
	}
	if float64(unspent) > returnAbove*float64(target) && unspent-target > a.limit/minReturnDivisor {
		return plan{change: true, granted: a.committed() + target}
	}
	return plan{granted: mine.Granted}
}

// refill takes what is missing as far as it is free.
func (a *account) refill(missing, free int64, mine share) plan {
	take := max(0, min(missing, free))
	worthIt := take > a.limit/minRefillDivisor || a.need > 0
	return plan{change: take > 0 && worthIt, granted: mine.Granted + take}
}

// cooldownOver reports whether the share was left alone long enough. Without a cooldown
// all holders react to each other's last change, on numbers that are a second old. The
// cooldown grows with the holders, since one pool takes about 50 changes a second.
func (a *account) cooldownOver(now time.Time, holders int) bool {
	length := changeCooldown * time.Duration(max(1, holders/cooldownVMs))
	return now.Sub(a.changedAt) >= length
}
