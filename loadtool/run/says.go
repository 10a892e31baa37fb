package run

import (
	"context"
	"slices"
	"time"

	"buckthornridge/loadtool/fault"
	"buckthornridge/loadtool/report"
	"buckthornridge/standin/node"
)

// Bounds for upstreams that say something of themselves.
const (
	leavingNotice  = 2 * time.Second // until requests no longer reach one that leaves
	restNotice     = 500 * time.Millisecond
	restAllowed    = 2               // requests of one router in a time of rest
	rejectionKnown = 3 * time.Second // from the first answer that names the limit
)

// evaluateSays counts the requests that upstreams got beyond what they asked for.
func (e *experiment) evaluateSays(ctx context.Context, r *report.Report) {
	if !slices.ContainsFunc(e.Scenario.Faults, func(f fault.Fault) bool { return f.Kind == fault.Says }) {
		return
	}
	for id, u := range e.fleet.document.Upstreams {
		var says node.SaysReport
		if err := e.fleet.getJSON(ctx, u.Address, node.PathSays, &says); err != nil {
			r.FaultErrors = append(r.FaultErrors, "read what reached "+id+": "+err.Error())
		}
		r.SaidArrivals += len(says.AfterLeaving) + len(says.Rested) + len(says.Rejected)
		r.SaidBeyond += afterLeaving(says) + duringRest(says, len(e.Settings.VMs)) + beyondRejections(says)
	}
	if r.SaidArrivals == 0 {
		r.FaultErrors = append(r.FaultErrors, "no request reached an upstream that says something of itself")
	}
}

// afterLeaving returns how many requests arrived long after an answer had said that the
// upstream leaves.
func afterLeaving(says node.SaysReport) int {
	late := 0
	for _, at := range says.AfterLeaving {
		if at > says.LeavingAt+leavingNotice.Milliseconds() {
			late++
		}
	}
	return late
}

// duringRest returns how many more requests than allowed arrived in the worst time of rest.
// Each router may learn of it by a request of its own.
func duringRest(says node.SaysReport, routers int) int {
	worst := 0
	for i, from := range says.Rested {
		count := 0
		for _, at := range says.Rested[i:] {
			if at > from+restNotice.Milliseconds() && at < from+says.RestMS {
				count++
			}
		}
		worst = max(worst, count)
	}
	return max(0, worst-routers*(1+restAllowed))
}

// beyondRejections returns how many more requests than it bears an upstream rejected in the
// worst second.
func beyondRejections(says node.SaysReport) int {
	worst, first := 0, 0
	for last, at := range says.Rejected {
		for first < last && (says.Rejected[first] < says.LimitAt+rejectionKnown.Milliseconds() || at-says.Rejected[first] >= time.Second.Milliseconds()) {
			first++
		}
		if says.Rejected[first] >= says.LimitAt+rejectionKnown.Milliseconds() {
			worst = max(worst, last-first+1)
		}
	}
	return max(0, worst-int(says.Rejections))
}
