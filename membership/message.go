package membership

import (
	"cmp"
	"slices"
	"time"

	"buckthornridge/store"
)

// Bounds of one message, in entries.
const (
	maxHeartbeats      = 384
	maxUpdates         = 16
	maxCallFailures    = 32
	maxExchangeMembers = 1024 // members in the response of an exchange
	// maxTransmissions is in how many messages an update or a call failure is sent.
	maxTransmissions = 4
)

// Heartbeat is a heartbeat: the incarnation's key and its sequence.
type Heartbeat struct {
	Key      uint64
	Sequence uint64
}

// Update describes a member in full: a new incarnation, or one that is leaving.
type Update struct {
	Member   Member `msgpack:"m"` // its State is Live or Leaving
	Sequence uint64 `msgpack:"s"`
}

// Message is what a process sends to some peers each round.
type Message struct {
	From       uint64     `msgpack:"f"` // key of the sender
	Heartbeats Heartbeats `msgpack:"b"`
	Updates    Updates    `msgpack:"n,omitempty"`
	// CallFailures lists members that some process failed to call after they sent
	// this sequence.
	CallFailures Heartbeats `msgpack:"d,omitempty"`
}

// ExchangeRequest asks a peer for its full state if its digest differs.
type ExchangeRequest struct {
	Self   Update `msgpack:"s"`
	Digest uint64 `msgpack:"d"`
}

// ExchangeResponse lists all members that are neither dead nor gone, or none if
// the digests agree.
type ExchangeResponse struct {
	Members Updates `msgpack:"m,omitempty"`
}

// broadcast is a queued entry, an update or a call failure, that is sent to peers
// until it was in maxTransmissions messages.
type broadcast struct {
	key           uint64
	transmissions int
}

// queueUpdate queues an update of a member, to be sent without delay.
func (t *Tracker) queueUpdate(r *record) {
	t.updateQueue = slices.DeleteFunc(t.updateQueue, func(queued broadcast) bool { return queued.key == r.key })
	t.updateQueue = append(t.updateQueue, broadcast{key: r.key})
	signal(t.urgent)
}

// NextMessage returns the message of a round. It holds this process's heartbeat and
// the others' that were sent least often, so that in a fleet with more than
// maxHeartbeats members all are sent about equally often.
func (t *Tracker) NextMessage() Message {
	t.lock()
	defer t.mu.Unlock()
	m := t.urgentMessage()
	if own := t.ownRecord(); own != nil {
		m.Heartbeats = append(m.Heartbeats, Heartbeat{Key: own.key, Sequence: own.sequence})
	}
	others := t.leastSent()
	for _, r := range others[:min(len(others), maxHeartbeats-1)] {
		m.Heartbeats = append(m.Heartbeats, Heartbeat{Key: r.key, Sequence: r.sequence})
		r.transmissions++
	}
	return m
}

// leastSent returns the records of the other members that have heartbeats and are
// not dead, those whose current sequence was sent least often first and, among
// these, the most recently advanced first.
func (t *Tracker) leastSent() []*record {
	own := t.ownRecord()
	var others []*record
	for _, r := range t.records {
		if r != own && r.sequence > 0 && r.member.State < Dead {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), b.advancedAt.Compare(a.advancedAt))
	})
	return others
}

// UrgentMessage returns a message with the queued updates and call failures alone,
// to be sent without waiting for the next round.
func (t *Tracker) UrgentMessage() Message {
	t.lock()
	defer t.mu.Unlock()
	return t.urgentMessage()
}

func (t *Tracker) urgentMessage() Message {
	return Message{
		From:         keyOf(t.self.ID, t.self.Incarnation),
		Updates:      t.takeUpdates(),
		CallFailures: t.takeCallFailures(),
	}
}

// takeUpdates returns queued updates, the newest first, and removes from the queue
// those that were sent maxTransmissions times.
func (t *Tracker) takeUpdates() Updates {
	var out Updates
	for i := len(t.updateQueue) - 1; i >= 0 && len(out) < maxUpdates; i-- {
		t.updateQueue[i].transmissions++
		if r := t.byKey[t.updateQueue[i].key]; r != nil && r.member.State < Dead {
			out = append(out, updateOf(r))
		}
	}
	t.updateQueue = slices.DeleteFunc(t.updateQueue, func(queued broadcast) bool { return queued.transmissions >= maxTransmissions })
	return out
}

// queueCallFailure queues that a call to a member failed, to be sent without
// delay, unless that is known for the member's current sequence or the member
// sends no heartbeats.
func (t *Tracker) queueCallFailure(r *record) {
	if !r.sendsHeartbeats || r.sequence == 0 || r.callFailed {
		return
	}
	r.callFailed = true
	t.callFailureQueue = append(t.callFailureQueue, broadcast{key: r.key})
	signal(t.urgent)
}

// takeCallFailures returns queued call failures. It first removes those that were
// sent maxTransmissions times or are older than the member's last heartbeat.
func (t *Tracker) takeCallFailures() Heartbeats {
	var out Heartbeats
	t.callFailureQueue = slices.DeleteFunc(t.callFailureQueue, func(queued broadcast) bool {
		r := t.byKey[queued.key]
		return r == nil || !r.callFailed || queued.transmissions >= maxTransmissions
	})
	for i := 0; i < min(len(t.callFailureQueue), maxCallFailures); i++ {
		t.callFailureQueue[i].transmissions++
		out = append(out, Heartbeat{Key: t.callFailureQueue[i].key, Sequence: t.byKey[t.callFailureQueue[i].key].sequence})
	}
	return out
}

// receiveCallFailure applies a call failure that a peer reports, unless a newer
// heartbeat is known.
func (t *Tracker) receiveCallFailure(b Heartbeat, now time.Time) {
	r := t.byKey[b.Key]
	if r == nil || r == t.ownRecord() || b.Sequence < r.sequence {
		return
	}
	r.advance(b.Sequence, false, now)
	t.queueCallFailure(r)
}

func updateOf(r *record) Update {
	n := Update{Member: r.member, Sequence: r.sequence}
	n.Member.State = Live
	if r.leaving || !r.reportedLeavingAt.IsZero() {
		n.Member.State = Leaving
	}
	return n
}

// Receive applies a peer's message.
func (t *Tracker) Receive(m Message) {
	now := t.lock()
	defer t.mu.Unlock()
	if len(m.Heartbeats) > maxHeartbeats || len(m.Updates) > maxUpdates || len(m.CallFailures) > maxCallFailures {
		t.Counters.Malformed.Add(1)
		return
	}
	for _, n := range m.Updates {
		t.applyUpdate(n, true, now)
	}
	for _, b := range m.Heartbeats {
		t.receiveHeartbeat(b, b.Key == m.From, now)
	}
	for _, b := range m.CallFailures {
		t.receiveCallFailure(b, now)
	}
	t.publish(now)
}

// receiveHeartbeat applies one heartbeat. A key that is unknown belongs to a member
// that the list or an exchange will add later.
func (t *Tracker) receiveHeartbeat(b Heartbeat, direct bool, now time.Time) {
	r := t.byKey[b.Key]
	if r == nil || r == t.ownRecord() {
		return
	}
	if r.advance(b.Sequence, direct, now) {
		t.Counters.Heartbeats.Add(1)
	}
}

// applyUpdate applies a peer's update of a member. An update never says gone or
// dead: only the platform's list makes a member gone, and only missing heartbeats
// make it dead.
func (t *Tracker) applyUpdate(n Update, forward bool, now time.Time) {
	if !n.valid() {
		t.Counters.Malformed.Add(1)
		return
	}
	r := t.records[n.Member.ID]
	changed := false
	switch {
	case r == nil || n.Member.Incarnation != "" && store.OlderIncarnation(r.member.Incarnation, n.Member.Incarnation):
		if r == nil && len(t.records) >= maxMembers {
			return
		}
		r = t.startRecord(r, n.Member, now)
		changed = true
	case n.Member.Incarnation != "" && n.Member.Incarnation != r.member.Incarnation:
		return // an older incarnation
	}
	if r != t.ownRecord() {
		r.advance(n.Sequence, false, now)
	}
	if n.Member.State == Leaving {
		changed = t.markLeaving(r, n.Member.Incarnation, now) || changed
	}
	if changed {
		t.Counters.Updates.Add(1)
		if forward {
			t.queueUpdate(r)
		}
	}
}

func (n Update) valid() bool {
	m := n.Member
	for _, text := range []string{m.ID, m.Incarnation, m.Role, m.DataCentre, m.Region, m.Address, m.PeerAddress} {
		if len(text) > maxTextBytes {
			return false
		}
	}
	return m.ID != "" && (m.State == Live || m.State == Leaving)
}

// NewExchangeRequest returns the request of an exchange.
func (t *Tracker) NewExchangeRequest() ExchangeRequest {
	t.lock()
	defer t.mu.Unlock()
	q := ExchangeRequest{Digest: t.digest}
	if own := t.ownRecord(); own != nil {
		q.Self = updateOf(own)
	}
	return q
}

// HandleExchange returns the response to a peer's request, and applies the update
// of the peer itself.
func (t *Tracker) HandleExchange(q ExchangeRequest) ExchangeResponse {
	now := t.lock()
	defer t.mu.Unlock()
	if q.Self.Member.ID != "" {
		t.applyUpdate(q.Self, true, now)
		t.publish(now)
	}
	if q.Digest == t.digest {
		return ExchangeResponse{}
	}
	var a ExchangeResponse
	for _, r := range t.records {
		if r.member.State < Dead && len(a.Members) < maxExchangeMembers {
			a.Members = append(a.Members, updateOf(r))
		}
	}
	return a
}

// ApplyExchange applies the response of an exchange. New members are not forwarded,
// since each process makes exchanges of its own; leaving members are.
func (t *Tracker) ApplyExchange(a ExchangeResponse) {
	now := t.lock()
	defer t.mu.Unlock()
	for _, n := range a.Members {
		t.applyUpdate(n, n.Member.State == Leaving, now)
	}
	t.publish(now)
}
