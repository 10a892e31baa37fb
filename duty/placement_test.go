package duty

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/config"
	"buckthornridge/platform"
	"buckthornridge/settings"
	"buckthornridge/standin/engine"
	"buckthornridge/upstream"
)

// place is a platform with two engines that hold one model each.
type place struct {
	env     Env
	clients map[string]*upstream.HTTPEngine
}

func newPlace(t *testing.T, policy string) *place {
	p := &place{clients: map[string]*upstream.HTTPEngine{}}
	doc := config.Document{
		Models:    map[string]config.Model{"large": {Replicas: 1}, "small": {Replicas: 2}},
		Upstreams: map[string]config.Upstream{},
		Policy:    config.Policy{Placement: policy},
	}
	for id, model := range map[string]string{"e1": "large", "e2": "small"} {
		shape := engine.DefaultSettings()
		shape.Models = []string{model}
		shape.MaxModels, shape.WeightBytes = 2, 1
		shape.LoadLag = settings.Duration(time.Millisecond)
		e, err := engine.New(id, shape)
		if err != nil {
			t.Fatal(err)
		}
		if err := e.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		server := httptest.NewServer(e.Handler())
		t.Cleanup(func() { _ = e.Stop(); server.Close() })
		address := strings.TrimPrefix(server.URL, "http://")
		transport := upstream.NewTransport()
		t.Cleanup(transport.CloseIdleConnections)
		p.clients[id] = upstream.NewEngine(address, transport)
		doc.Upstreams[id] = config.Upstream{Kind: config.UpstreamEngine, Address: address, Slots: 8, MaxModels: 2}
	}
	s, err := config.Compile(1, doc)
	if err != nil {
		t.Fatal(err)
	}
	fake := platform.NewFake(platform.FakeOptions{
		Weights:              []platform.Weight{{Model: "large", Bytes: 1}, {Model: "small", Bytes: 1}},
		WeightBytesPerSecond: 1000,
	})
	p.env = Env{Platform: fake.As("vm-1"), Config: s}
	return p
}

func (p *place) holds(ctx context.Context, id string) int {
	load, err := p.clients[id].Load(ctx)
	if err != nil {
		return 0
	}
	return len(load.Models)
}

// The folder asks for two engines with the small model, and only one has it. The
// duty orders the other to hold both; without the policy it leaves all alone.
func TestPlacementFollowsTheFolder(t *testing.T) {
	for _, c := range []struct {
		policy string
		want   int
	}{{"", 1}, {config.PlacementDemand, 2}} {
		t.Run("policy "+c.policy, func(t *testing.T) {
			is := is.New(t)
			p := newPlace(t, c.policy)
			d := newPlacement()
			t.Cleanup(d.transport.CloseIdleConnections)
			for range 200 {
				is.NoErr(d.Run(t.Context(), p.env))
				if p.holds(t.Context(), "e1") == c.want && c.want > 1 {
					break
				}
				if c.want > 1 {
					time.Sleep(10 * time.Millisecond)
				}
			}
			is.Equal(p.holds(t.Context(), "e1"), c.want)
		})
	}
}

// Two processes run the duty at once, as when a holder was paused across the
// lapse of its lease. The first is told that it was deposed and orders nothing.
func TestDeposedPlacementOrdersNothing(t *testing.T) {
	is := is.New(t)
	p := newPlace(t, config.PlacementDemand)
	first, second := newPlacement(), newPlacement()
	t.Cleanup(first.transport.CloseIdleConnections)
	t.Cleanup(second.transport.CloseIdleConnections)
	is.NoErr(first.Run(t.Context(), p.env))
	is.NoErr(second.Run(t.Context(), p.env))
	is.True(first.Run(t.Context(), p.env) != nil)
	is.True(first.actor == nil)
}
