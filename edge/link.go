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

// linkEvery is the time between two looks at what the link carries.
const linkEvery = time.Second

// newPeerClient returns a client whose connections are counted.
func newPeerClient(meter *traffic.Meter) *peer.Client {
	client := peer.NewClient(nil)
	client.DialContext = meter.Dial(traffic.Peers, (&net.Dialer{}).DialContext)
	return client
}

// watchLink writes down what the link carried, and for whom, until the context ends.
func (p *Process) watchLink(ctx context.Context) {
	meter := p.adapter.Traffic
	if meter == nil {
		return
	}
	earlier := meter.Read()
	for pause.For(ctx, linkEvery) == nil {
		now := meter.Read()
		klog.Info(linkLine(now.Minus(earlier), p.open.Load(), meter.TakeWaits(traffic.Store), meter.TakeWaits(traffic.Peers)))
		earlier = now
	}
}

// linkLine is the log line of what a link carried since the last one: bytes in and out
// and new connections by kind, callers' connections, and how calls of the store and of
// peers fared.
func linkLine(moved traffic.Reading, callers int64, table, peers traffic.Waits) string {
	var line strings.Builder
	total := moved.Total()
	fmt.Fprintf(&line, "step=link in=%d out=%d", total.In, total.Out)
	for _, k := range traffic.Kinds() {
		fmt.Fprintf(&line, " %s=%d/%d/%d", k, moved[k].In, moved[k].Out, moved[k].Opened)
	}
	fmt.Fprintf(&line, " open=%d", callers)
	writeWaits(&line, "store", table)
	writeWaits(&line, "peer", peers)
	return line.String()
}

func writeWaits(w io.Writer, name string, waits traffic.Waits) {
	fmt.Fprintf(w, " %s_calls=%d %s_failed=%d %s_connect_ms=%d %s_answer_ms=%d",
		name, waits.Calls, name, waits.Failed, name, waits.Connect.Milliseconds(), name, waits.Answer.Milliseconds())
}

// writeTraffic writes the counters of the link.
func writeTraffic(w io.Writer, r traffic.Reading) {
	for _, k := range traffic.Kinds() {
		fmt.Fprintf(w, "link_bytes_total{for=%q,direction=\"in\"} %d\nlink_bytes_total{for=%q,direction=\"out\"} %d\n", k, r[k].In, k, r[k].Out)
		fmt.Fprintf(w, "link_connections_total{for=%q} %d\n", k, r[k].Opened)
	}
}
