// Package report defines the JSON report of a run. Its field names are fixed, so
// that reports of different versions can be compared. A bar is an acceptance
// limit for a field; a zero bar requires the value 0.
package report

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"buckthornridge/loadtool/fault"
)

// Report is the outcome of one run.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Fleet    string  `json:"fleet"`
	VMs      int     `json:"vms"`
	Seconds  float64 `json:"seconds"` // from the first arrival to the last response
	Rate     float64 `json:"rate_per_s"`
	// ToolPaused is the longest time for which the load tool itself did not run.
	ToolPaused float64 `json:"tool_paused_s"`

	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	Tries     int `json:"tries"`
	// Unanswered counts requests whose last try was neither refused nor complete.
	Unanswered int `json:"unanswered"`

	OverspendTokens   int64            `json:"overspend_tokens"`
	LostTokens        map[string]int64 `json:"lost_tokens"` // by cause
	LostShare         float64          `json:"lost_share"`  // of what was billed and lost
	BilledTokens      int64            `json:"billed_tokens"`
	ConsumedTokens    int64            `json:"consumed_tokens"`
	UnaccountedTokens int64            `json:"unaccounted_tokens"`

	BillsMissing            int `json:"bills_missing"`
	BillsDouble             int `json:"bills_double"`
	RunsDoubleNonrepeatable int `json:"runs_double_nonrepeatable"`
	NotRunButRan            int `json:"not_run_but_ran"`
	NotRunAfterBroken       int `json:"not_run_after_broken_try"` // has no bar
	AnswersWrong            int `json:"answers_wrong"`
	AnswersTruncated        int `json:"answers_truncated_as_complete"`
	LedgerViolations        int `json:"ledger_violations"`

	FalseRefusals               int            `json:"false_refusals"`
	FalseRefusalRate            float64        `json:"false_refusal_rate"`
	FalseRefusalsClairvoyant    int            `json:"false_refusals_clairvoyant"`
	FalseRefusalRateClairvoyant float64        `json:"false_refusal_rate_clairvoyant"`
	BudgetAsked                 int            `json:"budget_asked"`         // requests
	FalseRefusalsFinal          int            `json:"false_refusals_final"` // never answered, despite retries
	PerfectGrants               int            `json:"perfect_grants"`       // requests that the perfect counter would have granted
	Refusals                    map[string]int `json:"refusals"`             // responses, by problem
	Problems                    map[string]int `json:"problems"`             // other errors, by ending and problem

	Goodput         float64 `json:"goodput"`
	GoodputInTime   float64 `json:"goodput_in_time"`
	GoodputPossible float64 `json:"goodput_possible"`
	TTFT            Times   `json:"ttft_ms"`
	ITL             Times   `json:"itl_ms"`

	// PoisonArrivals counts arrivals at upstreams of requests that crash them, PoisonBeyond
	// those beyond what is allowed. InnocentQuarantined counts other requests that were
	// refused like them.
	PoisonArrivals      int `json:"poison_arrivals"`
	PoisonBeyond        int `json:"poison_beyond"`
	InnocentQuarantined int `json:"innocent_quarantined"`

	// LimitedArrivals counts arrivals at upstreams while they named a rate, LimitBeyond those
	// beyond what is allowed, in the worst window of each upstream.
	LimitedArrivals int `json:"limited_arrivals"`
	LimitBeyond     int `json:"limit_beyond"`

	// SaidArrivals counts arrivals at upstreams that said that they leave, want rest or bear
	// few rejections, SaidBeyond those beyond what that allows.
	SaidArrivals int `json:"said_arrivals"`
	SaidBeyond   int `json:"said_beyond"`

	DrainCutRequests int     `json:"drain_cut_requests"`
	WorkAfterLeaving float64 `json:"work_after_leaving_s"`

	ConfigInForce     float64 `json:"config_in_force_s"`
	ConfigVersions    int     `json:"config_versions"`
	ConfigConflicts   int     `json:"config_conflicts"`
	ConfigReverts     int     `json:"config_reverts"`
	ConfigLostUpdates int     `json:"config_lost_updates"`

	Control         []Control `json:"control"`
	TableWritesPerS float64   `json:"table_writes_per_s"`
	TableReadsPerS  float64   `json:"table_reads_per_s"`

	RecordsOmitted   int64        `json:"records_omitted"`
	UnfoldedSegments int          `json:"unfolded_segments"`
	StaleSegments    int          `json:"stale_segments"` // folded segments that a late write restored
	Faults           []fault.Done `json:"faults"`
	FaultErrors      []string     `json:"fault_errors,omitempty"`
	Spend            []Point      `json:"spend"`
	Examples         []string     `json:"examples,omitempty"`

	ZeroBarsMissed []string `json:"zero_bars_missed"`
	BarsMissed     []string `json:"bars_missed"`
}

// Control is the resource usage of one control process.
type Control struct {
	Process    string  `json:"process"`
	CPUCorePct float64 `json:"cpu_core_pct"`
	RSSMB      float64 `json:"rss_mb"`
	KBPerS     float64 `json:"kb_per_s"` // read and written, from the process's own counters
}

// Point is a sample of all budgets.
type Point struct {
	Second    float64 `json:"second"`
	Purchased int64   `json:"purchased"`
	Billed    int64   `json:"billed"`
	Held      int64   `json:"held"`
	Lost      int64   `json:"lost"`
}

// Times are quantiles in milliseconds.
type Times struct {
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Count int64   `json:"count"`
}

// Histogram collects durations of up to ten minutes, in microseconds.
type Histogram struct{ inner *hdrhistogram.Histogram }

const (
	maxHistogramMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, maxHistogramMicros, histogramDigits)}
}

// Add records a duration; one out of range is clamped.
func (h Histogram) Add(d time.Duration) {
	_ = h.inner.RecordValue(min(max(d.Microseconds(), 1), maxHistogramMicros)) // the value is in range
}

// Times returns the quantiles.
func (h Histogram) Times() Times {
	at := func(q float64) float64 {
		return float64(h.inner.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	if h.inner.TotalCount() == 0 {
		return Times{}
	}
	return Times{P50: at(50), P95: at(95), P99: at(99), Count: h.inner.TotalCount()}
}

// Write writes the report to a file.
func (r *Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	return eris.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "write report")
}

// Read reads a report from a file.
func Read(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read report")
	}
	r := &Report{}
	return r, eris.Wrapf(json.Unmarshal(text, r), "parse report %s", path)
}

// zeroBar is a field that must be 0 in every run.
type zeroBar struct {
	name  string
	value func(*Report) int64
}

func count(of func(*Report) int) func(*Report) int64 {
	return func(r *Report) int64 { return int64(of(r)) }
}

var zeroBars = []zeroBar{
	{"overspend_tokens", func(r *Report) int64 { return r.OverspendTokens }},
	{"bills_missing", count(func(r *Report) int { return r.BillsMissing })},
	{"bills_double", count(func(r *Report) int { return r.BillsDouble })},
	{"runs_double_nonrepeatable", count(func(r *Report) int { return r.RunsDoubleNonrepeatable })},
	{"not_run_but_ran", count(func(r *Report) int { return r.NotRunButRan })},
	{"answers_wrong", count(func(r *Report) int { return r.AnswersWrong })},
	{"answers_truncated_as_complete", count(func(r *Report) int { return r.AnswersTruncated })},
	{"drain_cut_requests", count(func(r *Report) int { return r.DrainCutRequests })},
	{"config_reverts", count(func(r *Report) int { return r.ConfigReverts })},
	{"config_lost_updates", count(func(r *Report) int { return r.ConfigLostUpdates })},
	{"ledger_violations", count(func(r *Report) int { return r.LedgerViolations })},
	{"poison_beyond", count(func(r *Report) int { return r.PoisonBeyond })},
	{"innocent_quarantined", count(func(r *Report) int { return r.InnocentQuarantined })},
	{"limit_beyond", count(func(r *Report) int { return r.LimitBeyond })},
	{"said_beyond", count(func(r *Report) int { return r.SaidBeyond })},
	{"nothing_completed", count(func(r *Report) int {
		if r.Completed == 0 {
			return 1 // without a response no fault can show
		}
		return 0
	})},
	// If one of these two is not 0, the checks above have not seen everything.
	{"records_omitted", func(r *Report) int64 { return r.RecordsOmitted }},
	{"fault_errors", func(r *Report) int64 { return int64(len(r.FaultErrors)) }},
}

// Limits of the other bars. They depend on the machine or on the scenario, so a
// missed bar is reported and does not fail the run.
const (
	maxLostShare        = 0.001
	maxFalseRefusalRate = 0.001
	minGoodput          = 0.95
	minOverloadGoodput  = 0.85
	maxWorkAfterLeaving = 3.0
	maxConfigInForce    = 5.0
	maxControlCPUPct    = 3.5
	maxControlRSSMB     = 32.0
	maxControlKBPerS    = 30.0
	maxToolPaused       = 1.0
)

// Evaluate sets the lists of missed bars.
func (r *Report) Evaluate() {
	r.ZeroBarsMissed, r.BarsMissed = []string{}, []string{}
	for _, bar := range zeroBars {
		if bar.value(r) != 0 {
			r.ZeroBarsMissed = append(r.ZeroBarsMissed, bar.name)
		}
	}
	goodput := minGoodput
	if r.Scenario == "overload" {
		goodput = minOverloadGoodput
	}
	for _, bar := range []struct {
		name   string
		missed bool
	}{
		{"lost_share", r.LostShare > maxLostShare},
		{"false_refusal_rate", r.FalseRefusalRate > maxFalseRefusalRate},
		{"goodput", r.Goodput < goodput},
		{"tool_paused_s", r.ToolPaused > maxToolPaused},
		{"work_after_leaving_s", r.WorkAfterLeaving > maxWorkAfterLeaving},
		{"config_in_force_s", r.ConfigInForce > maxConfigInForce},
		{"control.cpu_core_pct", r.anyControl(func(c Control) bool { return c.CPUCorePct > maxControlCPUPct })},
		{"control.rss_mb", r.anyControl(func(c Control) bool { return c.RSSMB > maxControlRSSMB })},
		{"control.kb_per_s", r.anyControl(func(c Control) bool { return c.KBPerS > maxControlKBPerS })},
	} {
		if bar.missed {
			r.BarsMissed = append(r.BarsMissed, bar.name)
		}
	}
}

func (r *Report) anyControl(over func(Control) bool) bool {
	return slices.ContainsFunc(r.Control, over)
}
