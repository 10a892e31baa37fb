package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/budget/allowance"
	"buckthornridge/relay"
	"buckthornridge/routing"
	"buckthornridge/store"
)

// coldRate is what a cold upstream bears, in requests a second; bearable is the most that
// may reach it in any second.
const (
	coldRate = 19.0
	bearable = 33
	coldTime = 3 * time.Second
)

// coldEnv is the routers of a fleet before one upstream, d1.
type coldEnv struct {
	fleets  []*fleet
	routers []*routing.Router
}

func newColdEnv(t *testing.T, vms int) *coldEnv {
	t.Helper()
	var members []allowance.Peer
	for i := range vms {
		members = append(members, allowance.Peer{VM: fmt.Sprint("vm-", i)})
	}
	decode := func(key string, data []byte) (relay.Upstream, error) {
		u := relay.Upstream{ID: key, Address: key + ":1", Service: "orders", DataCentre: "d"}
		switch string(data) {
		case "cold":
			u.WarmUp = coldTime
		case "restarted":
			u.Start = 1
		}
		return u, nil
	}
	env := &coldEnv{}
	for i := range vms {
		table := routing.NewTable()
		f := newFleet(decode, table, func() time.Time { return time.Time{} })
		f.routers = func() (string, []allowance.Peer) { return members[i].VM, members }
		f.setServices(map[string]relay.Service{"orders": {Name: "orders", WarmUp: coldTime, WarmUpRate: coldRate}})
		r, err := routing.NewRouter(table, routing.SessionPolicy)
		if err != nil {
			t.Fatal(err)
		}
		env.fleets, env.routers = append(env.fleets, f), append(env.routers, r)
	}
	return env
}

func (e *coldEnv) apply(changes []store.Change) {
	for _, f := range e.fleets {
		f.apply(changes)
	}
}

func (e *coldEnv) evacuate(evacuated bool) {
	for _, f := range e.fleets {
		f.evacuate(map[string]bool{"d": evacuated})
	}
}

// load makes all routers send as much as they may for a while. It returns the most
// requests in one second, and those in the last second.
func (e *coldEnv) load(length time.Duration) (most, last int) {
	const step = 20 * time.Millisecond
	var sent []int // in each step
	for range length / step {
		n := 0
		for _, r := range e.routers {
			for range 3 {
				c, err := r.Pick(routing.Request{Target: routing.Target{Service: "orders"}})
				if err != nil {
					break
				}
				c.Done(routing.Outcome{Kind: routing.OutcomeOK, Total: time.Millisecond})
				n++
			}
		}
		sent = append(sent, n)
		last = 0
		for _, n := range sent[max(0, len(sent)-int(time.Second/step)):] {
			last += n
		}
		most = max(most, last)
		time.Sleep(step)
	}
	return most, last
}

// Guards against a crash of an upstream that has just started: it is idle, and all
// routers send it more at once than it bears while it is cold.
func TestColdUpstreamGetsOnlyWhatItBears(t *testing.T) {
	for _, vms := range []int{1, 6, 14, 15, 18, 59, 340} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newColdEnv(t, vms)
				e.apply(writeOf("d1", "cold"))
				most, _ := e.load(coldTime)
				is.True(most <= bearable)
				is.True(2*most >= coldRate) // it is used
				_, last := e.load(1100 * time.Millisecond)
				is.True(last > bearable) // without limit once it is warm
			})
		})
	}
}

// Guards against the same when an evacuation ends: the upstreams are cold, and the list
// says so only later.
func TestUpstreamsAreTakenForColdAfterAnEvacuation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newColdEnv(t, 59)
		e.apply(writeOf("d1", "warm"))
		e.evacuate(true)
		most, _ := e.load(time.Second)
		is.Equal(most, 0)
		e.evacuate(false)
		e.apply(writeOf("d1", "warm")) // written before
		most, _ = e.load(coldTime - 100*time.Millisecond)
		is.True(most > 0 && most <= bearable)
	})
}

// Guards against an overload by a router that does not know how many others there are.
func TestColdUpstreamIsNotUsedWithoutTheListOfRouters(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newColdEnv(t, 1)
		e.fleets[0].routers = func() (string, []allowance.Peer) { return "vm-0", nil }
		e.apply(writeOf("d1", "cold"))
		most, _ := e.load(coldTime)
		is.Equal(most, 0)
	})
}
