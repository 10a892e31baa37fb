package run

import (
	"context"
	"math"
	"slices"
	"time"

	"buckthornridge/loadtool/fault"
	"buckthornridge/loadtool/report"
	"buckthornridge/standin/node"
)

// Limits on the requests to an upstream that names the rate it takes.
const (
	limitNotice = 3 * time.Second // from the first answer that names the rate
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5 // requests
)

// evaluateLimits counts the requests beyond what upstreams allow that name a rate.
func (e *experiment) evaluateLimits(ctx context.Context, r *report.Report) {
	if !slices.ContainsFunc(e.Scenario.Faults, func(f fault.Fault) bool { return f.Kind == fault.Limit }) {
		return
	}
	for id, u := range e.fleet.document.Upstreams {
		var limits node.LimitReport
		if err := e.fleet.getJSON(ctx, u.Address, node.PathLimit, &limits); err != nil {
			r.FaultErrors = append(r.FaultErrors, "read the arrivals at "+id+": "+err.Error())
		}
		for _, p := range limits.Periods {
			r.LimitedArrivals += len(p.Arrivals)
			r.LimitBeyond += beyondLimit(p)
		}
	}
	if r.LimitedArrivals == 0 {
		r.FaultErrors = append(r.FaultErrors, "no request reached an upstream that names a rate")
	}
}

// beyondLimit returns how many more requests than allowed arrived in the worst window.
func beyondLimit(p node.LimitPeriod) int {
	if len(p.Arrivals) == 0 {
		return 0
	}
	known := p.Arrivals[0] + limitNotice.Milliseconds()
	allowed := int(math.Floor(limitFactor*p.PerSecond*limitWindow.Seconds())) + limitSlack
	worst, first := 0, 0
	for last, at := range p.Arrivals {
		for first < last && (p.Arrivals[first] < known || at-p.Arrivals[first] >= limitWindow.Milliseconds()) {
			first++
		}
		if p.Arrivals[first] >= known {
			worst = max(worst, last-first+1)
		}
	}
	return max(0, worst-allowed)
}
