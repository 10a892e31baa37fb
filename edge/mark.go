package edge

import (
	"sync/atomic"
	"time"
)

// clockMark is a moment that one goroutine notes and others ask the age of.
type clockMark struct{ at atomic.Int64 }

var processStart = time.Now()

func (m *clockMark) set() { m.at.Store(int64(time.Since(processStart)) + 1) }

// age returns the time since the mark was set, and false if it never was.
func (m *clockMark) age() (time.Duration, bool) {
	at := m.at.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(processStart) - time.Duration(at-1), true
}
