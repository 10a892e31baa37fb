// Package lag measures how long ready work waits for the processor in this process. A
// process that is behind learns late of all that happens: requests, callers that leave,
// deadlines.
package lag

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"buckthornridge/pause"
)

// interval is the time between two samples.
const interval = 50 * time.Millisecond

// Meter measures the delay of a process. Its zero value reports none.
type Meter struct {
	// Refused counts what was refused for the delay.
	Refused atomic.Int64

	longest atomic.Int64 // since it was taken, nanoseconds
	sample  atomic.Int64 // of the last sample, nanoseconds
	due     atomic.Int64 // when the next sample is due, nanoseconds after epoch
}

// epoch is the origin of monotonic times in atomics.
var epoch = time.Now()

// Run takes samples until the context ends.
func (m *Meter) Run(ctx context.Context) {
	for {
		due := time.Now().Add(interval)
		m.due.Store(int64(due.Sub(epoch)))
		if pause.For(ctx, interval) != nil {
			return
		}
		runtime.Gosched() // behind all that is ready by now
		sample := int64(max(0, time.Since(due)))
		m.sample.Store(sample)
		m.longest.Store(max(m.longest.Load(), sample))
	}
}

// Delay returns how long ready work waits: as the last sample did, or as long as the one
// that is due already waits.
func (m *Meter) Delay() time.Duration {
	due := m.due.Load()
	if due == 0 {
		return 0
	}
	return max(time.Duration(m.sample.Load()), time.Since(epoch)-time.Duration(due), 0)
}

// TakeLongest returns the longest sample since the last call.
func (m *Meter) TakeLongest() time.Duration { return time.Duration(m.longest.Swap(0)) }
