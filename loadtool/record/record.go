// Package record holds what the load tool knows of each request: what was
// planned, and what its caller observed in each try. Other packages evaluate
// these records.
package record

import (
	"time"

	"buckthornridge/standin/answer"
)

// Arrival is one request that a caller makes at a planned time.
type Arrival struct {
	// ID is the Idempotency-Key of all tries.
	ID string
	// At is the planned time, counted from the start of the run.
	At        time.Duration
	Workspace string
	Budget    string
	Kind      string
	// ModelRequest is set for a request to a model, Call for one to a plain service.
	ModelRequest *ModelRequest
	Call         *Call
}

// ModelRequest is a request to a model.
type ModelRequest struct {
	Model     string
	Content   string // of the only user message
	Prompt    string // flattened, as the engine receives it
	MaxTokens int64
	Stream    bool
}

// Call is a request to a plain service.
type Call struct {
	Service    string
	Method     string
	Path       string
	Body       []byte
	Repeatable bool
	Tokens     int64 // fixed price
}

// Ceiling returns the most tokens that the request can cost, which a reservation
// must cover.
func (a Arrival) Ceiling() int64 {
	if a.Call != nil {
		return a.Call.Tokens
	}
	return int64(len(a.ModelRequest.Prompt)) + a.ModelRequest.MaxTokens
}

// Spend returns the tokens that the complete response costs.
func (a Arrival) Spend() int64 {
	if a.Call != nil {
		return a.Call.Tokens
	}
	return answer.PromptTokens(a.ModelRequest.Prompt) + a.Output()
}

// Output returns the number of tokens in the complete response; 0 for a plain
// service.
func (a Arrival) Output() int64 {
	if a.Call != nil {
		return 0
	}
	return min(answer.Length(a.ModelRequest.Model, a.ModelRequest.Prompt), a.ModelRequest.MaxTokens)
}

// Ending is how one try ended, as its caller observed it.
type Ending string

// The endings.
const (
	Complete   Ending = "complete"    // a complete response
	Refused    Ending = "refused"     // an error before the first byte of a response
	Failed     Ending = "failed"      // an error after the first byte of a response
	Broken     Ending = "broken"      // the connection broke before the response ended
	NotReached Ending = "not_reached" // no connection: nothing was sent
	TimedOut   Ending = "timed_out"   // the deadline of the caller passed
)

// NotRun is the run_state which guarantees that the request was not run.
const NotRun = "not_run"

// Try is one exchange with one router.
type Try struct {
	VM         string
	Sent       time.Time
	Ended      time.Time
	Ending     Ending
	Problem    string // problem type without its URN prefix
	RunState   string
	RetryAfter time.Duration
	// ResponseStarted reports whether the first token of a streamed response was
	// received.
	ResponseStarted bool
}

// Fault is what is wrong with a response, which is checked byte for byte.
type Fault string

// The faults of responses.
const (
	NoFault   Fault = ""
	Wrong     Fault = "wrong"     // other bytes, or another request's
	Truncated Fault = "truncated" // passed as complete, but incomplete
)

// Result is one request as its caller observed it.
type Result struct {
	Arrival
	Tries []Try
	// Fault is the worst fault of any try's response, and Detail describes it.
	Fault  Fault
	Detail string
	// Completed reports whether a complete response without a fault was received.
	Completed bool
	// FirstToken and Done count from the planned time, so that a stalled system
	// does not hide its own delay (coordinated omission); 0 if not reached.
	FirstToken time.Duration
	Done       time.Duration
	// Gaps are the intervals between tokens of the try that completed.
	Gaps []time.Duration
}

// Last returns the last try; the zero Try if there is none.
func (r *Result) Last() Try {
	if len(r.Tries) == 0 {
		return Try{}
	}
	return r.Tries[len(r.Tries)-1]
}

// RecordFault records a fault of a response; Wrong replaces Truncated.
func (r *Result) RecordFault(f Fault, detail string) {
	if r.Fault == NoFault || f == Wrong {
		r.Fault, r.Detail = f, detail
	}
}
