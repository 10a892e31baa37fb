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
