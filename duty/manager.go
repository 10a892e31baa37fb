package duty

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/config"
	"buckthornridge/peer"
	"buckthornridge/store"
)

// DefaultTTL is the time without a renewal after which a lease may be taken over.
// Each process reads all leases in one call every third of it: at 15 s and with
// 340 VMs, 68 reads per second.
const DefaultTTL = 15 * time.Second

// Fractions of the TTL.
const (
	ticksPerTTL  = 3
	holdFraction = 5.0 / 6 // the holder stops after this fraction of the TTL
	tickJitter   = 0.2     // ticks vary by this fraction in both directions
	callsPerTick = 4       // a call times out after a tick divided by this
)

// Options configures a Manager.
type Options struct {
	// Holder identifies this process and its incarnation in lease rows.
	Holder   string
	Duties   map[string]Duty
	Platform store.Services
	// Peers calls the other processes of the fleet.
	Peers peer.Caller
	// Owns reports whether a key of a sharded duty is assigned to this process;
	// nil assigns all keys.
	Owns   func(key string) bool
	Store  *config.Store
	Config *config.SnapshotHolder
	TTL    time.Duration // 0 for DefaultTTL
}

// Manager acquires the leases of duties and runs the duties whose leases it holds.
type Manager struct {
	Counters Counters
	options  Options
	leases   []*lease
	keys     []string

	run       context.Context // cancelled by Stop
	stop      context.CancelFunc
	drained   chan struct{}
	drainOnce sync.Once
	wg        sync.WaitGroup
}

// Counters counts the actions of a Manager, by duty.
type Counters struct {
	Held        expvar.Map // 1 while the lease is held here
	Takeovers   expvar.Map
	Expirations expvar.Map // leases that expired here before their renewal
	Passes      expvar.Map
	Failures    expvar.Map // passes that returned an error
	Errors      expvar.Int // failed table calls
}

// Map returns the counters under their published names.
func (c *Counters) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("held", &c.Held)
	m.Set("takeovers", &c.Takeovers)
	m.Set("lapses", &c.Expirations)
	m.Set("passes", &c.Passes)
	m.Set("failures", &c.Failures)
	m.Set("errors", &c.Errors)
	return m
}

// NewManager returns a manager that is idle until Start.
func NewManager(options Options) *Manager {
	if options.TTL == 0 {
		options.TTL = DefaultTTL
	}
	m := &Manager{options: options, drained: make(chan struct{})}
	if options.Owns == nil {
		options.Owns = func(string) bool { return true }
	}
	m.options = options
	for name, duty := range options.Duties {
		if _, sharded := duty.(Sharded); sharded {
			continue
		}
		l := &lease{name: name, duty: duty}
		m.leases = append(m.leases, l)
		m.keys = append(m.keys, l.key())
	}
	m.run, m.stop = context.WithCancel(context.Background())
	return m
}

// Start implements kernel.Starter.
func (m *Manager) Start(context.Context) error {
	m.wg.Add(1)
	go m.loop()
	m.startSharded()
	return nil
}

// startSharded starts the sharded duties, which run until Drain or Stop.
func (m *Manager) startSharded() {
	ctx, cancel := context.WithCancel(m.run)
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		defer cancel()
		select {
		case <-m.drained:
		case <-ctx.Done():
		}
	}()
	for name, duty := range m.options.Duties {
		if _, sharded := duty.(Sharded); sharded {
			m.wg.Add(1)
			go m.runPasses(ctx, name, duty, 0, make(chan struct{}))
		}
	}
}

// Drain implements kernel.Drainer: it stops the duties and releases the leases, so
// that other processes need not wait for their expiry.
func (m *Manager) Drain(ctx context.Context) error {
	m.drainOnce.Do(func() { close(m.drained) })
	done := make(chan struct{})
	go func() {
		m.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "drain duties")
	}
}

// Stop implements kernel.Stopper. Leases that Drain did not release expire.
func (m *Manager) Stop() error {
	m.stop()
	m.wg.Wait()
	return nil
}

func (m *Manager) loop() {
	defer m.wg.Done()
	for {
		m.tick()
		spread := 1 + tickJitter*(2*rand.Float64()-1)
		timer := time.NewTimer(time.Duration(spread * float64(m.options.TTL/ticksPerTTL)))
		select {
		case <-timer.C:
			continue
		case <-m.drained:
			timer.Stop()
			m.release()
		case <-m.run.Done():
			timer.Stop()
			m.dropAll("stopped")
		}
		return
	}
}

func (m *Manager) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(m.run, m.options.TTL/ticksPerTTL/callsPerTick)
}

// tick reads all leases, renews those held here and acquires the available ones.
func (m *Manager) tick() {
	for _, l := range m.leases {
		if l.worker != nil && l.worker.expired() {
			m.Counters.Expirations.Add(l.name, 1)
			m.drop(l, "not renewed in time")
		}
	}
	ctx, cancel := m.callContext()
	rows, err := m.options.Platform.Table.Read(ctx, m.keys...)
	cancel()
	if err != nil {
		m.Counters.Errors.Add(1)
		return
	}
	now := time.Now()
	for i, l := range m.leases {
		if err := l.observe(rows[i], now); err != nil {
			m.Counters.Errors.Add(1)
			continue
		}
		if l.worker != nil && l.row.Holder != m.options.Holder {
			m.drop(l, "taken over by "+l.row.Holder)
		}
		if row, due := l.nextRow(m.options.Holder, m.options.TTL, now); due {
			m.renewOrAcquire(l, row)
		}
	}
}

// renewOrAcquire writes the row of a lease. The hold time counts from before the
// commit is sent: other processes read the row later, so they take over later.
func (m *Manager) renewOrAcquire(l *lease, row leaseRow) {
	sent := time.Now()
	ctx, cancel := m.callContext()
	err := l.write(ctx, m.options.Platform.Table, row)
	cancel()
	if err != nil {
		if isConflict(err) {
			m.drop(l, "another process changed the lease first")
		}
		m.Counters.Errors.Add(1)
		return
	}
	holdTime := time.Until(sent.Add(time.Duration(holdFraction * float64(m.options.TTL))))
	if l.worker == nil {
		m.startWorker(l, holdTime)
		return
	}
	l.worker.expiry.Reset(holdTime)
}

func (m *Manager) startWorker(l *lease, holdTime time.Duration) {
	klog.InfoS("lease acquired, running duty", "duty", l.name, "fence", l.row.Fence)
	m.Counters.Takeovers.Add(l.name, 1)
	m.Counters.Held.Add(l.name, 1)
	ctx, cancel := context.WithCancel(m.run)
	l.worker = &passWorker{cancel: cancel, expiry: time.AfterFunc(holdTime, cancel), done: make(chan struct{})}
	m.wg.Add(1)
	go m.runPasses(ctx, l.name, l.duty, l.row.Fence, l.worker.done)
}

// runPasses makes passes until the context is cancelled, as it is when the lease is
// lost.
func (m *Manager) runPasses(ctx context.Context, name string, duty Duty, fence uint64, done chan struct{}) {
	defer m.wg.Done()
	defer close(done)
	wasFailing := false
	for ctx.Err() == nil {
		env := Env{Platform: m.options.Platform, Peers: m.options.Peers, Store: m.options.Store, Config: m.options.Config.Load(), Fence: fence, Owns: m.options.Owns}
		m.Counters.Passes.Add(name, 1)
		err := duty.Run(ctx, env)
		if ctx.Err() != nil {
			return // an error after the cancellation is not a failure of the duty
		}
		wasFailing = m.recordResult(name, err, wasFailing)
		select {
		case <-ctx.Done():
		case <-time.After(duty.Interval()):
		}
	}
}

// recordResult counts a failed pass, and logs the first failure and the recovery.
func (m *Manager) recordResult(name string, err error, wasFailing bool) bool {
	switch {
	case err != nil && !wasFailing:
		klog.ErrorS(err, "duty pass failed", "duty", name)
	case err == nil && wasFailing:
		klog.InfoS("duty recovered", "duty", name)
	}
	if err != nil {
		m.Counters.Failures.Add(name, 1)
	}
	return err != nil
}

func (m *Manager) drop(l *lease, reason string) {
	if l.worker != nil {
		m.Counters.Held.Add(l.name, -1)
	}
	l.drop(reason)
}

func (m *Manager) dropAll(reason string) {
	for _, l := range m.leases {
		m.drop(l, reason)
	}
}

// release releases the held leases, each after its last pass has ended.
func (m *Manager) release() {
	for _, l := range m.leases {
		if l.worker == nil {
			continue
		}
		m.drop(l, "planned stop")
		ctx, cancel := m.callContext()
		if l.write(ctx, m.options.Platform.Table, leaseRow{Fence: l.row.Fence}) != nil {
			m.Counters.Errors.Add(1)
		}
		cancel()
	}
}
