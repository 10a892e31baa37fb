package traffic

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Causes counts calls by what they are made for. The zero value is ready to use; it is safe for
// concurrent use.
type Causes struct {
	mu    sync.Mutex
	calls map[string]int64
}

// Add counts calls; 0 makes a cause appear that has none yet.
func (c *Causes) Add(cause string, calls int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[string]int64{}
	}
	c.calls[cause] += calls
}

// Counts returns the calls since the start by cause.
func (c *Causes) Counts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.calls)
}

// CausesLine returns the differences of two counts for a log line, in the order of their names.
func CausesLine(now, before map[string]int64) string {
	var line strings.Builder
	for _, cause := range slices.Sorted(maps.Keys(now)) {
		if n := now[cause] - before[cause]; n > 0 {
			fmt.Fprintf(&line, " %s=%d", cause, n)
		}
	}
	return line.String()
}
