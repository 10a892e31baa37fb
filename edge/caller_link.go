package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/relay"
	"buckthornridge/traffic"
)

// callerLink decides what callers get while the VM's link is full: whose body is read, and when
// those come back that are refused.
type callerLink struct {
	state    *traffic.Saturation
	incoming *traffic.Pacer // of bodies from callers
	outgoing *traffic.Pacer // of bodies to upstreams
	returns  *traffic.Returns
	// refused counts requests that had no turn in time, scheduled the returns.
	refused, scheduled atomic.Int64
}

// newCallerLink returns the decisions for a link's rate in Mbit/s; nil if it is not known.
func newCallerLink(mbit float64) *callerLink {
	if mbit <= 0 {
		return nil
	}
	return &callerLink{
		state: new(traffic.Saturation), incoming: traffic.NewPacer(mbit), outgoing: traffic.NewPacer(mbit),
		returns: traffic.NewReturns(mbit),
	}
}

func (l *callerLink) saturated() bool { return l != nil && l.state.Saturated() }

// held reports whether the VM should get no new callers.
func (l *callerLink) held() bool { return l != nil && l.state.Held() }

// answerDelay returns how long answers wait while the link is full.
func (l *callerLink) answerDelay() time.Duration {
	if !l.saturated() {
		return 0
	}
	return l.state.AnswerDelay()
}

// outgoingPacer returns the pacer of bodies to upstreams, or nil while the link has room: then
// small bodies would only wait for long ones.
func (l *callerLink) outgoingPacer() *traffic.Pacer {
	if !l.saturated() {
		return nil
	}
	return l.outgoing
}

// awaitTurn waits until the body of a request may be read.
func (l *callerLink) awaitTurn(ctx context.Context, a relay.Admission, bytes int64) *relay.Problem {
	err := l.incoming.Acquire(ctx, traffic.Transfer{Class: a.Priority, Flow: a.Workspace, Deadline: a.Deadline, Bytes: bytes})
	if err == nil {
		return nil
	}
	l.refused.Add(1)
	if !errors.Is(err, traffic.ErrTooLate) {
		err = fmt.Errorf("the caller left: %w", err)
	}
	return &relay.Problem{Status: http.StatusServiceUnavailable, Name: "link_full", Cause: "no_turn", Detail: err.Error(), RetryAfter: retryAfterOverload}
}

// latestReturn is the divisor of the time that a caller has left within which it comes back.
const latestReturn = 3

// schedule gives a refused caller its turn to come back. If it was refused for certain, or
// knows no deadline, the problem stays as it is.
func (l *callerLink) schedule(p *relay.Problem, q *relay.Request, class int, bytes int64) *relay.Problem {
	if !p.NotExecuted() || q == nil || q.CallerTimeout <= 0 {
		return p
	}
	now := time.Now()
	latest := (q.CallerTimeout - now.Sub(q.Arrived)) / latestReturn
	if latest <= 0 {
		return p
	}
	l.scheduled.Add(1)
	turn := *p
	turn.RetryAfter = l.returns.After(now, class, max(bytes, 0), min(max(p.RetryAfter, l.state.UntilMoved(now)), latest), latest)
	return &turn
}

// observe updates the decisions from the traffic of one interval.
func (l *callerLink) observe(now time.Time, carried traffic.Snapshot, elapsed time.Duration, utilization float64, delay time.Duration) {
	if l == nil || elapsed <= 0 {
		return
	}
	if l.state.Observe(now, utilization, delay) {
		klog.Infof("step=link_full full=%t use=%.2f answer_ms=%d refused=%d returns=%d",
			l.state.Saturated(), utilization, delay.Milliseconds(), l.refused.Load(), l.scheduled.Load())
	}
	all := carried.Total()
	l.incoming.SetUnpaced(float64(all.In-carried[traffic.Callers].In) / elapsed.Seconds())
	l.outgoing.SetUnpaced(float64(all.Out-carried[traffic.Upstreams].Out) / elapsed.Seconds())
}

// writeMetrics writes the counters of a full link; zeros if its rate is not known.
func (l *callerLink) writeMetrics(w io.Writer) {
	if l == nil {
		l = &callerLink{}
	}
	full := 0
	if l.saturated() {
		full = 1
	}
	fmt.Fprintf(w, "link_full_open %d\nlink_answer_delay_seconds %g\nlink_refused_total %d\nlink_returns_total %d\n",
		full, l.state.AnswerDelay().Seconds(), l.refused.Load(), l.scheduled.Load())
	for direction, pacer := range map[string]*traffic.Pacer{"in": l.incoming, "out": l.outgoing} {
		s := pacer.Stats()
		fmt.Fprintf(w, "link_transfers_waiting_count{direction=%q} %d\nlink_transfers_late_total{direction=%q} %d\n", direction, s.Waiting, direction, s.Late)
		fmt.Fprintf(w, "link_transfers_total{direction=%q,class=\"0\"} %d\n", direction, s.Passed[0])
		for class, n := range s.Passed {
			if class != 0 {
				fmt.Fprintf(w, "link_transfers_total{direction=%q,class=\"%d\"} %d\n", direction, class, n)
			}
		}
	}
}
