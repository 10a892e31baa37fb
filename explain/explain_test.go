package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/budget/allowance"
	"buckthornridge/edge"
	"buckthornridge/relay"
)

func refusal() relay.Decision {
	return relay.Decision{
		ID: "9c41d07be2a35f68", Route: "drafts", Workspace: "studio", Outcome: "budget_in_doubt", Status: 503,
		Cause: string(allowance.CauseBound), Total: 80 * time.Millisecond, Ceiling: 4500,
		Detail: `budget studio: refused; "granted"=9000 bound=100`,
	}
}

func answer() relay.Decision {
	return relay.Decision{
		ID: "b1", Route: "drafts", Workspace: "studio", Outcome: "streamed", Status: 200, Sends: 2,
		Upstreams: []string{"u1", "u2"}, Expected: 40 * time.Millisecond, First: 1200 * time.Millisecond,
		Total: 2 * time.Second, Ceiling: 4500, Consumed: 4400,
	}
}

// logged is a line as a process and a collector of logs write it.
func logged(d relay.Decision) string {
	return "  12.034 vm-1 I0515 13:49:51.625992    8493 metrics.go:39] " + edge.DecisionLine(d)
}

// The command reads what the process writes: every field of its line.
func TestReadsTheLineThatTheProcessWrites(t *testing.T) {
	is := is.New(t)
	for _, d := range []relay.Decision{refusal(), answer()} {
		r, found := Parse(logged(d))
		is.True(found)
		is.Equal(r, Record{
			Line: logged(d), ID: d.ID, Route: d.Route, Workspace: d.Workspace, Outcome: d.Outcome, Cause: d.Cause,
			Status: d.Status, Upstreams: append([]string{}, d.Upstreams...), Expected: d.Expected, First: d.First,
			Total: d.Total, Ceiling: d.Ceiling, Consumed: d.Consumed, Detail: d.Detail,
		})
	}
	_, found := Parse("I0515 step=start vm=a")
	is.True(!found)
}

func TestSortsByCauseAndUpstream(t *testing.T) {
	is := is.New(t)
	log := strings.Join([]string{logged(refusal()), "something else", logged(answer()), logged(refusal())}, "\n")
	s := Summary{Late: time.Second}
	is.NoErr(Read(strings.NewReader(log), s.Add))
	var out strings.Builder
	s.Write(&out)
	is.Equal(out.String(), `3 requests
ended as
       2 budget_in_doubt
       1 streamed
refused for budget
       2 bound: its grant covers the request, the last report does not: the store was not reached
first byte after 1s or later: 1
       1 at u2: 1.2s in the mean, 1.16s of it unexpected
`)
}

func TestTellsOneRequest(t *testing.T) {
	is := is.New(t)
	r, _ := Parse(logged(refusal()))
	var out strings.Builder
	r.Write(&out)
	is.True(strings.Contains(out.String(), "cause bound"))
	is.True(strings.Contains(out.String(), "sent to no upstream"))
}
