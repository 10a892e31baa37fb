package explain

import (
	"fmt"
	"io"
	"strings"

	"buckthornridge/budget/allowance"
)

// descriptions explains outcomes and causes to an operator.
var descriptions = map[string]string{
	string(allowance.CauseNoGrant):    "this VM has no grant of the budget, and no other VM lent tokens",
	string(allowance.CauseGrantUsed):  "the VM's grant is used up, the pool has too few tokens, and no other VM lent any",
	string(allowance.CauseGrantFree):  "the VM's grant is used up, and tokens of the pool were not granted in time",
	string(allowance.CauseBound):      "the VM's grant covers the request, its last report does not: the store was unreachable",
	string(allowance.CauseWrittenOff): "the remaining tokens were written off with dead processes, which may have used them",
	string(allowance.CauseExhausted):  "the budget is used up",
	string(allowance.CauseStopping):   "the process was stopping or starting, or the caller disconnected",
	"no_upstream":                     "no upstream accepted the request; it was not executed",
	"origin_unknown":                  "the caller takes up a stream of which it is not known at which version it began; it was not executed",
	"origin_moved":                    "the caller takes up a stream of a service that the route no longer leads to; it was not executed",
	"not_run_in_time":                 "the deadline passed before an upstream executed the request",
	"quarantined":                     "upstreams ended while they ran the same request before; it was not executed",
	"timed_out":                       "the deadline passed while an upstream was processing the request",
	"failed":                          "an upstream may have executed the request and sent no complete response",
	"broken_off":                      "the response stream ended before it was complete",
	"caller_left":                     "the caller closed its connection",
	"repeat_refused":                  "the upstream did not run it",
	"repeat_failed":                   "the upstream answered with an error",
	"repeat_closed":                   "the upstream closed or reset the connection",
	"repeat_silent":                   "nothing came from the upstream any more",
	"repeat_invalid":                  "the upstream's bytes were not the response to the request",
	"repeat_too_large":                "the response exceeded a limit",
	"repeat_router_lost":              "the VM that sent the request was lost",
}

func description(key string) string {
	if text, known := descriptions[key]; known {
		return ": " + text
	}
	return ""
}

// Write prints the request's outcome, cause, upstreams, latencies and tokens.
func (r RequestEntry) Write(w io.Writer) {
	fmt.Fprintf(w, "request %s on route %s", r.ID, r.Route)
	if r.Workspace != "" {
		fmt.Fprintf(w, " of workspace %s", r.Workspace)
	}
	fmt.Fprintf(w, "\n  outcome %s, status %d, after %s%s\n", r.Outcome, r.Status, r.Total, description(r.Outcome))
	if r.Cause != "" {
		fmt.Fprintf(w, "  cause %s%s\n", r.Cause, description(r.Cause))
	}
	if len(r.Upstreams) > 0 {
		fmt.Fprintf(w, "  sent to %s\n", strings.Join(r.Upstreams, ", then "))
	} else {
		fmt.Fprintln(w, "  not sent to any upstream")
	}
	for _, repeat := range r.Repeats {
		cause, before, _ := strings.Cut(repeat, ":")
		fmt.Fprintf(w, "  sent once more%s; the run before: %s\n", description("repeat_"+cause), before)
	}
	if r.FirstByte > 0 {
		fmt.Fprintf(w, "  first byte after %s, predicted %s after the last send\n", r.FirstByte, r.Expected)
	}
	if r.Reserved > 0 {
		fmt.Fprintf(w, "  reserved %d tokens, consumed %d\n", r.Reserved, r.Consumed)
	}
	if r.Detail != "" {
		fmt.Fprintf(w, "  detail: %s\n", r.Detail)
	}
}
