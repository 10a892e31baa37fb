package router

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"buckthornridge/admission"
	"buckthornridge/config"
	"buckthornridge/routing"
)

// adminHandler serves health checks for the load balancer and diagnostics for
// operators.
func (r *Router) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", r.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/explain/{id}", r.explain)
	mux.HandleFunc("GET /debug/status", r.status)
	return mux
}

// Publish registers the counters of this process in expvar. It must be called at
// most once, since expvar names are global.
func (r *Router) Publish() {
	expvar.Publish("config", r.watcher.Counters.Map())
	expvar.Publish("quarantine", quarantineCounters(r.guard))
	expvar.Publish("membership", r.members.tracker.Counters.Map())
	if r.callerTLS != nil {
		expvar.Publish("tls", r.callerTLS.Counters.Map())
	}
	if r.peerTLS != nil {
		expvar.Publish("peer_tls", r.peerTLS.Counters.Map())
	}
}

// readyz responds with 200 if callers are served, and otherwise with the reason why
// they are not.
func (r *Router) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := r.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// notReady returns the reason why callers are not served, or an empty string.
func (r *Router) notReady() string {
	switch {
	case r.leaving.Load():
		return "leaving: a planned stop is in progress"
	case r.snapshot() == nil:
		return r.watcher.Ready().Error()
	case r.grantManager.Journal().Sealed():
		return "sealed: the platform declared this incarnation gone; restart the process"
	case !r.members.tracker.Active():
		return "paused: the platform's table has not confirmed this incarnation since a pause of this process"
	case !r.grantManager.Alive():
		return "no journal: the platform's table has not answered yet"
	}
	return ""
}

// Explanation holds the admission and routing decisions about a request.
type Explanation struct {
	Admission []*admission.Decision `json:"admission"`
	Routing   []*routing.Record     `json:"routing"`
}

func (r *Router) explain(w http.ResponseWriter, q *http.Request) {
	id := q.PathValue("id")
	writeJSON(w, Explanation{Admission: r.admission.load().Explain(id), Routing: r.routes.Explain(id)})
}

// Status is the state of a router as served at /debug/status.
type Status struct {
	VM          string         `json:"vm"`
	Incarnation string         `json:"incarnation"`
	Version     config.Version `json:"version"`
	Active      int            `json:"active_requests"`
	NotReady    string         `json:"not_ready,omitempty"`
}

func (r *Router) status(w http.ResponseWriter, _ *http.Request) {
	s := Status{VM: r.settings.VM, Incarnation: r.incarnation, Active: r.executor.Active(), NotReady: r.notReady()}
	if snapshot := r.snapshot(); snapshot != nil {
		s.Version = snapshot.Version
	}
	writeJSON(w, s)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
