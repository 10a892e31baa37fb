// Package edge assembles the process that runs on each entry VM: the HTTP servers, the
// relay, budgets, the views of configuration and upstreams, and the connections to
// peers.
package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/budget/allowance"
	"buckthornridge/buffers"
	"buckthornridge/connlimit"
	"buckthornridge/lag"
	"buckthornridge/origin"
	"buckthornridge/pause"
	"buckthornridge/peer"
	"buckthornridge/quarantine"
	"buckthornridge/reach"
	"buckthornridge/relay"
	"buckthornridge/routing"
	"buckthornridge/store"
	"buckthornridge/store/mirror"
	"buckthornridge/traffic"
	"buckthornridge/upstream"
	"buckthornridge/upstream/exchange"
)

// Limits of callers' connections, and the maintenance interval.
const (
	// callerKeepAlive is the idle time after which a caller's connection is probed; a
	// caller that acknowledges no probe is disconnected.
	callerKeepAlive     = 10 * time.Second
	maintenanceInterval = 200 * time.Millisecond
	// connectionShare is the part of an upstream's connections that all routers together
	// use at most.
	connectionShare = 0.9
	// maxConnectionParts is the largest number of parts that these connections are
	// divided into. In a large fleet a workspace's callers may all use one VM: of 83 VMs
	// one had a quarter of all requests. With a part of 1/83 it refused a fifth of its
	// plain calls for lack of connections, while each of the other VMs used two.
	maxConnectionParts = 10
)

// Adapter is the platform as the process uses it.
type Adapter struct {
	Table store.Table
	Feed  store.Feed
	Clock store.Clock
	// Era returns the newest era of the table that is known; 0 or nil if it tells none.
	Era func() int64
	// Traffic counts the bytes on the VM's link; nil counts nothing.
	Traffic *traffic.Meter
	// ConfigSegment and UpstreamSegment are the segments of the table with the
	// configuration and the upstreams.
	ConfigSegment   string
	UpstreamSegment string
	// Configuration decodes a row of ConfigSegment. It returns false for a row that is
	// not a configuration.
	Configuration func(key string, data []byte) (relay.Definition, bool, error)
	// Evacuation returns the data centre whose evacuation a row of ConfigSegment orders.
	// The order stands while the row exists. Nil: there are no such orders.
	Evacuation func(key string) (dataCentre string, ok bool)
	// Upstream decodes a row of UpstreamSegment.
	Upstream func(key string, data []byte) (relay.Upstream, error)
	Protocol Protocol
	// DialUpstream, if set, replaces the dialler of connections to upstreams, for tests
	// and fault injection.
	DialUpstream traffic.Dial
}

// Process is one entry process.
type Process struct {
	settings    Settings
	adapter     Adapter
	incarnation string

	catalogue   relay.CurrentCatalogue
	routes      *routing.Table
	fleet       *fleet
	manager     *allowance.Manager
	pool        *exchange.Pool
	paths       *reach.Tracker // the VM's own paths to upstreams
	forward     *forwarder     // sends through other VMs
	forwarded   *forwardServer // sends for other VMs
	guard       *quarantine.Guard
	peers       *peers
	gate        *traffic.Gate // whether the VM's link has capacity for new callers
	callerLink  *callerLink   // what callers get while the link is full; nil if its rate is not known
	notices     *notices      // nil without an address in the settings
	peerSrv     *peer.Server
	metrics     *metrics
	config      *follower
	upstreams   *follower
	quarantine  *follower
	lastOutage  atomicTime // when the table last was in an outage
	outageBegan atomicTime // when the last outage of the table began, roughly
	inOutage    atomic.Bool
	origins     *origins // where streams began
	versions    *origin.Log
	heldOrders  heldOrders
	// quarantineRenewal asks for the own record of crashes to be written again.
	quarantineRenewal chan struct{}

	callers       *http.Server
	ready         *http.Server
	metricsServer *http.Server
	stopping      atomic.Bool
	stop          *requestStop
	active        atomic.Int64
	delay         lag.Meter
	buffers       *buffers.Limit
	callerConns   *connlimit.Guard // callers' connections
	operatorConns *connlimit.Guard // those of health checks and of readers of metrics
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
}

// New returns a process with validated settings.
func New(s Settings, a Adapter) (*Process, error) {
	incarnation := make([]byte, 8)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, eris.Wrap(err, "generate incarnation")
	}
	p := &Process{
		settings: s, adapter: a, incarnation: hex.EncodeToString(incarnation),
		quarantineRenewal: make(chan struct{}, 1),
		routes:            routing.NewTable(), metrics: newMetrics(), peerSrv: peer.NewServer(),
	}
	p.stop = newRequestStop()
	p.buffers = buffers.NewLimit(bufferedBytes(s.MemoryBytes))
	p.callerConns, p.operatorConns = newConnGuards(s.MemoryBytes)
	p.gate, p.callerLink = traffic.NewGate(s.LinkMbit), newCallerLink(s.LinkMbit)
	if p.callerLink != nil {
		a.Traffic.SetLink(p.callerLink.state)
	}
	p.fleet = newFleet(a.Upstream, p.routes, p.lapseDeadline)
	p.pool = exchange.NewPool(p.maxConnections)
	if a.DialUpstream != nil {
		p.pool.Dial = a.DialUpstream
	}
	p.pool.Dial = a.Traffic.Dial(traffic.Upstreams, p.pool.Dial)
	p.peers = &peers{
		traffic: a.Traffic,
		self:    allowance.Peer{VM: s.VM, DataCentre: s.DataCentre, Strength: s.Strength},
		address: s.PeerListen, client: newPeerClient(a.Traffic), table: a.Table, feed: a.Feed,
		addresses: map[string]string{}, hostByVM: map[string]netip.Addr{}, seeds: s.Peers, rows: map[string]store.Row{},
		sharingCache: map[string]allowance.Sharing{},
	}
	p.fleet.routers = p.peers.members
	p.fleet.identity.question, p.fleet.identity.read = a.Protocol.ProcessQuestion, a.Protocol.ReadProcess
	p.fleet.identity.staleSince = p.listStaleSince
	p.origins = newOrigins(p.peers, p.fleet.history)
	p.origins.listIsCurrent = p.listIsCurrent
	p.versions = p.newVersionLog()
	p.origins.log.Read = func(ctx context.Context) error { _, err := p.versions.Learn(ctx); return err }
	p.origins.serve(p.peerSrv)
	p.paths = p.fleet.paths
	p.buildForwarding()
	prober := newControlledProber(upstream.Prober{Dial: p.pool.Dial}, p.paths, p.fleet)
	p.guard = quarantine.NewGuard(confirmingProber{own: prober, peers: p.peers})
	p.guard.Table().SetClock(a.Clock)
	p.guard.Table().SetElection(p.peers.elects)
	serveProbes(p.peerSrv, prober)
	p.manager = allowance.New(allowance.Options{
		Table: a.Table, Feed: a.Feed, Clock: a.Clock, VM: s.VM, Incarnation: p.incarnation, VMs: p.peers.count,
		Sharing:    p.peers.sharing,
		Era:        a.Era,
		Members:    p.peers.memberNames,
		LoanClient: p.peers, LinkBusy: func() bool { return !p.gate.Open() }, AnswerDelay: p.callerLink.answerDelay,
	})
	p.peers.serveBudgets(p.peerSrv, p.manager)
	wait := feedWaitOf(s.ConfigurationInForce.D())
	p.config = &follower{wait: wait, segment: a.ConfigSegment, feed: a.Feed, mirror: mirror.New(), apply: p.applyConfig, enterEra: p.heldOrders.enterEra}
	p.upstreams = &follower{wait: wait, segment: a.UpstreamSegment, feed: a.Feed, mirror: mirror.New(), apply: p.fleet.apply, enterEra: p.enterUpstreamEra}
	p.quarantine = &follower{wait: maxFeedWait, segment: quarantine.Segment, feed: a.Feed, mirror: mirror.New(), apply: p.guard.Table().ApplyChanges, enterEra: p.renewQuarantine}
	longWait := longFeedWaitOf(s.ConfigurationInForce.D())
	p.config.longWait, p.upstreams.longWait, p.quarantine.longWait = longWait, longWait, maxLongWait
	mirrors := map[string]*mirror.Mirror{
		a.ConfigSegment: p.config.mirror, a.UpstreamSegment: p.upstreams.mirror, quarantine.Segment: p.quarantine.mirror,
	}
	p.peers.serve(p.peerSrv, mirrors)
	serveVersions(p.peerSrv, mirrors)
	p.metrics.writeProcessMetrics = p.writeProcessMetrics
	return p, p.buildServers()
}

func (p *Process) buildServers() error {
	picker, err := routing.NewRouter(p.routes, routing.SessionPolicy)
	if err != nil {
		return err
	}
	served := &relay.Relay{
		Catalogue: &p.catalogue, Budgets: budgets{p.manager}, Picker: picker, Fleet: p.fleet,
		Sender: pathSender{
			direct:  sender{pool: p.pool, protocol: p.adapter.Protocol, tracker: p.paths, identity: p.fleet.identity, fleet: p.fleet, link: p.callerLink},
			tracker: p.paths, forward: p.forward,
		},
		RetryBudget: relay.NewRetryBudget(relay.RetryPolicy{
			Share: p.settings.RetryBudget.Share, Extra: p.settings.RetryBudget.Extra, Window: p.settings.RetryBudget.Window.D(),
		}),
		Guard: p.guard, Signals: p.fleet.signals(), Buffers: p.buffers,
		Origins: p.origins, Recorder: p.metrics, DataCentre: p.settings.DataCentre, Routers: p.peers.count,
		StopsAt: p.stop.stopsAt,
	}
	p.callers = &http.Server{
		Handler:        &callerHandler{protocol: p.adapter.Protocol, relay: served, catalogue: &p.catalogue, stopping: &p.stopping, active: &p.active, delay: &p.delay, buffers: p.buffers, link: p.callerLink},
		MaxHeaderBytes: unboundedHeaderBytes,
		BaseContext:    func(net.Listener) context.Context { return p.stop.requests },
		ConnContext:    withConn,
	}
	p.ready = &http.Server{Handler: http.HandlerFunc(p.serveReady), MaxHeaderBytes: unboundedHeaderBytes}
	p.metricsServer = &http.Server{Handler: p.metrics, MaxHeaderBytes: unboundedHeaderBytes}
	p.callerConns.Attach(p.callers)
	p.operatorConns.Attach(p.ready)
	p.operatorConns.Attach(p.metricsServer)
	return nil
}

// serveReady answers the load balancer's health check: whether to send callers here.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := p.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // the load balancer reads only the status
}

func (p *Process) notReadyReason() string {
	switch {
	case p.stopping.Load():
		return "stopping"
	case p.catalogue.Load() == nil:
		return "no configuration was seen yet"
	case len(*p.fleet.current.Load()) == 0:
		return "no upstream was seen yet"
	case !p.gate.Open(), p.callerLink.held():
		return "the link has no room for more callers"
	}
	return ""
}

// Start listens and starts all background tasks.
func (p *Process) Start(ctx context.Context) error {
	ctx, p.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for _, one := range []struct {
		address string
		kind    traffic.Kind
		guard   *connlimit.Guard
		serve   func(net.Listener) error
	}{
		{p.settings.Listen, traffic.Callers, p.callerConns, p.serveCallers},
		{p.settings.ReadyListen, traffic.Callers, p.operatorConns, p.ready.Serve},
		{p.settings.PeerListen, traffic.Peers, nil, p.peerSrv.Serve},
		{p.settings.MetricsListen, traffic.Callers, p.operatorConns, p.metricsServer.Serve},
	} {
		if one.address == "" {
			continue
		}
		if err := p.listen(ctx, one.address, one.kind, one.guard, one.serve); err != nil {
			return err
		}
	}
	if err := p.startNotices(ctx); err != nil {
		return err
	}
	for _, task := range []func(context.Context){
		p.config.run, p.upstreams.run, p.quarantine.run, p.publisher().Run, p.versions.Run, p.manager.Run, p.maintain, p.sweepConns, p.monitorLink, p.delay.Run,
		func(ctx context.Context) { p.peers.run(ctx, p.incarnation) },
		func(ctx context.Context) { p.peers.compareVersions(ctx, p.config, p.upstreams, p.quarantine) },
		func(ctx context.Context) { p.peers.pollPeers(ctx, p.config, peerInterval) },
		func(ctx context.Context) { p.peers.pollPeers(ctx, p.upstreams, peerInterval) },
		func(ctx context.Context) { p.peers.pollPeers(ctx, p.quarantine, quarantinePeerInterval) },
	} {
		p.tasks.Go(func() { task(ctx) })
	}
	klog.Infof("step=start vm=%s incarnation=%s callers=%s", p.settings.VM, p.incarnation, p.settings.Listen)
	return nil
}

// publisher returns the task that tells the other VMs which requests ended upstreams.
func (p *Process) publisher() *quarantine.Publisher {
	return &quarantine.Publisher{Rows: p.adapter.Table, Evidence: p.guard.Table(), Router: p.settings.VM, Routers: p.peers.count, Renew: p.quarantineRenewal}
}

// startNotices starts exchanging notices of long prompts with the other VMs.
func (p *Process) startNotices(ctx context.Context) error {
	if p.settings.NoticeListen == "" {
		return nil
	}
	local, err := netip.ParseAddrPort(p.settings.NoticeListen)
	if err != nil {
		return eris.Wrap(err, "parse notice address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return eris.Wrapf(err, "listen for notices on %s", p.settings.NoticeListen)
	}
	p.runNotices(ctx, conn, local.Port())
	return nil
}

// runNotices exchanges notices over a socket until the context ends.
func (p *Process) runNotices(ctx context.Context, conn noticeConn, port uint16) {
	n := newNotices(conn, port, p.settings.Strength, p.peers.hosts, p.noticeReceiver(), p.adapter.Traffic)
	p.notices = n
	p.routes.OnDispatch(n.notifyDispatch)
	p.routes.OnReplaced(n.notifyReplaced)
	p.routes.OnSlow(n.notifySlow)
	p.fleet.limiter.OnChange(n.notifyLimit)
	p.fleet.rejections.OnRejected(n.notifyRejection)
	p.origins.send = n.sendOrigin
	p.tasks.Go(func() { n.run(ctx) })
}

func (p *Process) noticeReceiver() noticeReceiver {
	return noticeReceiver{p.routes, p.fleet.limiter, p.fleet.rejections, p.origins}
}

// listen serves the connections to an address, within the bounds of a guard unless it is nil.
func (p *Process) listen(ctx context.Context, address string, kind traffic.Kind, guard *connlimit.Guard, serve func(net.Listener) error) error {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerKeepAlive, Interval: callerKeepAlive / 4, Count: 3}}
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	l = p.adapter.Traffic.Listener(kind, l)
	if guard != nil {
		l = guard.Listener(l)
	}
	go func() {
		if err := serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.Errorf("step=serve address=%s err=%q", address, err.Error())
		}
	}()
	return nil
}

// applyConfig activates a newer configuration, and orders to evacuate data centres. The
// orders come first: a process that has just started serves no request before it knows
// those that stand.
func (p *Process) applyConfig(changes []store.Change) {
	p.applyEvacuations(changes)
	for _, change := range changes {
		if change.Deleted {
			continue
		}
		d, found, err := p.adapter.Configuration(change.Key, change.Value)
		if err != nil {
			klog.Errorf("step=apply_configuration result=refused err=%q", err.Error())
			continue
		}
		if found {
			p.activate(relay.NewCatalogue(d))
		}
	}
}

func (p *Process) applyEvacuations(changes []store.Change) {
	if p.adapter.Evacuation == nil {
		return
	}
	orders := map[string]bool{}
	for _, change := range changes {
		if dataCentre, ok := p.adapter.Evacuation(change.Key); ok && !p.heldOrders.hold(dataCentre, !change.Deleted) {
			orders[dataCentre] = !change.Deleted
		}
	}
	if len(orders) > 0 {
		p.fleet.evacuate(orders)
	}
}

func (p *Process) activate(c *relay.Catalogue) {
	if !p.catalogue.Advance(c) {
		return
	}
	limits := map[string]int64{}
	for name, w := range c.Workspaces {
		if w.Prepaid >= 0 {
			limits[name] = w.Prepaid
		}
	}
	p.callerConns.SetLimits(connlimit.Limits{HeaderBytes: c.Limits.HeaderBytes, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout})
	p.fleet.setServices(c.Services)
	p.manager.SetLimits(limits)
	klog.Infof("step=apply_configuration version=%d workspaces=%d services=%d", c.Version, len(c.Workspaces), len(c.Services))
}

// maintain runs the periodic tasks until the context ends.
func (p *Process) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		p.watchTable()
		p.fleet.removeLapsed()
		if orders := p.heldOrders.ended(); len(orders) > 0 {
			p.fleet.evacuate(orders)
		}
		p.pool.Sweep()
		p.routes.SetRouters(p.peers.count())
		p.fleet.updateRouters()
		p.origins.records.Expire(time.Now())
		p.maintainPaths(ctx)
		_ = pause.For(ctx, maintenanceInterval)
	}
}

// watchTable records the beginning and the end of outages of the table.
func (p *Process) watchTable() {
	age, known := p.upstreams.sinceAnswer()
	if !known || age <= p.upstreams.currentWait()+outageThreshold {
		p.inOutage.Store(false)
		return
	}
	if !p.inOutage.Swap(true) {
		p.outageBegan.setEarlier(age)
	}
	p.lastOutage.set()
}

// listStaleSince returns since when the list of upstreams may be behind: in an outage of
// the table, and until the upstreams have written their entries again after it.
func (p *Process) listStaleSince() (time.Time, bool) {
	age, known := p.upstreams.sinceAnswer()
	if !known {
		return time.Time{}, true
	}
	if age > p.upstreams.currentWait()+outageThreshold {
		return time.Now().Add(-age), true
	}
	if age, any := p.lastOutage.elapsed(); !any || age > lapseHold {
		return time.Time{}, false
	}
	began, _ := p.outageBegan.elapsed()
	return time.Now().Add(-began), true
}

// listIsCurrent reports whether the list of upstreams is as the table had it two polls ago at
// the most.
func (p *Process) listIsCurrent() bool {
	age, known := p.upstreams.asOf.elapsed()
	return known && age <= 2*p.upstreams.currentWait()+peerPollDelay
}

// lapseDeadline returns the time until which a deleted entry may have lapsed in an
// outage of the table rather than been removed.
func (p *Process) lapseDeadline() time.Time {
	age, any := p.lastOutage.elapsed()
	if !any {
		return time.Time{}
	}
	return time.Now().Add(lapseHold - age)
}

// maxConnections returns how many connections this process may have to an address.
func (p *Process) maxConnections(address string) int {
	c := p.catalogue.Load()
	service := p.fleet.serviceAt(address)
	if c == nil || c.Services[service].Connections <= 0 {
		return exchange.DefaultConnections
	}
	all := connectionShare * float64(c.Services[service].Connections)
	return max(2, int(all/float64(min(p.peers.count(), maxConnectionParts))))
}
