package control

import (
	"errors"
	"expvar"
	"fmt"
	"net/http"
)

// handler serves the administration API, the health checks and the published
// counters.
func (c *Control) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", c.admin)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := c.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

var errLeaving = errors.New("leaving: a planned stop is in progress")

// Ready returns nil, or the reason why the process is not ready to serve.
func (c *Control) Ready() error {
	if c.leaving.Load() {
		return errLeaving
	}
	return c.watcher.Ready()
}

// Publish registers the counters of this process in expvar. It must be called at
// most once, since expvar names are global.
func (c *Control) Publish() {
	expvar.Publish("config", c.watcher.Counters.Map())
	expvar.Publish("admin", c.admin.Counters.Map())
	expvar.Publish("duty", c.duties.Counters.Map())
	if c.adminTLS != nil {
		expvar.Publish("tls", c.adminTLS.Counters.Map())
	}
	if c.peerTLS != nil {
		expvar.Publish("peer_tls", c.peerTLS.Counters.Map())
	}
}
