package traffic

import (
	"sync"
	"time"
)

// CallStats holds the statistics of calls of one kind since they were last taken.
type CallStats struct {
	Calls, Failed int
	// Connect is the longest time until a call had its connection, Response the longest time
	// from then until its response began.
	Connect, Response time.Duration
}

// callStats holds the CallStats of all kinds.
type callStats struct {
	mu sync.Mutex
	by [kinds]CallStats
}

// RecordCall records one call: the time until it had a connection, and from then until its
// response began. For a failed call these are the times until it was abandoned.
func (m *Meter) RecordCall(k Kind, connect, answer time.Duration, err error) {
	if m == nil {
		return
	}
	m.callStats.mu.Lock()
	defer m.callStats.mu.Unlock()
	w := &m.callStats.by[k]
	w.Calls++
	if err != nil {
		w.Failed++
	}
	w.Connect = max(w.Connect, connect)
	w.Response = max(w.Response, answer)
}

// TakeCallStats returns the statistics of a kind since the last call and resets them.
func (m *Meter) TakeCallStats(k Kind) CallStats {
	m.callStats.mu.Lock()
	defer m.callStats.mu.Unlock()
	w := m.callStats.by[k]
	m.callStats.by[k] = CallStats{}
	return w
}
