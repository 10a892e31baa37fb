package run

import (
	"cmp"
	"context"
	"time"

	"buckthornridge/budget/ledger"
	"buckthornridge/config"
	"buckthornridge/loadtool/audit"
	"buckthornridge/loadtool/caller"
	"buckthornridge/loadtool/fault"
	"buckthornridge/loadtool/report"
	"buckthornridge/standin/engine"
	"buckthornridge/standin/node"
	"buckthornridge/standin/service"
)

func (e *experiment) callerOptions() caller.Options {
	deadlines := map[string]time.Duration{}
	for name, kind := range e.fleet.document.Kinds {
		deadlines[name] = time.Duration(kind.DeadlineMS) * time.Millisecond
	}
	var routers []caller.Router
	var admin []string
	for _, vm := range e.Settings.VMs {
		routers = append(routers, caller.Router{VM: vm.ID, Address: vm.Router})
		admin = append(admin, vm.RouterAdmin)
	}
	e.balancer = caller.NewReadinessBalancer(routers, admin)
	return caller.Options{
		Balancer:  e.balancer,
		Keys:      e.Settings.Keys,
		Deadlines: deadlines,
		Tries:     cmp.Or(e.Tries, defaultTries),
	}
}

// saveUpstreamRecords reads the records of an upstream before it is killed, because
// the kill loses them. Work between the read and the kill is not recorded.
func (e *experiment) saveUpstreamRecords(ctx context.Context, f fault.Fault) {
	if f.Kind != fault.Process || f.Verb != fault.Kill {
		return
	}
	if u, known := e.fleet.document.Upstreams[f.Target]; known {
		var crashes []node.Crash
		if err := e.fleet.getJSON(ctx, u.Address, node.PathCrashes, &crashes); err == nil {
			e.mu.Lock()
			e.savedCrashes = append(e.savedCrashes, crashes...)
			e.mu.Unlock()
		}
	}
	switch e.fleet.document.Upstreams[f.Target].Kind {
	case config.UpstreamEngine:
		if runs, err := e.fleet.readRuns(ctx, f.Target); err == nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.savedRuns[f.Target] = append(e.savedRuns[f.Target], runs.Runs...)
		}
	case config.UpstreamService:
		if executions, err := e.fleet.readExecutions(ctx, f.Target); err == nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.savedExecutions[f.Target] = append(e.savedExecutions[f.Target], executions.Executions...)
		}
	}
}

// auditInput collects the table rows and the upstreams' records. An upstream that
// can't be read, because it was killed, has only the records saved before the kill.
func (e *experiment) auditInput(ctx context.Context) (audit.Input, error) {
	rows, err := e.fleet.readTable(ctx, "")
	if err != nil {
		return audit.Input{}, err
	}
	in := audit.Input{
		Rows:       rows,
		Before:     e.initialRows,
		Runs:       map[string]engine.RunReport{},
		Executions: map[string]service.Report{},
		Purchased:  map[ledger.ID]int64{},
	}
	for _, id := range e.fleet.upstreamIDs(config.UpstreamEngine) {
		if runs, err := e.fleet.readRuns(ctx, id); err == nil {
			in.Runs[id] = runs
		}
	}
	for _, id := range e.fleet.upstreamIDs(config.UpstreamService) {
		if executions, err := e.fleet.readExecutions(ctx, id); err == nil {
			in.Executions[id] = executions
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, saved := range e.savedRuns {
		report := in.Runs[id]
		report.Runs = append(report.Runs, saved...)
		in.Runs[id] = report
	}
	for id, saved := range e.savedExecutions {
		report := in.Executions[id]
		report.Executions = append(report.Executions, saved...)
		in.Executions[id] = report
	}
	in.Results = append(in.Results, e.results...)
	for _, p := range e.purchases {
		in.Purchased[ledger.ID{Workspace: p.Workspace, Name: p.Budget}] += p.Tokens
	}
	return in, nil
}

// reportProgress samples the budgets and logs a progress line at each interval.
func (e *experiment) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		point, err := e.sampleBudgets(ctx)
		if err != nil {
			continue
		}
		e.mu.Lock()
		e.spend = append(e.spend, point)
		done, completed := len(e.results), 0
		for _, r := range e.results {
			if r.Completed {
				completed++
			}
		}
		e.mu.Unlock()
		e.logProgress("%d of %d requests finished, %d complete, %d open; billed %d, held %d, lost %d of %d tokens",
			done, len(e.arrivals), completed, e.caller.Open.Load(), point.Billed, point.Held, point.Lost, point.Purchased)
	}
}

// watchPauses records the longest time during which the tool itself was not
// scheduled. If the machine pauses, the measured times of the run are invalid and
// many requests time out at once.
func (e *experiment) watchPauses(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for before := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		e.mu.Lock()
		e.longestPause = max(e.longestPause, now.Sub(before)-pauseCheckInterval)
		e.mu.Unlock()
		before = now
	}
}

const pauseCheckInterval = 50 * time.Millisecond

// sampleBudgets sums the tokens of all budget rows.
func (e *experiment) sampleBudgets(ctx context.Context) (report.Point, error) {
	p := report.Point{Second: time.Since(e.startTime).Seconds()}
	rows, err := e.fleet.readTable(ctx, ledger.BudgetPrefix)
	if err != nil {
		return p, err
	}
	for _, row := range rows {
		var b ledger.Budget
		if err := ledger.Decode(row.Key, row.Value, &b); err != nil {
			return p, err
		}
		p.Purchased += b.Purchased
		p.Billed += b.Billed
		p.Held += b.HeldTokens()
		p.Lost += b.LostTokens()
	}
	return p, nil
}
