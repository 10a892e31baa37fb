package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func routers(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("r", i))
	}
	return list
}

// Guards against requests that all go to the same router.
func TestRequestsAreSpread(t *testing.T) {
	is := is.New(t)
	f, all, counts := NewForwarders(), routers(8), map[string]int{}
	for range 800 {
		r, found := f.Pick("s", all, start)
		is.True(found)
		counts[r]++
		f.Begin(r)
		f.Accepted("s", r, start)
	}
	for _, r := range all {
		is.True(counts[r] >= 50 && counts[r] <= 150)
	}
}

// Guards against requests that ask many routers in vain in a fleet most of which is cut off.
func TestRoutersThatReachTheServiceArePreferred(t *testing.T) {
	is := is.New(t)
	f, all := NewForwarders(), routers(340)
	reaches := func(r string) bool { return r < "r14" } // 44 of them
	asked, declined := 0, 0
	for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(50 * time.Millisecond) {
		for range 2 {
			r, found := f.PickProbe("s", all, now)
			is.True(found)
			if reaches(r) {
				f.Accepted("s", r, now)
			} else {
				f.Declined("s", r, now)
			}
		}
		r, found := f.Pick("s", all, now)
		if now.Before(start.Add(2*time.Second)) || !found {
			continue
		}
		asked++
		if !reaches(r) {
			declined++
		}
	}
	is.True(asked > 20)
	is.True(declined <= asked/4)
}

// Guards against requests that ask one router after the other although none reaches the
// service.
func TestNoRouterIsAskedAfterManyDeclined(t *testing.T) {
	is := is.New(t)
	f, all := NewForwarders(), routers(40)
	for range maxDeclines {
		r, found := f.Pick("s", all, start)
		is.True(found)
		f.Declined("s", r, start)
	}
	_, found := f.Pick("s", all, start)
	is.True(!found)
	_, found = f.Pick("other", all, start)
	is.True(found)
	probe, found := f.PickProbe("s", all, start)
	is.True(found)
	f.Accepted("s", probe, start)
	_, found = f.Pick("s", all, start)
	is.True(found)
}

// Guards against routers that declined and are asked again by requests before a probe
// has asked them.
func TestProbesAskBeforeRequests(t *testing.T) {
	is := is.New(t)
	f, all := NewForwarders(), routers(1)
	f.Declined("s", "r0", start)
	_, found := f.PickProbe("s", all, start.Add(reprobeTime))
	is.True(found)
	_, found = f.Pick("s", all, start.Add(reprobeTime))
	is.True(!found)
}
