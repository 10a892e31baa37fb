package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/buffers"
	"buckthornridge/routing"
	"buckthornridge/upstream"
)

// Sizes for reading a stream.
const (
	streamChunk = 2 << 10
	// maxEvent bounds one event. A longer body without the end of an event is not a
	// stream of events.
	maxEvent = 1 << 20
)

// stream forwards events as they arrive, each whole: if the upstream fails in the middle
// of an event, the caller must not have a part of it.
func (t *attempt) stream(ctx context.Context, response Response) bool {
	r := t.call
	events := eventSplitter{limit: r.relay.Buffers}
	defer events.free()
	chunk := make([]byte, streamChunk)
	for {
		n, err := response.Read(chunk)
		events.add(chunk[:n])
		for event := events.next(); event != nil; event = events.next() {
			if problem := t.forwardEvent(response.Head(), event); problem != nil {
				return t.streamBroken(ctx, problem)
			}
		}
		if err == io.EOF && events.empty() && r.streamStarted {
			t.reportOutcome(routing.OutcomeOK)
			t.reportCompleted()
			r.record.Outcome, r.record.Status = "streamed", response.Head().Status
			return true
		}
		if err == io.EOF {
			err = upstream.ErrProtocol
		}
		if tooLarge := events.account(); tooLarge != nil {
			err = tooLarge
		}
		if err != nil {
			return t.streamBroken(ctx, err)
		}
	}
}

// forwardEvent sends one event to the caller if it is the next one.
func (t *attempt) forwardEvent(head Head, event []byte) error {
	r := t.call
	id := eventID(event)
	if !isNextEvent(r.lastEventID, id) {
		return upstream.ErrProtocol
	}
	now := time.Now()
	if t.firstByte == 0 {
		t.firstByte = now.Sub(t.startedAt)
		t.choice.FirstToken(t.firstByte)
	} else {
		t.choice.Gap(now.Sub(t.lastEvent))
	}
	t.lastEvent = now
	if !r.streamStarted {
		t.noteOrigin(head)
		r.streamStarted = true
		r.record.First = time.Since(r.request.Arrived)
		r.writer.Begin(head.Status, head.Header)
	}
	if err := r.writer.Event(event); err != nil {
		return errCallerDisconnected
	}
	r.forwardedEvents++
	if t.events++; t.events == answeringEvents {
		r.relay.Guard.Answering(r.content())
	}
	if id != "" {
		r.lastEventID = id
	}
	return nil
}

// streamBroken handles a stream that ended early. The caller keeps the events that were
// forwarded; only an upstream that resumes after them can complete the stream.
func (t *attempt) streamBroken(ctx context.Context, err error) bool {
	r := t.call
	if errors.Is(err, errCallerDisconnected) {
		t.reportOutcome(routing.OutcomeCancelled)
		r.giveUp(ctx, err.Error())
		return true
	}
	t.reportBroken(ctx)
	t.reportOutcome(brokenOutcome(ctx))
	r.exclude(t.target.ID)
	if t.repeat(ctx, err) {
		return false
	}
	r.giveUp(ctx, err.Error())
	return true
}

// errCallerDisconnected reports that the caller reads no more of its response.
var errCallerDisconnected = eris.New("the caller left")

// isNextEvent reports whether an event may follow another. Numbered events must leave no
// gap and must not repeat.
func isNextEvent(previous, id string) bool {
	last, err := strconv.ParseInt(previous, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next == last+1
}

// eventSplitter splits a body into events, each with the blank line that ends it.
type eventSplitter struct {
	buffered []byte
	searched int // bytes in which no event ends
	limit    *buffers.Limit
	held     int // bytes taken from limit
}

// account bounds what is kept of an event that has not ended.
func (s *eventSplitter) account() error {
	kept := len(s.buffered)
	if kept <= streamChunk {
		kept = 0
	}
	if kept > maxEvent {
		return errors.Join(upstream.ErrTooLarge, buffers.ErrTooLong)
	}
	added := kept - s.held
	if added > 0 && !s.limit.Reserve(int64(added)) {
		return errors.Join(upstream.ErrTooLarge, buffers.ErrFull)
	}
	if added < 0 {
		s.limit.Release(int64(-added))
	}
	s.held = kept
	return nil
}

// free returns what is held of the limit.
func (s *eventSplitter) free() {
	s.limit.Release(int64(s.held))
	s.held = 0
}

func (s *eventSplitter) add(b []byte) { s.buffered = append(s.buffered, b...) }

func (s *eventSplitter) empty() bool { return len(bytes.TrimSpace(s.buffered)) == 0 }

// next returns the next whole event, or nil.
func (s *eventSplitter) next() []byte {
	from := max(0, s.searched-len("\r\n\r"))
	rest := s.buffered[from:]
	end, size := bytes.Index(rest, []byte("\n\n")), 2
	if crlf := bytes.Index(rest, []byte("\r\n\r\n")); crlf >= 0 && (end < 0 || crlf < end) {
		end, size = crlf, 4
	}
	if end < 0 {
		s.searched = len(s.buffered)
		return nil
	}
	event := s.buffered[:from+end+size]
	s.buffered, s.searched = s.buffered[len(event):], 0
	return event
}

// eventID returns the id field of an event, or "".
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
