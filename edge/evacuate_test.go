package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/relay"
	"buckthornridge/routing"
	"buckthornridge/store"
	"buckthornridge/store/mirror"
)

// evacuationEnv is a process that has not started, with one upstream in each of the data
// centres a and b.
type evacuationEnv struct {
	*Process
	router *routing.Router
	orders *mirror.Mirror
}

func newEvacuationEnv(t *testing.T) evacuationEnv {
	t.Helper()
	decode := func(key string, _ []byte) (relay.Upstream, error) {
		return relay.Upstream{ID: key, Address: key + ":1", Service: "orders", DataCentre: key[:1]}, nil
	}
	evacuation := func(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") }
	table := routing.NewTable()
	router, err := routing.NewRouter(table, routing.SessionPolicy)
	if err != nil {
		t.Fatal(err)
	}
	configuration := func(string, []byte) (relay.Definition, bool, error) { return relay.Definition{}, false, nil }
	p := &Process{adapter: Adapter{Configuration: configuration, Evacuation: evacuation}, routes: table, fleet: newFleet(decode, table, func() time.Time { return time.Time{} })}
	p.fleet.apply(append(writeOf("a1", ""), writeOf("b1", "")...))
	return evacuationEnv{p, router, mirror.New()}
}

// used returns the data centres that get work.
func (e evacuationEnv) used() string {
	used := ""
	for _, id := range []string{"a1", "b1"} {
		u, _ := e.fleet.Upstream(id)
		taken := false
		for range 20 {
			if c, err := e.router.Pick(routing.Request{Target: routing.Target{Service: "orders"}}); err == nil {
				taken = taken || c.UpstreamID == id
				c.Done(routing.Outcome{Kind: routing.OutcomeCancelled})
			}
		}
		if taken && !u.Leaving {
			used += u.DataCentre
		}
	}
	return used
}

// read gives the process all rows of the segment, as after a start or the loss of the
// feed's history.
func (e evacuationEnv) read(version int64, dataCentres ...string) {
	u := mirror.Update{Version: version, Full: true}
	for _, name := range dataCentres {
		u.Changes = append(u.Changes, store.Change{Row: store.Row{Key: "evacuate/" + name, Version: version}})
	}
	e.applyConfig(e.orders.Apply(u))
}

// Guards against an evacuation that outlasts its order, also if the feed's history with
// the deletion is lost, and against one of several orders that ends the others.
func TestEvacuationLastsAsLongAsItsOrder(t *testing.T) {
	is := is.New(t)
	e := newEvacuationEnv(t)
	is.Equal(e.used(), "ab")
	e.read(1, "a")
	is.Equal(e.used(), "b")
	e.read(2, "a", "b")
	is.Equal(e.used(), "") // both: refused, not sent
	e.read(3, "b")
	is.Equal(e.used(), "a")
	e.read(4)
	is.Equal(e.used(), "ab")
	e.read(5, "a") // given again
	is.Equal(e.used(), "b")
}

// Guards against work for an upstream that appears, or restarts, in a data centre while
// it is being evacuated.
func TestUpstreamThatAppearsInAnEvacuationGetsNoWork(t *testing.T) {
	is := is.New(t)
	e := newEvacuationEnv(t)
	e.read(1, "a")
	e.fleet.apply(deletionOf("a1"))
	e.fleet.apply(writeOf("a1", ""))
	is.Equal(e.used(), "b")
}
