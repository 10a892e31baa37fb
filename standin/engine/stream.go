package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"buckthornridge/standin/answer"
	"buckthornridge/upstream/wire"
)

// oversizedText is longer than any client accepts for one token.
const oversizedText = 1 << 20

// serveStream writes a stream's lines until the stream ends, another connection
// takes over or this connection fails.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, a *streamReader) {
	defer e.detach(a)
	w.Header().Set("Content-Type", wire.ContentTypeLines)
	out := newLineWriter(w, a)
	if !out.flush() {
		return
	}
	for {
		if !out.writeTokens() {
			return
		}
		e.signalWork() // the batch may be waiting for space in the stream's buffer
		if a.ended() && a.next >= a.generated.Load() {
			out.writeLast()
			return
		}
		select {
		case <-a.progress:
		case <-a.replaced:
			panic(http.ErrAbortHandler) // a clean end could be taken for the end of the response
		case <-r.Context().Done():
			return
		}
	}
}

// lineWriter writes one connection's lines and applies its wire fault.
type lineWriter struct {
	reader      *streamReader
	w           http.ResponseWriter
	control     *http.ResponseController
	id          []byte // the stream id, encoded as JSON
	written     int64  // tokens written on this connection
	buf         []byte
	tokensEnded bool // the fault omits all further tokens
}

func newLineWriter(w http.ResponseWriter, a *streamReader) *lineWriter {
	id, _ := json.Marshal(a.streamID) // a string always encodes
	return &lineWriter{reader: a, w: w, control: http.NewResponseController(w), id: id}
}

func (l *lineWriter) flush() bool { return l.control.Flush() == nil }

// writeTokens writes the tokens that are ready. It reports whether the
// connection continues.
func (l *lineWriter) writeTokens() bool {
	a := l.reader
	l.buf = l.buf[:0]
	ready := a.generated.Load()
	for ; a.next < ready; a.next++ {
		if !l.appendToken(a.next) {
			return false
		}
	}
	if len(l.buf) == 0 {
		return true
	}
	if _, err := l.w.Write(l.buf); err != nil || !l.flush() {
		return false
	}
	raiseTo(&a.run.read, ready)
	return true
}

// appendToken adds a token's line. It returns false if the fault ends the body.
func (l *lineWriter) appendToken(position int64) bool {
	fault := l.reader.faults.Wire
	hit := l.written == fault.After
	l.written++
	if !hit && !l.tokensEnded {
		l.appendLine(l.id, position, answer.Token(l.reader.seed, position))
		return true
	}
	return l.appendFaulty(fault.Kind, position)
}

func (l *lineWriter) appendFaulty(kind WireFaultKind, position int64) bool {
	text := answer.Token(l.reader.seed, position)
	switch kind {
	case WireKill:
		l.flushBuffer()
		panic(http.ErrAbortHandler)
	case WireTruncate:
		l.flushBuffer()
		return false
	case WireMismatched:
		l.appendLine([]byte(`"another/stream/1"`), position, text)
	case WireDuplicate:
		l.appendLine(l.id, position, text)
		l.appendLine(l.id, position, text)
	case WireSkip:
	case WireReorder:
		l.appendLine(l.id, position+1, text)
	case WireLoseTail:
		l.tokensEnded = true
	case WireMalformed:
		l.buf = append(l.buf, "{\"stream_id\":\n"...)
	case WireOversized:
		l.appendLine(l.id, position, strings.Repeat("x", oversizedText))
	default:
		l.appendLine(l.id, position, text)
	}
	return true
}

// flushBuffer writes the lines that precede a fault that ends the connection.
func (l *lineWriter) flushBuffer() {
	_, _ = l.w.Write(l.buf)
	l.flush()
	raiseTo(&l.reader.run.read, l.reader.next)
}

func (l *lineWriter) appendLine(id []byte, position int64, text string) {
	l.buf = append(l.buf, `{"stream_id":`...)
	l.buf = append(l.buf, id...)
	l.buf = append(l.buf, `,"position":`...)
	l.buf = strconv.AppendInt(l.buf, position, 10)
	l.buf = append(l.buf, `,"text":"`...)
	l.buf = append(l.buf, text...) // tokens contain no characters that need escaping
	l.buf = append(l.buf, "\"}\n"...)
}

// lastLine is the last line of a complete response.
type lastLine struct {
	StreamID     string     `json:"stream_id"`
	Done         bool       `json:"done"`
	FinishReason string     `json:"finish_reason"`
	Usage        wire.Usage `json:"usage"`
}

// writeLast writes the last line of the response. A cancelled stream has none:
// its connection is aborted.
func (l *lineWriter) writeLast() {
	a := l.reader
	fault := a.faults.Wire
	lost := l.written == fault.After && (fault.Kind == WireKill || fault.Kind == WireTruncate)
	if a.currentStage() == stageCancelled || lost && fault.Kind == WireKill {
		panic(http.ErrAbortHandler)
	}
	if lost {
		return
	}
	last := lastLine{StreamID: a.streamID, Done: true, FinishReason: a.finishReason, Usage: a.usage()}
	last.Usage.OutputTokens += a.faults.UsageError
	_ = json.NewEncoder(l.w).Encode(last) // fails only if the client has disconnected
}
