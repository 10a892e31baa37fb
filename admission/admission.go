// Package admission decides whether and when a request is dispatched. A request
// for which the upstreams have no free capacity waits in a fair queue, ordered by
// priority and by workspace shares. A request that cannot meet its deadline is
// refused at once.
//
// Requests for one target, a model or a service, form a pool. An admitted request
// occupies one of the pool's slots until it is released.
//
// The package does no I/O.
package admission

import (
	"fmt"
	"time"

	"buckthornridge/routing"
)

// Cause is the reason for which a request was refused.
type Cause string

// The causes of a refusal.
const (
	// CauseOverload: no upstream has capacity, or a more urgent request of the
	// same workspace evicted this one from the queue.
	CauseOverload Cause = "overload"
	// CauseDeadline: the first token would be late.
	CauseDeadline Cause = "deadline"
	// CauseQueueFull: the workspace's queue is full.
	CauseQueueFull Cause = "queue_full"
)

// Refusal reports that a request was not admitted and therefore was not run.
type Refusal struct {
	Cause Cause
	// RetryAfter is the time after which a retry may succeed. It is derived from
	// the drain rate of the queue, with jitter so that refused callers do not all
	// retry together.
	RetryAfter time.Duration
	// Wait is the predicted time in the queue, and FirstToken the predicted time
	// from dispatch to the first token.
	Wait       time.Duration
	FirstToken time.Duration
}

// Error returns the cause with the predictions that led to it.
func (r *Refusal) Error() string {
	return fmt.Sprintf("admit request: %s (wait %v, first token %v, retry after %v)",
		r.Cause, r.Wait, r.FirstToken, r.RetryAfter)
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	ID        string
	Workspace string
	// Kind is the name of one of the configuration's kinds.
	Kind string
	// Deadline is the deadline for the first token, or for a service's reply;
	// zero means none.
	Deadline time.Time
	// Exactly one of Model and Service is set.
	Model        string
	Service      string
	Prefix       []uint64 // upstream.PrefixChain, shortest prefix first
	PromptTokens int64
	MaxTokens    int64
	DataCentre   string
}

// Capacity reports the capacity of the upstreams. *routing.Router implements it.
type Capacity interface {
	// Limit returns how many concurrent requests this router may have at the
	// target's upstreams.
	Limit(routing.Target) int
	// PredictFirstToken returns the predicted time to the first token of a request
	// that is dispatched now.
	PredictFirstToken(*routing.Request) time.Duration
}

// Decision explains one admission decision.
type Decision struct {
	RequestID string        `json:"request_id"`
	At        time.Time     `json:"at"`
	Workspace string        `json:"workspace"`
	Kind      string        `json:"kind"`
	Priority  int           `json:"priority"`
	Admitted  bool          `json:"admitted"`
	Cause     Cause         `json:"cause,omitempty"`
	Waited    time.Duration `json:"waited_ns"`
	// Ahead is the number of requests in the queue when this one arrived.
	Ahead      int           `json:"ahead"`
	Wait       time.Duration `json:"predicted_wait_ns"`
	FirstToken time.Duration `json:"predicted_first_token_ns"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

func (r *Request) target() routing.Target {
	return routing.Target{Model: r.Model, Service: r.Service}
}

func (r *Request) routing(priority int) *routing.Request {
	return &routing.Request{
		ID: r.ID, Workspace: r.Workspace, Target: r.target(), Prefix: r.Prefix,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Priority: priority, DataCentre: r.DataCentre,
	}
}

// cost returns the work that a request causes, in output tokens. An output token
// takes a whole step of the batch, a prompt token a part of one.
func (r *Request) cost() float64 {
	return 1 + float64(r.PromptTokens)*promptTokenCost + float64(r.MaxTokens)
}

const promptTokenCost = 0.1
