package request

import (
	"fmt"
	"time"
)

// RunState tells a caller whether its request was executed.
type RunState string

// The run states. NotRun is a guarantee: it is reported only if nothing was
// dispatched, or if the upstream reported that it did not execute the request.
const (
	NotRun  RunState = "not_run"
	Ran     RunState = "ran"
	Unknown RunState = "unknown"
)

// ProblemName identifies a class of problems. It is part of the API.
type ProblemName string

// The problems that a request can end with.
const (
	ProblemBudgetExhausted     ProblemName = "budget-exhausted"
	ProblemOverloaded          ProblemName = "overloaded"
	ProblemDeadline            ProblemName = "deadline"
	ProblemKeyReused           ProblemName = "idempotency-key-reused"
	ProblemUpstreamFailed      ProblemName = "upstream-failed"
	ProblemOutcomeUnknown      ProblemName = "outcome-unknown"
	ProblemDraining            ProblemName = "draining"
	ProblemPlatformUnavailable ProblemName = "platform-unavailable"
	ProblemCanceled            ProblemName = "canceled"
	ProblemQuarantined         ProblemName = "quarantined"
)

// Problem is an unsuccessful outcome.
type Problem struct {
	Name       ProblemName   `msgpack:"n"`
	RunState   RunState      `msgpack:"r"`
	Detail     string        `msgpack:"d"`
	RetryAfter time.Duration `msgpack:"a"` // 0: retrying does not help
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Name, p.RunState, p.Detail)
}

// problemOutcome returns the outcome of a request that ended with a problem.
func problemOutcome(name ProblemName, state RunState, retry time.Duration, detail string) Outcome {
	return Outcome{Problem: &Problem{Name: name, RunState: state, RetryAfter: retry, Detail: detail}}
}
