package run

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/admin"
	"buckthornridge/budget/ledger"
	"buckthornridge/config"
	"buckthornridge/loadtool/audit"
	"buckthornridge/loadtool/caller"
	"buckthornridge/loadtool/fault"
	"buckthornridge/loadtool/oracle"
	"buckthornridge/loadtool/record"
	"buckthornridge/loadtool/report"
	"buckthornridge/loadtool/scenario"
	"buckthornridge/loadtool/workload"
	"buckthornridge/standin/engine"
	"buckthornridge/standin/node"
	"buckthornridge/standin/service"
	"buckthornridge/store"
)

// Options configures one run.
type Options struct {
	Settings Settings
	Scenario scenario.Scenario
	Seed     uint64
	// Prefix is the prefix of all request and payment IDs. Repeated runs against
	// the same fleet need different prefixes.
	Prefix string
	// SettleTimeout bounds the wait after the last response until all bills are
	// recorded and folded; 0 selects the default.
	SettleTimeout time.Duration
	// Tries is the maximum number of attempts per request; 0 selects the default.
	Tries int
	// Progress receives progress lines.
	Progress func(line string)
}

// Limits and intervals of a run.
const (
	defaultTries         = 8
	startDelay           = 500 * time.Millisecond // before the first arrival
	progressInterval     = 2 * time.Second
	defaultSettleTimeout = 15 * time.Second
	settleInterval       = 300 * time.Millisecond
	minPurchase          = 2000 // tokens
)

// experiment is a run in progress.
type experiment struct {
	Options
	fleet          *fleet
	arrivals       []record.Arrival
	poisonIDs      map[string]bool     // requests that crash upstreams
	plannedSpend   map[ledger.ID]int64 // cost of all responses
	startTime      time.Time
	caller         *caller.Caller
	balancer       *caller.ReadinessBalancer
	operators      *operatorRace
	versionTracker *versionTracker

	initialRows     []store.Row
	initialUsage    map[string]usage
	initialCounters store.Counters

	mu           sync.Mutex // guards the fields below
	purchases    []oracle.Purchase
	faults       []fault.Done
	faultErrors  []string
	results      []*record.Result
	spend        []report.Point
	longestPause time.Duration
	// Records of killed upstreams, read just before each kill.
	savedRuns       map[string][]engine.Run
	savedExecutions map[string][]service.Execution
	savedCrashes    []node.Crash
}

// Do runs a scenario and evaluates it.
func Do(ctx context.Context, o Options) (*report.Report, error) {
	f, err := newFleet(ctx, o.Settings)
	if err != nil {
		return nil, err
	}
	defer f.client.CloseIdleConnections()
	e := &experiment{
		Options: o, fleet: f, plannedSpend: map[ledger.ID]int64{}, poisonIDs: map[string]bool{}, operators: newOperatorRace(f), versionTracker: newVersionTracker(),
		savedRuns: map[string][]engine.Run{}, savedExecutions: map[string][]service.Execution{},
	}
	if err := e.prepare(ctx); err != nil {
		return nil, err
	}
	e.run(ctx)
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrap(err, "interrupted")
	}
	return e.evaluate(ctx)
}

// prepare plans the arrivals and buys the initial tokens of the scenario.
func (e *experiment) prepare(ctx context.Context) error {
	d := e.fleet.document
	mix := scenario.Mix(d.Fleet.Name)
	if mix == nil {
		return eris.Errorf("no request mix is defined for fleet %q", d.Fleet.Name)
	}
	shares := map[string]float64{}
	for name, w := range d.Workspaces {
		if _, known := e.Settings.Keys[name]; known {
			shares[name] = max(w.Share, 1)
		}
	}
	plan := workload.Plan{
		Prefix: e.Prefix, Seed: e.Seed, Rate: e.Scenario.Rate, Duration: e.Scenario.Duration, Shares: shares, Mix: mix,
	}
	e.arrivals = workload.Arrivals(plan, d)
	if e.Scenario.Poison != nil {
		poison := workload.PoisonArrivals(plan, *e.Scenario.Poison, d)
		for _, a := range poison {
			e.poisonIDs[a.ID] = true
		}
		e.arrivals = workload.Merge(e.arrivals, poison)
		if e.Scenario.Poison.Part {
			e.arrivals = workload.Merge(e.arrivals, workload.SoundTwins(plan, *e.Scenario.Poison, d))
		}
	}
	if e.Scenario.Popular {
		e.arrivals = workload.Merge(e.arrivals, workload.PopularArrivals(plan, d))
	}
	for _, a := range e.arrivals {
		e.plannedSpend[ledger.ID{Workspace: a.Workspace, Name: a.Budget}] += a.Spend()
	}
	var err error
	if e.initialRows, err = e.fleet.readTable(ctx, ""); err != nil {
		return err
	}
	if err := e.slowEngines(ctx); err != nil {
		return err
	}
	return e.purchase(ctx, e.Scenario.InitialFunding, "first")
}

func (e *experiment) slowEngines(ctx context.Context) error {
	if e.Scenario.SlowEngines == 0 {
		return nil
	}
	x := e.newExecutor(nil)
	for _, id := range e.fleet.upstreamIDs(config.UpstreamEngine) {
		body := fmt.Sprintf(`{"slow_factor": %g}`, e.Scenario.SlowEngines)
		if err := x.Do(ctx, fault.Fault{Kind: fault.Upstream, Target: id, Body: body}); err != nil {
			return err
		}
	}
	return nil
}

// purchase buys a share of the planned spend for every budget through the
// administration API.
func (e *experiment) purchase(ctx context.Context, share float64, payment string) error {
	for id, planned := range e.plannedSpend {
		tokens := max(int64(share*float64(planned)), minPurchase)
		request := admin.TopUpRequest{ID: e.Prefix + "-" + payment, Tokens: tokens}
		reply, err := e.fleet.api(0).TopUp(ctx, id, request)
		if err != nil {
			return eris.Wrapf(err, "top up %s", id)
		}
		if !reply.Applied {
			return eris.Errorf("top-up %s of %s was already applied by an earlier run; use a different prefix", request.ID, id)
		}
		e.mu.Lock()
		e.purchases = append(e.purchases, oracle.Purchase{Workspace: id.Workspace, Budget: id.Name, At: time.Now(), Tokens: tokens})
		e.mu.Unlock()
	}
	return nil
}

func (e *experiment) newExecutor(requests *os.File) *fault.Executor {
	x := &fault.Executor{
		PlatformAddress: e.Settings.Platform,
		Upstreams:       map[string]string{},
		Resolve:         e.fleet.resolveTarget,
		Client:          &http.Client{Timeout: debugTimeout},
		TopUp: func(ctx context.Context, share float64) error {
			return e.purchase(ctx, share, fmt.Sprintf("later-%d", time.Now().UnixMilli()))
		},
	}
	for id, u := range e.fleet.document.Upstreams {
		x.Upstreams[id] = u.Address
	}
	if requests != nil {
		x.Requests = requests
	}
	return x
}

// run sends all requests and injects all faults.
func (e *experiment) run(ctx context.Context) {
	e.startTime = time.Now().Add(startDelay)
	e.caller = caller.New(e.callerOptions(), e.startTime)
	defer e.caller.Close()
	e.initialUsage = readUsages(e.Settings.VMs)
	e.initialCounters, _ = e.fleet.readCounters(ctx) // an error is reported when the counters are read again at the end

	backgroundCtx, stopBackground := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { e.balancer.Run(backgroundCtx) })
	group.Go(func() { e.versionTracker.watch(backgroundCtx, e.fleet) })
	group.Go(func() { e.reportProgress(backgroundCtx) })
	group.Go(func() { e.watchPauses(backgroundCtx) })
	faultCtx, stopFaults := context.WithCancel(ctx)
	var injection sync.WaitGroup
	injection.Go(func() { e.injectFaults(faultCtx) })
	e.startOperators(faultCtx, &injection)

	e.sendRequests(ctx)
	time.Sleep(time.Until(e.startTime.Add(e.Scenario.Duration)))
	stopFaults()
	injection.Wait()
	e.settle(ctx)
	stopBackground()
	group.Wait()
}

func (e *experiment) startOperators(ctx context.Context, group *sync.WaitGroup) {
	if !e.Scenario.Operators {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, e.startTime.Add(e.Scenario.Duration))
	group.Go(func() {
		defer cancel()
		e.operators.run(ctx, e.Prefix)
	})
}

func (e *experiment) injectFaults(ctx context.Context) {
	var requests *os.File
	if e.Settings.Requests != "" {
		// Opening the pipe for reading and writing does not block while it has no reader.
		file, err := os.OpenFile(e.Settings.Requests, os.O_RDWR, 0)
		if err != nil {
			e.recordFault(fault.Done{}, err)
			return
		}
		defer file.Close()
		requests = file
	}
	x := e.newExecutor(requests)
	x.Before = e.saveUpstreamRecords
	defer x.Client.CloseIdleConnections()
	x.Run(ctx, e.startTime, e.Scenario.Faults, e.recordFault)
}

// recordFault records an injected fault, or the error that prevented it.
func (e *experiment) recordFault(d fault.Done, err error) {
	e.mu.Lock()
	e.faults = append(e.faults, d)
	if err != nil {
		e.faultErrors = append(e.faultErrors, err.Error())
	}
	e.mu.Unlock()
	e.logProgress("fault: %s", d.Fault)
	if err != nil {
		e.logProgress("fault injection failed: %v", err)
	}
}

func (e *experiment) logProgress(format string, args ...any) {
	e.Progress(fmt.Sprintf("%6.1fs  ", time.Since(e.startTime).Seconds()) + fmt.Sprintf(format, args...))
}

// sendRequests sends every request at its planned time, regardless of the outcome
// of other requests.
func (e *experiment) sendRequests(ctx context.Context) {
	var group sync.WaitGroup
	for _, a := range e.arrivals {
		time.Sleep(time.Until(e.startTime.Add(a.At)))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			result := e.caller.Run(ctx, a)
			e.mu.Lock()
			defer e.mu.Unlock()
			e.results = append(e.results, result)
		})
	}
	group.Wait()
}

// settle waits until the bills of all responses are in the table and folded, so
// that the accounts can be compared. After the timeout the run is evaluated as
// it is.
func (e *experiment) settle(ctx context.Context) {
	limit := cmp.Or(e.SettleTimeout, defaultSettleTimeout)
	end := time.Now().Add(limit)
	for time.Now().Before(end) && ctx.Err() == nil {
		findings, err := e.audit(ctx)
		if err == nil && findings.UnfoldedSegments == 0 && findings.BillsMissing == 0 {
			return
		}
		time.Sleep(settleInterval)
	}
	e.logProgress("some bills are not folded %s after the last response", limit)
}

// audit compares the accounts in their current state.
func (e *experiment) audit(ctx context.Context) (*audit.Findings, error) {
	in, err := e.auditInput(ctx)
	if err != nil {
		return nil, err
	}
	return audit.Run(in)
}
