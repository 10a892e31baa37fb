package edge

import (
	"context"
	"fmt"
	"io"
	"math"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/connlimit"
	"buckthornridge/pause"
)

const (
	// callerConnShare is the part of the memory that callers' connections and requests with
	// ordinary heads may take, callerHeadShare the part for larger heads.
	callerConnShare = 0.3
	callerHeadShare = 0.1
	// fileDescriptors are those that are not for sockets.
	fileDescriptors = 200
	// callerDescriptorShare is the part of the other descriptors that callers' connections may
	// take. The rest is for upstreams, peers, the store and health checks.
	callerDescriptorShare = 0.5

	// operatorConnections bounds connections of health checks and of readers of metrics,
	// operatorHeadBytes what their heads may take together.
	operatorConnections = 32
	operatorHeadBytes   = 1 << 20

	// unboundedHeaderBytes leaves the bound of heads to the guard.
	unboundedHeaderBytes = math.MaxInt32
	connSweepInterval    = 500 * time.Millisecond
)

// operatorLimits are those of health checks and of readers of metrics.
var operatorLimits = connlimit.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// newConnGuards returns the guards of callers' connections and of operators' ones, for a
// process with some memory in bytes.
func newConnGuards(memory int64) (callers, operators *connlimit.Guard) {
	if memory <= 0 {
		memory = defaultMemory
	}
	callers = connlimit.NewGuard(connlimit.Bounds{
		Connections:     callerConnections(),
		ConnectionBytes: int64(callerConnShare * float64(memory)),
		HeadBytes:       int64(callerHeadShare * float64(memory)),
	})
	operators = connlimit.NewGuard(connlimit.Bounds{Connections: operatorConnections, HeadBytes: operatorHeadBytes})
	operators.SetLimits(operatorLimits)
	return callers, operators
}

// callerConnections returns how many connections of callers the process's descriptors allow; 0
// if their limit is not known.
func callerConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		klog.Warningf("step=descriptors result=unknown err=%q", err.Error())
		return 0
	}
	free := float64(min(limit.Cur, math.MaxInt32)) - fileDescriptors
	return max(1, int(callerDescriptorShare*free))
}

// sweepConns closes connections at their timeouts until the context ends.
func (p *Process) sweepConns(ctx context.Context) {
	before := p.callerConns.Counts()
	for pause.For(ctx, connSweepInterval) == nil {
		p.callerConns.Sweep()
		p.operatorConns.Sweep()
		now := p.callerConns.Counts()
		if now.Evicted != before.Evicted || now.Refused != before.Refused || now.TooLarge != before.TooLarge || now.TimedOut != before.TimedOut {
			klog.Infof("step=caller_conns open=%d connection_bytes=%d head_bytes=%d evicted=%v refused=%d too_large=%d timed_out=%d",
				now.Open, now.ConnectionBytes, now.HeadBytes, now.Evicted, now.Refused, now.TooLarge, now.TimedOut)
		}
		before = now
	}
}

// writeConnMetrics writes the counters of callers' connections.
func writeConnMetrics(w io.Writer, c connlimit.Counts) {
	fmt.Fprintf(w, "caller_connections_count %d\ncaller_connection_bytes_count %d\ncaller_head_bytes_count %d\n", c.Open, c.ConnectionBytes, c.HeadBytes)
	for p, n := range c.Evicted {
		fmt.Fprintf(w, "caller_connections_evicted_total{phase=%q} %d\n", connlimit.Phases[p], n)
	}
	fmt.Fprintf(w, "caller_connections_refused_total %d\ncaller_heads_too_large_total %d\ncaller_timeouts_total %d\n", c.Refused, c.TooLarge, c.TimedOut)
}
