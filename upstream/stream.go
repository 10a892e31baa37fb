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

// Bounds of one stream's body.
const (
	firstLineBytes = 512
	maxLineBytes   = 64 << 10
	// drainTimeout is how long Close waits for the end of a body whose answer
	// is complete, so that its connection can be used again.
	drainTimeout = 50 * time.Millisecond
)

var (
	errUnterminated = eris.New("body ends without the final line")
	errMalformed    = eris.New("malformed line")
)

// httpStream reads the lines of one answer.
type httpStream struct {
	id     string
	peer   string
	next   int64 // the position that must come next
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
	usage  Usage
	err    error // what Next returned last, once it is over
}

var _ Stream = (*httpStream)(nil)

func newStream(id, peer string, from int64, resp *http.Response, cancel context.CancelFunc) *httpStream {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, firstLineBytes), maxLineBytes)
	lines.Split(splitLines)
	return &httpStream{id: id, peer: peer, next: from, body: resp.Body, lines: lines, cancel: cancel}
}

// splitLines passes on only lines that end in a line feed. A connection that
// breaks may cut a line so that the rest is valid JSON with a shorter text; the
// line feed is the proof that the line is whole.
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
		return Token{}, s.bodyEnded(s.lines.Err())
	}
	line, err := decodeLine(s.lines.Bytes())
	if err != nil {
		return Token{}, s.violation(err)
	}
	// Another stream's line shows as a foreign id: an engine or a connection
	// pool mixed two answers up. Nothing of it may reach this caller.
	if line.StreamID != s.id {
		return Token{}, s.violation(eris.Errorf("line of stream %q", line.StreamID))
	}
	if line.Done {
		return Token{}, s.finish(line)
	}
	// A doubled, late or lost line shows as a position other than the next.
	if line.Position != s.next {
		return Token{}, s.violation(eris.Errorf("position %d in place of %d", line.Position, s.next))
	}
	s.next++
	return Token{Position: line.Position, Text: line.Text}, nil
}

func (s *httpStream) bodyEnded(cause error) error {
	if cause == nil {
		cause = errUnterminated
	}
	if eris.Is(cause, bufio.ErrTooLong) {
		return s.violation(cause)
	}
	return Failed("stream", s.peer, ErrBroken, cause)
}

func (s *httpStream) violation(cause error) error {
	return Failed("stream", s.peer, ErrProtocol, cause)
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
		return Usage{OutputTokens: s.next}
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

// drain reads the end of a complete answer's body: a connection returns to the
// pool only after it. An engine that keeps the body open is cut off.
func (s *httpStream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, maxLineBytes)
}

// missing marks a text that a line did not have; no JSON string decodes to it.
const missing = "\xff"

// decodeLine checks the shape of one line.
func decodeLine(data []byte) (wire.Line, error) {
	line := wire.Line{Position: -1, Text: missing}
	if err := json.Unmarshal(data, &line); err != nil {
		return wire.Line{}, eris.Wrap(errMalformed, err.Error())
	}
	if line.Done {
		return line, checkLast(line)
	}
	if line.Position < 0 || line.Text == missing {
		return wire.Line{}, eris.Wrap(errMalformed, "no position or text")
	}
	return line, nil
}

func checkLast(line wire.Line) error {
	if line.Usage == nil {
		return eris.Wrap(errMalformed, "no usage")
	}
	if line.FinishReason != FinishStop && line.FinishReason != FinishLength {
		return eris.Wrapf(errMalformed, "finish reason %q", line.FinishReason)
	}
	return nil
}
