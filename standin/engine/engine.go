// Package engine simulates a model inference engine for tests and load runs: it
// does continuous batching, keeps a bounded prefix cache and serves the engines'
// HTTP protocol.
//
// Its responses come from package answer, so callers can check every byte. It
// records every run for audits and injects the faults that clients of engines
// must handle.
package engine

import (
	"context"
	"sync"
	"time"

	"buckthornridge/upstream"
	"buckthornridge/upstream/wire"
)

// Streams are checked for expiry expiryChecksPerWindow times per resume window.
// minExpiryInterval keeps the loop from polling constantly when the window is
// short.
const (
	expiryChecksPerWindow = 8
	minExpiryInterval     = 10 * time.Millisecond
)

// Engine is one simulated engine. Start launches its goroutines, Stop ends them.
type Engine struct {
	settings  Settings
	models    *models
	weights   WeightSource
	workAdded chan struct{} // signals new work to the batch loop

	mu             sync.Mutex // guards the fields below
	core           *core
	faults         Faults
	leavingSince   time.Time // zero until the engine leaves
	refusedLeaving int64     // requests refused since leavingSince
	loadSample     upstream.Load
	loadSampledAt  time.Time

	stop context.CancelFunc
	done sync.WaitGroup
}

// New returns an engine with settings derived from DefaultSettings. The id
// identifies the engine to the weight store.
func New(id string, s Settings) (*Engine, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Engine{
		settings:  s,
		models:    newModels(s),
		weights:   newWeightSource(s, id),
		workAdded: make(chan struct{}, 1),
		core:      newCore(s),
	}, nil
}

// Start runs the batch loop and the model loader.
func (e *Engine) Start(ctx context.Context) error {
	ctx, e.stop = context.WithCancel(ctx)
	e.done.Go(func() { e.runBatches(ctx) })
	e.done.Go(func() { e.models.run(ctx, e.weights, e.settings.scaled(loadRetryDelay)) })
	return nil
}

// Stop ends the engine and its streams immediately.
func (e *Engine) Stop() error {
	e.stop()
	e.done.Wait()
	return nil
}

// Leave makes the engine refuse new requests.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
	}
}

// Crash ends all streams; they can't be resumed. The cache is lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.core.streams {
		e.core.cancel(id)
	}
	for _, model := range e.core.settings.Models {
		e.core.cache.evictModel(model)
	}
}

// ActiveRequests returns the number of streams that are running or have a reader.
func (e *Engine) ActiveRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := 0
	for _, s := range e.core.streams {
		if !s.ended() || s.readerID != 0 {
			open++
		}
	}
	return open
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.signalWork()
	return nil
}

// runBatches runs steps back to back while there is work.
func (e *Engine) runBatches(ctx context.Context) {
	var busyUntil, lastExpiry time.Time
	expiryInterval := max(e.settings.ResumeWindow.D()/expiryChecksPerWindow, minExpiryInterval)
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(lastExpiry) >= expiryInterval {
			e.expire(now)
			lastExpiry = now
		}
		next := e.planStep()
		if next.empty() {
			e.waitForWork(ctx, expiryInterval)
			busyUntil = time.Time{}
			continue
		}
		// The next step starts at the planned end of the last one, so that
		// late timers do not accumulate drift.
		if now.Sub(busyUntil) > next.duration {
			busyUntil = now
		}
		busyUntil = busyUntil.Add(next.duration)
		sleep(ctx, time.Until(busyUntil))
		e.finishStep(next)
	}
}

func (e *Engine) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.expire(now)
}

func (e *Engine) planStep() step {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stall {
		return step{}
	}
	next := e.core.plan()
	next.duration = time.Duration(float64(next.duration) * e.faults.slowFactor())
	return next
}

func (e *Engine) finishStep(done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.finish(done, time.Now())
}

// waitForWork returns when there may be work, or after the timeout.
func (e *Engine) waitForWork(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-e.workAdded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (e *Engine) signalWork() {
	select {
	case e.workAdded <- struct{}{}:
	default: // a signal is pending already
	}
}

// submit accepts a request and attaches its first reader, or returns the error
// code of the refusal.
func (e *Engine) submit(g wire.Generate) (*streamReader, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.refusal(g); refusal != "" {
		return nil, refusal
	}
	s, refusal := e.core.submit(g, e.faults.Overrun, time.Now())
	if refusal != "" {
		return nil, refusal
	}
	e.signalWork()
	return e.attach(s, 0)
}

func (e *Engine) refusal(g wire.Generate) string {
	switch {
	case e.faults.Refuse != "":
		return e.faults.Refuse
	case !e.leavingSince.IsZero():
		e.refusedLeaving++
		return wire.ErrorLeaving
	case !e.models.ready(g.Model, g.Adapter):
		return wire.ErrorModelNotLoaded
	}
	return ""
}

// resume attaches another reader to a stream.
func (e *Engine) resume(r wire.Resume) (*streamReader, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.core.streams[r.StreamID]
	if s == nil {
		return nil, wire.ErrorNoStream
	}
	return e.attach(s, r.From)
}

func (e *Engine) attach(s *sequence, from int64) (*streamReader, string) {
	a := e.core.attach(s, from)
	if a == nil {
		return nil, wire.ErrorNoStream
	}
	a.faults = e.faults
	e.countWireFault()
	return a, ""
}

// countWireFault counts a connection that the wire fault applies to, and clears
// the fault after the last one.
func (e *Engine) countWireFault() {
	f := &e.faults.Wire
	if f.Kind == WireNone || f.Connections == 0 {
		return
	}
	f.Connections--
	if f.Connections == 0 {
		*f = WireFault{}
	}
}

func (e *Engine) detach(a *streamReader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.detach(a.sequence, a.readerID, time.Now())
}

func (e *Engine) cancel(streamID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.cancel(streamID)
}

func (e *Engine) setDesiredState(o upstream.DesiredState) (refusal string) {
	unloaded, refusal := e.models.setTarget(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.events.now = time.Now()
	for _, model := range unloaded {
		e.core.cache.evictModel(model)
	}
	return refusal
}

// load returns a load report that is at most LoadLag old.
func (e *Engine) load() upstream.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.loadSampledAt) >= e.settings.scaled(e.settings.LoadLag) {
		e.loadSample, e.loadSampledAt = e.core.load(), now
		e.loadSample.StepMillis *= e.faults.slowFactor()
		e.loadSample.Leaving = !e.leavingSince.IsZero()
		e.models.report(&e.loadSample)
	}
	report := e.loadSample
	if e.faults.IdleLoad {
		report.Running, report.Queued, report.PrefillTokens, report.StepMillis = 0, 0, 0, 0
	}
	report.AgeMillis = now.Sub(e.loadSampledAt).Milliseconds()
	return report
}

func (e *Engine) cacheEvents(after int64) []upstream.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.events.after(after, time.Now())
}
