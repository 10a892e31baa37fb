package oracle

import (
	"cmp"
	"slices"
	"time"

	"buckthornridge/config"
	"buckthornridge/loadtool/record"
	"buckthornridge/standin/engine"
)

// Goodput compares answers within their deadline, weighted by kind, with what a
// perfect scheduler could give.
type Goodput struct {
	InTime   float64
	Possible float64
}

// Share is the goodput; 1 if nothing was possible.
func (g Goodput) Share() float64 {
	if g.Possible == 0 {
		return 1
	}
	return g.InTime / g.Possible
}

// JudgeGoodput judges all requests. affordable tells which ones the perfect
// counter grants; slow is the factor on engines' times; span is how long the
// engines could work on the run's requests.
func JudgeGoodput(results []*record.Result, d config.Document, affordable map[string]bool, slow float64, span time.Duration) Goodput {
	var g Goodput
	perModel := map[string][]*record.Result{}
	for _, r := range results {
		weight := d.Kinds[r.Kind].Weight
		if InTime(r, d.Kinds[r.Kind]) {
			g.InTime += weight
		}
		switch {
		case !affordable[r.ID]:
		case r.Ask == nil:
			g.Possible += weight
		default:
			perModel[r.Ask.Model] = append(perModel[r.Ask.Model], r)
		}
	}
	for model, wanted := range perModel {
		g.Possible += bestWeight(wanted, d, Capacity(d, model, slow)*span.Seconds())
	}
	return g
}

// InTime tells whether an answer came whole and within its deadlines, counted
// from the planned time.
func InTime(r *record.Result, k config.Kind) bool {
	if !r.Completed || r.Done > time.Duration(k.DeadlineMS)*time.Millisecond {
		return false
	}
	streamed := r.Ask != nil && r.Ask.Stream
	return !streamed || k.FirstTokenMS == 0 || r.FirstToken <= time.Duration(k.FirstTokenMS)*time.Millisecond
}

// Capacity is how many tokens a second the engines that hold a model generate
// with full batches. An engine with two models counts for both, which can only
// make the perfect scheduler better than it is.
func Capacity(d config.Document, model string, slow float64) float64 {
	s := engine.DefaultSettings()
	var sum float64
	for _, u := range d.Upstreams {
		if u.Kind == config.UpstreamEngine && slices.Contains(u.Models, model) {
			step := s.StepBase.D() + time.Duration(u.Slots)*s.StepPerSequence.D()
			sum += float64(u.Slots) / (step.Seconds() * slow)
		}
	}
	return sum
}

// bestWeight is the most weight that tokens can buy: the best weight for a token
// first, the last request in part. No scheduler does better.
func bestWeight(wanted []*record.Result, d config.Document, tokens float64) float64 {
	worth := func(r *record.Result) float64 { return d.Kinds[r.Kind].Weight / float64(max(r.Output(), 1)) }
	sorted := slices.SortedFunc(slices.Values(wanted), func(a, b *record.Result) int {
		return cmp.Or(cmp.Compare(worth(b), worth(a)), cmp.Compare(a.ID, b.ID))
	})
	var sum float64
	for _, r := range sorted {
		part := min(1, tokens/float64(max(r.Output(), 1)))
		sum += part * d.Kinds[r.Kind].Weight
		tokens -= float64(r.Output())
		if tokens <= 0 {
			break
		}
	}
	return sum
}

// Affordable replays the planned arrivals, without retries, against the perfect
// counter that knows the lengths, and tells which it grants.
func Affordable(results []*record.Result, purchases []Purchase, begun time.Time) map[string]bool {
	counters := map[budgetID]*counter{}
	granted := map[string]bool{}
	all := make([]event, 0, len(results)+len(purchases))
	for _, p := range purchases {
		all = append(all, event{at: p.At, budget: budgetID{p.Workspace, p.Budget}, purchase: p.Tokens})
	}
	for _, r := range results {
		all = append(all, event{at: begun.Add(r.At), budget: budgetID{r.Workspace, r.Budget}, result: r})
	}
	slices.SortStableFunc(all, func(a, b event) int { return a.at.Compare(b.at) })
	usual := usualDurations(results)
	for _, e := range all {
		c := counters[e.budget]
		if c == nil {
			c = &counter{sight: Lengths, begun: begun, usual: usual, granted: granted}
			counters[e.budget] = c
		}
		c.free += e.purchase
		if e.result != nil {
			c.ask(e.at, e.result)
		}
	}
	return granted
}
