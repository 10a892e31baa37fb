package upstream

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Values of Usage.FinishReason.
const (
	FinishStop   = "stop"   // the model ended the output
	FinishLength = "length" // the output reached MaxTokens
)

// cancelTimeout limits the cancellation of a stream that exceeded MaxTokens.
const cancelTimeout = 2 * time.Second

// EnforceLimits wraps s so that its output and its usage keep to the limits of
// the request: MaxTokens output tokens, and as many prompt tokens as the prompt
// has bytes. Generate returns streams that are wrapped already; a caller that
// resumes a stream wraps it with the same request.
//
// If the engine generates more than MaxTokens, the output is truncated there and
// the stream cancelled, so that it consumes no more than was reserved. The output
// then ends with FinishLength and Usage.Overrun. The engine has reported no
// prompt tokens at this point; they are billed at their upper bound, since a
// lower bill could let the budget be overspent.
func EnforceLimits(ctx context.Context, e Engine, s Stream, request Generate) Stream {
	return &limitedStream{ctx: ctx, engine: e, Stream: s, request: request, nextPosition: s.Usage().OutputTokens}
}

// limitedStream checks the tokens and the usage of a stream against the limits
// of its request.
type limitedStream struct {
	Stream
	ctx          context.Context // the stream's; its values are used for the cancellation
	engine       Engine
	request      Generate
	nextPosition int64 // the position after the last token
	usage        Usage
	err          error
}

// Next implements Stream.
func (s *limitedStream) Next() (Token, error) {
	if s.err != nil {
		return Token{}, s.err
	}
	token, err := s.Stream.Next()
	switch {
	case err == io.EOF:
		err = s.checkUsage()
	case err == nil && token.Position >= s.request.MaxTokens:
		s.truncate()
		token, err = Token{}, io.EOF
	case err == nil:
		s.nextPosition = token.Position + 1
	}
	s.err = err
	return token, err
}

// truncate ends the output at MaxTokens and cancels the stream.
func (s *limitedStream) truncate() {
	counters.Add(countOverrun, 1)
	_ = s.Close()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
	defer cancel()
	// The engine ends the stream by itself after its resume window, so a failed
	// cancellation costs a few seconds of engine time and breaks no guarantee.
	_ = s.engine.Cancel(ctx, s.request.StreamID)
	s.usage = Usage{
		PromptTokens: int64(len(s.request.Prompt)),
		OutputTokens: s.request.MaxTokens,
		FinishReason: FinishLength,
		Overrun:      true,
	}
}

// checkUsage checks the usage that the engine reports at the end of its output.
// It returns io.EOF if the output is complete.
//
// If the report counts more output tokens than were received, but no more than
// MaxTokens, the end of the output was lost, and the output must not pass as
// complete. Any other impossible count affects only the bill and is replaced by
// the bound that it violates.
func (s *limitedStream) checkUsage() error {
	u := s.Stream.Usage()
	if u.OutputTokens > s.nextPosition && u.OutputTokens <= s.request.MaxTokens {
		return WrapError("usage", s.request.StreamID, ErrProtocol,
			eris.Errorf("%d output tokens reported, %d received", u.OutputTokens, s.nextPosition))
	}
	s.usage = u
	s.usage.OutputTokens = s.nextPosition
	s.usage.PromptTokens = min(max(u.PromptTokens, 0), int64(len(s.request.Prompt)))
	s.usage.CachedTokens = min(max(u.CachedTokens, 0), s.usage.PromptTokens)
	if s.usage != u {
		s.usage.Adjusted = true
		counters.Add(countAdjusted, 1)
	}
	return io.EOF
}

// Usage implements Stream.
func (s *limitedStream) Usage() Usage {
	if s.err != io.EOF {
		return Usage{OutputTokens: s.nextPosition}
	}
	return s.usage
}
