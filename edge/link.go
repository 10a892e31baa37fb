package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/pause"
	"buckthornridge/peer"
	"buckthornridge/traffic"
)

const (
	// linkInterval is the time between two samples of the link's traffic.
	linkInterval = 100 * time.Millisecond
	// samplesPerLogLine is the number of samples between two log lines.
	samplesPerLogLine = 10
	// samplesPerCallsLine is the same for the lines that count calls to the table.
	samplesPerCallsLine = 100
)

// newPeerClient returns a client whose traffic is counted.
func newPeerClient(meter *traffic.Meter) *peer.Client {
	client := peer.NewClient(nil)
	client.DialContext = meter.Dial(traffic.Peers, (&net.Dialer{}).DialContext)
	return client
}

// monitorLink opens and closes the gate for new callers by the utilization of the link,
// and logs its traffic by kind, until the context ends.
func (p *Process) monitorLink(ctx context.Context) {
	meter := p.adapter.Traffic
	if meter == nil {
		return
	}
	lastLogged, at := meter.Read(), time.Now()
	var calls map[string]int64
	last := lastLogged
	for sample := 1; pause.For(ctx, linkInterval) == nil; sample++ {
		current, now := meter.Read(), time.Now()
		if p.gate.Observe(current.Minus(last).Total(), now.Sub(at)) {
			klog.Infof("step=link_gate open=%t use=%.2f", p.gate.Open(), p.gate.Utilization())
		}
		p.callerLink.observe(now, current.Minus(last), now.Sub(at), p.gate.Utilization(), meter.AnswerDelay())
		last, at = current, now
		if sample%samplesPerLogLine == 0 {
			klog.Info(linkLogLine(current.Minus(lastLogged), int64(p.callerConns.Counts().Open), p.delay.TakeLongest(), meter.TakeCallStats(traffic.Store), meter.TakeCallStats(traffic.Peers)))
			lastLogged = current
		}
		if sample%samplesPerCallsLine == 0 {
			now := meter.CallCounts()
			klog.Infof("step=table_calls seconds=%g%s", (samplesPerCallsLine * linkInterval).Seconds(), traffic.CausesLine(now, calls))
			calls = now
		}
	}
}

// linkLogLine returns the log line of the link's traffic since the last one: bytes in
// and out and new connections by kind, callers' connections, the longest delay of ready work, and the statistics of calls
// to the store and to peers.
func linkLogLine(delta traffic.Snapshot, callers int64, delay time.Duration, table, peers traffic.CallStats) string {
	var line strings.Builder
	total := delta.Total()
	fmt.Fprintf(&line, "step=link in=%d out=%d", total.In, total.Out)
	for _, k := range traffic.Kinds() {
		fmt.Fprintf(&line, " %s=%d/%d/%d", k, delta[k].In, delta[k].Out, delta[k].Opened)
	}
	fmt.Fprintf(&line, " open=%d delay_ms=%d", callers, delay.Milliseconds())
	writeCallStats(&line, "store", table)
	writeCallStats(&line, "peer", peers)
	return line.String()
}

func writeCallStats(w io.Writer, name string, stats traffic.CallStats) {
	fmt.Fprintf(w, " %s_calls=%d %s_failed=%d %s_connect_ms=%d %s_answer_ms=%d",
		name, stats.Calls, name, stats.Failed, name, stats.Connect.Milliseconds(), name, stats.Response.Milliseconds())
}

// writeTraffic writes the counters of the link and whether it has capacity for more
// callers.
func writeTraffic(w io.Writer, r traffic.Snapshot, open bool) {
	room := 0
	if open {
		room = 1
	}
	fmt.Fprintf(w, "link_room_open %d\n", room)
	for _, k := range traffic.Kinds() {
		fmt.Fprintf(w, "link_bytes_total{for=%q,direction=\"in\"} %d\nlink_bytes_total{for=%q,direction=\"out\"} %d\n", k, r[k].In, k, r[k].Out)
		fmt.Fprintf(w, "link_connections_total{for=%q} %d\n", k, r[k].Opened)
	}
}
