package allowance

import "time"

// plan says how a holder's share of a pool should change.
type plan struct {
	change  bool
	granted int64
	want    int64
}

// target is how many unspent tokens the holder should have: its part of the rest
// of the budget, partly even and partly by use.
func (a *account) target(self string, vms int, rate float64) int64 {
	rest := a.limit - a.pool.Lost - a.consumed(self)
	if rest <= 0 {
		return 0
	}
	all := rate
	for holder := range a.pool.Holders {
		if holder != self {
			all += float64(a.others[holder].Rate) / steadyFactor
		}
	}
	part := 1 / float64(max(vms, len(a.pool.Holders), 1))
	if all > 0 {
		part = evenShare*part + (1-evenShare)*rate/all
	}
	return int64(grantShare * part * float64(rest))
}

// consumed is what was certainly consumed of the budget, by all holders.
func (a *account) consumed(self string) int64 {
	sum := a.pool.Settled + a.settled
	for holder, s := range a.pool.Holders {
		if holder != self {
			sum += max(s.Settled, a.others[holder].Settled)
		}
	}
	return sum
}

// next plans the change of the holder's share, given the newest pool.
func (a *account) next(self string, vms int, now time.Time) plan {
	rate := a.use.rate(now)
	target := a.target(self, vms, rate)
	free := a.limit - a.pool.committed()
	unspent := a.grant() - a.committed()
	mine := a.pool.Holders[self]
	if free < 0 || a.lowered >= 0 {
		return plan{change: a.grant() < mine.Granted || a.lowered >= 0, granted: max(a.committed(), a.grant())}
	}
	if a.need > unspent || float64(unspent) < refillBelow*float64(target) {
		if p := a.refill(max(target, a.need)-unspent, free, mine); p.change {
			return p
		}
	}
	if a.need <= unspent && a.othersWant(self, now) > free {
		return a.giveBack(unspent, target, rate > 0, mine)
	}
	if float64(unspent) > returnAbove*float64(target) && unspent-target > a.limit/returnLeast {
		return plan{change: true, granted: a.committed() + target}
	}
	return plan{change: mine.Want > 0 && a.need <= unspent, granted: mine.Granted}
}

// refill takes what is missing, or says what is wanted if not enough is free.
func (a *account) refill(missing, free int64, mine share) plan {
	take := max(0, min(missing, free))
	p := plan{granted: mine.Granted + take}
	short := a.need - (p.granted - a.committed())
	if a.need > 0 && short > 0 {
		p.want = short
	}
	p.change = take > 0 && (take > a.limit/refillLeast || a.need > 0) || p.want != mine.Want
	return p
}

// giveBack returns tokens to a pool from which another holder wants some: all that
// an idle holder has; a busy one keeps its part, and half where it has no more.
func (a *account) giveBack(unspent, target int64, busy bool, mine share) plan {
	keep := int64(0)
	if busy {
		keep = min(target, unspent/2)
	}
	return plan{change: unspent > keep, granted: mine.Granted - (unspent - keep)}
}

// othersWant sums what other holders lack, while it is new.
func (a *account) othersWant(self string, now time.Time) int64 {
	if now.Sub(a.wanted) > wantLasts {
		return 0
	}
	var sum int64
	for holder, s := range a.pool.Holders {
		if holder != self {
			sum += s.Want
		}
	}
	return sum
}
