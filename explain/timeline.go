package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Timeline counts requests by time and outcome, which tells a lasting degradation after
// an event from a short disturbance.
type Timeline struct {
	// Interval is the time that one row covers; it must be over 0.
	Interval time.Duration

	intervals map[int64]*interval
}

// interval holds the counts of one row.
type interval struct {
	requests, succeeded int
	reasons             map[string]int // of the others, by cause or outcome
	writtenOff          int64          // tokens
}

// Add counts one request. Lines without a time are ignored.
func (t *Timeline) Add(r RequestEntry) {
	s := t.intervalAt(r.At)
	if s == nil {
		return
	}
	s.requests++
	if r.Status >= 200 && r.Status < 300 {
		s.succeeded++
		return
	}
	s.reasons[cmp.Or(r.Cause, r.Outcome)]++
}

// AddWriteOff adds the tokens of a write-off.
func (t *Timeline) AddWriteOff(e WriteOffEntry) {
	if s := t.intervalAt(e.At); s != nil {
		s.writtenOff += e.Losses.Total()
	}
}

func (t *Timeline) intervalAt(endedAt time.Time) *interval {
	if endedAt.IsZero() {
		return nil
	}
	if t.intervals == nil {
		t.intervals = map[int64]*interval{}
	}
	row := int64(endedAt.Sub(logYearStart) / t.Interval)
	if t.intervals[row] == nil {
		t.intervals[row] = &interval{reasons: map[string]int{}}
	}
	return t.intervals[row]
}

// logYearStart is the start of year 0, the year of the times that lineTime returns.
var logYearStart = time.Date(0, time.January, 1, 0, 0, 0, 0, time.UTC)

// maxReasons bounds the reasons that a row lists.
const maxReasons = 5

// Write prints a row for each interval that has requests or write-offs, in order of time.
// A request counts in the interval in which it ended.
func (t *Timeline) Write(w io.Writer) {
	fmt.Fprintf(w, "by time, every %s: requests, share of successes, reasons of the others, tokens written off\n", t.Interval)
	for _, row := range slices.Sorted(maps.Keys(t.intervals)) {
		s := t.intervals[row]
		fmt.Fprintf(w, "  %s %6d %.2f%s", logYearStart.Add(time.Duration(row)*t.Interval).Format("15:04:05.0"), s.requests, s.successShare(), formatReasons(s.reasons))
		if s.writtenOff > 0 {
			fmt.Fprintf(w, " written_off_tokens=%d", s.writtenOff)
		}
		fmt.Fprintln(w)
	}
}

func (s *interval) successShare() float64 { return float64(s.succeeded) / float64(max(s.requests, 1)) }

// formatReasons lists the most frequent reasons with their counts.
func formatReasons(counts map[string]int) string {
	var line strings.Builder
	for i, key := range byCount(counts) {
		if i == maxReasons {
			break
		}
		fmt.Fprintf(&line, " %s=%d", key, counts[key])
	}
	return line.String()
}
