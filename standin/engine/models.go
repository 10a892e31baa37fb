package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"buckthornridge/settings"
	"buckthornridge/upstream"
	"buckthornridge/upstream/wire"
)

// loadRetryDelay is the delay before the retry of a failed weight load.
const loadRetryDelay = settings.Duration(time.Second)

// WeightSource loads the weights of a model. Load returns when they are loaded.
type WeightSource interface {
	Load(ctx context.Context, model string) error
}

// models holds the loaded models and adapters and the desired state.
type models struct {
	fencing   bool
	maxModels int

	mu            sync.Mutex
	target        upstream.DesiredState
	loaded        []string
	adapters      []string
	targetChanged chan struct{} // signals a new target to the loader
}

func newModels(s Settings) *models {
	return &models{
		fencing:       s.Fencing,
		maxModels:     int(s.MaxModels),
		target:        upstream.DesiredState{Models: s.Models, Adapters: s.Adapters},
		loaded:        slices.Clone(s.Models),
		adapters:      slices.Clone(s.Adapters),
		targetChanged: make(chan struct{}, 1),
	}
}

// setTarget sets the desired state and unloads models that it does not contain.
// It returns the unloaded models, or the error code of the refusal.
func (m *models) setTarget(o upstream.DesiredState) (unloaded []string, refusal string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fencing && o.Fence < m.target.Fence {
		return nil, wire.ErrorOldFence
	}
	if len(o.Models) > m.maxModels {
		return nil, wire.ErrorNoMemory
	}
	m.target = o
	m.adapters = slices.Clone(o.Adapters)
	m.loaded = slices.DeleteFunc(m.loaded, func(model string) bool {
		if slices.Contains(o.Models, model) {
			return false
		}
		unloaded = append(unloaded, model)
		return true
	})
	select {
	case m.targetChanged <- struct{}{}:
	default:
	}
	return unloaded, ""
}

// ready reports whether a request for the model and adapter can run.
func (m *models) ready(model, adapter string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.loaded, model) && (adapter == "" || slices.Contains(m.adapters, adapter))
}

// nextMissing returns the first model of the target that is not loaded.
func (m *models) nextMissing() (model string, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, model := range m.target.Models {
		if !slices.Contains(m.loaded, model) {
			return model, true
		}
	}
	return "", false
}

// finishLoad adds a loaded model, unless it was removed from the target during
// the load.
func (m *models) finishLoad(model string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Contains(m.target.Models, model) && !slices.Contains(m.loaded, model) {
		m.loaded = append(m.loaded, model)
	}
}

func (m *models) report(into *upstream.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	into.Models = slices.Clone(m.loaded)
	into.Adapters = slices.Clone(m.adapters)
	into.Role = m.target.Role
	into.Fence = m.target.Fence
	for _, model := range m.target.Models {
		if !slices.Contains(m.loaded, model) {
			into.Loading = append(into.Loading, model)
		}
	}
}

// run loads missing models one at a time until the context is done.
func (m *models) run(ctx context.Context, source WeightSource, retry time.Duration) {
	for ctx.Err() == nil {
		model, found := m.nextMissing()
		if !found {
			select {
			case <-m.targetChanged:
			case <-ctx.Done():
			}
			continue
		}
		if err := source.Load(ctx, model); err != nil {
			sleep(ctx, retry)
			continue
		}
		m.finishLoad(model)
	}
}

// sleep waits for the duration or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
