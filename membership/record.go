package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// record holds what is known about the newest known incarnation of one ID.
// Evidence about older incarnations is dropped on arrival, so it can never affect
// a later state.
type record struct {
	member          Member // with the State last published
	key             uint64 // identifies the incarnation in heartbeats
	sendsHeartbeats bool   // by its role

	// sequence is the highest heartbeat known; 0 if none was ever received.
	sequence uint64
	// advancedAt is when the sequence last advanced or the record was created.
	// Time in which this process was paused is added to it.
	advancedAt time.Time
	// clearSequence is the lowest sequence that ends the suspicion; 0 without one.
	clearSequence uint64
	// callFailed is set once any process failed to call the member after it sent
	// the current sequence.
	callFailed bool
	// suspectedAt is when the last failed call was reported.
	suspectedAt time.Time
	// leaving and gone are never reset for an incarnation.
	leaving bool
	gone    bool
	// configuredLeaving is set while the configuration marks the member as leaving,
	// which operators may revert.
	configuredLeaving bool
	// reportedLeavingAt is when an upstream of unknown incarnation last reported
	// that it is leaving.
	reportedLeavingAt time.Time
	// lastSeen is when any source last named the member; see Limits.RecordTTL.
	lastSeen time.Time
	// transmissions counts how often the current sequence was sent.
	transmissions int
}

// keyOf returns the 8 bytes that identify an incarnation in heartbeats. Among
// 10,000 incarnations the probability that two share a key is 1 in 10^11. The
// heartbeats of one would then count for the other.
func keyOf(id, incarnation string) uint64 {
	return xxhash.Sum64String(id + "\x00" + incarnation)
}

// state returns the worst state that any of the evidence gives.
func (r *record) state(now time.Time, limits Limits) State {
	if r.gone {
		return Gone
	}
	state := r.stateBySilence(now, limits)
	if r.suspected(now, limits) {
		state = max(state, Suspected)
	}
	if r.isLeaving(now, limits) {
		state = max(state, Leaving)
	}
	return state
}

// stateBySilence returns the state by the time since the last heartbeat. A process
// that never sent one may run without heartbeats or be partitioned from all
// others, so it stays listed and is at most suspected. The limits are shorter once
// some process failed to call the member. A failed call alone changes nothing, or
// one broken link would make a healthy member suspected at every process.
func (r *record) stateBySilence(now time.Time, limits Limits) State {
	if !r.sendsHeartbeats || limits.Dead == 0 {
		return Live
	}
	silent := now.Sub(r.advancedAt)
	suspected, dead := limits.Suspected, limits.Dead
	if r.callFailed {
		suspected, dead = suspected/2, dead*2/3
	}
	switch {
	case r.sequence == 0 && silent < dead, silent < suspected:
		return Live
	case r.sequence == 0, silent < dead:
		return Suspected
	}
	return Dead
}

// suspected reports whether the member is suspected for a failed call. Without
// heartbeats only time ends the suspicion.
func (r *record) suspected(now time.Time, limits Limits) bool {
	if r.clearSequence == 0 {
		return false
	}
	return r.sequence > 0 || now.Sub(r.suspectedAt) < limits.SuspicionTTL
}

func (r *record) isLeaving(now time.Time, limits Limits) bool {
	reported := !r.reportedLeavingAt.IsZero() && now.Sub(r.reportedLeavingAt) < limits.LeavingTTL
	return r.leaving || r.configuredLeaving || reported
}

// suspect records a failed call.
//
// Heartbeats that the member sent before it died may still arrive through other
// members and would clear the suspicion. So it ends only with a sequence that the
// member cannot have reached before the call failed: the one that it has reached
// by now at most, plus the heartbeats that gossip may have in flight.
func (r *record) suspect(now time.Time, limits Limits) {
	r.suspectedAt = now
	elapsed := uint64(now.Sub(r.advancedAt)/limits.Period) + 1
	r.clearSequence = r.sequence + elapsed + heartbeatsInFlight
}

// advance records a heartbeat and reports whether its sequence is new. A direct
// heartbeat came from the member itself and ends any suspicion.
func (r *record) advance(sequence uint64, direct bool, now time.Time) bool {
	if sequence <= r.sequence {
		return false
	}
	r.sequence, r.callFailed = sequence, false
	r.advancedAt, r.lastSeen = now, now
	r.transmissions = 0
	if direct || sequence >= r.clearSequence {
		r.clearSequence = 0
	}
	return true
}
