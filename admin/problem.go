package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"buckthornridge/budget"
	"buckthornridge/config"
	"buckthornridge/settings"
	"buckthornridge/store"
)

// ProblemName identifies a kind of problem; it is the last part of its type URN.
type ProblemName string

// The problems of the API.
const (
	ProblemUnauthorized   ProblemName = "unauthorized"
	ProblemForbidden      ProblemName = "forbidden"
	ProblemNotFound       ProblemName = "not-found"
	ProblemMethod         ProblemName = "method-not-allowed"
	ProblemMalformed      ProblemName = "malformed"
	ProblemTooLarge       ProblemName = "too-large"
	ProblemInvalidConfig  ProblemName = "invalid-config"
	ProblemConflict       ProblemName = "conflict"
	ProblemIDReused       ProblemName = "id-reused"
	ProblemUnavailable    ProblemName = "platform-unavailable"
	ProblemOutcomeUnknown ProblemName = "outcome-unknown"
	ProblemNotReady       ProblemName = "not-ready"
)

// problemType is the prefix of the type URN of every problem.
const problemType = "urn:buckthornridge:problem:"

var problemStatus = map[ProblemName]int{
	ProblemUnauthorized:   http.StatusUnauthorized,
	ProblemForbidden:      http.StatusForbidden,
	ProblemNotFound:       http.StatusNotFound,
	ProblemMethod:         http.StatusMethodNotAllowed,
	ProblemMalformed:      http.StatusBadRequest,
	ProblemTooLarge:       http.StatusRequestEntityTooLarge,
	ProblemInvalidConfig:  http.StatusUnprocessableEntity,
	ProblemConflict:       http.StatusConflict,
	ProblemIDReused:       http.StatusUnprocessableEntity,
	ProblemUnavailable:    http.StatusServiceUnavailable,
	ProblemOutcomeUnknown: http.StatusGatewayTimeout,
	ProblemNotReady:       http.StatusServiceUnavailable,
}

// Problem is an error reply in the format application/problem+json.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	RequestID string `json:"request_id,omitempty"`
	// Faults lists the errors of an invalid document, as file:line:column: text.
	Faults []string `json:"faults,omitempty"`
	// Base, Head and Changes describe a conflict: the versions, and the changes
	// accepted since the base.
	Base    config.Version `json:"base,omitempty"`
	Head    config.Version `json:"head,omitempty"`
	Changes []string       `json:"changes,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	lines := append([]string{p.Title + ": " + p.Detail}, p.Faults...)
	return strings.Join(append(lines, p.Changes...), "\n")
}

// Name returns the problem name without the type prefix.
func (p *Problem) Name() ProblemName {
	return ProblemName(strings.TrimPrefix(p.Type, problemType))
}

func newProblem(name ProblemName, detail string) *Problem {
	return &Problem{
		Type:   problemType + string(name),
		Title:  strings.ReplaceAll(string(name), "-", " "),
		Status: problemStatus[name],
		Detail: detail,
	}
}

// problemFromError converts an error of the lower packages to a problem for the
// caller.
func problemFromError(err error) *Problem {
	var p *Problem
	var faults settings.Errors
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &faults):
		return invalidConfigProblem(faults)
	case errors.As(err, &conflict):
		return conflictProblem(conflict)
	case errors.Is(err, config.ErrApplyIDReused), errors.Is(err, budget.ErrTopUpReused):
		return newProblem(ProblemIDReused, err.Error())
	case errors.Is(err, config.ErrPruned):
		return newProblem(ProblemNotFound, err.Error())
	case errors.Is(err, store.ErrTooLarge):
		return newProblem(ProblemTooLarge, err.Error())
	case errors.Is(err, store.ErrInvalid):
		return newProblem(ProblemMalformed, err.Error())
	case errors.Is(err, store.ErrOutcomeUnknown):
		return newProblem(ProblemOutcomeUnknown, "send the same request again, with the same id: "+err.Error())
	}
	return newProblem(ProblemUnavailable, err.Error())
}

func invalidConfigProblem(faults settings.Errors) *Problem {
	p := newProblem(ProblemInvalidConfig, "the document fails the checks; nothing was changed")
	for _, fault := range faults {
		p.Faults = append(p.Faults, fault.Error())
	}
	return p
}

func conflictProblem(e *config.ConflictError) *Problem {
	p := newProblem(ProblemConflict, e.Error()+"; nothing was changed")
	p.Base, p.Head = e.Base, e.Head.Version
	if e.BaseAvailable {
		p.Changes = e.AcceptedChanges.Describe(e.Before)
	}
	return p
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	// An error means that the caller disconnected, so it can't be reported.
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, reply any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
