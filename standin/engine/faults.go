package engine

import "github.com/rotisserie/eris"

// Faults are the faults injected into an engine; the zero value injects none.
type Faults struct {
	// Refuse makes the engine refuse requests with this error code, such as "full".
	Refuse string `json:"refuse,omitempty"`
	// RetryAfterMS is the retry hint sent with Refuse and with other refusals.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Stall stops the processing of the batch.
	Stall bool `json:"stall,omitempty"`
	// SlowFactor multiplies the duration of steps; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// IdleLoad makes load reports show an idle engine.
	IdleLoad bool `json:"idle_load,omitempty"`
	// Overrun is how many tokens a stream generates past its end.
	Overrun int64 `json:"overrun,omitempty"`
	// UsageError is added to the reported output tokens.
	UsageError int64 `json:"usage_error,omitempty"`
	// Wire corrupts responses as they are written.
	Wire WireFault `json:"wire"`
}

// WireFault corrupts the responses on some or all connections.
type WireFault struct {
	Kind WireFaultKind `json:"kind,omitempty"`
	// After is how many tokens a connection writes correctly before the fault.
	After int64 `json:"after,omitempty"`
	// Connections is how many connections the fault applies to; 0 means all.
	Connections int64 `json:"connections,omitempty"`
}

// WireFaultKind is a kind of response corruption.
type WireFaultKind string

// The kinds of response corruption.
const (
	WireNone       WireFaultKind = ""
	WireKill       WireFaultKind = "kill"      // abort the connection
	WireTruncate   WireFaultKind = "truncate"  // end the body without the last line
	WireMismatched WireFaultKind = "foreign"   // send a token with another stream's id
	WireDuplicate  WireFaultKind = "duplicate" // write a token twice
	WireSkip       WireFaultKind = "skip"      // omit a token
	WireReorder    WireFaultKind = "reorder"   // send a token with its position plus one
	WireLoseTail   WireFaultKind = "lose_tail" // omit the remaining tokens, write the last line
	WireMalformed  WireFaultKind = "malformed" // write a line that is not JSON
	WireOversized  WireFaultKind = "oversized" // write a token that exceeds every client's limit
)

func (f Faults) validate() error {
	switch f.Wire.Kind {
	case WireNone, WireKill, WireTruncate, WireMismatched, WireDuplicate, WireSkip,
		WireReorder, WireLoseTail, WireMalformed, WireOversized:
	default:
		return eris.Errorf("unknown wire fault %q", f.Wire.Kind)
	}
	if f.SlowFactor < 0 || f.Overrun < 0 {
		return eris.New("slow_factor and overrun must not be negative")
	}
	return nil
}

func (f Faults) slowFactor() float64 {
	if f.SlowFactor == 0 {
		return 1
	}
	return f.SlowFactor
}
