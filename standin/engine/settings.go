package engine

import (
	"time"

	"github.com/rotisserie/eris"
)

// Settings shape one stand-in engine. Zero values take the defaults.
type Settings struct {
	// Models and Adapters are loaded at the start.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// MaxModels is how many models fit into memory; default 2.
	MaxModels int `json:"max_models"`
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool `json:"fencing"`

	// Slots is the largest batch; default 32.
	Slots int `json:"slots"`
	// MaxQueue is how many requests may wait for a slot; default 1024.
	MaxQueue int `json:"max_queue"`
	// StepBaseMS and StepPerSequenceMS give the milliseconds of one step:
	// base + sequences x per sequence; defaults 10 and 0.25.
	StepBaseMS        float64 `json:"step_base_ms"`
	StepPerSequenceMS float64 `json:"step_per_sequence_ms"`
	// PrefillPerStep is how many prompt tokens one step processes; default 2048.
	PrefillPerStep int64 `json:"prefill_per_step"`
	// TimeScale multiplies the times of steps, model loads, cache events and
	// load reports, but not ResumeWindowMS; default 1.
	TimeScale float64 `json:"time_scale"`

	// CacheBlocks bounds the prefix cache, in blocks of 64 prompt bytes;
	// default 4096.
	CacheBlocks int `json:"cache_blocks"`
	// CacheEventDelayMS is how late cache events are published; default 200.
	CacheEventDelayMS float64 `json:"cache_event_delay_ms"`
	// CacheEventLoss is the share of cache events never published, from 0 to 1.
	CacheEventLoss float64 `json:"cache_event_loss"`
	// KVBytesPerBlock is the size of an exported block; default 64.
	KVBytesPerBlock int `json:"kv_bytes_per_block"`
	// LoadLagMS is how old a load report may be; default 250.
	LoadLagMS float64 `json:"load_lag_ms"`

	// BufferTokens is how many tokens of a stream the engine keeps for a resume,
	// and how far it runs ahead of the reader; default 4096.
	BufferTokens int64 `json:"buffer_tokens"`
	// ResumeWindowMS is how long the engine keeps a stream without a connection
	// before it cancels it; default 10000.
	ResumeWindowMS float64 `json:"resume_window_ms"`

	// WeightBytes and WeightBytesPerSecond give the time of a model load when no
	// weight store is set; defaults 1e9 and 1e9.
	WeightBytes          float64 `json:"weight_bytes"`
	WeightBytesPerSecond float64 `json:"weight_bytes_per_second"`
	// WeightStore is the platform's base URL to read weights from, if set.
	WeightStore string `json:"weight_store"`

	// MaxRuns bounds the record of runs; default 1000000.
	MaxRuns int `json:"max_runs"`
	// Seed selects the cache events that are lost.
	Seed uint64 `json:"seed"`
	// FirstEvent is the sequence number before the first cache event. Programs
	// set it from the clock, so that a restart shows as a gap.
	FirstEvent int64 `json:"-"`
}

// withDefaults returns the settings with defaults in place of zeros.
func (s Settings) withDefaults() Settings {
	setDefault(&s.MaxModels, 2)
	setDefault(&s.Slots, 32)
	setDefault(&s.MaxQueue, 1024)
	setDefault(&s.StepBaseMS, 10)
	setDefault(&s.StepPerSequenceMS, 0.25)
	setDefault(&s.PrefillPerStep, 2048)
	setDefault(&s.TimeScale, 1)
	setDefault(&s.CacheBlocks, 4096)
	setDefault(&s.CacheEventDelayMS, 200)
	setDefault(&s.KVBytesPerBlock, 64)
	setDefault(&s.LoadLagMS, 250)
	setDefault(&s.BufferTokens, 4096)
	setDefault(&s.ResumeWindowMS, 10_000)
	setDefault(&s.WeightBytes, 1e9)
	setDefault(&s.WeightBytesPerSecond, 1e9)
	setDefault(&s.MaxRuns, 1_000_000)
	return s
}

func setDefault[T int | int64 | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Validate checks the settings, with defaults in place.
func (s Settings) Validate() error {
	s = s.withDefaults()
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"max_models", float64(s.MaxModels)},
		{"slots", float64(s.Slots)},
		{"max_queue", float64(s.MaxQueue)},
		{"step_base_ms", s.StepBaseMS},
		{"step_per_sequence_ms", s.StepPerSequenceMS},
		{"prefill_per_step", float64(s.PrefillPerStep)},
		{"time_scale", s.TimeScale},
		{"cache_blocks", float64(s.CacheBlocks)},
		{"cache_event_delay_ms", s.CacheEventDelayMS},
		{"kv_bytes_per_block", float64(s.KVBytesPerBlock)},
		{"load_lag_ms", s.LoadLagMS},
		{"buffer_tokens", float64(s.BufferTokens)},
		{"resume_window_ms", s.ResumeWindowMS},
		{"weight_bytes", s.WeightBytes},
		{"weight_bytes_per_second", s.WeightBytesPerSecond},
		{"max_runs", float64(s.MaxRuns)},
	} {
		if field.value < 0 {
			return eris.Errorf("%s is %v; it must not be negative", field.name, field.value)
		}
	}
	if s.CacheEventLoss < 0 || s.CacheEventLoss > 1 {
		return eris.Errorf("cache_event_loss is %v; it must lie between 0 and 1", s.CacheEventLoss)
	}
	if len(s.Models) > s.MaxModels {
		return eris.Errorf("%d models do not fit into max_models %d", len(s.Models), s.MaxModels)
	}
	return nil
}

// scaled returns a time in milliseconds as a duration under the time scale.
func (s Settings) scaled(ms float64) time.Duration {
	return time.Duration(ms * s.TimeScale * float64(time.Millisecond))
}

func (s Settings) resumeWindow() time.Duration {
	return time.Duration(s.ResumeWindowMS * float64(time.Millisecond))
}
