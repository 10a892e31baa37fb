// Package control assembles the control process, one of which runs beside each
// router. It follows the accepted configuration, serves the administration API,
// and runs the fleet's duties whose leases it holds. It needs no dedicated VM, and
// the fleet tolerates the loss of any control process at any time.
package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/admin"
	"buckthornridge/certs"
	"buckthornridge/config"
	"buckthornridge/duty"
	"buckthornridge/kernel"
	"buckthornridge/peer"
	"buckthornridge/store"
	"buckthornridge/store/httpclient"
)

// Limits of the administration listener, and timing of the announcement in the VM
// list.
const (
	headerTimeout    = 10 * time.Second
	bodyTimeout      = time.Minute
	idleTimeout      = 2 * time.Minute
	maxHeaderBytes   = 16 << 10
	announceTimeout  = 2 * time.Second
	announceInterval = time.Second
)

// Control is one control process.
type Control struct {
	settings    Settings
	incarnation string
	client      *httpclient.Client
	services    store.Services

	watcher *config.Watcher
	members *members
	duties  *duty.Manager
	admin   *admin.Server
	peers   *peer.Client
	peerSrv *peer.Server
	modules kernel.Lifecycle

	adminTLS *certs.Store // nil without TLS
	peerTLS  *certs.Store // nil without TLS
	http     *http.Server

	leaving       atomic.Bool
	stopRequested chan struct{} // closed when an operator requested a planned stop
	stopOnce      sync.Once

	runCtx context.Context // cancelled by Stop
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New builds a control process from validated settings. Start runs it.
func New(s Settings) (*Control, error) {
	c := &Control{
		settings:      s,
		incarnation:   strconv.FormatInt(time.Now().UnixNano(), 10),
		client:        httpclient.New(httpclient.Options{Address: s.Platform, VM: s.VM}),
		peerSrv:       peer.NewServer(),
		stopRequested: make(chan struct{}),
	}
	c.runCtx, c.cancel = context.WithCancel(context.Background())
	c.services = c.client.Services()
	if err := c.openCerts(); err != nil {
		return nil, err
	}
	c.buildConfig()
	if err := c.buildDuties(); err != nil {
		return nil, err
	}
	c.buildServers()
	return c, nil
}

func (c *Control) openCerts() (err error) {
	if c.settings.TLS.Enabled() {
		if c.adminTLS, err = certs.Open(c.settings.TLS); err != nil {
			return err
		}
	}
	var peerTLS *tls.Config
	if c.settings.PeerTLS.Enabled() {
		if c.peerTLS, err = certs.Open(c.settings.PeerTLS); err != nil {
			return err
		}
		peerTLS = c.peerTLS.Client()
	}
	c.peers = peer.NewClient(peerTLS)
	return nil
}

func (c *Control) buildConfig() {
	c.members = &members{list: c.services.VMs, seeds: c.settings.Peers, self: c.id()}
	c.watcher = config.NewWatcher(config.WatcherOptions{
		Table: config.NewStore(c.services.Table),
		Peers: config.RemotePeers(c.peers, c.settings.PeerListen, c.members.addresses),
	})
	config.Serve(c.peerSrv, c.watcher, c.peers)
	admin.ServeDrain(c.peerSrv, c.requestStop)
	c.modules.Add("config", c.watcher)
}

func (c *Control) buildDuties() error {
	registered, err := duty.Registered()
	if err != nil {
		return err
	}
	c.duties = duty.NewManager(duty.Options{
		Holder:   c.id() + "#" + c.incarnation,
		Duties:   registered,
		Platform: c.services,
		Peers:    c.peers,
		Owns:     c.members.owns,
		Store:    config.NewStore(c.services.Table),
		Config:   &c.watcher.Holder,
		TTL:      c.settings.LeaseTTL.D(),
	})
	c.modules.Add("duties", c.duties)
	return nil
}

func (c *Control) buildServers() {
	c.admin = admin.NewServer(admin.Options{
		Store:     config.NewStore(c.services.Table),
		Watcher:   c.watcher,
		Table:     c.services.Table,
		VMs:       c.services.VMs,
		Budgets:   admin.NewBudgets(c.services.Table),
		Processes: admin.RemoteProcesses{Caller: c.peers},
		Bootstrap: c.settings.Bootstrap,
	})
	c.http = &http.Server{
		Handler:           c.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if c.adminTLS != nil {
		c.http.TLSConfig = c.adminTLS.Server()
	}
}

// id returns the process's id in the VM list, which differs from that of the
// router on the same VM.
func (c *Control) id() string { return admin.ControlID(c.settings.VM) }

// Start opens the listeners and starts all tasks. /readyz reports when a
// configuration is in force.
func (c *Control) Start(ctx context.Context) error {
	adminListener, err := net.Listen("tcp", c.settings.AdminListen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", c.settings.AdminListen)
	}
	peerListener, err := net.Listen("tcp", c.settings.PeerListen)
	if err != nil {
		return errors.Join(eris.Wrapf(err, "listen on %s", c.settings.PeerListen), adminListener.Close())
	}
	if c.adminTLS != nil {
		adminListener = tls.NewListener(adminListener, c.adminTLS.Server())
	}
	if c.peerTLS != nil {
		peerListener = tls.NewListener(peerListener, c.peerTLS.Server())
	}
	c.members.refresh(ctx)
	if err := c.modules.Start(ctx); err != nil {
		return errors.Join(err, adminListener.Close(), peerListener.Close())
	}
	c.tasks.Go(func() { c.announceWithRetry() })
	c.tasks.Go(func() { c.refreshMembers() })
	c.tasks.Go(func() { c.servePeers(peerListener) })
	c.tasks.Go(func() { logServeError("admin", c.http.Serve(adminListener)) })
	klog.InfoS("control process started", "vm", c.settings.VM, "incarnation", c.incarnation, "admin", c.settings.AdminListen)
	return nil
}

// servePeers serves the peer protocol until Stop.
func (c *Control) servePeers(listener net.Listener) {
	context.AfterFunc(c.runCtx, func() { listener.Close() })
	logServeError("peer", c.peerSrv.Serve(listener))
}

func logServeError(server string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "listener failed", "server", server)
	}
}

func (c *Control) refreshMembers() {
	for {
		timer := time.NewTimer(c.members.interval())
		select {
		case <-timer.C:
			c.members.refresh(c.runCtx)
		case <-c.runCtx.Done():
			timer.Stop()
			return
		}
	}
}

// announceWithRetry registers the process in the VM list, retrying until that
// succeeds.
func (c *Control) announceWithRetry() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for c.announce(c.runCtx, store.VMLive) != nil {
		select {
		case <-ticker.C:
		case <-c.runCtx.Done():
			return
		}
	}
}

func (c *Control) announce(ctx context.Context, state store.VMState) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return c.services.VMs.Announce(ctx, store.VM{
		ID:          c.id(),
		Incarnation: c.incarnation,
		Role:        roleControl,
		DataCentre:  c.settings.DataCentre,
		Region:      c.settings.Region,
		Address:     c.settings.AdminListen,
		PeerAddress: c.settings.PeerListen,
		State:       state,
	})
}

func (c *Control) requestStop() { c.stopOnce.Do(func() { close(c.stopRequested) }) }

// StopRequested returns a channel that is closed when an operator requests a
// planned stop.
func (c *Control) StopRequested() <-chan struct{} { return c.stopRequested }

// Drain performs a planned stop: it completes the requests in progress, stops the
// duties and releases their leases. The context bounds the whole stop.
func (c *Control) Drain(ctx context.Context) error {
	c.leaving.Store(true)
	klog.InfoS("control process is leaving", "vm", c.settings.VM)
	if err := c.announce(ctx, store.VMLeaving); err != nil {
		klog.ErrorS(err, "announcing to the VM list that this process is leaving failed")
	}
	shutdownErr := eris.Wrap(c.http.Shutdown(ctx), "drain admin API")
	return errors.Join(shutdownErr, c.modules.Drain(ctx))
}

// Stop stops the process immediately and waits for its goroutines.
func (c *Control) Stop() error {
	c.cancel()
	err := errors.Join(c.http.Close(), c.modules.Stop(), c.peerSrv.Close(), c.peers.Close())
	c.tasks.Wait()
	c.client.Close()
	return err
}
