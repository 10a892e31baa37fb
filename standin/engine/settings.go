package engine

import (
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/settings"
	"buckthornridge/standin/number"
)

// Settings configure one simulated engine, in the format of its settings file.
// They must be derived from DefaultSettings.
type Settings struct {
	// Models and Adapters are loaded at startup.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// MaxModels is the number of models that fit into memory.
	MaxModels number.Positive `json:"max_models"`
	// Fencing makes the engine refuse a desired state with a stale fencing token.
	Fencing bool `json:"fencing"`

	// Slots is the maximum batch size.
	Slots number.Positive `json:"slots"`
	// MaxQueue is the maximum number of requests that wait for a slot.
	MaxQueue number.Positive `json:"max_queue"`
	// A step takes StepBase + sequences x StepPerSequence.
	StepBase        settings.Duration `json:"step_base"`
	StepPerSequence settings.Duration `json:"step_per_sequence"`
	// PrefillPerStep is the maximum number of prompt tokens processed per step.
	PrefillPerStep number.Positive `json:"prefill_per_step"`
	// TimeScale multiplies the durations of steps and model loads and the delays
	// of cache events and load reports, but not ResumeWindow.
	TimeScale number.Factor `json:"time_scale"`

	// CacheBlocks is the capacity of the prefix cache, in blocks of 64 prompt bytes.
	CacheBlocks number.Positive `json:"cache_blocks"`
	// CacheEventDelay is the delay before cache events are published.
	CacheEventDelay settings.Duration `json:"cache_event_delay"`
	// CacheEventLoss is the fraction of cache events that are never published.
	CacheEventLoss number.Fraction `json:"cache_event_loss"`
	// KVBytesPerBlock is the size of an exported block.
	KVBytesPerBlock number.Positive `json:"kv_bytes_per_block"`
	// LoadLag is the maximum age of a load report.
	LoadLag settings.Duration `json:"load_lag"`

	// BufferTokens is how many tokens of a stream the engine keeps for a resume,
	// and how far generation may run ahead of the reader.
	BufferTokens number.Positive `json:"buffer_tokens"`
	// ResumeWindow is how long a stream without a connection is kept before it is
	// cancelled.
	ResumeWindow settings.Duration `json:"resume_window"`

	// WeightBytes and WeightBytesPerSecond determine the duration of a model load
	// when no weight store is set.
	WeightBytes          number.Positive `json:"weight_bytes"`
	WeightBytesPerSecond number.Positive `json:"weight_bytes_per_second"`
	// WeightStore is the platform's address (host:port) to read weights from; if
	// empty, the read is simulated.
	WeightStore string `json:"weight_store"`

	// MaxRuns is the maximum number of recorded runs.
	MaxRuns number.Positive `json:"max_runs"`
	// Seed seeds the random choice of lost cache events.
	Seed uint64 `json:"seed"`
	// FirstEvent is the sequence number before the first cache event. Programs
	// set it from the clock, so that a restart appears as a gap.
	FirstEvent int64 `json:"-"`
}

// DefaultSettings returns the settings of an engine without models.
func DefaultSettings() Settings {
	return Settings{
		MaxModels:            2,
		Slots:                32,
		MaxQueue:             1024,
		StepBase:             settings.Duration(10 * time.Millisecond),
		StepPerSequence:      settings.Duration(250 * time.Microsecond),
		PrefillPerStep:       2048,
		TimeScale:            1,
		CacheBlocks:          4096,
		CacheEventDelay:      settings.Duration(200 * time.Millisecond),
		KVBytesPerBlock:      64,
		LoadLag:              settings.Duration(250 * time.Millisecond),
		BufferTokens:         4096,
		ResumeWindow:         settings.Duration(10 * time.Second),
		WeightBytes:          1e9,
		WeightBytesPerSecond: 1e9,
		MaxRuns:              1_000_000,
	}
}

// Validate checks what the field types do not check while decoding.
func (s Settings) Validate() error {
	if len(s.Models) > int(s.MaxModels) {
		return eris.Errorf("%d models do not fit into max_models %d", len(s.Models), s.MaxModels)
	}
	for _, count := range []number.Positive{s.MaxModels, s.Slots, s.MaxQueue, s.PrefillPerStep, s.CacheBlocks,
		s.KVBytesPerBlock, s.BufferTokens, s.WeightBytes, s.WeightBytesPerSecond, s.MaxRuns} {
		if count < 1 {
			return eris.New("a count setting is not positive; derive the settings from DefaultSettings")
		}
	}
	if s.StepBase <= 0 || s.TimeScale <= 0 {
		return eris.New("step_base and time_scale must be positive")
	}
	return nil
}

// scaled applies the time scale.
func (s Settings) scaled(d settings.Duration) time.Duration {
	return time.Duration(float64(d) * float64(s.TimeScale))
}
