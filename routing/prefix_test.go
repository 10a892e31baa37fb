package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/upstream"
)

func holdersOf(x *PrefixIndex, prefix ...uint64) []string {
	var ids []string
	found := x.find(prefix)
	for _, h := range found.found[:found.n] {
		ids = append(ids, h.upstream)
	}
	return ids
}

func stored(sequence int64, prefix uint64) upstream.CacheEvent {
	return upstream.CacheEvent{Sequence: sequence, Prefix: prefix, Stored: true}
}

func TestIndexFollowsEvents(t *testing.T) {
	is := is.New(t)
	x := NewPrefixIndex(64)
	x.Apply("e0", []upstream.CacheEvent{stored(1, 7), stored(2, 8)})
	x.Apply("e0", []upstream.CacheEvent{{Sequence: 1, Prefix: 7}}) // duplicate: ignored
	is.Equal(holdersOf(x, 7, 8), []string{"e0"})
	x.Apply("e0", []upstream.CacheEvent{{Sequence: 5, Prefix: 8}}) // after a gap
	is.Equal(len(holdersOf(x, 8)), 0)
	is.Equal(holdersOf(x, 7), []string{"e0"})
	is.Equal(x.LastEvent("e0"), int64(5))
	x.Reset("e0")
	is.Equal(len(holdersOf(x, 7)), 0)
	x.Apply("e0", []upstream.CacheEvent{stored(1, 9)})
	is.Equal(holdersOf(x, 9), []string{"e0"})
}

func TestIndexNeverGrows(t *testing.T) {
	// Over months, a router on a small VM handles many prompts. The index must keep its size
	// and hold the prefixes in use instead of old ones.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := NewPrefixIndex(1024)
		size := len(x.buckets)
		f := x.feed("e0")
		for i := range uint64(100_000) {
			x.put(f, mix(i))
			if i%100 == 0 {
				x.put(f, 42)
				time.Sleep(time.Millisecond)
			}
		}
		is.Equal(len(x.buckets), size)
		is.Equal(holdersOf(x, 42), []string{"e0"})
	})
}

func TestIndexLearnsCacheLifetime(t *testing.T) {
	// An engine evicts prefixes after seconds and its events are lost. Requests with such a
	// prefix are sent there again and again and wait for the whole prefill, unless the router
	// learns from the cached tokens that the engine reports.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := NewPrefixIndex(1024)
		lookups, hits := 0, 0
		for i := range 60 {
			prefix := []uint64{uint64(i%3) + 1}
			found := x.find(prefix)
			lookups++
			est := estimate{}
			if found.n > 0 {
				hits++
				est = estimate{cached: 100, age: found.found[0].age}
			}
			x.learn("e0", prefix, est, Outcome{PromptTokens: 100}) // nothing was cached
			time.Sleep(5 * time.Second)
		}
		t.Log("expected a hit", hits, "times of", lookups)
		is.True(hits <= 10)
		is.True(x.feed("e0").lifetime.load() <= float64(15*time.Second))
	})
}

func TestHistoryReturnsPastCounts(t *testing.T) {
	is := is.New(t)
	var h history
	for second := range 30 {
		h.record(time.Duration(second)*time.Second, int64(second), int64(second)*100)
	}
	requests, tokens := h.at(25 * time.Second)
	is.Equal(fmt.Sprint(requests, tokens), "25 2500")
	requests, _ = h.at(time.Second) // outside the window
	is.Equal(requests, int64(0))
}
