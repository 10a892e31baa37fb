package run

import (
	"context"
	"slices"
	"time"

	"buckthornridge/loadtool/report"
	"buckthornridge/request"
	"buckthornridge/standin/node"
)

// Limits on a request that crashes the upstreams that run it.
const (
	poisonCrashes = 3               // that pass before it must be held back
	partCrashes   = 5               // the same for a part of prompts
	poisonNotice  = 3 * time.Second // after the last of these until every router has to know
	poisonRetries = 3               // that may still reach upstreams after that
)

// evaluatePoison counts the arrivals of poison requests at upstreams beyond what is allowed.
func (e *experiment) evaluatePoison(ctx context.Context, r *report.Report) {
	e.countInnocent(r)
	if e.Scenario.Poison == nil {
		return
	}
	arrivals := map[string][]int64{} // Unix milliseconds by content
	content := func(c node.Crash) string { return c.Body }
	allowed := poisonCrashes
	if e.Scenario.Poison.Part {
		content = func(node.Crash) string { return node.CrashMarker } // all share the one part
		allowed = partCrashes
	}
	for _, c := range e.savedCrashes {
		arrivals[content(c)] = append(arrivals[content(c)], c.UnixMS)
	}
	for id, u := range e.fleet.document.Upstreams {
		var crashes []node.Crash
		if err := e.fleet.getJSON(ctx, u.Address, node.PathCrashes, &crashes); err != nil {
			r.FaultErrors = append(r.FaultErrors, "read the crashes of "+id+": "+err.Error())
		}
		for _, c := range crashes {
			arrivals[content(c)] = append(arrivals[content(c)], c.UnixMS)
		}
	}
	for _, times := range arrivals {
		r.PoisonArrivals += len(times)
		r.PoisonBeyond += beyondRetries(times, allowed)
	}
	if r.PoisonArrivals < poisonCrashes {
		r.FaultErrors = append(r.FaultErrors, "too few crashes to tell anything")
	}
}

// countInnocent counts tries of other requests that were refused as if they were poison.
func (e *experiment) countInnocent(r *report.Report) {
	for _, result := range e.results {
		if e.poisonIDs[result.ID] {
			continue
		}
		for _, t := range result.Tries {
			if t.Problem == string(request.ProblemQuarantined) {
				r.InnocentQuarantined++
			}
		}
	}
}

// beyondRetries returns how many arrivals are more than the retries allowed after the
// routers have to know of the last crash that passes.
func beyondRetries(times []int64, crashes int) int {
	slices.Sort(times)
	if len(times) < crashes {
		return 0
	}
	known := times[crashes-1] + poisonNotice.Milliseconds()
	late := 0
	for _, at := range times {
		if at > known {
			late++
		}
	}
	return max(0, late-poisonRetries)
}
