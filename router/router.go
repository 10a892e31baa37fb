// Package router assembles a router process from its modules: the callers' HTTP
// API, the peer protocol, admission, budgets, routing, upstream clients and fleet
// membership.
package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/api"
	"buckthornridge/budget"
	"buckthornridge/budget/percall"
	"buckthornridge/certs"
	"buckthornridge/config"
	"buckthornridge/membership"
	"buckthornridge/origin"
	"buckthornridge/peer"
	"buckthornridge/quarantine"
	"buckthornridge/request"
	"buckthornridge/routing"
	"buckthornridge/store"
	"buckthornridge/store/httpclient"
	"buckthornridge/upstream"
)

const roleRouter = request.RoleRouter

// Timing of the router's background tasks, and limits of its listeners.
const (
	sweepInterval = time.Second
	// headerTimeout, bodyTimeout and idleTimeout limit callers that send slowly or
	// nothing.
	headerTimeout = 10 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the memory that a connection can use before its request
	// is parsed.
	maxHeaderBytes  = 16 << 10
	announceTimeout = 2 * time.Second
)

// Router is a router process.
type Router struct {
	settings    Settings
	incarnation string
	services    store.Services
	client      *httpclient.Client

	watcher      *config.Watcher
	members      *members
	resume       resumeCheck
	table        *routing.Table
	pool         *pool
	admission    *admissionHolder
	grantManager *budget.GrantManager
	billCopies   *budget.BillCopyStore // pending bills stored for other routers
	executor     *request.Executor
	frontend     *request.Frontend
	guard        *quarantine.Guard
	quarantine   *quarantineReader
	peers        *peer.Client
	peerSrv      *peer.Server
	routes       *routing.Router

	listeners listeners
	callers   *http.Server
	admin     *http.Server

	callerTLS *certs.Store // nil without TLS
	peerTLS   *certs.Store // nil without TLS

	leaving       atomic.Bool
	stopRequested chan struct{} // closed when an operator requested a planned stop
	stopOnce      sync.Once
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
}

// New builds a router from validated settings and opens its listeners. Start runs
// it.
func New(s Settings) (*Router, error) {
	client := httpclient.New(httpclient.Options{Address: s.Platform, VM: s.VM})
	r := &Router{
		settings:      s,
		incarnation:   strconv.FormatInt(time.Now().UnixNano(), 10),
		client:        client,
		services:      client.Services(),
		peerSrv:       peer.NewServer(),
		table:         routing.NewTable(),
		billCopies:    budget.NewBillCopyStore(),
		stopRequested: make(chan struct{}),
	}
	if err := r.openCerts(); err != nil {
		return nil, err
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.members = newMembers(r.settings, r.self(), r.services.VMs, r.peers, r.table)
	r.pool = newPool(r.table, s.LoadInterval.D())
	r.guard = quarantine.NewGuard(upstream.Prober{Dial: (&net.Dialer{}).DialContext})
	r.guard.Table().SetElection(func(key string) bool { return origin.Elects(key, s.VM, r.members.routerNames()) })
	r.pool.onLeaving = r.members.reportLeaving
	if err := r.buildControllers(); err != nil {
		return nil, err
	}
	r.buildConfig()
	r.buildFrontend()
	r.buildServers()
	return r, nil
}

// buildControllers builds routing, admission and budgets, which decide about
// requests.
func (r *Router) buildControllers() (err error) {
	if r.routes, err = routing.NewRouter(r.table, ""); err != nil {
		return err
	}
	if r.admission, err = newAdmissionHolder(r.routes); err != nil {
		return err
	}
	r.table.OnCapacityChange(r.admission.notifyCapacity)
	r.grantManager = budget.NewGrantManager(budget.GrantManagerConfig{
		Table:     r.services.Table,
		Holder:    budget.HolderName(r.settings.VM, r.incarnation),
		Policy:    r.budgetPolicy,
		Recaller:  &recaller{peers: r.peers, view: r.members.view},
		Witnesses: &witnessClient{peers: r.peers, view: r.members.view, self: r.settings.VM},
		Copier: &billCopier{
			peers: r.peers, view: r.members.view, self: r.settings.VM,
			holder: budget.HolderName(r.settings.VM, r.incarnation), copyHolders: map[string]bool{},
		},
	})
	budget.ServeWitness(r.peerSrv, budget.HolderName(r.settings.VM, r.incarnation), budget.NewWitnessState())
	r.resume = resumeCheck{table: r.services.Table, writer: r.grantManager.Journal(), tracker: r.members.tracker}
	return nil
}

func (r *Router) budgetPolicy() config.BudgetPolicy {
	if s := r.snapshot(); s != nil {
		return s.Policy.Budget
	}
	return config.BudgetPolicy{}
}

func (r *Router) buildFrontend() {
	r.executor = request.NewExecutor(
		budget.HolderName(r.settings.VM, r.incarnation),
		request.DefaultSettings(),
		admissionPort{holder: r.admission, dataCentre: r.settings.DataCentre},
		r.budgets(),
		routingPort{router: r.routes, pool: r.pool, dataCentre: r.settings.DataCentre},
		guardPort{Guard: r.guard, view: r.members.view},
		r.services.Table,
	)
	r.frontend = &request.Frontend{
		Self:     r.settings.VM,
		Region:   r.settings.Region,
		Executor: r.executor,
		Peers:    r.peers,
		View:     r.members.view.Load,
		Busy:     r.budgetBusy,
		Suspect:  r.members.suspect,
	}
	r.quarantine = r.newQuarantineReader()
	r.quarantine.serve(r.peerSrv)
	r.frontend.Register(r.peerSrv)
	r.members.gossip.Serve(r.peerSrv)
	registerRecall(r.peerSrv, r.grantManager)
	registerAdopt(r.peerSrv, r.grantManager)
	registerBillCopies(r.peerSrv, r.billCopies)
}

// budgets returns the implementation that reserves tokens for requests: this
// router's grants, or the baseline with a table write for each reservation.
func (r *Router) budgets() request.Budgets {
	if r.settings.Baseline {
		return percall.New(r.services.Table, budget.HolderName(r.settings.VM, r.incarnation))
	}
	return budgetPort{grantManager: r.grantManager, resume: r.resume}
}

// budgetBusy reports whether the configuration marks the request's budget as busy,
// so that several routers may hold grants of it.
func (r *Router) budgetBusy(q *request.Request) bool {
	s := r.snapshot()
	return s != nil && s.Workspaces[q.Key.Workspace].Budgets[q.Budget].Busy
}

func (r *Router) buildServers() {
	server := &api.Server{VM: r.settings.VM, Snapshots: &r.watcher.Holder, Requests: r.frontend}
	r.callers = callerServer(server.Handler())
	r.admin = &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: headerTimeout}
}

// callerServer returns the HTTP server for callers. Its limits guard against callers
// that open connections and send slowly or nothing, which would otherwise hold
// memory and a file descriptor without bound.
func callerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Start starts all tasks and servers. It returns once callers can connect; /readyz
// reports when they are served.
func (r *Router) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := r.grantManager.Start(ctx); err != nil {
		return err
	}
	r.spawn(func() { r.announceWithRetry(ctx) })
	if err := r.watcher.Start(ctx); err != nil {
		return err
	}
	r.members.tracker.OnResume(func(gap time.Duration) { r.resume.run(ctx, gap) })
	r.spawn(func() { r.members.run(ctx) })
	r.spawn(func() { r.pool.run(ctx) })
	r.spawn(func() { r.sweep(ctx) })
	r.spawn(func() { r.quarantine.run(ctx) })
	publisher := quarantine.Publisher{
		Rows: r.services.Table, Evidence: r.guard.Table(), Router: r.settings.VM, Routers: r.members.routerCount,
	}
	r.spawn(func() { publisher.Run(ctx) })
	r.spawn(func() { r.billCopies.Run(ctx, r.services.Table, r.grantManager.Journal()) })
	r.spawn(func() { logServeError("peer", r.peerSrv.Serve(r.listeners.peer)) })
	r.spawn(func() { logServeError("admin", r.admin.Serve(r.listeners.admin)) })
	r.spawn(func() { logServeError("callers", r.callers.Serve(r.listeners.callers)) })
	klog.Infof("router %s (%s) serves callers on %s", r.settings.VM, r.incarnation, r.settings.Listen)
	return nil
}

// listeners holds the router's listening sockets.
type listeners struct{ callers, peer, admin net.Listener }

// listen opens the listeners. It writes the addresses back to the settings, since a
// port of 0 is replaced by the one that the system assigned.
func (r *Router) listen() error {
	for _, target := range []struct {
		address  *string
		listener *net.Listener
	}{
		{&r.settings.Listen, &r.listeners.callers},
		{&r.settings.PeerListen, &r.listeners.peer},
		{&r.settings.AdminListen, &r.listeners.admin},
	} {
		l, err := net.Listen("tcp", *target.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", *target.address)
		}
		*target.listener, *target.address = l, l.Addr().String()
	}
	r.listeners.callers = withTLS(r.listeners.callers, r.callerTLS)
	r.listeners.peer = withTLS(r.listeners.peer, r.peerTLS)
	return nil
}

func (r *Router) spawn(task func()) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		task()
	}()
}

func logServeError(server string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf("%s listener failed: %v", server, err)
	}
}

// announceWithRetry registers this VM in the VM list, retrying until that succeeds.
func (r *Router) announceWithRetry(ctx context.Context) {
	for {
		err := r.announce(ctx, store.VMLive)
		if err == nil || ctx.Err() != nil {
			return
		}
		klog.Warningf("registering in the VM list failed; retrying: %v", err)
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Router) announce(ctx context.Context, state store.VMState) error {
	self := r.self()
	return r.services.VMs.Announce(ctx, store.VM{
		ID:          self.ID,
		Incarnation: self.Incarnation,
		Role:        self.Role,
		DataCentre:  self.DataCentre,
		Region:      self.Region,
		Address:     self.Address,
		PeerAddress: self.PeerAddress,
		State:       state,
	})
}

// self returns the membership entry of this process. It is complete once the
// listeners are open.
func (r *Router) self() membership.Member {
	return membership.Member{
		ID:          r.settings.VM,
		Incarnation: r.incarnation,
		Role:        roleRouter,
		DataCentre:  r.settings.DataCentre,
		Region:      r.settings.Region,
		Address:     r.settings.Listen,
		PeerAddress: r.settings.PeerListen,
	}
}

// sweep periodically tells routing how many routers there are and removes the
// outcomes of old requests.
func (r *Router) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		// The capacity of the engines is divided among the routers. A router that
		// took itself for the only one would fill the engines by itself, which
		// causes a collapse under overload.
		r.table.SetRouters(r.members.routerCount())
		r.pool.setRouters(r.settings.VM, r.members.routerNames())
		r.executor.Sweep()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
