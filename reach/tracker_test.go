package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000, 0)

// newTestTracker returns a tracker of upstreams u0 to u(n-1) of one service.
func newTestTracker(n int) *Tracker {
	t := NewTracker()
	var list []Upstream
	for i := range n {
		list = append(list, Upstream{ID: fmt.Sprint("u", i), Service: "s"})
	}
	t.Update(list)
	return t
}

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a single upstream that ends being taken for a lost path.
func TestOneFailureIsNoLostPath(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(4)
	tracker.Failed("u0", Refused, after(0), after(1))
	is.True(!tracker.Lost("s"))
	is.Equal(tracker.Path("u1"), DirectBriefly)
	tracker.Connected("u1", after(2))
	is.Equal(tracker.Path("u0"), Direct)
	tracker.Failed("u0", Refused, after(3), after(4))
	tracker.Failed("u0", Refused, after(5), after(6))
	is.True(!tracker.Lost("s"))
}

func TestSeveralFailuresInARowAreALostPath(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(4)
	tracker.Failed("u0", Refused, after(0), after(1))
	tracker.Failed("u1", Refused, after(1), after(2))
	is.True(tracker.Lost("s"))
	is.Equal(tracker.Path("u3"), OpenOnly) // open connections may still work
	tracker.Failed("u2", Silent, after(2), after(1002))
	is.Equal(tracker.Path("u3"), Forwarded)
	is.True(!tracker.Lost("other"))
}

// Guards against a path that is taken for lost after it has come back, by dials that
// began before.
func TestFailuresOfEarlierAttemptsDoNotCount(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(6)
	tracker.Failed("u0", Silent, after(0), after(1000))
	tracker.Failed("u1", Silent, after(0), after(1000))
	is.True(tracker.Lost("s"))
	tracker.Connected("u2", after(1100))
	is.True(!tracker.Lost("s"))
	tracker.Failed("u3", Silent, after(900), after(1900))
	is.True(!tracker.Lost("s"))
	tracker.Connected("u4", after(2000))
	tracker.Failed("u4", Silent, after(1500), after(2500))
	is.True(!tracker.Fails("u4", after(2500), time.Second))
}

// Guards against a path that counts as lost each time upstreams that have ended are tried
// again.
func TestUpstreamsThatStayDownAreNoLostPath(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(12)
	tracker.Failed("u0", Refused, after(0), after(1))
	tracker.Failed("u1", Refused, after(0), after(1))
	is.Equal(tracker.Probes(after(2))[0], "u10") // not one of those that fail
	tracker.Connected("u10", after(3))
	tracker.Failed("u0", Refused, after(1000), after(1001))
	tracker.Failed("u1", Refused, after(1000), after(1001))
	is.True(!tracker.Lost("s"))
	tracker.Failed("u2", Refused, after(2000), after(2001))
	tracker.Failed("u3", Refused, after(2000), after(2001))
	is.True(tracker.Lost("s"))
}

// Guards against a VM that reaches a few upstreams and sends them the work of all others.
func TestMostUpstreamsOutOfReach(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(4)
	for i := range 3 {
		tracker.Failed(fmt.Sprint("u", i), Refused, after(i), after(i))
	}
	tracker.Connected("u3", after(10))
	is.True(tracker.Lost("s"))
	is.True(tracker.Reaches("s")) // it may still send for others
	is.Equal(tracker.Path("u0"), OpenOnly)
	is.Equal(tracker.Path("u3"), Direct)
	tracker.Failed("u3", Refused, after(20), after(20))
	tracker.Update([]Upstream{{ID: "u3", Service: "s"}, {ID: "u4", Service: "s"}})
	tracker.Failed("u4", Refused, after(21), after(21))
	is.True(!tracker.Reaches("s"))
	is.True(!tracker.Reaches("other"))
}

// Guards against silence that counts although other upstreams answer.
func TestAnswersShowThatThePathIsThere(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(6)
	tracker.Failed("u0", Silent, after(0), after(1000))
	tracker.Answered("u5", after(1001))
	tracker.Failed("u1", Silent, after(500), after(1500))
	is.True(!tracker.Lost("s"))
	is.Equal(tracker.Path("u2"), Direct)
}

func TestProbesFindTheWayBack(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(40)
	is.Equal(len(tracker.Probes(after(0))), 0)
	for i := range 40 {
		tracker.Failed(fmt.Sprint("u", i), Refused, after(0), after(0))
	}
	now, probed := 0, map[string]bool{}
	for ; len(probed) < 40; now += 200 {
		due := tracker.Probes(after(now))
		is.True(len(due) <= 4) // a tenth of them at one time
		for _, id := range due {
			probed[id] = true
		}
	}
	is.True(now <= 2500)
	for ; tracker.Lost("s"); now += 200 {
		for _, id := range tracker.Probes(after(now)) {
			tracker.Connected(id, after(now))
		}
		is.True(now < 20_000)
	}
	is.Equal(len(tracker.Changes()), 0) // it was lost and found between two calls
}

func TestUpstreamsThatAreGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(3)
	tracker.Failed("u0", Refused, after(0), after(0))
	tracker.Failed("u1", Refused, after(0), after(0))
	is.True(tracker.Lost("s"))
	is.Equal(tracker.Changes(), []Change{{Service: "s", Lost: true, Failing: 2, Members: 3}})
	tracker.Update([]Upstream{{ID: "u2", Service: "s"}})
	is.True(!tracker.Lost("s"))
	tracker.Failed("u0", Refused, after(1), after(1))
	is.True(!tracker.Lost("s"))
	is.Equal(tracker.Path("u2"), Direct)
}
