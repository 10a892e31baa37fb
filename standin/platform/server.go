// Package platform is the stand-in for the platform: it serves store.Fake over HTTP
// and controls the injected faults under /debug.
package platform

import (
	"expvar"
	"net/http"

	"golang.org/x/time/rate"

	"buckthornridge/store"
	"buckthornridge/store/wire"
)

// Server is the HTTP handler of the stand-in platform.
type Server struct {
	fake          *store.Fake
	mux           *http.ServeMux
	weightLimiter *rate.Limiter
}

// NewServer returns a handler for a platform without rows, objects and VMs.
func NewServer(s Settings) *Server {
	fake := store.NewFake(store.FakeOptions{
		Seed:                 s.Seed,
		Faults:               s.faults(),
		Weights:              s.weights(),
		WeightBytesPerSecond: int64(s.WeightBytesPerSecond),
	})
	server := &Server{fake: fake, mux: http.NewServeMux(), weightLimiter: newWeightLimiter(int64(s.WeightBytesPerSecond))}
	server.routeServices()
	server.routeDebug()
	return server
}

// Fake returns the platform that the server serves.
func (s *Server) Fake() *store.Fake { return s.fake }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) routeServices() {
	s.mux.HandleFunc("POST "+wire.PathRead, s.read)
	s.mux.HandleFunc("POST "+wire.PathScan, s.scan)
	s.mux.HandleFunc("POST "+wire.PathCommit, s.commit)
	s.mux.HandleFunc("GET "+wire.PathObjects, s.listObjects)
	s.mux.HandleFunc("GET "+wire.PathObjects+"/{name}", s.getObject)
	s.mux.HandleFunc("PUT "+wire.PathObjects+"/{name}", s.putObject)
	s.mux.HandleFunc("DELETE "+wire.PathObjects+"/{name}", s.deleteObject)
	s.mux.HandleFunc("GET "+wire.PathVMs, s.listVMs)
	s.mux.HandleFunc("POST "+wire.PathVMs, s.announce)
	s.mux.HandleFunc("GET "+wire.PathWeights, s.listWeights)
	s.mux.HandleFunc("GET "+wire.PathWeights+"/{model}", s.serveWeights)
}

func (s *Server) routeDebug() {
	s.mux.HandleFunc("GET /debug/faults", s.showFaults)
	s.mux.HandleFunc("POST /debug/faults", s.changeFaults)
	s.mux.HandleFunc("POST /debug/release", s.releaseDelayed)
	s.mux.HandleFunc("GET /debug/vms", s.showVMs)
	s.mux.HandleFunc("POST /debug/vms", s.setVMState)
	s.mux.HandleFunc("GET /debug/counters", s.showCounters)
	s.mux.HandleFunc("GET /debug/table", s.showTable)
	s.mux.Handle("GET /debug/vars", expvar.Handler())
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, wire.DoneResponse{Done: true}) })
}

// servicesFor returns the services as seen by the VM that sent the request.
func (s *Server) servicesFor(r *http.Request) store.Services {
	return s.fake.As(r.Header.Get(wire.HeaderVM))
}
