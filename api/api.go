// Package api is the callers' HTTP interface: chat completions, streamed as
// server-sent events or whole, and calls of plain services.
//
// It checks a request and says how it ended. A streamed answer that is not
// complete never ends with the [DONE] mark that a complete one has.
package api

import (
	"context"
	"expvar"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/google/uuid"

	"buckthornridge/config"
	"buckthornridge/request"
	"buckthornridge/telemetry"
)

// Headers of the callers' interface.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerVM             = "X-Buckthorn-Vm"
	headerDeadline       = "X-Deadline-Ms" // a caller's own, shorter deadline
)

// Limits of a caller's request.
const (
	MaxBodyBytes = 1 << 20
	// defaultDeadline holds for a kind that names none.
	defaultDeadline = 60 * time.Second
)

// keyPattern keeps idempotency keys usable in table keys and stream ids.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:~-]{1,128}$`)

// Counters of the callers' interface.
var (
	counters       = expvar.NewMap("api")
	countProblems  = expvar.NewMap("api_problems") // by name
	countTokens    = new(expvar.Int)
	countRequests  = new(expvar.Int)
	countCompleted = new(expvar.Int)
)

func init() {
	counters.Set("requests", countRequests)
	counters.Set("completed", countCompleted)
	counters.Set("tokens_sent", countTokens)
}

// Doer runs checked requests; *request.Frontend is one.
type Doer interface {
	Do(ctx context.Context, r *request.Request, emit func(request.Update) error) (request.Outcome, error)
}

// Server serves callers.
type Server struct {
	VM        string
	Snapshots *config.Holder
	Requests  Doer
}

// Handler returns the server's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	mux.HandleFunc("/v1/chat/completions", s.wrongMethod)
	mux.HandleFunc("/v1/services/{service}/{path...}", s.service)
	mux.HandleFunc("/", s.notFound)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		countRequests.Add(1)
		w.Header().Set(headerVM, s.VM)
		ctx, span := telemetry.Hop(telemetry.FromHeader(r.Context(), r.Header), "api "+r.Method)
		defer telemetry.Done(span, nil)
		mux.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (s *Server) wrongMethod(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Allow", http.MethodPost)
	writeProblem(w, notRun(problemMethod, "use POST"))
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, notRun(problemNotFound, "there is nothing at "+r.URL.Path))
}

// caller is an authorised caller's request before its content is read.
type caller struct {
	snapshot *config.Snapshot // the one configuration that this request sees
	owner    config.KeyOwner
	id       string
	chosen   bool // the caller chose the id
}

// authorise finds the caller and the request's id.
func (s *Server) authorise(w http.ResponseWriter, r *http.Request) (caller, *request.Problem) {
	snapshot := s.Snapshots.Load()
	if snapshot == nil {
		return caller{}, &request.Problem{Name: problemNotReady, RunState: request.NotRun, RetryAfter: time.Second,
			Detail: "this router has no configuration yet"}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return caller{}, notRun(problemUnauthorized, "an API key is needed: Authorization: Bearer KEY")
	}
	owner, known := snapshot.Key(key)
	if !known {
		return caller{}, notRun(problemUnauthorized, "the API key is not known")
	}
	c := caller{snapshot: snapshot, owner: owner, id: r.Header.Get(headerIdempotencyKey)}
	c.chosen = c.id != ""
	if !c.chosen {
		c.id = uuid.NewString()
	}
	if !keyPattern.MatchString(c.id) {
		return caller{}, notRun(problemMalformed, "Idempotency-Key must be 1 to 128 letters, digits or . _ : ~ -")
	}
	w.Header().Set(headerRequestID, c.id)
	return c, nil
}

// key returns the request's key.
func (c caller) key() request.Key { return request.Key{Workspace: c.owner.Workspace, ID: c.id} }

// timeout returns the time that the request has, by its kind and the caller.
func (c caller) timeout(kind config.Kind, h http.Header) (time.Duration, *request.Problem) {
	limit := time.Duration(kind.DeadlineMS) * time.Millisecond
	if limit <= 0 {
		limit = defaultDeadline
	}
	text := h.Get(headerDeadline)
	if text == "" {
		return limit, nil
	}
	own, err := time.ParseDuration(text + "ms")
	if err != nil || own <= 0 {
		return 0, notRun(problemMalformed, headerDeadline+" must be a positive number of milliseconds")
	}
	return min(limit, own), nil
}
