package engine

import (
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"buckthornridge/settings"
	"buckthornridge/upstream"
	"buckthornridge/upstream/wire"
)

// Debug paths that only this simulated engine serves.
const (
	PathRuns   = "/debug/runs"
	PathFaults = "/debug/faults"
	PathState  = "/debug/state"
)

// Limits on requests.
const (
	maxRequestBytes = 32 << 20
	maxIDBytes      = 1024
)

// defaultRetryAfterMS is the retry hint of a refusal unless Faults set another.
const defaultRetryAfterMS = 100

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+wire.PathResume, e.serveResume)
	mux.HandleFunc("POST "+wire.PathCancel, e.serveCancel)
	mux.HandleFunc("GET "+wire.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+wire.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("POST "+wire.PathOrders, e.serveDesiredState)
	mux.HandleFunc("GET "+wire.PathKV+"{prefix}", e.serveExport)
	mux.HandleFunc("PUT "+wire.PathKV+"{prefix}", e.serveImport)
	mux.HandleFunc("GET "+PathRuns, e.serveRuns)
	mux.HandleFunc("GET "+PathState, e.serveState)
	mux.HandleFunc("POST "+PathFaults, e.serveFaults)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g wire.Generate
	if !readJSON(w, r, &g) {
		return
	}
	if g.StreamID == "" || len(g.StreamID) > maxIDBytes || g.Model == "" {
		e.refuse(w, wire.ErrorMalformed)
		return
	}
	a, refusal := e.submit(g)
	if refusal != "" {
		e.refuse(w, refusal)
		return
	}
	e.serveStream(w, r, a)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var request wire.Resume
	if !readJSON(w, r, &request) {
		return
	}
	a, refusal := e.resume(request)
	if refusal != "" {
		e.refuse(w, refusal)
		return
	}
	e.serveStream(w, r, a)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request wire.Cancel
	if !readJSON(w, r, &request) {
		return
	}
	if !e.cancel(request.StreamID) {
		e.refuse(w, wire.ErrorNoStream)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.load())
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		e.refuse(w, wire.ErrorMalformed)
		return
	}
	writeJSON(w, http.StatusOK, e.cacheEvents(after))
}

func (e *Engine) serveDesiredState(w http.ResponseWriter, r *http.Request) {
	var o upstream.DesiredState
	if !readJSON(w, r, &o) {
		return
	}
	if refusal := e.setDesiredState(o); refusal != "" {
		e.refuse(w, refusal)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.core.runs.report())
}

// State reports the progress of the engine's shutdown, for audits.
type State struct {
	// LeavingSinceUnixMS is 0 until the engine leaves.
	LeavingSinceUnixMS int64 `json:"leaving_since_unix_ms"`
	// RefusedLeaving counts requests refused because the engine is leaving.
	RefusedLeaving int64 `json:"refused_leaving"`
	OpenStreams    int   `json:"open_streams"`
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	state := State{OpenStreams: e.ActiveRequests()}
	e.mu.Lock()
	if !e.leavingSince.IsZero() {
		state.LeavingSinceUnixMS = e.leavingSince.UnixMilli()
	}
	state.RefusedLeaving = e.refusedLeaving
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = e.changeFaults(body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	klog.InfoS("faults changed", "body", string(body))
	w.WriteHeader(http.StatusNoContent)
}

// changeFaults sets the faults that the body contains and keeps the others.
func (e *Engine) changeFaults(body []byte) error {
	e.mu.Lock()
	next := e.faults
	e.mu.Unlock()
	if err := settings.Decode("body", body, &next); err != nil {
		return err
	}
	return e.SetFaults(next)
}

// refuse responds with the error code and the corresponding HTTP status.
func (e *Engine) refuse(w http.ResponseWriter, code string) {
	problem := wire.Problem{Error: code}
	status := http.StatusServiceUnavailable
	switch code {
	case wire.ErrorModelNotLoaded, wire.ErrorNoStream:
		status = http.StatusNotFound
	case wire.ErrorMalformed:
		status = http.StatusBadRequest
	case wire.ErrorNoMemory:
		status = http.StatusUnprocessableEntity
	case wire.ErrorOldFence, wire.ErrorStreamExists:
		status = http.StatusConflict
	case wire.ErrorLeaving, wire.ErrorFull:
		problem.RetryAfterMillis = e.retryAfter()
	}
	writeJSON(w, status, problem)
}

func (e *Engine) retryAfter() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.RetryAfterMS > 0 {
		return e.faults.RetryAfterMS
	}
	return defaultRetryAfterMS
}

// readJSON decodes a request body. If that fails it responds with
// wire.ErrorMalformed and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err := decoder.Decode(into); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Problem{Error: wire.ErrorMalformed})
		return false
	}
	_, _ = io.Copy(io.Discard, decoder.Buffered())
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
