package duty

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"buckthornridge/config"
	"buckthornridge/kernel"
	"buckthornridge/placement"
	"buckthornridge/upstream"
)

// Timing and bounds of placement.
const (
	placementInterval = 5 * time.Second
	engineTimeout     = time.Second
	enginesAtOnce     = 32
	// loadSeconds bounds the weights on their way to engines at once, in seconds
	// of the weight store's rate.
	loadSeconds = 60
	// lookAhead is about the time in which a new place is ready.
	lookAhead = 30 * time.Second
)

func init() {
	kernel.Register(Namespace+".placement", func() any { return newPlacement() })
}

// placementDuty orders engines to hold the models that demand asks for. Two
// holders are safe: each plan and each order stands under a fencing number of the table's
// row, and an engine that ignores it is ordered again by what it reports.
type placementDuty struct {
	transport *http.Transport
	actor     *placement.Actor
	forecast  map[string]*placement.Forecast // demand by model
}

func newPlacement() *placementDuty {
	return &placementDuty{transport: upstream.NewTransport(), forecast: map[string]*placement.Forecast{}}
}

// Interval implements Duty.
func (*placementDuty) Interval() time.Duration { return placementInterval }

// Run implements Duty. Without a policy it leaves engines as they are.
func (p *placementDuty) Run(ctx context.Context, env Env) error {
	if env.Config == nil || env.Config.Policy.Placement != config.PlacementDemand {
		return nil
	}
	in, err := p.look(ctx, env)
	if err != nil {
		return err
	}
	return p.act(ctx, env, in)
}

// act makes a round, taking the fence first if this process has none.
func (p *placementDuty) act(ctx context.Context, env Env, in placement.Input) error {
	if p.actor == nil {
		p.actor = placement.NewActor(env.Platform.Table, orders{p.transport, env.Config}, rand.Text())
		if err := p.actor.Acquire(ctx); err != nil {
			p.actor = nil
			return err
		}
	}
	_, err := p.actor.Round(ctx, in)
	if errors.Is(err, placement.ErrDeposed) {
		p.actor = nil // the next pass, if the lease is still held, takes the fence again
	}
	return err
}

// look gathers what engines hold and do, and what the weight store has.
func (p *placementDuty) look(ctx context.Context, env Env) (placement.Input, error) {
	in := placement.Input{}
	weights, rate, err := env.Platform.Weights.Weights(ctx)
	if err != nil {
		return in, eris.Wrap(err, "placement: read weights")
	}
	in.LoadBytes = loadSeconds * rate
	demand := map[string]float64{}
	in.Engines = p.engines(ctx, env.Config, demand)
	bytes := map[string]int64{}
	for _, w := range weights {
		bytes[w.Model] = w.Bytes
	}
	for name, model := range env.Config.Models {
		stored := name
		if model.Weights != "" {
			stored = model.Weights
		}
		if p.forecast[name] == nil {
			p.forecast[name] = &placement.Forecast{}
		}
		p.forecast[name].Observe(time.Now(), demand[name])
		in.Models = append(in.Models, placement.Model{
			Name: name, Bytes: bytes[stored], Replicas: model.Replicas, Demand: p.forecast[name].In(lookAhead),
		})
	}
	return in, nil
}

// engines asks every engine for its report and adds its work to the demand, in
// equal parts for its models: engines do not report by model. One that does not
// answer gets no order and counts for nothing.
func (p *placementDuty) engines(ctx context.Context, s *config.Snapshot, demand map[string]float64) []placement.Engine {
	var mu sync.Mutex
	var all []placement.Engine
	var group errgroup.Group
	group.SetLimit(enginesAtOnce)
	for id, u := range s.Upstreams {
		if u.Kind != config.UpstreamEngine {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, engineTimeout)
			defer cancel()
			load, err := upstream.NewEngine(u.Address, p.transport).Load(ctx)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, placement.Engine{
				ID: id, DataCentre: u.DataCentre, Slots: u.Slots, MaxModels: max(u.MaxModels, len(u.Models), 1),
				Models: load.Models, Leaving: u.Leaving || load.Leaving,
			})
			for _, model := range load.Models {
				demand[model] += float64(load.Running+load.Queued) / float64(len(load.Models))
			}
			return nil
		})
	}
	_ = group.Wait()
	return all
}

// orders sends placement's orders to the engines of a configuration.
type orders struct {
	transport *http.Transport
	snapshot  *config.Snapshot
}

// Order implements placement.Sender.
func (o orders) Order(ctx context.Context, engineID string, order upstream.Order) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return upstream.NewEngine(o.snapshot.Upstreams[engineID].Address, o.transport).Order(ctx, order)
}
