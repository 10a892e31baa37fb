package run

import (
	"context"
	"fmt"
	"time"

	"buckthornridge/loadtool/audit"
	"buckthornridge/loadtool/oracle"
	"buckthornridge/loadtool/record"
	"buckthornridge/loadtool/report"
)

// evaluate checks the invariants of a run and compares its results with those of
// an ideal system.
func (e *experiment) evaluate(ctx context.Context) (*report.Report, error) {
	in, err := e.auditInput(ctx)
	if err != nil {
		return nil, err
	}
	findings, err := audit.Run(in)
	if err != nil {
		return nil, err
	}
	span := e.span()
	r := &report.Report{
		Scenario: e.Scenario.Name, Seed: e.Seed, Fleet: e.fleet.document.Fleet.Name, VMs: len(e.Settings.VMs),
		Seconds: span.Seconds(), Rate: e.Scenario.Rate, Requests: len(e.arrivals),
		Faults: e.faults, FaultErrors: append(e.faultErrors, e.operators.errors...), Spend: e.spend,
		ToolPaused: e.longestPause.Seconds(),
	}
	e.evaluateAccounting(r, findings)
	e.evaluateResponses(r)
	e.evaluateAgainstOracle(r, span)
	e.evaluateOperations(ctx, r, in)
	e.evaluateResourceUse(ctx, r)
	e.evaluatePoison(ctx, r)
	e.evaluateLimits(ctx, r)
	e.evaluateSays(ctx, r)
	r.Evaluate()
	return r, nil
}

// span is the time from the start of the run to the last response, and at least
// the duration of the arrivals.
func (e *experiment) span() time.Duration {
	longest := e.Scenario.Duration
	for _, r := range e.results {
		longest = max(longest, r.Last().Ended.Sub(e.startTime))
	}
	return longest
}

func (e *experiment) evaluateAccounting(r *report.Report, f *audit.Findings) {
	r.OverspendTokens = f.OverspendTokens
	r.BilledTokens, r.ConsumedTokens, r.UnaccountedTokens = f.BilledTokens, f.ConsumedTokens, f.UnaccountedTokens
	r.LostTokens = map[string]int64{}
	var lost int64
	for cause, tokens := range f.LostTokens {
		r.LostTokens[string(cause)] = tokens
		lost += tokens
	}
	if spent := f.BilledTokens + lost; spent > 0 {
		r.LostShare = float64(lost) / float64(spent)
	}
	r.BillsMissing, r.BillsDouble = f.BillsMissing, f.BillsDouble
	r.RunsDoubleNonrepeatable, r.NotRunButRan, r.NotRunAfterBroken = f.RunsDouble, f.NotRunButRan, f.NotRunAfterBroken
	r.AnswersWrong, r.AnswersTruncated = f.AnswersWrong, f.AnswersTruncated
	r.LedgerViolations, r.RecordsOmitted = f.LedgerViolations, f.RecordsOmitted
	r.UnfoldedSegments, r.StaleSegments = f.UnfoldedSegments, f.StaleSegments
	r.Examples = f.Examples
}

func (e *experiment) evaluateResponses(r *report.Report) {
	first, gaps := report.NewHistogram(), report.NewHistogram()
	r.Refusals, r.Problems = map[string]int{}, map[string]int{}
	for _, result := range e.results {
		r.Tries += len(result.Tries)
		if result.Completed {
			r.Completed++
		} else if result.Last().Ending != record.Refused {
			r.Unanswered++
		}
		for _, t := range result.Tries {
			switch {
			case t.Ending == record.Complete:
			case t.Ending == record.Refused && t.RunState == record.NotRun:
				r.Refusals[t.Problem]++
			case t.Problem != "":
				r.Examples = append(r.Examples, fmt.Sprintf("%s by %s at %.1f s: %s %s %s %s",
					result.ID, t.VM, t.Ended.Sub(e.startTime).Seconds(), t.Ending, t.Problem, t.RunState, result.Kind))
				r.Problems[string(t.Ending)+" "+t.Problem+" "+t.RunState]++
			default:
				r.Problems[string(t.Ending)]++
			}
		}
		if result.Completed && result.ModelRequest != nil && result.ModelRequest.Stream {
			first.Add(result.FirstToken)
		}
		for _, gap := range result.Gaps {
			gaps.Add(gap)
		}
	}
	r.TTFT, r.ITL = first.Times(), gaps.Times()
}

func (e *experiment) evaluateAgainstOracle(r *report.Report, span time.Duration) {
	ceilings := oracle.EvaluateRefusals(e.results, e.purchases, e.startTime, oracle.Ceilings)
	lengths := oracle.EvaluateRefusals(e.results, e.purchases, e.startTime, oracle.Lengths)
	r.BudgetAsked, r.FalseRefusalsFinal, r.PerfectGrants = ceilings.Asked, ceilings.Final, ceilings.Grants
	r.FalseRefusals, r.FalseRefusalRate = ceilings.False, ceilings.Rate()
	r.FalseRefusalsClairvoyant, r.FalseRefusalRateClairvoyant = lengths.False, lengths.Rate()
	slow := max(e.Scenario.SlowEngines, 1)
	goodput := oracle.EvaluateGoodput(e.results, e.purchases, e.fleet.document, slow, span)
	r.Goodput, r.GoodputInTime, r.GoodputPossible = goodput.Share(), goodput.InTime, goodput.Possible
}

func (e *experiment) evaluateOperations(ctx context.Context, r *report.Report, in audit.Input) {
	r.DrainCutRequests = audit.DrainCut(e.results, e.faults)
	r.WorkAfterLeaving = audit.AfterLeaving(in, e.faults).Seconds()
	r.ConfigInForce = e.versionTracker.slowestPropagation(e.operators.accepted, e.Settings.VMs).Seconds()
	r.ConfigVersions, r.ConfigConflicts = len(e.operators.accepted), e.operators.conflicts
	r.ConfigReverts = len(e.versionTracker.reverts)
	r.Examples = append(r.Examples, e.versionTracker.reverts...)
	final, err := e.fleet.api(0).Config(ctx, 0)
	if err != nil {
		r.FaultErrors = append(r.FaultErrors, "read the final configuration: "+err.Error())
		return
	}
	r.ConfigLostUpdates = e.operators.lostUpdates(final.Document)
}

func (e *experiment) evaluateResourceUse(ctx context.Context, r *report.Report) {
	span := time.Since(e.startTime.Add(-startDelay))
	r.Control = measureControls(e.Settings.VMs, e.initialUsage, readUsages(e.Settings.VMs), span)
	after, err := e.fleet.readCounters(ctx)
	if err != nil {
		r.FaultErrors = append(r.FaultErrors, "read the table counters: "+err.Error())
		return
	}
	reads := after.Reads + after.Scans - e.initialCounters.Reads - e.initialCounters.Scans
	r.TableReadsPerS = float64(reads) / span.Seconds()
	r.TableWritesPerS = float64(after.Commits-e.initialCounters.Commits) / span.Seconds()
}
