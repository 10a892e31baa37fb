package request

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"buckthornridge/membership"
)

// BenchmarkRetained reports the heap size of one ended run that is kept for
// retries, by number of runs and of tokens per answer.
//
//	go test ./request -run '^$' -bench Retained -benchtime 1x
func BenchmarkRetained(b *testing.B) {
	for _, runs := range []int{500, 1_500, 5_000} {
		for _, tokens := range []int{0, 100, 432} {
			b.Run(fmt.Sprintf("runs=%d/tokens=%d", runs, tokens), func(b *testing.B) {
				for b.Loop() {
					e := NewExecutor("vm-1#1", DefaultSettings(), admitAll{}, nil, nil, nil, nil)
					before := heapInUse()
					for i := range runs {
						e.retain(completed(e, i, tokens))
					}
					b.ReportMetric(float64(heapInUse()-before)/float64(runs), "B/run")
					runtime.KeepAlive(e)
				}
			})
		}
	}
}

// completed returns a run that passed through the states of a streamed answer.
func completed(e *Executor, i, tokens int) *Run {
	key := Key{Workspace: fmt.Sprint("workspace-", i%50), ID: fmt.Sprintf("request-%032d", i)}
	run, caller, _, _ := e.join(&Request{Key: key})
	run.leave(caller)
	run.enter(Admitted)
	run.enter(Reserved)
	run.dispatch(Hint{})
	for range tokens {
		run.add(strings.Clone("token "))
	}
	run.enter(Answered)
	run.enter(Billed)
	run.end(Completed, Outcome{})
	return run
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkPreferredRouters measures the ranking of the routers of one of three
// regions, by number of members.
func BenchmarkPreferredRouters(b *testing.B) {
	for _, nodes := range []int{9, 100, 340} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			view := &membership.View{Members: map[string]membership.Member{}}
			for i := range nodes {
				for _, role := range []string{RoleRouter, "control"} {
					id := fmt.Sprintf("%s-%d", role, i)
					view.Members[id] = membership.Member{ID: id, Role: role, Region: fmt.Sprint("r", i%3)}
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := &Request{Key: Key{Workspace: "w", ID: "k"}, Budget: fmt.Sprint(i % 100)}
				PreferredRouters(view, "r1", r, false)
			}
		})
	}
}
