package edge

import (
	"sync/atomic"
	"time"
)

// atomicTime is a point in time that one goroutine sets and others read. It uses the
// monotonic clock.
type atomicTime struct{ at atomic.Int64 }

var processStart = time.Now()

func (m *atomicTime) set() { m.at.Store(int64(time.Since(processStart)) + 1) }

func (m *atomicTime) unset() { m.at.Store(0) }

func (m *atomicTime) copyFrom(other *atomicTime) { m.at.Store(other.at.Load()) }

// setEarlier sets it to a time ago.
func (m *atomicTime) setEarlier(ago time.Duration) {
	m.at.Store(int64(time.Since(processStart)-ago) + 1)
}

// elapsed returns the time since it was set, and false if it never was.
func (m *atomicTime) elapsed() (time.Duration, bool) {
	at := m.at.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(processStart) - time.Duration(at-1), true
}
