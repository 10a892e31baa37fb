package routing

import (
	"sync/atomic"
	"time"
)

// Reason says why an upstream was chosen, or why none was.
type Reason string

// Reasons of a decision.
const (
	ReasonPolicy     Reason = "best by policy"
	ReasonProbe      Reason = "probe of an ejected upstream"
	ReasonAllEjected Reason = "every other upstream is ejected"
	ReasonNoneLive   Reason = "no live upstream; a suspected one"
	ReasonNoPool     Reason = "no upstream holds the target"
	ReasonNoRetry    Reason = "retry budget used up"
	ReasonExcluded   Reason = "every upstream was tried or is leaving"
)

const (
	maxCandidates  = 12
	defaultRecords = 4096
)

// Candidate is an upstream that a decision considered.
type Candidate struct {
	Upstream     string        `json:"upstream"`
	Cost         time.Duration `json:"cost_ns"`
	FirstToken   time.Duration `json:"first_token_ns"`
	CachedTokens int64         `json:"cached_tokens"`
	InFlight     int64         `json:"in_flight"`
}

// Record explains the decision for one attempt.
type Record struct {
	RequestID  string        `json:"request_id"`
	At         time.Time     `json:"at"`
	Target     Target        `json:"target"`
	Attempt    int           `json:"attempt"`
	Upstream   string        `json:"upstream,omitempty"`
	FirstToken time.Duration `json:"first_token_ns"`
	Why        Reason        `json:"why"`
	Candidates []Candidate   `json:"candidates,omitempty"`
}

// RingBuffer holds the last records of type T for explanation. Writers never block.
type RingBuffer[T any] struct {
	slots []atomic.Pointer[T]
	next  atomic.Uint64
}

// NewRingBuffer returns a buffer for the last size records.
func NewRingBuffer[T any](size int) *RingBuffer[T] {
	return &RingBuffer[T]{slots: make([]atomic.Pointer[T], size)}
}

// Add replaces the oldest record. The caller must not change the new one afterwards.
func (r *RingBuffer[T]) Add(record *T) {
	i := r.next.Add(1) - 1
	r.slots[i%uint64(len(r.slots))].Store(record)
}

// Find returns the matching records, newest first.
func (r *RingBuffer[T]) Find(match func(*T) bool) []*T {
	var found []*T
	next := r.next.Load()
	for back := uint64(1); back <= uint64(len(r.slots)) && back <= next; back++ {
		record := r.slots[(next-back)%uint64(len(r.slots))].Load()
		if record != nil && match(record) {
			found = append(found, record)
		}
	}
	return found
}

// recordCandidate adds a candidate to the explanation.
func (v *view) recordCandidate(e *entry, est estimate) {
	if v.candidates == nil {
		v.candidates = make([]Candidate, 0, maxCandidates)
	}
	if len(v.candidates) < maxCandidates {
		v.candidates = append(v.candidates, Candidate{
			Upstream: e.id, Cost: est.cost, FirstToken: est.firstToken,
			CachedTokens: est.cached, InFlight: e.inFlight.Load(),
		})
	}
}
