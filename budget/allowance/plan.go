package allowance

import "time"

// plan says how a holder's share of a pool should change.
type plan struct {
	change  bool
	granted int64
	want    int64
}

// target is how many unspent tokens the holder should have: its part of the rest
// of the budget, half by its use, and half evenly.
func (a *account) target(self string, vms int, rate float64) int64 {
	rest := a.limit - a.pool.consumed() - a.pool.Lost + a.pool.Holders[self].Settled - a.settled
	if rest <= 0 {
		return 0
	}
	all := rate
	for holder, s := range a.pool.Holders {
		if holder != self {
			all += float64(s.Rate)
		}
	}
	part := 1 / float64(max(vms, len(a.pool.Holders), 1))
	if all > 0 {
		part = evenShare*part + (1-evenShare)*rate/all
	}
	return int64(grantShare * part * float64(rest))
}

// next plans the change of the holder's share, given the newest pool.
func (a *account) next(self string, vms int, now time.Time) plan {
	target := a.target(self, vms, a.use.rate(now))
	free := a.limit - a.pool.committed()
	unspent := a.grant() - a.committed()
	mine := a.pool.Holders[self]
	switch {
	case free < 0 || a.lowered >= 0:
		return plan{change: a.grant() < mine.Granted || a.lowered >= 0, granted: max(a.committed(), a.grant()), want: 0}
	case a.need > unspent || float64(unspent) < refillBelow*float64(target):
		return a.refill(max(target, a.need)-unspent, free, mine)
	case a.othersWant(self, now) > free:
		return a.giveBack(unspent, a.use.rate(now) > 0, mine)
	case float64(unspent) > returnAbove*float64(target) && unspent-target > a.limit/100:
		return plan{change: true, granted: a.committed() + target}
	}
	return plan{change: mine.Want > 0, granted: mine.Granted}
}

// refill takes what is missing, or says what is wanted if not enough is free.
func (a *account) refill(missing, free int64, mine share) plan {
	take := max(0, min(missing, free))
	p := plan{granted: mine.Granted + take}
	short := a.need - (p.granted - a.committed())
	if a.need > 0 && short > 0 {
		p.want = short
	}
	p.change = take > 0 && (take > a.limit/500 || a.need > 0) || p.want != mine.Want
	return p
}

// giveBack returns idle tokens to a pool from which another holder wants some.
func (a *account) giveBack(unspent int64, busy bool, mine share) plan {
	idle := unspent
	if busy {
		idle = unspent / 2
	}
	return plan{change: idle > 0, granted: mine.Granted - idle}
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
