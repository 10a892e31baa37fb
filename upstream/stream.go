package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/upstream/wire"
)

// Limits for the body of one stream.
const (
	// lineBufferBytes is the initial size of the buffer for a line.
	lineBufferBytes = 512
	maxLineBytes    = 64 << 10
	// drainTimeout is how long Close waits for the end of the body after the
	// final line, so that the connection can be reused.
	drainTimeout = 50 * time.Millisecond
)

var (
	errUnterminated = eris.New("body ends before the final line")
	errMalformed    = eris.New("malformed line")
)

// httpStream reads the lines of one response.
type httpStream struct {
	streamID     string
	address      string
	nextPosition int64 // the only position that the next line may have
	body         io.ReadCloser
	lines        *bufio.Scanner
	cancel       context.CancelFunc
	usage        Usage
	err          error // the first error of Next, which it returns from then on
}

var _ Stream = (*httpStream)(nil)

func newStream(streamID, address string, from int64, resp *http.Response, cancel context.CancelFunc) *httpStream {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, lineBufferBytes), maxLineBytes)
	lines.Split(splitLines)
	return &httpStream{streamID: streamID, address: address, nextPosition: from, body: resp.Body, lines: lines, cancel: cancel}
}

// splitLines is a bufio.SplitFunc that returns only lines that end with a line
// feed. A broken connection may truncate a line so that it is still valid JSON
// with a shorter text; only the line feed proves that the line is complete.
func splitLines(data []byte, _ bool) (advance int, line []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	return 0, nil, nil
}

// Next implements Stream.
func (s *httpStream) Next() (Token, error) {
	if s.err != nil {
		return Token{}, s.err
	}
	token, err := s.read()
	s.err = err
	return token, err
}

func (s *httpStream) read() (Token, error) {
	if !s.lines.Scan() {
		return Token{}, s.endOfBody(s.lines.Err())
	}
	line, err := decodeLine(s.lines.Bytes())
	if err != nil {
		return Token{}, s.protocolError(err)
	}
	// A different stream id means that the engine or a connection pool mixed up
	// two responses. Nothing of the line may reach this caller.
	if line.StreamID != s.streamID {
		return Token{}, s.protocolError(eris.Errorf("line belongs to stream %q", line.StreamID))
	}
	if line.Done {
		return Token{}, s.finish(line)
	}
	// A duplicated, reordered or lost line has an unexpected position.
	if line.Position != s.nextPosition {
		return Token{}, s.protocolError(eris.Errorf("line has position %d, expected %d", line.Position, s.nextPosition))
	}
	s.nextPosition++
	return Token{Position: line.Position, Text: line.Text}, nil
}

// endOfBody returns the error for a body that ended before the final line; cause
// is the scanner's error, or nil at the end of the body.
func (s *httpStream) endOfBody(cause error) error {
	if cause == nil {
		cause = errUnterminated
	}
	if eris.Is(cause, bufio.ErrTooLong) {
		return s.protocolError(cause)
	}
	return WrapError("stream", s.address, ErrBroken, cause)
}

func (s *httpStream) protocolError(cause error) error {
	return WrapError("stream", s.address, ErrProtocol, cause)
}

func (s *httpStream) finish(line wire.Line) error {
	s.usage = Usage{
		PromptTokens: line.Usage.PromptTokens,
		CachedTokens: line.Usage.CachedTokens,
		OutputTokens: line.Usage.OutputTokens,
		FinishReason: line.FinishReason,
	}
	return io.EOF
}

// Usage implements Stream.
func (s *httpStream) Usage() Usage {
	if s.err != io.EOF {
		return Usage{OutputTokens: s.nextPosition}
	}
	return s.usage
}

// Close implements Stream.
func (s *httpStream) Close() error {
	if s.err == io.EOF {
		s.drain()
	}
	s.cancel()
	return s.body.Close()
}

// drain reads the body to its end, without which the connection would not return
// to the pool. If the engine keeps the body open, the request is cancelled after
// drainTimeout.
func (s *httpStream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, maxLineBytes)
}

// absentText is the text of a line that has no text field; no JSON string decodes
// to it.
const absentText = "\xff"

// decodeLine decodes one line and checks that the required fields are present.
func decodeLine(data []byte) (wire.Line, error) {
	line := wire.Line{Position: -1, Text: absentText}
	if err := json.Unmarshal(data, &line); err != nil {
		return wire.Line{}, eris.Wrap(errMalformed, err.Error())
	}
	if line.Done {
		return line, checkFinalLine(line)
	}
	if line.Position < 0 || line.Text == absentText {
		return wire.Line{}, eris.Wrap(errMalformed, "position or text missing")
	}
	return line, nil
}

// checkFinalLine checks the line that ends a stream.
func checkFinalLine(line wire.Line) error {
	if line.Usage == nil {
		return eris.Wrap(errMalformed, "usage missing")
	}
	if line.FinishReason != FinishStop && line.FinishReason != FinishLength {
		return eris.Wrapf(errMalformed, "unknown finish reason %q", line.FinishReason)
	}
	return nil
}
