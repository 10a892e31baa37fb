package quarantine

import (
	"sync/atomic"
	"time"
)

// answeredSlots is the number of parts in the cache of those that were answered.
const answeredSlots = 4096

// answeredCache remembers when parts were last seen in a request that was being answered.
// It has a fixed size; a part displaces another one with the same slot. It needs no lock.
type answeredCache struct {
	start time.Time
	// slots hold 32 bits of a key's hash and the milliseconds from start, at least 1.
	slots [answeredSlots]atomic.Uint64
}

func (c *answeredCache) mark(k partKey, now time.Time) {
	h := k.hash()
	at := uint64(uint32(now.Sub(c.start).Milliseconds() + 1))
	c.slots[h%answeredSlots].Store(h>>32<<32 | at)
}

// last returns when a part was last marked.
func (c *answeredCache) last(k partKey) (at time.Time, ok bool) {
	h := k.hash()
	slot := c.slots[h%answeredSlots].Load()
	if slot == 0 || slot>>32 != h>>32 {
		return time.Time{}, false
	}
	return c.start.Add(time.Duration(uint32(slot)-1) * time.Millisecond), true
}
