package engine

import (
	"slices"
	"time"

	"buckthornridge/settings"
	"buckthornridge/standin/answer"
	"buckthornridge/upstream"
	"buckthornridge/upstream/wire"
)

// core is the scheduler: it handles admission, the batch, the cache and the
// lifecycle of streams. It does no I/O and does not read the clock.
type core struct {
	settings Settings
	cache    *prefixCache
	events   *eventLog
	streams  map[string]*sequence // by stream id, until cancelled or expired
	waiting  queue
	batch    []*sequence // ordered by priority, then arrival
	arrivals int64
	runs     runLog
}

func newCore(s Settings) *core {
	events := newEventLog(s)
	return &core{
		settings: s,
		cache:    newPrefixCache(int(s.CacheBlocks), events),
		events:   events,
		streams:  map[string]*sequence{},
		runs:     runLog{capacity: int(s.MaxRuns)},
	}
}

// submit queues a request, or returns the error code of the refusal.
func (c *core) submit(g wire.Generate, overrun int64, now time.Time) (*sequence, string) {
	if c.streams[g.StreamID] != nil {
		return nil, wire.ErrorStreamExists
	}
	if len(c.batch) >= c.slots() && c.waiting.len() >= int(c.settings.MaxQueue) {
		return nil, wire.ErrorFull
	}
	s := newSequence(g, overrun, now)
	c.arrivals++
	s.arrival = c.arrivals
	c.streams[g.StreamID] = s
	c.runs.add(s.run)
	c.waiting.push(s)
	return s, ""
}

// step is one planned forward pass over the batch.
type step struct {
	prefill  []prefillChunk
	decode   []*sequence
	duration time.Duration
}

// prefillChunk is the part of a sequence's prompt that one step processes.
type prefillChunk struct {
	sequence *sequence
	tokens   int64
}

func (s step) empty() bool { return len(s.prefill) == 0 && len(s.decode) == 0 }

// plan fills the batch from the queue and plans the next step.
func (c *core) plan() step {
	c.admit()
	var next step
	remaining := int64(c.settings.PrefillPerStep)
	for _, s := range c.batch {
		switch {
		case s.currentStage() == stageDecode && !s.bufferFull(int64(c.settings.BufferTokens)):
			next.decode = append(next.decode, s)
		case s.currentStage() == stagePrefill && (remaining > 0 || s.remainingPrefill == 0):
			chunk := min(remaining, s.remainingPrefill)
			remaining -= chunk
			next.prefill = append(next.prefill, prefillChunk{sequence: s, tokens: chunk})
		}
	}
	next.duration = c.stepTime(len(next.decode) + len(next.prefill))
	return next
}

func (c *core) stepTime(sequences int) time.Duration {
	unscaled := c.settings.StepBase + settings.Duration(sequences)*c.settings.StepPerSequence
	return c.settings.scaled(unscaled)
}

func (c *core) slots() int { return int(c.settings.Slots) }

func (c *core) admit() {
	for len(c.batch) < c.slots() && c.waiting.len() > 0 {
		s := c.waiting.pop()
		blocks := c.cache.lookup(s.chain)
		cached := int64(blocks) * upstream.PrefixBlockBytes / answer.BytesPerToken
		s.cachedTokens.Store(cached)
		s.remainingPrefill = s.promptTokens - cached
		s.setStage(stagePrefill)
		position, _ := slices.BinarySearchFunc(c.batch, s, func(a, b *sequence) int {
			if precedes(a, b) {
				return -1
			}
			return 1
		})
		c.batch = slices.Insert(c.batch, position, s)
	}
}

// finish applies the result of a step. It skips sequences that were cancelled
// while the step ran.
func (c *core) finish(done step, now time.Time) {
	c.events.now = now
	for _, p := range done.prefill {
		c.finishPrefill(p)
	}
	for _, s := range done.decode {
		if s.currentStage() == stageDecode {
			c.generate(s)
		}
	}
	c.batch = slices.DeleteFunc(c.batch, (*sequence).ended)
}

// finishPrefill counts processed prompt tokens. The step that completes the
// prompt also generates the first token.
func (c *core) finishPrefill(p prefillChunk) {
	s := p.sequence
	if s.currentStage() != stagePrefill {
		return
	}
	s.remainingPrefill -= p.tokens
	if s.remainingPrefill > 0 {
		return
	}
	c.cache.store(s.model, s.chain)
	s.setStage(stageDecode)
	c.generate(s)
}

func (c *core) generate(s *sequence) {
	if s.generated.Load() < s.limit {
		s.generated.Add(1)
	}
	if s.generated.Load() >= s.limit {
		s.finished.Store(true)
		s.setStage(stageFinished)
	}
	s.notify()
}

// cancel ends a stream immediately. It reports whether the stream was known.
func (c *core) cancel(streamID string) bool {
	s := c.streams[streamID]
	if s == nil {
		return false
	}
	delete(c.streams, streamID)
	c.cancelSequence(s)
	return true
}

func (c *core) cancelSequence(s *sequence) {
	switch s.currentStage() {
	case stageQueued:
		c.waiting.remove(s)
	case stagePrefill, stageDecode:
		c.batch = slices.DeleteFunc(c.batch, func(other *sequence) bool { return other == s })
	default:
		return
	}
	s.cancelled.Store(true)
	s.setStage(stageCancelled)
	s.notify()
}

// streamReader is one connection's read state of a stream.
type streamReader struct {
	*sequence
	readerID int
	next     int64           // next position to write
	progress <-chan struct{} // signals new tokens or the end
	replaced <-chan struct{} // closed when another connection takes over
	faults   Faults
}

// attach makes a new connection the stream's reader and replaces the previous
// one. It returns nil if the token at the position from is no longer buffered or
// lies ahead of what has been generated.
//
// Each reader has its own channels: if a replaced reader that has not exited yet
// received the notification of the last token, the new reader would wait forever.
func (c *core) attach(s *sequence, from int64) *streamReader {
	generated := s.generated.Load()
	if from < max(0, generated-int64(c.settings.BufferTokens)) || from > generated {
		return nil
	}
	if s.replaced != nil {
		close(s.replaced)
	}
	s.replaced = make(chan struct{})
	s.progressed = make(chan struct{}, 1)
	s.lastReaderID++
	s.readerID = s.lastReaderID
	return &streamReader{sequence: s, readerID: s.readerID, next: from, progress: s.progressed, replaced: s.replaced}
}

// detach starts the resume window, unless another connection took over.
func (c *core) detach(s *sequence, readerID int, now time.Time) {
	if s.readerID != readerID {
		return
	}
	s.readerID = 0
	s.detachedAt = now
	s.replaced, s.progressed = nil, nil
}

// expire cancels and removes streams whose resume window has passed.
func (c *core) expire(now time.Time) {
	for id, s := range c.streams {
		if s.readerID == 0 && now.Sub(s.detachedAt) >= c.settings.ResumeWindow.D() {
			delete(c.streams, id)
			c.cancelSequence(s)
		}
	}
}

// load returns the current load, from which the delayed report is sampled.
func (c *core) load() upstream.Load {
	report := upstream.Load{
		Running:    len(c.batch),
		Queued:     c.waiting.len(),
		StepMillis: float64(c.stepTime(len(c.batch))) / float64(time.Millisecond),
	}
	for _, s := range c.batch {
		report.PrefillTokens += s.remainingPrefill
	}
	for _, s := range c.waiting.items {
		report.PrefillTokens += s.promptTokens
	}
	return report
}
