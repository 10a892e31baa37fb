// Package placer is the duty that places models. It runs under a lease: it queries
// the load of all engines, plans with package placement and sends engines their
// desired state.
package placer

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
	"buckthornridge/duty"
	"buckthornridge/kernel"
	"buckthornridge/placement"
	"buckthornridge/upstream"
)

const (
	interval            = 10 * time.Second
	maxParallelRequests = 16
	requestTimeout      = 2 * time.Second
	// forecastHorizon is how far ahead demand is predicted: about the duration of a
	// load and one pass.
	forecastHorizon = 30 * time.Second
	// loadWindow is how long the weight store may need to transfer the weights that
	// engines are loading at once.
	loadWindow = time.Minute
	// unresponsiveTimeout is how long an engine that does not answer counts as
	// holding its target models, so that a short outage moves no models.
	unresponsiveTimeout = time.Minute
	// maxReportAge is the age above which a report counts as no answer, since plans
	// must not rest on outdated reports.
	maxReportAge = 30 * time.Second
)

func init() {
	kernel.Register(duty.Namespace+".placement", func() any { return New(upstream.NewTransport()) })
}

// engineFactory returns the client of the engine at an address.
type engineFactory func(address string) upstream.Engine

// Placer implements duty.Duty. Two processes that run it at once are safe: only the
// one with the newest fencing token can commit a plan.
type Placer struct {
	newEngine  engineFactory
	reconciler *placement.Reconciler
	forecasts  map[string]*placement.Forecast
	engines    map[string]upstream.Engine // by engine ID, of the current pass
	lastReport map[string]time.Time       // time of the last usable answer, by engine ID
}

// New returns a placer whose engine clients use the transport.
func New(transport http.RoundTripper) *Placer {
	return newPlacer(func(address string) upstream.Engine { return upstream.NewEngine(address, transport) })
}

func newPlacer(factory engineFactory) *Placer {
	return &Placer{newEngine: factory, forecasts: map[string]*placement.Forecast{}, lastReport: map[string]time.Time{}}
}

// Interval implements duty.Duty.
func (*Placer) Interval() time.Duration { return interval }

// Run implements duty.Duty: it computes one plan and sends the desired states. It
// does nothing unless the policy enables placement, so that no models move in a
// fleet that was not configured for it.
func (p *Placer) Run(ctx context.Context, env duty.Env) error {
	if env.Config == nil || env.Config.Policy.Placement != config.PlacementDemand {
		return nil
	}
	if p.reconciler == nil {
		reconciler := placement.NewReconciler(env.Platform.Table, p, rand.Text())
		if err := reconciler.Acquire(ctx); err != nil {
			return err
		}
		p.reconciler = reconciler
	}
	weights, rate, err := env.Platform.Weights.Weights(ctx)
	if err != nil {
		return eris.Wrap(err, "list the weight store's weights")
	}
	bytes := map[string]int64{}
	for _, w := range weights {
		bytes[w.Model] = w.Bytes
	}
	in := p.queryEngines(ctx, env.Config)
	in.MaxLoadingBytes = int64(float64(rate) * loadWindow.Seconds())
	in.Models = p.models(env.Config, in, bytes)
	_, err = p.reconciler.Reconcile(ctx, in.Input)
	if errors.Is(err, placement.ErrFenced) {
		p.reconciler = nil // a later pass acquires a new token if this process still holds the lease
	}
	return err
}

// fleetLoad is the input of a plan with the load reports of the engines by ID.
type fleetLoad struct {
	placement.Input
	load map[string]upstream.Load
}

// queryEngines queries the load of all engines in parallel.
func (p *Placer) queryEngines(ctx context.Context, c *config.Snapshot) fleetLoad {
	s := fleetLoad{load: map[string]upstream.Load{}}
	p.engines = map[string]upstream.Engine{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelRequests)
	for id, u := range c.Upstreams {
		if u.Kind != config.UpstreamEngine {
			continue
		}
		client := p.newEngine(u.Address)
		p.engines[id] = client
		group.Go(func() error {
			load, ok := queryLoad(ctx, client)
			mu.Lock()
			defer mu.Unlock()
			p.addEngine(&s, id, u, load, ok)
			return nil
		})
	}
	_ = group.Wait() // its functions return no errors
	return s
}

func queryLoad(ctx context.Context, client upstream.Engine) (upstream.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	load, err := client.Load(ctx)
	age := time.Duration(load.AgeMillis) * time.Millisecond
	return load, err == nil && age <= maxReportAge
}

func (p *Placer) addEngine(s *fleetLoad, id string, u config.Upstream, load upstream.Load, ok bool) {
	now := time.Now()
	if ok {
		p.lastReport[id] = now
		s.load[id] = load
	} else if now.Sub(p.lastReport[id]) > unresponsiveTimeout {
		return
	}
	s.Engines = append(s.Engines, placement.Engine{
		ID: id, DataCentre: u.DataCentre, Slots: max(u.Slots, 1), Models: load.Models, Unresponsive: !ok,
		MaxModels: max(u.MaxModels, len(u.Models), len(load.Models), 1),
		Leaving:   load.Leaving || u.Leaving,
	})
}

// models returns the predicted demand and the requirements of every configured
// model.
func (p *Placer) models(c *config.Snapshot, s fleetLoad, bytes map[string]int64) []placement.Model {
	demand := map[string]float64{}
	for _, load := range s.load {
		for _, name := range load.Models {
			// Engines do not report load by model, so it is divided evenly among the
			// models of an engine.
			demand[name] += float64(load.Running+load.Queued) / float64(len(load.Models))
		}
	}
	var needs []placement.Model
	for name, m := range c.Models {
		if p.forecasts[name] == nil {
			p.forecasts[name] = &placement.Forecast{}
		}
		forecast := p.forecasts[name]
		forecast.Observe(time.Now(), demand[name])
		weights := m.Weights
		if weights == "" {
			weights = name
		}
		needs = append(needs, placement.Model{
			Name: name, Bytes: bytes[weights], Replicas: m.Replicas, Demand: forecast.Predict(forecastHorizon),
		})
	}
	return needs
}

// SendDesiredState implements placement.EngineClient.
func (p *Placer) SendDesiredState(ctx context.Context, engineID string, state upstream.DesiredState) error {
	client := p.engines[engineID]
	if client == nil {
		return eris.Errorf("engine %s is not configured", engineID)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return client.SetDesiredState(ctx, state)
}
