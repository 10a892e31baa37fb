package audit

import (
	"time"

	"buckthornridge/loadtool/fault"
	"buckthornridge/loadtool/record"
)

// plannedStopWindow is how long after its request a planned stop may still be in
// progress.
const plannedStopWindow = 35 * time.Second

// DrainCut counts requests that a planned stop interrupted: while a VM was
// stopping, their connection broke, or their response ended in an error whose
// run_state is not "not_run". A request that was only refused and then served
// elsewhere does not count. Unplanned faults in the same run may be the cause
// too; in such a run only requests to the stopping VM count, and only if that VM
// had no other fault.
func DrainCut(results []*record.Result, faults []fault.Done) int {
	planned, otherFaults := plannedStops(faults)
	cut := 0
	for _, r := range results {
		for _, t := range r.Tries {
			if interrupted(t) && overlapsStop(t, planned, otherFaults) {
				cut++
				break
			}
		}
	}
	return cut
}

func interrupted(t record.Try) bool {
	switch t.Ending {
	case record.Broken, record.Failed:
		return true
	case record.Refused:
		return t.RunState != record.NotRun && t.RunState != ""
	}
	return false
}

// plannedStops returns when each VM was asked to stop, and the VMs that had
// other faults. A fault of the platform or of an upstream is listed under "".
func plannedStops(faults []fault.Done) (planned map[string]time.Time, otherFaults map[string]bool) {
	planned, otherFaults = map[string]time.Time{}, map[string]bool{}
	for _, f := range faults {
		switch {
		case f.Kind == fault.Process && (f.Verb == fault.Term || f.Verb == fault.Restart):
			planned[vmOf(f.Target)] = f.When
		case f.Kind == fault.Process && f.Verb == fault.Start, f.Kind == fault.TopUp:
		default:
			otherFaults[vmOf(f.Target)] = true
		}
	}
	return planned, otherFaults
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

func overlapsStop(t record.Try, planned map[string]time.Time, otherFaults map[string]bool) bool {
	for vm, from := range planned {
		overlaps := t.Ended.After(from) && t.Sent.Before(from.Add(plannedStopWindow))
		if overlaps && (len(otherFaults) == 0 || t.VM == vm && !otherFaults[vm]) {
			return true
		}
	}
	return false
}

// AfterLeaving returns how long after an upstream was set to leaving it was
// given its last new work; 0 if it was given none.
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
