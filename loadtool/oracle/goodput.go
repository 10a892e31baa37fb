package oracle

import (
	"cmp"
	"slices"
	"time"

	"buckthornridge/config"
	"buckthornridge/loadtool/record"
	"buckthornridge/standin/engine"
)

// Goodput is the total weight, by kind, of the responses within their deadline,
// and the most that a perfect scheduler could reach.
type Goodput struct {
	InTime   float64
	Possible float64
}

// Share returns the goodput as a share of what was possible; 1 if nothing was.
func (g Goodput) Share() float64 {
	if g.Possible == 0 {
		return 1
	}
	return g.InTime / g.Possible
}

// EvaluateGoodput evaluates all requests. slow is the factor on the engines' step
// times; span is how long the engines could work on the run's requests. Possible
// is the lower of two upper bounds for any scheduler: what the budgets can pay
// for, and what the engines can generate.
func EvaluateGoodput(results []*record.Result, purchases []Purchase, d config.Document, slow float64, span time.Duration) Goodput {
	var g Goodput
	for _, r := range results {
		if InTime(r, d.Kinds[r.Kind]) {
			g.InTime += d.Kinds[r.Kind].Weight
		}
	}
	g.Possible = min(maxPaidWeight(results, purchases, d), maxServedWeight(results, d, slow, span))
	return g
}

// maxPaidWeight returns an upper bound on the weight that the budgets can pay
// for.
func maxPaidWeight(results []*record.Result, purchases []Purchase, d config.Document) float64 {
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
		sum += maxWeight(requests, d, float64(tokens[id]), totalTokens)
	}
	return sum
}

// maxServedWeight returns an upper bound on the weight that engines can generate
// in span; requests to plain services count in full.
func maxServedWeight(results []*record.Result, d config.Document, slow float64, span time.Duration) float64 {
	var sum float64
	perModel := map[string][]*record.Result{}
	for _, r := range results {
		if r.ModelRequest == nil {
			sum += d.Kinds[r.Kind].Weight
			continue
		}
		perModel[r.ModelRequest.Model] = append(perModel[r.ModelRequest.Model], r)
	}
	for model, wanted := range perModel {
		sum += maxWeight(wanted, d, Capacity(d, model, slow)*span.Seconds(), outputTokens)
	}
	return sum
}

// InTime reports whether a response was complete within its deadlines, counted
// from the planned time.
func InTime(r *record.Result, k config.Kind) bool {
	if !r.Completed || r.Done > time.Duration(k.DeadlineMS)*time.Millisecond {
		return false
	}
	streamed := r.ModelRequest != nil && r.ModelRequest.Stream
	return !streamed || k.FirstTokenMS == 0 || r.FirstToken <= time.Duration(k.FirstTokenMS)*time.Millisecond
}

// Capacity returns the tokens per second that the engines which hold a model
// generate with full batches. An engine with two models counts for both, which
// can only raise the bound.
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

// maxWeight returns the most weight that tokens can pay for: requests by
// descending weight per token, the last one in part. This solves the fractional
// knapsack problem, so no scheduler does better.
func maxWeight(wanted []*record.Result, d config.Document, tokens float64, cost func(*record.Result) float64) float64 {
	weightPerToken := func(r *record.Result) float64 { return d.Kinds[r.Kind].Weight / cost(r) }
	sorted := slices.SortedFunc(slices.Values(wanted), func(a, b *record.Result) int {
		return cmp.Or(cmp.Compare(weightPerToken(b), weightPerToken(a)), cmp.Compare(a.ID, b.ID))
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

func totalTokens(r *record.Result) float64  { return float64(max(r.Spend(), 1)) }
func outputTokens(r *record.Result) float64 { return float64(max(r.Output(), 1)) }
