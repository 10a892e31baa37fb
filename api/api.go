// Package api implements the callers' HTTP interface: chat completions, as one JSON
// response or as server-sent events, and calls of plain services.
//
// It validates a request and reports its outcome. Only a complete stream ends with the
// [DONE] event; an incomplete one never has it.
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
	headerDeadline       = "X-Deadline-Ms" // a shorter deadline that the caller sets
)

// Limits of a request.
const (
	MaxBodyBytes = 1 << 20
	// defaultDeadline applies to kinds without a deadline.
	defaultDeadline = 60 * time.Second
)

// idPattern restricts idempotency keys to text that table keys and stream ids can contain.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9._:~-]{1,128}$`)

// Counters of the callers' interface.
var (
	counters       = expvar.NewMap("api")
	countProblems  = expvar.NewMap("api_problems") // by problem name
	countTokens    = new(expvar.Int)
	countRequests  = new(expvar.Int)
	countCompleted = new(expvar.Int)
)

func init() {
	counters.Set("requests", countRequests)
	counters.Set("completed", countCompleted)
	counters.Set("tokens_sent", countTokens)
}

// Doer runs validated requests. *request.Frontend implements it.
type Doer interface {
	Do(ctx context.Context, r *request.Request, emit func(request.Update) error) (request.Outcome, error)
}

// Server is the callers' HTTP server.
type Server struct {
	VM        string
	Snapshots *config.SnapshotHolder
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
		ctx, span := telemetry.StartSpan(telemetry.ExtractHeader(r.Context(), r.Header), "api "+r.Method)
		defer telemetry.EndSpan(span, nil)
		mux.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (s *Server) wrongMethod(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Allow", http.MethodPost)
	writeProblem(w, rejection(problemMethod, "use POST"))
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, rejection(problemNotFound, "there is nothing at "+r.URL.Path))
}

// callerInfo is what is known of an authorised request before its body is read.
type callerInfo struct {
	snapshot     *config.Snapshot // the configuration that the whole request uses
	owner        config.KeyOwner
	id           string
	idFromCaller bool // the caller sent an Idempotency-Key
}

// authorise returns the caller and the id of a request, or why it is refused.
func (s *Server) authorise(w http.ResponseWriter, r *http.Request) (callerInfo, *request.Problem) {
	snapshot := s.Snapshots.Load()
	if snapshot == nil {
		return callerInfo{}, &request.Problem{Name: problemNotReady, RunState: request.NotRun, RetryAfter: time.Second,
			Detail: "this router has no configuration yet"}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return callerInfo{}, rejection(problemUnauthorized, "an API key is needed: Authorization: Bearer KEY")
	}
	owner, known := snapshot.Key(key)
	if !known {
		return callerInfo{}, rejection(problemUnauthorized, "the API key is not known")
	}
	c := callerInfo{snapshot: snapshot, owner: owner, id: r.Header.Get(headerIdempotencyKey)}
	c.idFromCaller = c.id != ""
	if !c.idFromCaller {
		c.id = uuid.NewString()
	}
	if !idPattern.MatchString(c.id) {
		return callerInfo{}, rejection(problemMalformed, "Idempotency-Key must be 1 to 128 letters, digits or . _ : ~ -")
	}
	w.Header().Set(headerRequestID, c.id)
	return c, nil
}

// key returns the request's key.
func (c callerInfo) key() request.Key { return request.Key{Workspace: c.owner.Workspace, ID: c.id} }

// timeout returns the deadline of the request's kind or the caller's, whichever is shorter.
func (c callerInfo) timeout(kind config.Kind, h http.Header) (time.Duration, *request.Problem) {
	limit := time.Duration(kind.DeadlineMS) * time.Millisecond
	if limit <= 0 {
		limit = defaultDeadline
	}
	text := h.Get(headerDeadline)
	if text == "" {
		return limit, nil
	}
	requested, err := time.ParseDuration(text + "ms")
	if err != nil || requested <= 0 {
		return 0, rejection(problemMalformed, headerDeadline+" must be a positive number of milliseconds")
	}
	return min(limit, requested), nil
}
