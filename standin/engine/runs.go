package engine

import (
	"sync"
	"sync/atomic"
	"time"
)

// Run records the execution of one stream, for audits.
type Run struct {
	StreamID     string `json:"stream_id"`
	Model        string `json:"model"`
	PromptTokens int64  `json:"prompt_tokens"`
	Generated    int64  `json:"generated"` // tokens
	Read         int64  `json:"read"`      // tokens written to a connection
	Cancelled    bool   `json:"cancelled"`
	Finished     bool   `json:"finished"`
	// StartedUnixMS is when the request was accepted, in Unix milliseconds.
	StartedUnixMS int64 `json:"started_unix_ms"`
}

// run holds the counters of a Run while the stream exists. The batch loop updates
// generated, the stream's readers update read.
type run struct {
	streamID     string
	model        string
	promptTokens int64
	started      time.Time
	generated    atomic.Int64
	read         atomic.Int64
	cancelled    atomic.Bool
	finished     atomic.Bool
}

func (r *run) report() Run {
	return Run{
		StreamID:      r.streamID,
		Model:         r.model,
		PromptTokens:  r.promptTokens,
		Generated:     r.generated.Load(),
		Read:          r.read.Load(),
		Cancelled:     r.cancelled.Load(),
		Finished:      r.finished.Load(),
		StartedUnixMS: r.started.UnixMilli(),
	}
}

// runLog records runs up to its capacity; further runs are only counted.
type runLog struct {
	mu       sync.Mutex
	capacity int
	runs     []*run
	omitted  int64
}

func (l *runLog) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= l.capacity {
		l.omitted++
		return
	}
	l.runs = append(l.runs, r)
}

// RunReport lists all runs since the start.
type RunReport struct {
	Runs []Run `json:"runs"`
	// Omitted counts runs beyond the capacity; an audit requires 0.
	Omitted int64 `json:"omitted"`
}

func (l *runLog) report() RunReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := RunReport{Runs: make([]Run, len(l.runs)), Omitted: l.omitted}
	for i, r := range l.runs {
		report.Runs[i] = r.report()
	}
	return report
}

// raiseTo atomically sets a counter to the maximum of its value and to.
func raiseTo(counter *atomic.Int64, to int64) {
	for {
		old := counter.Load()
		if old >= to || counter.CompareAndSwap(old, to) {
			return
		}
	}
}
