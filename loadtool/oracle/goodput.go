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

// JudgeGoodput judges all requests. slow is the factor on engines' times; span is
// how long the engines could work on the run's requests. What is possible is the
// lower of two bounds that no scheduler passes: what the budgets can buy, and
// what the engines can generate.
func JudgeGoodput(results []*record.Result, purchases []Purchase, d config.Document, slow float64, span time.Duration) Goodput {
	var g Goodput
	for _, r := range results {
		if InTime(r, d.Kinds[r.Kind]) {
			g.InTime += d.Kinds[r.Kind].Weight
		}
	}
	g.Possible = min(bought(results, purchases, d), generated(results, d, slow, span))
	return g
}

// bought is the most weight that the budgets can pay for.
func bought(results []*record.Result, purchases []Purchase, d config.Document) float64 {
	tokens, wanted := map[budgetID]int64{}, map[budgetID][]*record.Result{}
	for _, p := range purchases {
		tokens[budgetID{p.Workspace, p.Budget}] += p.Tokens
	}
	for _, r := range results {
		id := budgetID{r.Workspace, r.Budget}
		wanted[id] = append(wanted[id], r)
	}
	var sum float64
	for id, requests := range wanted {
		sum += bestWeight(requests, d, float64(tokens[id]), spend)
	}
	return sum
}

// generated is the most weight that engines can generate in the time, and all
// that plain services can answer.
func generated(results []*record.Result, d config.Document, slow float64, span time.Duration) float64 {
	var sum float64
	perModel := map[string][]*record.Result{}
	for _, r := range results {
		if r.Ask == nil {
			sum += d.Kinds[r.Kind].Weight
			continue
		}
		perModel[r.Ask.Model] = append(perModel[r.Ask.Model], r)
	}
	for model, wanted := range perModel {
		sum += bestWeight(wanted, d, Capacity(d, model, slow)*span.Seconds(), output)
	}
	return sum
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
func bestWeight(wanted []*record.Result, d config.Document, tokens float64, cost func(*record.Result) float64) float64 {
	worth := func(r *record.Result) float64 { return d.Kinds[r.Kind].Weight / cost(r) }
	sorted := slices.SortedFunc(slices.Values(wanted), func(a, b *record.Result) int {
		return cmp.Or(cmp.Compare(worth(b), worth(a)), cmp.Compare(a.ID, b.ID))
	})
	var sum float64
	for _, r := range sorted {
		if tokens <= 0 {
			break
		}
		sum += min(1, tokens/cost(r)) * d.Kinds[r.Kind].Weight
		tokens -= cost(r)
	}
	return sum
}

func spend(r *record.Result) float64  { return float64(max(r.Spend(), 1)) }
func output(r *record.Result) float64 { return float64(max(r.Output(), 1)) }
