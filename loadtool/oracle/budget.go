// Package oracle computes what a perfect system would have done with the same
// requests: a single budget counter that is always available, and a clairvoyant
// scheduler, which knows all requests in advance. The system under test is
// evaluated against it.
package oracle

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"buckthornridge/loadtool/record"
)

// ProblemBudget is the problem of a refusal because of an exhausted budget.
const ProblemBudget = "budget-exhausted"

// Purchase is a top-up of a budget that takes effect at At.
type Purchase struct {
	Workspace string
	Budget    string
	At        time.Time
	Tokens    int64
}

// CostEstimate selects the cost that a counter reserves for a request.
type CostEstimate int

// The estimates of a request's cost.
const (
	// Ceilings reserves the most that the response can cost, as routers must.
	Ceilings CostEstimate = iota
	// Lengths reserves what the response will cost.
	Lengths
)

// Refusals counts requests that were refused because of an exhausted budget. A
// request counts once, however often it was retried: the perfect counter would
// have granted its first try and seen no other.
type Refusals struct {
	Asked   int // that reached the budget check
	Refused int // at least once
	False   int // refused after the perfect counter would have granted it
	Final   int // of the false refusals, those that were never answered
	// Grants counts all requests that the perfect counter would have granted. If
	// tokens are short it grants other requests than the system did, so False
	// exceeds Grants minus the number of answered requests.
	Grants int
}

// Rate is the share of false refusals among the requests that reached the budget
// check.
func (r Refusals) Rate() float64 {
	if r.Asked == 0 {
		return 0
	}
	return float64(r.False) / float64(r.Asked)
}

// EvaluateRefusals replays all tries against one perfect counter per budget.
func EvaluateRefusals(results []*record.Result, purchases []Purchase, start time.Time, estimate CostEstimate) Refusals {
	counters := map[budgetID]*counter{}
	durations := meanDurations(results)
	asked, refused, falselyRefused := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var sum Refusals
	for _, e := range events(results, purchases) {
		c := counters[e.budget]
		if c == nil {
			c = &counter{estimate: estimate, start: start, durations: durations, granted: map[string]bool{}}
			counters[e.budget] = c
		}
		if e.purchase != 0 {
			c.free += e.purchase
			continue
		}
		asked[e.result.ID] = true
		granted := c.reserve(e.at, e.result)
		if e.try.Problem != ProblemBudget {
			continue
		}
		refused[e.result.ID] = true
		if granted && !falselyRefused[e.result.ID] {
			falselyRefused[e.result.ID] = true
			if !e.result.Completed {
				sum.Final++
			}
		}
	}
	sum.Asked, sum.Refused, sum.False = len(asked), len(refused), len(falselyRefused)
	for _, c := range counters {
		sum.Grants += len(c.granted)
	}
	return sum
}

type budgetID struct{ workspace, name string }

type event struct {
	at       time.Time
	budget   budgetID
	purchase int64
	result   *record.Result
	try      record.Try
}

// events returns the purchases and the tries that reached the budget check, in
// the order of time.
func events(results []*record.Result, purchases []Purchase) []event {
	var all []event
	for _, p := range purchases {
		all = append(all, event{at: p.At, budget: budgetID{p.Workspace, p.Budget}, purchase: p.Tokens})
	}
	for _, r := range results {
		for _, t := range r.Tries {
			if askedBudget(t) {
				all = append(all, event{at: t.Sent, budget: budgetID{r.Workspace, r.Budget}, result: r, try: t})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b event) int { return a.at.Compare(b.at) })
	return all
}

// askedBudget excludes tries that were refused for another cause or reached no
// router: they took nothing from a budget.
func askedBudget(t record.Try) bool {
	if t.Ending == record.NotReached {
		return false
	}
	return t.Ending != record.Refused || t.Problem == ProblemBudget
}

// meanDurations returns the mean duration of complete responses by kind, for
// requests that the system did not answer but the perfect system would have.
func meanDurations(results []*record.Result) map[string]time.Duration {
	sums, counts := map[string]time.Duration{}, map[string]int{}
	for _, r := range results {
		if r.Completed {
			sums[r.Kind] += r.Done
			counts[r.Kind]++
		}
	}
	for kind, count := range counts {
		sums[kind] /= time.Duration(count)
	}
	return sums
}

// counter is the perfect counter of one budget.
type counter struct {
	estimate    CostEstimate
	start       time.Time
	durations   map[string]time.Duration
	free        int64
	granted     map[string]bool
	settlements settlementHeap
}

// reserve reports whether the counter has granted the request or grants it now.
func (c *counter) reserve(now time.Time, r *record.Result) bool {
	for len(c.settlements) > 0 && !c.settlements[0].at.After(now) {
		c.free += heap.Pop(&c.settlements).(settlement).tokens
	}
	if c.granted[r.ID] {
		return true
	}
	need := r.Ceiling()
	if c.estimate == Lengths {
		need = r.Spend()
	}
	if c.free < need {
		return false
	}
	c.free -= need
	c.granted[r.ID] = true
	heap.Push(&c.settlements, settlement{at: c.settlementTime(now, r), tokens: need - r.Spend()})
	return true
}

func (c *counter) settlementTime(now time.Time, r *record.Result) time.Time {
	if r.Completed {
		return c.start.Add(r.At + r.Done)
	}
	return now.Add(c.durations[r.Kind])
}

// settlement returns the unused tokens of a reservation to the budget.
type settlement struct {
	at     time.Time
	tokens int64
}

// settlementHeap is a heap in the order of time.
type settlementHeap []settlement

func (s settlementHeap) Len() int           { return len(s) }
func (s settlementHeap) Less(i, j int) bool { return cmp.Less(s[i].at.UnixNano(), s[j].at.UnixNano()) }
func (s settlementHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *settlementHeap) Push(x any) { *s = append(*s, x.(settlement)) }

// Pop implements heap.Interface.
func (s *settlementHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
