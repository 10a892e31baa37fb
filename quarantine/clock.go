package quarantine

import (
	"time"

	"buckthornridge/store"
)

// commonClock translates between this process's time and that of records, which all
// routers share. Until the shared clock is known, the newest time in a record counts as
// the present.
type commonClock struct {
	clock    store.Clock // nil: the time of day
	newest   int64       // milliseconds, of the newest time in a record
	newestAt time.Time
}

// now returns the shared clock in milliseconds.
func (c *commonClock) now() int64 {
	if c.clock == nil {
		return time.Now().UnixMilli()
	}
	if now, known := c.clock.Now(); known {
		return now.Milliseconds()
	}
	if c.newestAt.IsZero() {
		return 0
	}
	return c.newest + time.Since(c.newestAt).Milliseconds()
}

// observe notes a time in a record.
func (c *commonClock) observe(ms int64) {
	if ms > c.now() {
		c.newest, c.newestAt = ms, time.Now()
	}
}

func (c *commonClock) toShared(at time.Time) int64 { return c.now() - time.Since(at).Milliseconds() }

// toLocal never returns a time in the future.
func (c *commonClock) toLocal(ms int64) time.Time {
	return time.Now().Add(-max(0, time.Duration(c.now()-ms)*time.Millisecond))
}
