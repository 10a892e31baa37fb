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

// Summary counts requests by outcome and cause, and late responses by upstream.
type Summary struct {
	// LateThreshold is the time to first byte from which a response counts as late; 0
	// turns this off.
	LateThreshold time.Duration

	requestCount   int
	outcomes       map[string]int
	causes         map[string]int // of budget refusals
	lateByUpstream map[string]*lateResponses
	// lateErrors counts late responses with a 5xx of the upstream itself, such as 504 at
	// its timeout: they say nothing about the choice of the upstream.
	lateErrors int
}

// lateResponses sums the late responses of one upstream.
type lateResponses struct {
	requests          int
	firstByte, excess time.Duration // sums: time to first byte, and the part above the prediction
}

// Add counts one request.
func (s *Summary) Add(r RequestEntry) {
	if s.outcomes == nil {
		s.outcomes, s.causes, s.lateByUpstream = map[string]int{}, map[string]int{}, map[string]*lateResponses{}
	}
	s.requestCount++
	s.outcomes[r.Outcome]++
	if r.Cause != "" {
		s.causes[r.Cause]++
	}
	if s.LateThreshold <= 0 || r.FirstByte < s.LateThreshold || len(r.Upstreams) == 0 {
		return
	}
	if r.Status >= 500 {
		s.lateErrors++
		return
	}
	last := r.Upstreams[len(r.Upstreams)-1]
	if s.lateByUpstream[last] == nil {
		s.lateByUpstream[last] = &lateResponses{}
	}
	s.lateByUpstream[last].requests++
	s.lateByUpstream[last].firstByte += r.FirstByte
	s.lateByUpstream[last].excess += max(0, r.FirstByte-r.Expected)
}

// maxUpstreams bounds the upstreams that a summary lists.
const maxUpstreams = 10

// Write prints the summary.
func (s *Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "%d requests\n", s.requestCount)
	writeCounts(w, "outcomes", s.outcomes)
	writeCounts(w, "budget refusals", s.causes)
	names := make([]string, 0, len(s.lateByUpstream))
	total := 0
	for name, l := range s.lateByUpstream {
		names = append(names, name)
		total += l.requests
	}
	if s.LateThreshold <= 0 {
		return
	}
	fmt.Fprintf(w, "first byte after %s or later: %d responses, and %d upstream errors\n", s.LateThreshold, total, s.lateErrors)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.lateByUpstream[b].requests, s.lateByUpstream[a].requests), strings.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxUpstreams)] {
		l := s.lateByUpstream[name]
		n := time.Duration(l.requests)
		fmt.Fprintf(w, "  %6d at %s: mean %s, of which %s above the prediction\n",
			l.requests, name, (l.firstByte / n).Round(time.Millisecond), (l.excess / n).Round(time.Millisecond))
	}
}

func writeCounts(w io.Writer, title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintf(w, "%s\n", title)
	for _, key := range byCount(counts) {
		fmt.Fprintf(w, "  %6d %s%s\n", counts[key], key, description(key))
	}
}

// byCount returns the keys of counts by descending count.
func byCount(counts map[string]int) []string {
	return slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b))
	})
}
