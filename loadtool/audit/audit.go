// Package audit reconciles three accounts of one run: the results that callers
// observed, the platform's table, and the runs that engines and plain services
// report. A fault of the system shows up as a difference between them.
package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"buckthornridge/budget/ledger"
	"buckthornridge/loadtool/record"
	"buckthornridge/standin/engine"
	"buckthornridge/standin/service"
	"buckthornridge/store"
)

// Input holds the data that Run compares.
type Input struct {
	Results []*record.Result
	// Rows is a dump of the platform's table.
	Rows []store.Row
	// Runs and Executions are the reports of engines and plain services, by upstream
	// id.
	Runs       map[string]engine.RunReport
	Executions map[string]service.Report
	// Before is a dump of the table taken before the run.
	Before []store.Row
	// Purchased is the number of tokens that the load tool bought during the run.
	Purchased map[ledger.ID]int64
}

// Findings are the differences. Counts are of requests and responses; fields
// with Tokens in their name count tokens.
type Findings struct {
	OverspendTokens   int64
	LostTokens        map[ledger.Cause]int64
	BilledTokens      int64
	ConsumedTokens    int64 // as reported by engines and services
	UnaccountedTokens int64 // consumed, but neither billed, lost nor held
	BillsMissing      int
	BillsDouble       int
	RunsDouble        int
	NotRunButRan      int
	// NotRunAfterBroken counts requests that ran during a try that broke, and whose
	// last try was refused as "not_run" by a router that could not know of that run.
	NotRunAfterBroken  int
	AnswersWrong       int
	AnswersTruncated   int
	LedgerViolations   int
	RecordsOmitted     int64 // dropped by the stand-ins; the audit is complete only at 0
	UnfoldedSegments   int
	StaleSegments      int      // folded, restored by a late write, never removed
	Examples           []string // descriptions of differences, at most maxExamples
	consumedByBudget   map[ledger.ID]int64
	requestsByKey      map[requestKey]*record.Result
	executionsByResult map[requestKey][]service.Execution
}

type requestKey struct{ workspace, id string }

// maxExamples bounds Findings.Examples.
const maxExamples = 40

func (f *Findings) addExample(format string, args ...any) {
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// Run compares the accounts and returns the differences.
func Run(in Input) (*Findings, error) {
	f := &Findings{
		LostTokens:         map[ledger.Cause]int64{},
		consumedByBudget:   map[ledger.ID]int64{},
		requestsByKey:      map[requestKey]*record.Result{},
		executionsByResult: map[requestKey][]service.Execution{},
	}
	for _, r := range in.Results {
		f.requestsByKey[requestKey{r.Workspace, r.ID}] = r
	}
	state, err := readLedgerState(in.Rows)
	if err != nil {
		return nil, err
	}
	before, err := readLedgerState(in.Before)
	if err != nil {
		return nil, err
	}
	f.UnfoldedSegments, f.StaleSegments = state.unfoldedSegments, state.staleSegments
	f.checkResponses(in.Results)
	runs := f.sumEngineRuns(in)
	f.checkExecutions(in)
	f.checkNotRun(in.Results, runs)
	f.checkBudgets(in, state, before)
	f.checkBills(in.Results, state, before)
	return f, nil
}

func (f *Findings) checkResponses(results []*record.Result) {
	for _, r := range results {
		switch r.Fault {
		case record.Wrong:
			f.AnswersWrong++
			f.addExample("response to %s is wrong: %s", r.ID, r.Detail)
		case record.Truncated:
			f.AnswersTruncated++
			f.addExample("response to %s is truncated: %s", r.ID, r.Detail)
		}
	}
}

// sumEngineRuns sums the prompt tokens and the generated tokens that a router
// read, and returns the start times of each request's runs.
func (f *Findings) sumEngineRuns(in Input) map[requestKey][]time.Time {
	runs := map[requestKey][]time.Time{}
	for _, upstream := range sortedKeys(in.Runs) {
		report := in.Runs[upstream]
		f.RecordsOmitted += report.Omitted
		for _, run := range report.Runs {
			key, id := f.findBudget(run.StreamID, in)
			runs[key] = append(runs[key], time.UnixMilli(run.StartedUnixMS))
			if run.Generated == 0 {
				continue // the prompt was never prefilled
			}
			f.addConsumption(id, run.PromptTokens+run.Read)
		}
	}
	return runs
}

// findBudget parses the workspace and the request id from a stream id and
// returns the budget of the request. For a request that no caller made it
// returns a budget that was bought in the workspace, if there is one.
func (f *Findings) findBudget(streamID string, in Input) (requestKey, ledger.ID) {
	parts := strings.SplitN(streamID, "/", 3)
	key := requestKey{workspace: parts[0]}
	if len(parts) > 1 {
		key.id = parts[1]
	}
	if r := f.requestsByKey[key]; r != nil {
		return key, ledger.ID{Workspace: r.Workspace, Name: r.Budget}
	}
	for id := range in.Purchased {
		if id.Workspace == key.workspace {
			return key, id
		}
	}
	return key, ledger.ID{Workspace: key.workspace}
}

func (f *Findings) addConsumption(id ledger.ID, tokens int64) {
	f.consumedByBudget[id] += tokens
	f.ConsumedTokens += tokens
}

// checkExecutions counts the executions of each request. The price of a call is
// counted once, because a service is not paid per attempt.
func (f *Findings) checkExecutions(in Input) {
	byID := map[string]*record.Result{}
	for _, r := range in.Results {
		if r.Call != nil {
			byID[r.ID] = r
		}
	}
	for _, upstream := range sortedKeys(in.Executions) {
		report := in.Executions[upstream]
		f.RecordsOmitted += report.Omitted
		for _, e := range report.Executions {
			r := byID[e.RequestID]
			if r == nil {
				continue // from another caller
			}
			key := requestKey{r.Workspace, r.ID}
			f.executionsByResult[key] = append(f.executionsByResult[key], e)
		}
	}
	for key, executions := range f.executionsByResult {
		r := f.requestsByKey[key]
		f.addConsumption(ledger.ID{Workspace: r.Workspace, Name: r.Budget}, r.Call.Tokens)
		if !r.Call.Repeatable && len(executions) > 1 {
			f.RunsDouble++
			f.addExample("at-most-once call %s ran %d times", r.ID, len(executions))
		}
	}
}

// checkNotRun finds requests whose caller got run_state "not_run" although they
// ran. A run contradicts the response if it started before the caller's next
// try. If an earlier try ended otherwise, it explains any run: the router that
// responded later can't know of it, so these cases are counted separately. No
// try explains "not_run" at the end of a response that had started.
func (f *Findings) checkNotRun(results []*record.Result, runs map[requestKey][]time.Time) {
	for _, r := range results {
		key := requestKey{r.Workspace, r.ID}
		startTimes := slices.Clone(runs[key])
		for _, e := range f.executionsByResult[key] {
			startTimes = append(startTimes, time.UnixMilli(e.StartedUnixMS))
		}
		until, reported := notRunDeadline(r)
		switch {
		case slices.ContainsFunc(r.Tries, notRunAfterStart):
			f.NotRunButRan++
			f.addExample("request %s got run_state not_run after part of its response", r.ID)
		case reported && slices.ContainsFunc(startTimes, until.includes):
			f.NotRunButRan++
			f.addExample("request %s got run_state not_run but ran", r.ID)
		case !reported && len(startTimes) > 0 && r.Last().RunState == record.NotRun:
			f.NotRunAfterBroken++
			f.addExample("request %s ran during a try that broke, and a later try got run_state not_run", r.ID)
		}
	}
}

func notRunAfterStart(t record.Try) bool { return t.ResponseStarted && t.RunState == record.NotRun }

// bound is an upper limit in time; never means that there is none.
type bound struct {
	at    time.Time
	never bool
}

// includes reports whether t is before the bound. Records of runs are in whole
// milliseconds, rounded down, so a run within the bound's own millisecond may
// belong to the next try and is not counted.
func (b bound) includes(t time.Time) bool {
	return b.never || t.UnixMilli() < b.at.UnixMilli()
}

// notRunDeadline returns the time until which the caller relied on "not_run":
// when it sent the first try after such responses, or never if it sent none.
// reported is false if the first try that reached a router did not get it.
func notRunDeadline(r *record.Result) (until bound, reported bool) {
	for _, t := range r.Tries {
		switch {
		case t.Ending == record.NotReached:
			continue
		case t.RunState == record.NotRun:
			reported = true
			until = bound{never: true}
			continue
		}
		if reported {
			until = bound{at: t.Sent}
		}
		return until, reported
	}
	return until, reported
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
