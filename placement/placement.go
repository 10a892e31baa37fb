// Package placement decides which engine holds which models. One control process
// at a time computes a plan from the models' demand and the weight store's transfer
// rate, and sends each engine its desired state.
//
// A message to an engine carries its whole desired state and a fencing token from a
// table row. An engine that ignores the token may apply a delayed desired state of
// an earlier reconciler; the current one sees that in the engine's report and sends
// the desired state again.
package placement

import (
	"math"
	"time"
)

// Model describes how much capacity a model needs.
type Model struct {
	Name  string
	Bytes int64 // of its weights
	// Replicas is the minimum number of engines that should hold the model.
	Replicas int
	// Demand is the number of slots that its running and queued requests need.
	Demand float64
}

// Engine is the last known state of an engine.
type Engine struct {
	ID         string
	DataCentre string
	Slots      int
	// MaxModels is the number of models that the engine can hold at once.
	MaxModels int
	// Models lists the models that the engine reported as loaded.
	Models []string
	// Unresponsive engines did not report recently. They keep their target models,
	// get no further models and are sent no desired state.
	Unresponsive bool
	// Leaving engines are left out of the plan: they provide no capacity and are sent
	// no desired state.
	Leaving bool
}

// Input is the input of ComputePlan.
type Input struct {
	Models  []Model
	Engines []Engine
	// Previous maps engine IDs to their target models in the last plan.
	Previous map[string][]string
	// MaxLoadingBytes limits the size of the weights that engines may be loading at
	// once.
	MaxLoadingBytes int64
}

// Plan maps engine IDs to the models that they should hold, sorted by name.
type Plan struct {
	Targets map[string][]string `json:"targets"`
	// Deferred counts the models that lack a replica until a later plan, because of
	// MaxLoadingBytes or because they fit on no engine.
	Deferred int `json:"deferred"`
}

const (
	// headroomFactor is the ratio of a model's required slots to its demand.
	headroomFactor = 1.25
	// smoothing is the weight of a new observation in a Forecast, for level and slope.
	smoothing = 0.3
)

// Forecast extrapolates the trend of a demand by double exponential smoothing
// (Holt's linear method).
type Forecast struct {
	level, slope float64 // slots, slots per second
	at           time.Time
}

// Observe adds the demand in slots at the time now.
func (f *Forecast) Observe(now time.Time, demand float64) {
	if f.at.IsZero() {
		f.level, f.at = demand, now
		return
	}
	elapsed := now.Sub(f.at).Seconds()
	if elapsed <= 0 {
		return
	}
	expected := f.level + f.slope*elapsed
	level := expected + smoothing*(demand-expected)
	f.slope += smoothing * ((level-f.level)/elapsed - f.slope)
	f.level, f.at = level, now
}

// Predict returns the expected demand at d after the last observation, for example
// when a load that starts now has finished.
func (f *Forecast) Predict(d time.Duration) float64 {
	return math.Max(0, f.level+f.slope*d.Seconds())
}
