package httpconn

import (
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"
)

// Bounds of the heads of the responses to one request, interim ones included.
const (
	// MaxHeadBytes bounds their bytes.
	MaxHeadBytes = 16 << 10
	// maxInterim bounds the interim responses.
	maxInterim = 8
)

// Errors of heads.
var (
	// ErrMalformed reports bytes that are not the head of an HTTP/1.1 response.
	ErrMalformed = eris.New("httpconn: not an HTTP/1.1 response")
	// ErrHeadTooLarge reports a head beyond MaxHeadBytes, or too many interim responses.
	ErrHeadTooLarge = eris.New("httpconn: the head of the response is too large")
)

// maxQuoted bounds what an error quotes of a line, in bytes.
const maxQuoted = 80

func malformed(what string, line []byte) error {
	return eris.Wrapf(ErrMalformed, "%s %q", what, line[:min(len(line), maxQuoted)])
}

// headScanner checks the heads of the responses to one request as their bytes arrive: those of
// interim responses, and the final one.
type headScanner struct {
	bytes   int    // read so far
	interim int    // interim responses so far
	line    []byte // the beginning of a line whose rest has not arrived
	done    bool   // the final head was read

	// Of the current head:
	status  int // 0 before its status line
	http10  bool
	framing framing
}

// begun reports whether a part of a head was read.
func (s *headScanner) begun() bool { return s.bytes > 0 && !s.done }

// scan checks the next bytes, up to the end of the final head.
func (s *headScanner) scan(b []byte) error {
	for len(b) > 0 && !s.done {
		part, rest, ended := bytes.Cut(b, []byte("\n"))
		s.bytes += len(b) - len(rest)
		if s.bytes > MaxHeadBytes {
			return ErrHeadTooLarge
		}
		if !ended {
			s.line = append(s.line, part...)
			return nil
		}
		line := part
		if len(s.line) > 0 {
			line = append(s.line, part...)
		}
		if err := s.endLine(line); err != nil {
			return err
		}
		s.line, b = s.line[:0], rest
	}
	return nil
}

// endLine checks a line without its line feed. A line feed without a carriage return is
// refused: it may be a stray byte in a field name, and would end the head.
func (s *headScanner) endLine(line []byte) error {
	line, found := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !found:
		return malformed("line feed without carriage return after", line)
	case s.status == 0:
		var err error
		s.status, err = parseStatusLine(line)
		s.http10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		return err
	case len(line) == 0:
		return s.endHead()
	}
	return s.framing.parseField(line)
}

// endHead ends an interim head or the final one.
func (s *headScanner) endHead() error {
	if err := s.framing.check(s.status, s.http10); err != nil {
		return err
	}
	if isFinal(s.status) {
		s.done = true
		return nil
	}
	if s.interim++; s.interim > maxInterim {
		return ErrHeadTooLarge
	}
	s.status, s.framing = 0, framing{}
	return nil
}

// Statuses of responses (RFC 9110, 15), and of final ones.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

func isFinal(status int) bool { return status >= minFinalStatus }

// checkStatus returns an error for an invalid status. 101 is one, since no request asks to
// switch protocols.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return eris.Wrapf(ErrMalformed, "status %d", status)
	}
	return nil
}

// parseStatusLine returns the status of a line such as "HTTP/1.1 200 OK". The reason phrase and
// the blank before it are optional.
func parseStatusLine(line []byte) (status int, err error) {
	const layout = "HTTP/1.x nnn"
	if len(line) < len(layout) || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !isDigit(line[7]) || line[8] != ' ' {
		return 0, malformed("status line", line)
	}
	for _, digit := range line[9:12] {
		if !isDigit(digit) {
			return 0, malformed("status line", line)
		}
		status = 10*status + int(digit-'0')
	}
	if reason := line[12:]; len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return 0, malformed("status line", line)
	}
	return status, checkStatus(status)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isText reports whether a text has no control characters other than tabs.
func isText(text []byte) bool {
	return bytes.IndexFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) < 0
}
