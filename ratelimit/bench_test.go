package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkInterval measures the parts of a router of 340 in 857 cold upstreams, after a
// change of the list of routers and without one.
//
//	go test ./ratelimit -run '^$' -bench Interval
func BenchmarkInterval(b *testing.B) {
	var names, upstreams []string
	for i := range 340 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	for i := range 857 {
		upstreams = append(upstreams, fmt.Sprint("engine-", i))
	}
	rate := Rate{PerSecond: 19, Window: time.Second}
	for _, changed := range []bool{true, false} {
		b.Run(fmt.Sprint("changed=", changed), func(b *testing.B) {
			r := &Routers{}
			for i := 0; b.Loop(); i++ {
				if changed || i == 0 {
					names[0] = fmt.Sprint("vm-0-", i)
					r.Set("vm-1", names)
				}
				for _, u := range upstreams {
					r.Interval(u, rate)
				}
			}
		})
	}
}

// BenchmarkSlotBounds measures the bounds of a router of 340 at 857 upstreams that name a
// rejection limit: after a change of the list of routers, and for one answer.
//
//	go test ./ratelimit -run '^$' -bench SlotBounds
func BenchmarkSlotBounds(b *testing.B) {
	var names []string
	for i := range 340 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	routers := &Routers{}
	routers.Set("vm-1", names)
	bounds := NewSlotBounds(routers, func(string, int, bool) {})
	var upstreams []BoundedUpstream
	for i := range 857 {
		upstreams = append(upstreams, BoundedUpstream{ID: fmt.Sprint("engine-", i), Service: "engine", Process: 1, Slots: 24})
	}
	bounds.Update(upstreams)
	for _, u := range upstreams {
		bounds.Observe(u.Service, u.ID, 1, Reading{Named: true, PerSecond: 3})
	}
	b.Run("routers changed", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			names[0] = fmt.Sprint("vm-0-", i)
			bounds.Refresh(routers.Set("vm-1", names))
		}
	})
	b.Run("answer", func(b *testing.B) {
		for b.Loop() {
			bounds.Observe("engine", "engine-1", 1, Reading{Named: true, PerSecond: 3})
		}
	})
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			bounds.Refresh(false)
		}
	})
}
