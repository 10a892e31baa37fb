package origin

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// maxRecords bounds the memory of records, which is about 200 bytes each.
	maxRecords = 1 << 15
	// expirySlot is the precision with which records expire.
	expirySlot = 5 * time.Second
	// maxLifetime bounds how long a caller may ask a record to be kept.
	maxLifetime = 10 * time.Minute
	// maxKeyBytes bounds a key. Longer ones are hashed.
	maxKeyBytes = 128
)

// Records holds the origins of streams by the id of the caller's request that brought the
// first event, until no caller can come back for them. It is safe for concurrent use.
type Records struct {
	mu      sync.Mutex
	origins map[string]Origin
	slots   map[int64][]string // ids by the slot of time in which they expire
	texts   map[string]string  // one copy of each service and version
	began   time.Time
	dropped int64
}

// NewRecords returns an empty set of records.
func NewRecords() *Records {
	return &Records{origins: map[string]Origin{}, slots: map[int64][]string{}, texts: map[string]string{}, began: time.Now()}
}

// slot returns the slot of a time. It does not follow steps of the wall clock.
func (r *Records) slot(at time.Time) int64 { return int64(at.Sub(r.began) / expirySlot) }

// Key returns the key of a record: the caller's request id within its workspace.
func Key(workspace, id string) string {
	key := workspace + "/" + id
	if len(key) <= maxKeyBytes {
		return key
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Add keeps an origin until a time. A stream begins once: if a caller uses an id for two
// streams, nothing is known of either.
func (r *Records) Add(id string, o Origin, until, now time.Time) {
	if latest := now.Add(maxLifetime); until.After(latest) {
		until = latest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if kept, known := r.origins[id]; known {
		r.origins[id] = kept.Merge(o)
		return
	}
	if len(r.origins) >= maxRecords {
		r.dropped++
		return
	}
	o.Service, o.Version = r.intern(o.Service), r.intern(o.Version)
	r.origins[id] = o
	slot := r.slot(until) + 1
	r.slots[slot] = append(r.slots[slot], id)
}

// intern returns the kept copy of a text. Decoded messages each have their own.
func (r *Records) intern(text string) string {
	if kept, known := r.texts[text]; known {
		return kept
	}
	r.texts[text] = text
	return text
}

// Find returns the origin of a stream.
func (r *Records) Find(id string) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, known := r.origins[id]
	return o, known && o.IsKnown()
}

// Expire removes the records whose time has passed. It must be called periodically.
func (r *Records) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.slot(now)
	for slot, ids := range r.slots {
		if slot > current {
			continue
		}
		for _, id := range ids {
			delete(r.origins, id)
		}
		delete(r.slots, slot)
	}
	if len(r.origins) == 0 {
		clear(r.texts)
	}
}

// Count returns the number of records, and how many were not kept for want of room.
func (r *Records) Count() (kept int, dropped int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.origins), r.dropped
}
