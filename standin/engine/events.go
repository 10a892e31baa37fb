package engine

import (
	"math/rand/v2"
	"time"

	"buckthornridge/upstream"
)

// Limits on stored cache events and on the events in one response.
const (
	maxKeptEvents        = 1 << 16
	maxEventsPerResponse = 4096
)

// eventLog publishes cache events after a delay and drops some of them. A dropped
// event leaves a gap in the sequence numbers.
type eventLog struct {
	delay    time.Duration
	loss     float64
	rng      *rand.Rand
	sequence int64
	now      time.Time // time of the events being added
	events   []delayedEvent
}

type delayedEvent struct {
	event     upstream.CacheEvent
	published time.Time
}

func newEventLog(s Settings) *eventLog {
	return &eventLog{
		delay:    s.scaled(s.CacheEventDelay),
		loss:     float64(s.CacheEventLoss),
		rng:      rand.New(rand.NewPCG(s.Seed, s.Seed)),
		sequence: s.FirstEvent,
	}
}

func (l *eventLog) add(prefix uint64, stored bool) {
	l.sequence++
	if l.rng.Float64() < l.loss {
		return
	}
	event := upstream.CacheEvent{Sequence: l.sequence, Prefix: prefix, Stored: stored}
	l.events = append(l.events, delayedEvent{event: event, published: l.now.Add(l.delay)})
	if len(l.events) >= 2*maxKeptEvents {
		l.events = append([]delayedEvent(nil), l.events[len(l.events)-maxKeptEvents:]...)
	}
}

// after returns the published events after a sequence number, oldest first, up
// to maxEventsPerResponse.
func (l *eventLog) after(sequence int64, now time.Time) []upstream.CacheEvent {
	found := []upstream.CacheEvent{}
	for _, e := range l.events {
		if e.published.After(now) || len(found) == maxEventsPerResponse {
			break
		}
		if e.event.Sequence > sequence {
			found = append(found, e.event)
		}
	}
	return found
}
