package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"buckthornridge/upstream"
)

// DefaultPrefixPairs is the default capacity of a PrefixIndex: 2^18 pairs of 32 bytes.
const DefaultPrefixPairs = 1 << 18

const (
	prefixWays  = 8 // pairs per bucket
	prefixLocks = 64
)

// Bounds and steps of the learned lifetime of a cached prefix.
const (
	initialLifetime = time.Minute
	minLifetime     = time.Second
	maxLifetime     = 10 * time.Minute
	lifetimeGrowth  = 1.1
	lifetimeShrink  = 0.8
)

// PrefixIndex records which upstreams probably cache which prompt prefixes. It is a hash
// table of fixed size: a new pair replaces the oldest one in its bucket. A wrong entry
// costs time and nothing else.
//
// Buckets are guarded by a few locks held briefly instead of being copied on write: every
// response writes all prefixes of its prompt, and a bucket copy for each would produce
// garbage at the rate of prompt blocks.
type PrefixIndex struct {
	start   time.Time
	buckets []prefixBucket
	locks   [prefixLocks]sync.Mutex
	mu      sync.RWMutex
	feeds   map[string]*feed
}

type prefixBucket [prefixWays]prefixPair

type prefixPair struct {
	prefix uint64
	feed   *feed
	epoch  uint32
	seen   time.Duration // time since start
}

// feed is the stream of cache events of one upstream.
type feed struct {
	upstream string
	last     atomic.Int64 // sequence number of the last event
	lost     atomic.Int64 // missing events
	// epoch increases when the upstream's cache is known to be empty; pairs of an older
	// epoch are invalid.
	epoch atomic.Uint32
	// lifetime is the observed time, in nanoseconds, that an unused prefix stays cached.
	// It substitutes for evictions whose events were lost or have not arrived yet.
	lifetime atomicFloat
}

// NewPrefixIndex returns an index for about the given number of pairs.
func NewPrefixIndex(pairs int) *PrefixIndex {
	buckets := 1
	for buckets*prefixWays < pairs {
		buckets *= 2
	}
	return &PrefixIndex{
		start:   time.Now(),
		buckets: make([]prefixBucket, buckets),
		feeds:   map[string]*feed{},
	}
}

func (x *PrefixIndex) feed(upstreamID string) *feed {
	x.mu.RLock()
	f := x.feeds[upstreamID]
	x.mu.RUnlock()
	if f != nil {
		return f
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.feeds[upstreamID] == nil {
		f = &feed{upstream: upstreamID}
		f.lifetime.store(float64(initialLifetime))
		x.feeds[upstreamID] = f
	}
	return x.feeds[upstreamID]
}

// Apply applies cache events of an upstream in the order of their sequence numbers. Events
// that were applied before are ignored.
func (x *PrefixIndex) Apply(upstreamID string, events []upstream.CacheEvent) {
	f := x.feed(upstreamID)
	for _, event := range events {
		last := f.last.Load()
		if event.Sequence <= last {
			continue
		}
		if event.Sequence != last+1 && last != 0 {
			f.lost.Add(event.Sequence - last - 1)
		}
		f.last.Store(event.Sequence)
		if event.Stored {
			x.put(f, event.Prefix)
		} else {
			x.remove(f, event.Prefix)
		}
	}
}

// LastEvent returns the sequence number of the upstream's last applied event.
func (x *PrefixIndex) LastEvent(upstreamID string) int64 { return x.feed(upstreamID).last.Load() }

// Reset clears the entries of an upstream whose cache is empty and whose event sequence
// restarts.
func (x *PrefixIndex) Reset(upstreamID string) {
	f := x.feed(upstreamID)
	f.last.Store(0)
	f.epoch.Add(1)
}

func (x *PrefixIndex) bucket(prefix uint64) (*prefixBucket, *sync.Mutex) {
	i := prefix & uint64(len(x.buckets)-1)
	return &x.buckets[i], &x.locks[i%prefixLocks]
}

func (x *PrefixIndex) put(f *feed, prefix uint64) {
	bucket, lock := x.bucket(prefix)
	lock.Lock()
	defer lock.Unlock()
	oldest := 0
	for i := range bucket {
		pair := &bucket[i]
		if pair.feed == nil || (pair.prefix == prefix && pair.feed == f) {
			oldest = i
			break
		}
		if pair.seen < bucket[oldest].seen {
			oldest = i
		}
	}
	bucket[oldest] = prefixPair{prefix: prefix, feed: f, epoch: f.epoch.Load(), seen: time.Since(x.start)}
}

func (x *PrefixIndex) remove(f *feed, prefix uint64) {
	bucket, lock := x.bucket(prefix)
	lock.Lock()
	defer lock.Unlock()
	for i := range bucket {
		if bucket[i].prefix == prefix && bucket[i].feed == f {
			bucket[i] = prefixPair{}
			return
		}
	}
}
