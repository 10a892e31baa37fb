package router

import (
	"testing"

	"buckthornridge/docs/operators"
	"buckthornridge/request"
)

// The operators' page of counters must list only counters that a router publishes.
// An alert on a counter that does not exist never fires, which goes unnoticed until
// the failure that it should report.
func TestCountersPageMatchesCode(t *testing.T) {
	s := DefaultSettings()
	s.VM, s.Platform = "vm-1", "127.0.0.1:1"
	s.Listen, s.PeerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	r, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	r.Publish()
	// A key is published with its first count.
	problems := map[string]bool{}
	for _, name := range []request.ProblemName{
		request.ProblemBudgetExhausted, request.ProblemPlatformUnavailable, request.ProblemOverloaded,
		request.ProblemDeadline, request.ProblemUpstreamFailed, request.ProblemOutcomeUnknown, request.ProblemQuarantined,
	} {
		problems[string(name)] = true
	}
	rows := operators.Counters("buckthorn-router")
	if len(rows) == 0 {
		t.Fatal("no counters on the page")
	}
	for _, row := range rows {
		if !operators.Published(row.Name) {
			t.Errorf("no counter %s", row.Name)
		}
		counted := row.Name == "api_problems" && problems[row.Key]
		if row.Key != "" && !counted && !operators.Published(row.Name+"."+row.Key) {
			t.Errorf("counter %s has no key %s", row.Name, row.Key)
		}
	}
}
