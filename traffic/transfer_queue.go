package traffic

import (
	"math"
	"slices"
	"time"
)

// queuedTransfer is a transfer that waits for its turn.
type queuedTransfer struct {
	Transfer
	begin chan error
}

// transferQueue decides in which order transfers begin, and when. It does no I/O and reads
// no clock.
type transferQueue struct {
	linkRate float64 // bytes a second
	rate     float64 // of it, for paced transfers
	credit   float64 // bytes that may begin now; negative after a large transfer
	at       time.Time
	waiting  []*queuedTransfer
	flows    map[string]flowUse
}

// flowUse is how many bytes a flow got recently, decaying.
type flowUse struct {
	bytes float64
	at    time.Time
}

func newTransferQueue(linkRate float64, now time.Time) transferQueue {
	q := transferQueue{linkRate: linkRate, rate: pacedShare * linkRate, at: now, flows: map[string]flowUse{}}
	q.credit = q.burst()
	return q
}

func (q *transferQueue) burst() float64 { return q.rate * burstTime.Seconds() }

// setUnpaced takes the rate of other traffic off what is given out.
func (q *transferQueue) setUnpaced(rate float64, now time.Time) {
	q.accrue(now)
	q.rate = max(pacedShare*q.linkRate-rate, minPacedShare*q.linkRate)
}

func (q *transferQueue) accrue(now time.Time) {
	q.credit = min(q.credit+q.rate*now.Sub(q.at).Seconds(), q.burst())
	q.at = now
}

func (q *transferQueue) add(t *queuedTransfer) { q.waiting = append(q.waiting, t) }

func (q *transferQueue) remove(t *queuedTransfer) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// take removes and returns the transfers that may begin now, in their order, and those whose
// deadline has passed.
func (q *transferQueue) take(now time.Time) (begun, late []*queuedTransfer) {
	q.accrue(now)
	q.waiting = slices.DeleteFunc(q.waiting, func(t *queuedTransfer) bool {
		expired := !t.Deadline.IsZero() && !now.Before(t.Deadline)
		if expired {
			late = append(late, t)
		}
		return expired
	})
	for q.credit > 0 && len(q.waiting) > 0 {
		next := q.first(now)
		q.remove(next)
		q.credit -= float64(next.Bytes)
		q.use(next, now)
		begun = append(begun, next)
	}
	return begun, late
}

// first returns the waiting transfer whose turn it is.
func (q *transferQueue) first(now time.Time) *queuedTransfer {
	var best *queuedTransfer
	var least float64
	for _, t := range q.waiting {
		got := q.got(t.Flow, now)
		if best == nil || t.Class < best.Class ||
			t.Class == best.Class && (got < least || t.Flow == best.Flow && earlier(t.Deadline, best.Deadline)) {
			best, least = t, got
		}
	}
	return best
}

// earlier reports whether a deadline comes before another; zero is the latest.
func earlier(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

func (q *transferQueue) got(flow string, now time.Time) float64 {
	u := q.flows[flow]
	return u.bytes * math.Exp(-float64(now.Sub(u.at))/float64(flowMemory))
}

// maxFlows bounds the flows that are remembered.
const maxFlows = 1024

func (q *transferQueue) use(t *queuedTransfer, now time.Time) {
	if len(q.flows) >= maxFlows {
		clear(q.flows)
	}
	q.flows[t.Flow] = flowUse{bytes: q.got(t.Flow, now) + float64(t.Bytes), at: now}
}

// untilNext returns the time until a transfer may begin or expires, or false if none waits.
func (q *transferQueue) untilNext(now time.Time) (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	wait := time.Duration(max(0, -q.credit)/q.rate*float64(time.Second)) + time.Millisecond
	for _, t := range q.waiting {
		if !t.Deadline.IsZero() {
			wait = min(wait, max(0, t.Deadline.Sub(now)))
		}
	}
	return wait, true
}
