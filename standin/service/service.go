// Package service is a stand-in for a plain service, an upstream that answers
// ordinary HTTP calls. It records every execution and does not deduplicate, so that
// an audit can detect a call that ran twice.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/settings"
	"buckthornridge/standin/number"
)

// Settings configure one server of a plain service. Start from DefaultSettings.
type Settings struct {
	// Name of the service, which replies contain.
	Name string `json:"name"`
	// Slots is the maximum number of concurrent calls; further calls wait.
	Slots number.Positive `json:"slots"`
	// Latency is the execution time of a call.
	Latency settings.Duration `json:"latency"`
	// MaxExecutions limits how many executions are recorded.
	MaxExecutions number.Positive `json:"max_executions"`
}

// DefaultSettings returns the settings of a server of a service named "service".
func DefaultSettings() Settings {
	return Settings{
		Name:          "service",
		Slots:         32,
		Latency:       settings.Duration(5 * time.Millisecond),
		MaxExecutions: 1_000_000,
	}
}

// Validate checks the constraints that the field types do not enforce.
func (s Settings) Validate() error {
	if s.Name == "" || s.Slots < 1 || s.MaxExecutions < 1 {
		return eris.New("name, slots and max_executions must be set; start from DefaultSettings")
	}
	return nil
}

// Execution records one call that ran.
type Execution struct {
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Execution is the sequence number of the execution on this server, from 1.
	Execution int64  `json:"execution"`
	Digest    string `json:"digest"` // hex SHA-256 of the body
	// StartedUnixMS is the start time in Unix milliseconds.
	StartedUnixMS int64 `json:"started_unix_ms"`
}

// Report lists the executions since the server started, up to MaxExecutions.
type Report struct {
	Service    string      `json:"service"`
	Executions []Execution `json:"executions"`
	// Omitted is the number of executions that were not recorded because of
	// MaxExecutions. An audit is complete only if it is 0.
	Omitted int64 `json:"omitted"`
	// LeavingSinceUnixMS is when the server began to leave, in Unix milliseconds,
	// or 0.
	LeavingSinceUnixMS int64 `json:"leaving_since_unix_ms"`
}

// Reply is the JSON body of a response.
type Reply struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Execution int64  `json:"execution"`
	Digest    string `json:"digest"`
}

// Digest returns the hex SHA-256 of a request body, which the reply must contain.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Service is one stand-in server.
type Service struct {
	settings Settings
	slots    chan struct{}

	mu             sync.Mutex // guards all below
	faults         Faults
	executions     []Execution
	executionCount int64
	running        int
	leavingSince   time.Time // zero until the server leaves
}

// New returns a server, or an error if the settings are invalid.
func New(s Settings) (*Service, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Service{settings: s, slots: make(chan struct{}, int(s.Slots))}, nil
}

// Start does nothing: a service has no background work.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing, like Start.
func (s *Service) Stop() error { return nil }

// Leave records when the server began to leave. The server keeps responding, since
// a plain service cannot tell a caller that it did not execute a call.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		s.leavingSince = time.Now()
	}
}

// ActiveRequests returns the number of calls in progress.
func (s *Service) ActiveRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// beginCall counts a new call and returns the fault to inject into it.
func (s *Service) beginCall() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	fault := s.faults
	s.faults.countCall()
	return fault
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// recordExecution records that a call runs and returns the record.
func (s *Service) recordExecution(r *http.Request, id string, body []byte) Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executionCount++
	e := Execution{
		RequestID:     id,
		Method:        r.Method,
		Path:          r.URL.RequestURI(),
		Execution:     s.executionCount,
		Digest:        Digest(body),
		StartedUnixMS: time.Now().UnixMilli(),
	}
	if len(s.executions) < int(s.settings.MaxExecutions) {
		s.executions = append(s.executions, e)
	}
	return e
}

// Report returns the recorded executions.
func (s *Service) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Report{
		Service:    s.settings.Name,
		Executions: append([]Execution{}, s.executions...),
		Omitted:    s.executionCount - int64(len(s.executions)),
	}
	if !s.leavingSince.IsZero() {
		report.LeavingSinceUnixMS = s.leavingSince.UnixMilli()
	}
	return report
}
