package allowance

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"
)

// Losses splits the tokens that were written off with ended processes by cause.
type Losses struct {
	// Running is the ceilings of requests that ran at the time of the last report.
	Running int64
	// Headroom is what the report allowed beyond them at once.
	Headroom int64
	// Growth is what it allowed for the time that has passed since.
	Growth int64
}

// Total returns the sum of all causes, in tokens.
func (l Losses) Total() int64 { return l.Running + l.Headroom + l.Growth }

// Plus returns the sums by cause.
func (l Losses) Plus(other Losses) Losses {
	return Losses{Running: l.Running + other.Running, Headroom: l.Headroom + other.Headroom, Growth: l.Growth + other.Growth}
}

// WriteOff is what the end of one holder without a final report cost one budget.
type WriteOff struct {
	Budget, Holder string
	// Granted is what the holder might consume in all, Settled what it had certainly
	// consumed; both in tokens.
	Granted, Settled int64
	Losses           Losses
	// ReportAge is the age of its last report when the next process started.
	ReportAge time.Duration
}

// Line returns the log line of a write-off. Package explain parses it.
func (w WriteOff) Line() string {
	return fmt.Sprintf("step=reclaim budget=%s holder=%s granted=%d settled=%d lost=%d lost_running=%d lost_cover=%d lost_growth=%d report_age_ms=%d",
		w.Budget, w.Holder, w.Granted, w.Settled, w.Losses.Total(), w.Losses.Running, w.Losses.Headroom, w.Losses.Growth,
		w.ReportAge.Milliseconds())
}

// noteWriteOffs logs and counts write-offs that the table has recorded.
func (m *Manager) noteWriteOffs(ended []WriteOff) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range ended {
		klog.Info(w.Line())
		m.writtenOff = m.writtenOff.Plus(w.Losses)
	}
}
