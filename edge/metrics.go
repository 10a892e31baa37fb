package edge

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/relay"
)

// firstByteBounds are the upper bounds of the histogram of times to the first byte.
var firstByteBounds = []time.Duration{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
}

// metrics counts requests by their records. It implements relay.Recorder.
type metrics struct {
	mu                  sync.Mutex
	outcomes            map[string]int64 // by outcome
	routes              map[string]int64 // by route and outcome
	repeats             map[string]int64 // by cause and what was known of the run before
	firstByte           []int64
	sends               int64
	consumed            int64 // tokens
	writeProcessMetrics func(w io.Writer)
}

func newMetrics() *metrics {
	m := &metrics{outcomes: map[string]int64{}, routes: map[string]int64{}, repeats: map[string]int64{}, firstByte: make([]int64, len(firstByteBounds)+1)}
	for _, r := range relay.PossibleRepeats {
		m.repeats[repeatLabels(r)] = 0
	}
	return m
}

func repeatLabels(r relay.Repeat) string { return fmt.Sprintf("cause=%q,before=%q", r.Cause, r.Before) }

// RecordRequest implements relay.Recorder. It writes one log line and updates the
// counters.
func (m *metrics) RecordRequest(d relay.RequestRecord) {
	klog.Info(RequestLogLine(d))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[d.Outcome]++
	m.routes[fmt.Sprintf("route=%q,outcome=%q", d.Route, d.Outcome)]++
	m.sends += int64(d.Sends)
	for _, r := range d.Repeats {
		m.repeats[repeatLabels(r)]++
	}
	m.consumed += d.Consumed
	if d.First > 0 {
		m.firstByte[m.bucket(d.First)]++
	}
}

// RequestLogLine returns the log line of one request. explain.ParseRequest parses it.
func RequestLogLine(d relay.RequestRecord) string {
	return fmt.Sprintf("step=request id=%s caller=%s route=%s workspace=%s outcome=%s cause=%s status=%d sends=%d repeats=%v upstreams=%v versions=%q origin=%q via=%s "+
		"expected_ms=%d first_ms=%d total_ms=%d ceiling=%d consumed=%d detail=%q",
		clip(d.ID), d.Caller, d.Route, d.Workspace, d.Outcome, d.Cause, d.Status, d.Sends, d.Repeats, d.Upstreams, d.Versions, clip(d.Origin), d.Via,
		d.Expected.Milliseconds(), d.First.Milliseconds(), d.Total.Milliseconds(), d.Ceiling, d.Consumed, clip(d.Detail))
}

// loggedBytes bounds texts of callers in log lines.
const loggedBytes = 1 << 10

func clip(text string) string {
	if len(text) > loggedBytes {
		return text[:loggedBytes]
	}
	return text
}

func (m *metrics) bucket(d time.Duration) int {
	for i, bound := range firstByteBounds {
		if d <= bound {
			return i
		}
	}
	return len(firstByteBounds)
}

// ServeHTTP implements http.Handler. It writes counters and a histogram as text.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	writeCounters(w, "requests_total", "outcome=%q", m.outcomes)
	writeCounters(w, "route_requests_total", "%s", m.routes)
	writeCounters(w, "repeats_total", "%s", m.repeats)
	fmt.Fprintf(w, "sends_total %d\nconsumed_tokens_total %d\n", m.sends, m.consumed)
	var below int64
	for i, bound := range firstByteBounds {
		below += m.firstByte[i]
		fmt.Fprintf(w, "first_byte_seconds_bucket{le=\"%g\"} %d\n", bound.Seconds(), below)
	}
	fmt.Fprintf(w, "first_byte_seconds_count %d\n", below+m.firstByte[len(firstByteBounds)])
	if m.writeProcessMetrics != nil {
		m.writeProcessMetrics(w)
	}
}

func writeCounters(w io.Writer, name, label string, counters map[string]int64) {
	keys := make([]string, 0, len(counters))
	for key := range counters {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		fmt.Fprintf(w, name+"{"+label+"} %d\n", key, counters[key])
	}
}
