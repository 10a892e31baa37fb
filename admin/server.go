package admin

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"buckthornridge/budget"
	"buckthornridge/config"
	"buckthornridge/store"
)

// Budgets provides the operations on prepaid budgets that the API needs;
// NewBudgets implements it over the table.
type Budgets interface {
	// TopUp buys tokens, at most once per id; applied is false if the id was applied
	// before. It returns budget.ErrTopUpReused if the id was used for another amount.
	TopUp(ctx context.Context, id budget.ID, topUpID string, tokens int64) (applied bool, err error)
	// Status returns one budget; a budget that was never topped up is all zero.
	Status(ctx context.Context, id budget.ID) (budget.State, error)
	// Audit checks the consistency of every budget.
	Audit(ctx context.Context) (budget.Report, error)
}

// Processes connects to the system's other processes.
type Processes interface {
	// ConfigFetcher returns a Fetcher for the configuration of the process at an address.
	ConfigFetcher(address string) config.Fetcher
	// Drain asks the process at an address for a planned stop.
	Drain(ctx context.Context, address string) error
}

// Options configures a Server.
type Options struct {
	Store     *config.Store
	Watcher   *config.Watcher
	Table     store.Table // stores the audit log
	VMs       store.VMList
	Budgets   Budgets
	Processes Processes
	// Bootstrap is the SHA-256 digest in hex of the token that may apply the
	// first configuration; empty for none.
	Bootstrap string
	// Timeout limits the duration of one request; 0 selects the default. An apply
	// uses all of it while the table does not respond.
	Timeout time.Duration
}

// Server serves the administration API.
type Server struct {
	Options
	Counters Counters
	auth     authenticator
	audit    auditLog
	mux      *http.ServeMux
}

// NewServer returns a Server, which is an http.Handler.
func NewServer(options Options) *Server {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	s := &Server{
		Options: options,
		auth:    authenticator{holder: &options.Watcher.Holder, bootstrap: options.Bootstrap},
		audit:   auditLog{table: options.Table},
		mux:     http.NewServeMux(),
	}
	s.Counters.init()
	s.route(PathConfig, methods{
		http.MethodGet:  {config.RoleViewer, s.getConfig},
		http.MethodPost: {config.RoleOperator, s.apply},
	})
	s.route(PathHistory, methods{http.MethodGet: {config.RoleViewer, s.history}})
	s.route(PathStatus, methods{http.MethodGet: {config.RoleViewer, s.status}})
	s.route(PathBudget, methods{http.MethodGet: {config.RoleViewer, s.budget}})
	s.route(PathTopUp, methods{http.MethodPost: {config.RoleOperator, s.topUp}})
	s.route(PathAudit, methods{http.MethodGet: {config.RoleViewer, s.listAuditRecords}})
	s.route(PathBudgetAudit, methods{http.MethodGet: {config.RoleViewer, s.auditBudgets}})
	s.route(PathDrain, methods{http.MethodPost: {config.RoleOperator, s.drain}})
	s.route(PathQuarantine, methods{http.MethodGet: {config.RoleViewer, s.listQuarantine}})
	s.route(PathRelease, methods{http.MethodPost: {config.RoleOperator, s.releaseQuarantined}})
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.sendProblem(w, newProblem(ProblemNotFound, "there is nothing at "+r.URL.Path), "")
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// endpoint handles one method of a path: the least role that may call it, and its
// handler. The reply is encoded as JSON.
type endpoint struct {
	role  string
	serve func(call) (reply any, err error)
}

type methods map[string]endpoint

// call is one authorized request.
type call struct {
	*http.Request
	w      http.ResponseWriter
	caller principal
	id     string
}

const defaultTimeout = 15 * time.Second

func (s *Server) route(path string, endpoints methods) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		s.Counters.Requests.Add(1)
		id := rand.Text()
		w.Header().Set("X-Request-Id", id)
		target, known := endpoints[r.Method]
		if !known {
			s.sendProblem(w, newProblem(ProblemMethod, r.Method+" is not served at "+r.URL.Path), id)
			return
		}
		caller, p := s.auth.identify(r)
		if p == nil && !caller.hasRole(target.role) {
			p = newProblem(ProblemForbidden, "the role "+caller.role+" may not do this; it takes "+target.role)
		}
		if p == nil && caller.bootstrap && (r.URL.Path != PathConfig || r.Method != http.MethodPost) {
			p = newProblem(ProblemNotReady, "there is no configuration here yet; the bootstrap token may only apply one")
		}
		if p != nil {
			s.sendProblem(w, p, id)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), s.Timeout)
		defer cancel()
		reply, err := target.serve(call{Request: r.WithContext(ctx), w: w, caller: caller, id: id})
		if err != nil {
			s.sendProblem(w, problemFromError(err), id)
			return
		}
		writeJSON(w, reply)
	})
}

// sendProblem counts a problem and sends it as the reply.
func (s *Server) sendProblem(w http.ResponseWriter, p *Problem, id string) {
	p.RequestID = id
	s.Counters.Problems.Add(string(p.Name()), 1)
	writeProblem(w, p)
}
