package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/store"
)

// router is a guard with its publisher and a reader of all rows.
type router struct {
	*Guard
	stop context.CancelFunc
}

func startRouter(t *testing.T, name string, fake *store.Fake, dead *deadAddresses) *router {
	ctx, cancel := context.WithCancel(t.Context())
	r := &router{Guard: NewGuard(dead), stop: cancel}
	p := &Publisher{Rows: fake.As(name).Table, Evidence: r.table, Router: name, Routers: func() int { return 3 }}
	go p.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			rows, err := fake.As(name).Table.Scan(ctx, Segment+"/", "", 100)
			if err == nil {
				var changes []store.Change
				for _, row := range rows {
					changes = append(changes, store.Change{Row: row})
				}
				r.table.ApplyChanges(changes)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return r
}

func (r *router) refuses(q Request) bool {
	_, refused := r.Refuse(q)
	return refused
}

// Guards against evidence that is lost with a lost response of the table, or undone by a late write.
func TestEvidenceSurvivesLostWrites(t *testing.T) {
	for seed := range uint64(20) {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			fake := store.NewFake(store.FakeOptions{Seed: seed, Faults: store.Faults{LoseRate: 0.3, DelayRate: 0.3, Delay: 500 * time.Millisecond}})
			dead := &deadAddresses{dead: map[string]bool{"x": true}}
			var routers []*router
			for i := range 3 {
				routers = append(routers, startRouter(t, fmt.Sprint("vm-", i), fake, dead))
				routers[i].Broken(Upstream{ID: fmt.Sprint("u", i), Address: "x"}, content("poison"), false)
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(20 * time.Second) // writes are lost and repeated meanwhile
			for _, r := range routers {
				is.True(r.refuses(content("poison")))
				r.stop()
			}
			time.Sleep(time.Second)
			synctest.Wait()
		})
	}
}

// Guards against a router that starts and does not know which requests are quarantined, and
// against losing the evidence of all routers when all of them stop.
func TestRestartedRoutersKnowTheQuarantine(t *testing.T) {
	runTest(t, func(t *testing.T, is *is.I) {
		fake, dead := store.NewFake(store.FakeOptions{}), &deadAddresses{dead: map[string]bool{"x": true}}
		first := startRouter(t, "vm-1", fake, dead)
		for i := range 3 {
			first.Broken(Upstream{ID: fmt.Sprint("u", i), Address: "x"}, content("poison"), false)
		}
		time.Sleep(5 * time.Second)
		is.True(first.refuses(content("poison")))
		first.stop()
		time.Sleep(time.Second)
		again, other := startRouter(t, "vm-1", fake, dead), startRouter(t, "vm-2", fake, dead)
		again.Broken(Upstream{ID: "u9", Address: "x"}, content("other"), false) // its first write keeps the old record
		time.Sleep(5 * time.Second)
		is.True(again.refuses(content("poison")))
		is.True(other.refuses(content("poison")))
		again.stop()
		other.stop()
		time.Sleep(time.Second)
	})
}
