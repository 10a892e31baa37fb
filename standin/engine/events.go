package engine

import (
	"math/rand/v2"
	"time"

	"buckthornridge/upstream"
)

// Bounds of the published cache events.
const (
	keptEvents     = 1 << 16
	eventsPerReply = 4096
)

// eventLog publishes cache events late and loses some of them. A lost event
// leaves a gap in the sequence numbers.
type eventLog struct {
	delay    time.Duration
	loss     float64
	random   *rand.Rand
	sequence int64
	now      time.Time // of the events being added
	events   []timedEvent
}

type timedEvent struct {
	event     upstream.CacheEvent
	published time.Time
}

func newEventLog(s Settings) *eventLog {
	return &eventLog{
		delay:    s.scaled(s.CacheEventDelay),
		loss:     float64(s.CacheEventLoss),
		random:   rand.New(rand.NewPCG(s.Seed, s.Seed)),
		sequence: s.FirstEvent,
	}
}

func (l *eventLog) add(prefix uint64, stored bool) {
	l.sequence++
	if l.random.Float64() < l.loss {
		return
	}
	event := upstream.CacheEvent{Sequence: l.sequence, Prefix: prefix, Stored: stored}
	l.events = append(l.events, timedEvent{event: event, published: l.now.Add(l.delay)})
	if len(l.events) >= 2*keptEvents {
		l.events = append([]timedEvent(nil), l.events[len(l.events)-keptEvents:]...)
	}
}

// after returns the published events past a sequence number, oldest first, as
// many as fit into one reply.
func (l *eventLog) after(sequence int64, now time.Time) []upstream.CacheEvent {
	found := []upstream.CacheEvent{}
	for _, e := range l.events {
		if e.published.After(now) || len(found) == eventsPerReply {
			break
		}
		if e.event.Sequence > sequence {
			found = append(found, e.event)
		}
	}
	return found
}
