package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/budget/allowance"
	"buckthornridge/edge"
	"buckthornridge/relay"
	"buckthornridge/upstream"
)

func refusedRequest() relay.RequestRecord {
	return relay.RequestRecord{
		ID: "9c41d07be2a35f68", Route: "drafts", Workspace: "studio", Outcome: "budget_in_doubt", Status: 503,
		Cause: string(allowance.CauseBound), Total: 80 * time.Millisecond, Ceiling: 4500,
		Detail: `budget studio: refused; "granted"=9000 bound=100`,
	}
}

func streamedRequest() relay.RequestRecord {
	return relay.RequestRecord{
		ID: "b1", Route: "drafts", Workspace: "studio", Outcome: "streamed", Status: 200, Sends: 2,
		Repeats:   []relay.Repeat{{Cause: "silent", Before: upstream.RunCancelled}},
		Upstreams: []string{"u1", "u2"}, Expected: 40 * time.Millisecond, First: 1200 * time.Millisecond,
		Total: 2 * time.Second, Ceiling: 4500, Consumed: 4400,
	}
}

// logLine is a line as the process writes it, behind the prefix of a log collector.
func logLine(d relay.RequestRecord) string {
	return "  12.034 vm-1 I0515 13:49:51.625992    8493 metrics.go:39] " + edge.RequestLogLine(d)
}

// ParseRequest reads every field of the log line that the edge writes.
func TestParseRequestReadsEveryField(t *testing.T) {
	is := is.New(t)
	for _, d := range []relay.RequestRecord{refusedRequest(), streamedRequest()} {
		r, found := ParseRequest(logLine(d))
		is.True(found)
		repeats := []string{}
		for _, repeat := range d.Repeats {
			repeats = append(repeats, repeat.String())
		}
		is.Equal(r, RequestEntry{
			Repeats: repeats,
			Line:    logLine(d), At: lineTime(logLine(d)), ID: d.ID, Route: d.Route, Workspace: d.Workspace, Outcome: d.Outcome, Cause: d.Cause,
			Status: d.Status, Upstreams: append([]string{}, d.Upstreams...), Expected: d.Expected, FirstByte: d.First,
			Total: d.Total, Reserved: d.Ceiling, Consumed: d.Consumed, Detail: d.Detail,
		})
	}
	_, found := ParseRequest("I0515 step=start vm=a")
	is.True(!found)
}

func TestSummaryCountsByCauseAndUpstream(t *testing.T) {
	is := is.New(t)
	timedOut := streamedRequest() // the upstream's own response at its timeout
	timedOut.Outcome, timedOut.Status = "answered", 504
	log := strings.Join([]string{logLine(refusedRequest()), "another line", logLine(streamedRequest()), logLine(refusedRequest()), logLine(timedOut)}, "\n")
	s := Summary{LateThreshold: time.Second}
	is.NoErr(Read(strings.NewReader(log), Visitor{OnRequest: s.Add}))
	var out strings.Builder
	s.Write(&out)
	is.Equal(out.String(), `4 requests
outcomes
       2 budget_in_doubt
       1 answered
       1 streamed
budget refusals
       2 bound: the VM's grant covers the request, its last report does not: the store was unreachable
first byte after 1s or later: 1 responses, and 1 upstream errors
       1 at u2: mean 1.2s, of which 1.16s above the prediction
`)
}

// Guards against an explanation that does not say why a request was sent once more.
func TestRequestEntryWritesRepeats(t *testing.T) {
	is := is.New(t)
	r, _ := ParseRequest(logLine(streamedRequest()))
	var out strings.Builder
	r.Write(&out)
	is.True(strings.Contains(out.String(), "sent once more: nothing came from the upstream any more; the run before: cancelled"))
}

func TestRequestEntryWritesOutcomeAndCause(t *testing.T) {
	is := is.New(t)
	r, _ := ParseRequest(logLine(refusedRequest()))
	var out strings.Builder
	r.Write(&out)
	is.True(strings.Contains(out.String(), "cause bound"))
	is.True(strings.Contains(out.String(), "not sent to any upstream"))
}

// logLineAt is a line that the process writes at the given second of a fixed minute.
func logLineAt(second int, text string) string {
	return fmt.Sprintf("I0515 13:49:%02d.250000    8493 metrics.go:39] %s", second, text)
}

// Guards against missing a lasting degradation after a loss of power, which sums over a
// whole day hide.
func TestTimelineShowsDegradationAndWriteOffs(t *testing.T) {
	is := is.New(t)
	lost := allowance.WriteOff{
		Budget: "studio", Holder: "vm-1#1", Granted: 9000, Settled: 4000,
		Losses: allowance.Losses{Running: 500, Headroom: 300, Growth: 200}, ReportAge: 1300 * time.Millisecond,
	}
	log := strings.Join([]string{
		logLineAt(10, edge.RequestLogLine(streamedRequest())), logLineAt(11, edge.RequestLogLine(streamedRequest())),
		logLineAt(12, lost.Line()), logLineAt(13, edge.RequestLogLine(refusedRequest())), logLineAt(13, edge.RequestLogLine(streamedRequest())),
		logLineAt(14, edge.RequestLogLine(refusedRequest())), "step=request outcome=answered status=200",
	}, "\n")
	timeline, writeOffs := Timeline{Interval: 2 * time.Second}, WriteOffSummary{}
	is.NoErr(Read(strings.NewReader(log), Visitor{OnRequest: timeline.Add, OnWriteOff: func(e WriteOffEntry) {
		is.Equal(e.WriteOff, lost) // every field of the log line is parsed
		timeline.AddWriteOff(e)
		writeOffs.Add(e)
	}}))
	var out strings.Builder
	timeline.Write(&out)
	writeOffs.Write(&out)
	is.Equal(out.String(), `by time, every 2s: requests, share of successes, reasons of the others, tokens written off
  13:49:10.0      2 1.00
  13:49:12.0      2 0.50 bound=1 written_off_tokens=1000
  13:49:14.0      1 0.00 bound=1
tokens written off for 1 ended holders; age of their last reports 1.3s (median), 1.3s (maximum)
        1000 all: running=500 cover=300 growth=200
        1000 studio: running=500 cover=300 growth=200
`)
}
