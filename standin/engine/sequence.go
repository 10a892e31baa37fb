package engine

import (
	"sync/atomic"
	"time"

	"buckthornridge/standin/answer"
	"buckthornridge/upstream"
	"buckthornridge/upstream/wire"
)

// stage is a sequence's stage of processing.
type stage int32

const (
	stageQueued stage = iota
	stagePrefill
	stageDecode
	stageFinished
	stageCancelled
)

// sequence is one stream in the engine. Fields that are neither atomic nor marked
// constant are guarded by the engine's mutex.
type sequence struct {
	*run             // its counters are atomic: readers load them without the lock
	request          wire.Generate
	arrival          int64    // order among equal priorities
	heapIndex        int      // index in the queue's heap
	chain            []uint64 // hashes of the prompt's prefix blocks
	seed             uint64   // constant
	limit            int64    // constant: tokens to generate
	finishReason     string   // constant
	cachedTokens     atomic.Int64
	remainingPrefill int64 // in prompt tokens
	stage            atomic.Int32

	readerID     int // the connection that reads the stream; 0 if none
	lastReaderID int // id of the latest connection; ids count up from 1
	detachedAt   time.Time
	replaced     chan struct{} // closed when another connection takes over
	progressed   chan struct{} // signals progress to the reader; nil without a reader
}

func newSequence(g wire.Generate, overrun int64, now time.Time) *sequence {
	length := answer.Length(g.Model, g.Prompt)
	finish := answer.FinishStop
	if length > g.MaxTokens {
		length, finish = max(g.MaxTokens, 0), answer.FinishLength
	}
	return &sequence{
		run: &run{
			streamID:     g.StreamID,
			model:        g.Model,
			promptTokens: answer.PromptTokens(g.Prompt),
			started:      now,
		},
		request:      g,
		chain:        upstream.PrefixChain(g.Model, g.Adapter, g.Prompt),
		seed:         answer.Seed(g.Model, g.Prompt),
		limit:        length + overrun,
		finishReason: finish,
		detachedAt:   now,
	}
}

func (s *sequence) currentStage() stage { return stage(s.stage.Load()) }
func (s *sequence) setStage(to stage)   { s.stage.Store(int32(to)) }
func (s *sequence) ended() bool         { return s.currentStage() >= stageFinished }

// usage returns the token usage so far.
func (s *sequence) usage() wire.Usage {
	return wire.Usage{
		PromptTokens: s.promptTokens,
		CachedTokens: s.cachedTokens.Load(),
		OutputTokens: s.generated.Load(),
	}
}

// bufferFull reports whether generation must wait for the reader to catch up.
func (s *sequence) bufferFull(bufferTokens int64) bool {
	return s.generated.Load()-s.read.Load() >= bufferTokens
}

func (s *sequence) notify() {
	select {
	case s.progressed <- struct{}{}:
	default: // there is no reader, or a signal is pending already
	}
}
