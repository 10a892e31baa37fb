package audit

import (
	"time"

	"buckthornridge/loadtool/fault"
	"buckthornridge/loadtool/record"
)

// stopLimit is how long after its order a planned stop may still be under way.
const stopLimit = 35 * time.Second

// DrainCut counts requests that a planned stop cut: their connection broke, or
// their answer ended in an error that does not say "not run", while a VM was
// stopping. A request that was only refused and served elsewhere is not cut. In
// a run with unplanned faults too, these may have done it; only requests to the
// VM that stops, and only on VMs without such a fault, count then.
func DrainCut(results []*record.Result, faults []fault.Done) int {
	planned, hit := plannedStops(faults)
	cut := 0
	for _, r := range results {
		for _, t := range r.Tries {
			if wasCut(t) && duringStop(t, planned, hit) {
				cut++
				break
			}
		}
	}
	return cut
}

func wasCut(t record.Try) bool {
	switch t.Ending {
	case record.Broken, record.Failed:
		return true
	case record.Refused:
		return t.RunState != record.NotRun && t.RunState != ""
	}
	return false
}

// plannedStops returns when each VM was asked to stop, and which VMs met
// something else. A fault of the platform or of an upstream counts under "".
func plannedStops(faults []fault.Done) (planned map[string]time.Time, hit map[string]bool) {
	planned, hit = map[string]time.Time{}, map[string]bool{}
	for _, f := range faults {
		switch {
		case f.Kind == fault.Process && (f.Verb == fault.Term || f.Verb == fault.Restart):
			planned[vmOf(f.Target)] = f.When
		case f.Kind == fault.Process && f.Verb == fault.Start, f.Kind == fault.TopUp:
		default:
			hit[vmOf(f.Target)] = true
		}
	}
	return planned, hit
}

// vmOf returns the VM of a process such as "router-2".
func vmOf(process string) string {
	for _, prefix := range []string{"router-", "control-"} {
		if len(process) > len(prefix) && process[:len(prefix)] == prefix {
			return "vm-" + process[len(prefix):]
		}
	}
	return ""
}

func duringStop(t record.Try, planned map[string]time.Time, hit map[string]bool) bool {
	for vm, from := range planned {
		overlaps := t.Ended.After(from) && t.Sent.Before(from.Add(stopLimit))
		if overlaps && (len(hit) == 0 || t.VM == vm && !hit[vm]) {
			return true
		}
	}
	return false
}

// AfterLeaving is how long after an upstream was said to leave it was given its
// last new work; 0 if it was given none.
func AfterLeaving(in Input, faults []fault.Done) time.Duration {
	var longest time.Duration
	for _, f := range faults {
		if f.Kind != fault.State || f.Body != "leaving" {
			continue
		}
		for _, run := range in.Runs[f.Target].Runs {
			longest = max(longest, time.UnixMilli(run.StartedUnixMS).Sub(f.When))
		}
		for _, e := range in.Executions[f.Target].Executions {
			longest = max(longest, time.UnixMilli(e.StartedUnixMS).Sub(f.When))
		}
	}
	return longest
}
