package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"buckthornridge/request"
)

// Problems found before a request reaches the frontend.
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

// statusCodes maps each problem to its HTTP status.
var statusCodes = map[request.ProblemName]int{
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
	request.ProblemQuarantined:         http.StatusServiceUnavailable,
	request.ProblemCanceled:            499, // the caller disconnected; for logs only
}

// titles maps each problem to the title that all its occurrences have.
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
	request.ProblemQuarantined:         "Upstreams ended while they ran this request",
	request.ProblemCanceled:            "The caller left",
}

const problemTypePrefix = "urn:buckthornridge:problem:"

// problemBody is the JSON of a problem (RFC 9457) with extension members.
type problemBody struct {
	Type         string           `json:"type"`
	Title        string           `json:"title"`
	Status       int              `json:"status"`
	Detail       string           `json:"detail,omitempty"`
	RunState     request.RunState `json:"run_state"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	RequestID    string           `json:"request_id,omitempty"`
}

// rejection returns the problem of a request that was refused before it was run.
func rejection(name request.ProblemName, detail string) *request.Problem {
	return &request.Problem{Name: name, RunState: request.NotRun, Detail: detail}
}

func newProblemBody(p *request.Problem, id string) problemBody {
	return problemBody{
		Type:         problemTypePrefix + string(p.Name),
		Title:        titles[p.Name],
		Status:       statusCodes[p.Name],
		Detail:       p.Detail,
		RunState:     p.RunState,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
		RequestID:    id,
	}
}

// writeProblem sends a problem as the response. Retry-After is in whole seconds, rounded
// up; retry_after_ms is exact.
func writeProblem(w http.ResponseWriter, p *request.Problem) {
	countProblems.Add(string(p.Name), 1)
	body := newProblemBody(p, w.Header().Get(headerRequestID))
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(body.Status)
	// A write error is ignored: a caller that has disconnected cannot receive the problem.
	_ = json.NewEncoder(w).Encode(body)
}
