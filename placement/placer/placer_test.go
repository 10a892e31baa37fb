package placer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/config"
	"buckthornridge/duty"
	"buckthornridge/store"
	"buckthornridge/upstream"
)

// engineFake is an engine that applies a desired state at once. It implements the
// methods that the placer calls; any other panics on the nil interface.
type engineFake struct {
	upstream.Engine
	mu           sync.Mutex
	load         upstream.Load
	unresponsive bool
	updates      int
}

func (e *engineFake) Load(context.Context) (upstream.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unresponsive {
		return upstream.Load{}, errors.New("no response")
	}
	return e.load, nil
}

func (e *engineFake) SetDesiredState(_ context.Context, o upstream.DesiredState) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.Models = slices.Clone(o.Models)
	e.updates++
	return nil
}

type testEnv struct {
	engines map[string]*engineFake
	dutyEnv duty.Env
}

// newTestEnv returns four engines: one holds the model caption, three hold brief.
func newTestEnv() *testEnv {
	env := &testEnv{engines: map[string]*engineFake{}}
	c := &config.Snapshot{}
	c.Policy.Placement = config.PlacementDemand
	c.Models = map[string]config.Model{"caption": {Replicas: 1}, "brief": {Replicas: 1}}
	c.Upstreams = map[string]config.Upstream{}
	for i, id := range []string{"e0", "e1", "e2", "e3"} {
		held := []string{[]string{"caption", "brief"}[min(i, 1)]}
		env.engines[id] = &engineFake{load: upstream.Load{Models: held}}
		c.Upstreams[id] = config.Upstream{Kind: config.UpstreamEngine, Address: id, Models: held, Slots: 8}
	}
	fake := store.NewFake(store.FakeOptions{
		Weights:              []store.Weight{{Model: "caption", Bytes: 60}, {Model: "brief", Bytes: 60}},
		WeightBytesPerSecond: 1, // one load a minute
	})
	env.dutyEnv = duty.Env{Platform: fake.As("control-1"), Config: c}
	return env
}

func (env *testEnv) createPlacer() *Placer {
	return newPlacer(func(address string) upstream.Engine { return env.engines[address] })
}

func (env *testEnv) replicaCount(model string) int {
	n := 0
	for _, e := range env.engines {
		if slices.Contains(e.load.Models, model) {
			n++
		}
	}
	return n
}

func TestPlacerMovesEngineToModelInDemand(t *testing.T) {
	// The only engine with caption is fully used while the three with brief are
	// idle. Requests for caption are rejected until an engine changes its model.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		env.engines["e0"].load.Running = 8
		p := env.createPlacer()
		is.NoErr(p.Run(t.Context(), env.dutyEnv))
		is.Equal(env.replicaCount("caption"), 2)
		is.Equal(env.replicaCount("brief"), 2)
		time.Sleep(p.Interval())
		is.NoErr(p.Run(t.Context(), env.dutyEnv))
		is.Equal(env.replicaCount("caption"), 2) // enough for the demand
	})
}

func TestPlacerMovesNoModelsInShortOutage(t *testing.T) {
	// The only engine with caption does not answer for a short time. To load caption
	// elsewhere would use the weight store for a minute without need.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		p := env.createPlacer()
		is.NoErr(p.Run(t.Context(), env.dutyEnv))
		env.engines["e0"].unresponsive = true
		for range 3 {
			time.Sleep(p.Interval())
			is.NoErr(p.Run(t.Context(), env.dutyEnv))
		}
		is.Equal(env.replicaCount("caption"), 1)
		time.Sleep(unresponsiveTimeout)
		is.NoErr(p.Run(t.Context(), env.dutyEnv)) // the engine no longer counts as a replica
		is.Equal(env.replicaCount("caption"), 2)
		is.Equal(env.engines["e0"].updates, 0)
	})
}

func TestOnlyNewestPlacerChangesEngines(t *testing.T) {
	// A lease expires while its holder is paused, so two control processes place
	// models. The older one must send nothing. It acquires a new token at its next
	// pass, if it still holds the lease.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		old, next := env.createPlacer(), env.createPlacer()
		is.NoErr(old.Run(t.Context(), env.dutyEnv))
		is.NoErr(next.Run(t.Context(), env.dutyEnv))
		env.engines["e0"].load.Running = 8
		is.True(old.Run(t.Context(), env.dutyEnv) != nil)
		is.Equal(env.replicaCount("caption"), 1)
		is.NoErr(next.Run(t.Context(), env.dutyEnv))
		is.Equal(env.replicaCount("brief")+env.replicaCount("caption"), 4)
	})
}

// Without the placement policy the placer must leave every engine unchanged,
// whatever the demand.
func TestNoPlacementWithoutThePolicy(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		env.dutyEnv.Config.Policy.Placement = ""
		env.engines["e0"].load.Running = 8
		p := env.createPlacer()
		for range 5 {
			is.NoErr(p.Run(t.Context(), env.dutyEnv))
			time.Sleep(interval)
		}
		for _, e := range env.engines {
			is.Equal(e.updates, 0)
		}
	})
}
