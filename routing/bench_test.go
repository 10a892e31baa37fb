package routing

import (
	"fmt"
	"testing"
	"time"

	"buckthornridge/kernel"
	"buckthornridge/membership"
	"buckthornridge/upstream"
)

// benchRouter returns a router over n engines that have reported, with prefixes known at
// many of them.
func benchRouter(b *testing.B, n int, policy string) (*Router, []Request) {
	r := newRouter(b, n, policy)
	r.Seed(1)
	requests := make([]Request, 256)
	for i := range requests {
		prompt := fmt.Sprintf("%04000d", i%64) + fmt.Sprintf("%0600d", i)
		requests[i] = Request{
			ID: fmt.Sprint(i), Workspace: "w", Target: model, DataCentre: "a",
			Prefix: upstream.PrefixChain("m", "", prompt), PromptTokens: 1150, MaxTokens: 100,
		}
	}
	for i := range n {
		id := fmt.Sprint("e", i)
		r.table.Report(id, upstream.Load{Running: i % 8, Models: []string{"m"}})
		for _, hash := range requests[i%64].Prefix {
			r.table.index.put(r.table.index.feed(id), hash)
		}
	}
	return r, requests
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range kernel.Names(Namespace) {
		for _, n := range []int{12, 600, 6000} {
			b.Run(fmt.Sprint(policy, "/", n), func(b *testing.B) {
				r, requests := benchRouter(b, n, policy)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					c, err := r.Pick(requests[i%len(requests)])
					if err != nil {
						b.Fatal(err)
					}
					c.Done(Outcome{Kind: OutcomeCancelled})
				}
			})
		}
	}
}

// BenchmarkCompletedRequest includes learning from a complete response: the whole prompt is
// added to the prefix index.
func BenchmarkCompletedRequest(b *testing.B) {
	r, requests := benchRouter(b, 6000, "")
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c, err := r.Pick(requests[i%len(requests)])
		if err != nil {
			b.Fatal(err)
		}
		c.Done(Outcome{Kind: OutcomeOK, FirstToken: time.Millisecond, PromptTokens: 1150})
	}
}

func BenchmarkPickParallel(b *testing.B) {
	r, requests := benchRouter(b, 6000, "")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			c, err := r.Pick(requests[i%len(requests)])
			if err != nil {
				b.Error(err)
				return
			}
			c.Done(Outcome{Kind: OutcomeCancelled})
		}
	})
}

// BenchmarkStateChange measures one change of an upstream's state.
func BenchmarkStateChange(b *testing.B) {
	r, _ := benchRouter(b, 6000, "")
	b.ReportAllocs()
	for i := range b.N {
		r.table.SetState("e7", membership.State(i%2))
	}
}

// BenchmarkIndexMemory reports the fixed size of an index of the default capacity.
func BenchmarkIndexMemory(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		index := NewPrefixIndex(DefaultPrefixPairs)
		index.Reset("e0")
	}
}

// BenchmarkReport measures one load report at 6,000 upstreams.
func BenchmarkReport(b *testing.B) {
	r, _ := benchRouter(b, 6000, "")
	load := upstream.Load{Running: 3, PrefillTokens: 100, Models: []string{"m"}}
	b.ReportAllocs()
	for b.Loop() {
		r.table.Report("e7", load)
	}
}

// BenchmarkLimit measures admission's query for free capacity, with the summary recomputed
// as often as in use.
func BenchmarkLimit(b *testing.B) {
	r, _ := benchRouter(b, 6000, "")
	b.ReportAllocs()
	for b.Loop() {
		r.Limit(model)
	}
}

// BenchmarkPickBesideStreams is the choice for a long prompt while paced streams gather.
func BenchmarkPickBesideStreams(b *testing.B) {
	for _, upstreams := range []int{60, 600, 6000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			r := gatherRouter(b, upstreams)
			for i := range uint64(upstreams) {
				if _, err := r.Pick(pacedStream(i + 1)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c, err := r.Pick(prompt(uint64(i%1000) + 1))
				if err != nil {
					b.Fatal(err)
				}
				c.Done(Outcome{Kind: OutcomeOK, FirstToken: time.Millisecond, Total: time.Millisecond})
			}
		})
	}
}
