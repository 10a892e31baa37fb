package service

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"
)

// Paths of the debug interface, which real services do not have.
const (
	PathExecutions = "/debug/executions"
	PathFaults     = "/debug/faults"
)

const requestIDHeader = "X-Request-Id"

const maxBodyBytes = 32 << 20

// oversizedBytes is more than any client accepts as a response body.
const oversizedBytes = 64 << 20

// Handler returns the server's HTTP handler. Calls bypass the mux, which would
// redirect requests whose paths are not in canonical form.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathExecutions, s.serveExecutions)
	mux.HandleFunc("POST "+PathFaults, s.serveFaults)
	mux.HandleFunc("GET "+pathDebug+"vars", expvar.Handler().ServeHTTP)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, pathDebug) {
			mux.ServeHTTP(w, r)
			return
		}
		s.serveCall(w, r)
	})
}

const pathDebug = "/debug/"

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Report())
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = s.changeFaults(body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	klog.InfoS("faults changed", "body", string(body))
	w.WriteHeader(http.StatusNoContent)
}

// serveCall runs a call. Once the body is read, the call runs even if the caller
// disconnects, as it would in a real service.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	fault := s.beginCall()
	defer s.endCall()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	if fault.Kind == KillBefore {
		panic(http.ErrAbortHandler)
	}
	s.slots <- struct{}{}
	execution := s.recordExecution(r, r.Header.Get(requestIDHeader), body)
	time.Sleep(s.settings.Latency.D() + fault.Latency.D())
	<-s.slots
	s.respond(r.Context(), w, fault, execution)
}

func (s *Service) respond(ctx context.Context, w http.ResponseWriter, fault Faults, e Execution) {
	status := http.StatusOK
	if fault.Status != 0 {
		status = int(fault.Status)
	}
	switch fault.Kind {
	case KillAfter:
		panic(http.ErrAbortHandler)
	case Hang:
		<-ctx.Done()
		return
	case Truncate:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, `{"service":`)
		panic(http.ErrAbortHandler)
	case EndlessHead, EndlessInterim, EndlessBody:
		writeEndlessly(w, endless[fault.Kind])
		return
	case Oversized:
		_, _ = w.Write(make([]byte, oversizedBytes)) // the client may have disconnected
		return
	}
	writeJSON(w, status, Reply{Service: s.settings.Name, RequestID: e.RequestID, Execution: e.Execution, Digest: e.Digest})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
