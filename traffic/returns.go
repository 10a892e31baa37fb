package traffic

import (
	"maps"
	"sync"
	"time"
)

const (
	// returnShare is the part of the link that returning callers may fill; new callers come beside
	// them.
	returnShare = 0.5
	// urgentReserve is the part of that which only the most urgent class may book.
	urgentReserve = 0.3
	// returnSlot is the resolution of the turns.
	returnSlot = 100 * time.Millisecond
)

// Returns decides when the refused callers of a full link come back: at the rate at which the
// link can read their requests, with room kept for the urgent ones. It is safe for concurrent
// use.
type Returns struct {
	mu      sync.Mutex
	perSlot int64           // bytes
	booked  map[int64]int64 // bytes by slot, counted from the epoch
}

// NewReturns returns a schedule for a link's rate in Mbit/s.
func NewReturns(mbit float64) *Returns {
	return &Returns{perSlot: int64(max(mbit, 1) * 1e6 / 8 * returnShare * returnSlot.Seconds()), booked: map[int64]int64{}}
}

// After returns how long a caller with a request of some bytes should stay away: at least
// earliest, at most latest. Class 0 is the most urgent one.
func (r *Returns) After(now time.Time, class int, bytes int64, earliest, latest time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := int64(now.Sub(epoch) / returnSlot)
	maps.DeleteFunc(r.booked, func(slot, _ int64) bool { return slot < current })
	capacity := r.perSlot
	if class > 0 {
		capacity -= int64(urgentReserve * float64(capacity))
	}
	for after := earliest; after < latest; after += returnSlot {
		slot := int64(now.Add(after).Sub(epoch) / returnSlot)
		if taken := r.booked[slot]; taken == 0 || taken+bytes <= capacity {
			r.booked[slot] += bytes
			return after
		}
	}
	return latest // no turn is kept for it
}
