package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"buckthornridge/request"
)

// Problems that arise before a request is made of what the caller sent.
const (
	problemUnauthorized request.ProblemName = "unauthorized"
	problemUnknownModel request.ProblemName = "unknown-model"
	problemNotFound     request.ProblemName = "not-found"
	problemMalformed    request.ProblemName = "malformed"
	problemTooLarge     request.ProblemName = "too-large"
	problemMethod       request.ProblemName = "method-not-allowed"
	problemKeyRequired  request.ProblemName = "idempotency-key-required"
	problemNotReady     request.ProblemName = "not-ready"
)

// statusOf gives the HTTP status of each problem.
var statusOf = map[request.ProblemName]int{
	problemUnauthorized:                http.StatusUnauthorized,
	problemUnknownModel:                http.StatusNotFound,
	problemNotFound:                    http.StatusNotFound,
	problemMalformed:                   http.StatusBadRequest,
	problemTooLarge:                    http.StatusRequestEntityTooLarge,
	problemMethod:                      http.StatusMethodNotAllowed,
	problemKeyRequired:                 http.StatusBadRequest,
	problemNotReady:                    http.StatusServiceUnavailable,
	request.ProblemBudgetExhausted:     http.StatusPaymentRequired,
	request.ProblemOverloaded:          http.StatusServiceUnavailable,
	request.ProblemDeadline:            http.StatusServiceUnavailable,
	request.ProblemKeyReused:           http.StatusUnprocessableEntity,
	request.ProblemUpstreamFailed:      http.StatusBadGateway,
	request.ProblemOutcomeUnknown:      http.StatusBadGateway,
	request.ProblemDraining:            http.StatusServiceUnavailable,
	request.ProblemPlatformUnavailable: http.StatusServiceUnavailable,
	request.ProblemCanceled:            499, // the caller is gone; for logs only
}

// titles are the short texts of problems, the same for every occurrence.
var titles = map[request.ProblemName]string{
	problemUnauthorized:                "The caller is not known",
	problemUnknownModel:                "There is no such model",
	problemNotFound:                    "There is no such resource",
	problemMalformed:                   "The request is malformed",
	problemTooLarge:                    "The request is too large",
	problemMethod:                      "The method is not allowed here",
	problemKeyRequired:                 "This call needs an Idempotency-Key",
	problemNotReady:                    "The router is not ready",
	request.ProblemBudgetExhausted:     "The prepaid budget does not cover the request",
	request.ProblemOverloaded:          "There is no room for the request now",
	request.ProblemDeadline:            "The request cannot be served in time",
	request.ProblemKeyReused:           "The Idempotency-Key belongs to another request",
	request.ProblemUpstreamFailed:      "The upstream failed",
	request.ProblemOutcomeUnknown:      "It is not known whether the request ran",
	request.ProblemDraining:            "The router is stopping",
	request.ProblemPlatformUnavailable: "The platform does not answer",
	request.ProblemCanceled:            "The caller left",
}

const problemTypePrefix = "urn:buckthornridge:problem:"

// problemBody is the JSON of a problem (RFC 9457 with own members).
type problemBody struct {
	Type         string           `json:"type"`
	Title        string           `json:"title"`
	Status       int              `json:"status"`
	Detail       string           `json:"detail,omitempty"`
	RunState     request.RunState `json:"run_state"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	RequestID    string           `json:"request_id,omitempty"`
}

// notRun returns a problem of a request that was refused at the door.
func notRun(name request.ProblemName, detail string) *request.Problem {
	return &request.Problem{Name: name, RunState: request.NotRun, Detail: detail}
}

func bodyOf(p *request.Problem, id string) problemBody {
	return problemBody{
		Type:         problemTypePrefix + string(p.Name),
		Title:        titles[p.Name],
		Status:       statusOf[p.Name],
		Detail:       p.Detail,
		RunState:     p.RunState,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
		RequestID:    id,
	}
}

// writeProblem answers with a problem. Retry-After is in whole seconds, rounded
// up; retry_after_ms says it exactly.
func writeProblem(w http.ResponseWriter, p *request.Problem) {
	countProblems.Add(string(p.Name), 1)
	body := bodyOf(p, w.Header().Get(headerRequestID))
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(body.Status)
	// A caller that is gone cannot be told.
	_ = json.NewEncoder(w).Encode(body)
}
