package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"buckthornridge/budget/allowance"
)

// WriteOffEntry is the log line of what one budget lost with a process that ended without
// a final report.
type WriteOffEntry struct {
	allowance.WriteOff
	At time.Time
}

// writeOffPrefix starts the text that the process wrote to the log line of a write-off.
const writeOffPrefix = "step=reclaim "

// ParseWriteOff parses a log line and reports whether it is a write-off.
func ParseWriteOff(line string) (WriteOffEntry, bool) {
	_, text, found := strings.Cut(line, writeOffPrefix)
	if !found {
		return WriteOffEntry{}, false
	}
	fields := parseFields(text)
	return WriteOffEntry{At: lineTime(line), WriteOff: allowance.WriteOff{
		Budget: fields["budget"], Holder: fields["holder"],
		Granted: parseInt(fields["granted"]), Settled: parseInt(fields["settled"]),
		Losses: allowance.Losses{
			Running: parseInt(fields["lost_running"]), Headroom: parseInt(fields["lost_cover"]), Growth: parseInt(fields["lost_growth"]),
		},
		ReportAge: parseMillis(fields["report_age_ms"]),
	}}, true
}

// WriteOffSummary sums the write-offs by budget and cause.
type WriteOffSummary struct {
	holders int
	ages    []time.Duration
	budgets map[string]allowance.Losses
}

// Add counts one write-off.
func (s *WriteOffSummary) Add(e WriteOffEntry) {
	if s.budgets == nil {
		s.budgets = map[string]allowance.Losses{}
	}
	s.holders++
	s.ages = append(s.ages, e.ReportAge)
	s.budgets[e.Budget] = s.budgets[e.Budget].Plus(e.Losses)
}

// maxBudgets bounds the budgets that a summary lists.
const maxBudgets = 10

// Write prints the sum over all budgets and those of the budgets that lost most.
func (s *WriteOffSummary) Write(w io.Writer) {
	if s.holders == 0 {
		return
	}
	var all allowance.Losses
	for _, l := range s.budgets {
		all = all.Plus(l)
	}
	slices.Sort(s.ages)
	fmt.Fprintf(w, "tokens written off for %d ended holders; age of their last reports %s (median), %s (maximum)\n",
		s.holders, s.ages[len(s.ages)/2], s.ages[len(s.ages)-1])
	writeLosses(w, "all", all)
	names := slices.SortedFunc(maps.Keys(s.budgets), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.budgets[b].Total(), s.budgets[a].Total()), strings.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxBudgets)] {
		writeLosses(w, name, s.budgets[name])
	}
}

func writeLosses(w io.Writer, name string, l allowance.Losses) {
	fmt.Fprintf(w, "  %10d %s: running=%d cover=%d growth=%d\n", l.Total(), name, l.Running, l.Headroom, l.Growth)
}
