package report

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// summaryRow is one row of the report as text.
type summaryRow struct {
	name  string
	value string
}

func (r *Report) summaryRows() []summaryRow {
	rows := []summaryRow{
		{"scenario", fmt.Sprintf("%s, seed %d", r.Scenario, r.Seed)},
		{"requests / completed / tries", fmt.Sprintf("%d / %d / %d", r.Requests, r.Completed, r.Tries)},
	}
	for _, bar := range zeroBars {
		rows = append(rows, summaryRow{bar.name, fmt.Sprint(bar.value(r))})
	}
	rows = append(rows,
		summaryRow{"lost_tokens", fmt.Sprintf("%s (%.4f of spend)", formatCounts(r.LostTokens), r.LostShare)},
		summaryRow{"billed / consumed / unaccounted tokens", fmt.Sprintf("%d / %d / %d", r.BilledTokens, r.ConsumedTokens, r.UnaccountedTokens)},
		summaryRow{"false_refusals (rate)", fmt.Sprintf("%d of %d (%.4f), %d never answered; a perfect counter grants %d",
			r.FalseRefusals, r.BudgetAsked, r.FalseRefusalRate, r.FalseRefusalsFinal, r.PerfectGrants)},
		summaryRow{"false_refusals_clairvoyant (rate)", fmt.Sprintf("%d (%.4f)", r.FalseRefusalsClairvoyant, r.FalseRefusalRateClairvoyant)},
		summaryRow{"not_run_after_broken_try", fmt.Sprint(r.NotRunAfterBroken)},
		summaryRow{"refusals", formatCounts(r.Refusals)},
		summaryRow{"problems", formatCounts(r.Problems)},
		summaryRow{"goodput", fmt.Sprintf("%.4f (%.1f of %.1f)", r.Goodput, r.GoodputInTime, r.GoodputPossible)},
		summaryRow{"ttft_ms p50/p95/p99", r.TTFT.text()},
		summaryRow{"itl_ms p50/p95/p99", r.ITL.text()},
		summaryRow{"tool_paused_s", fmt.Sprintf("%.2f", r.ToolPaused)},
		summaryRow{"work_after_leaving_s", fmt.Sprintf("%.2f", r.WorkAfterLeaving)},
		summaryRow{"config_in_force_s", fmt.Sprintf("%.2f (%d versions, %d conflicts)", r.ConfigInForce, r.ConfigVersions, r.ConfigConflicts)},
		summaryRow{"table writes / reads a second", fmt.Sprintf("%.1f / %.1f", r.TableWritesPerS, r.TableReadsPerS)},
		summaryRow{"unfolded / stale segments", fmt.Sprintf("%d / %d", r.UnfoldedSegments, r.StaleSegments)},
	)
	for _, c := range r.Control {
		rows = append(rows, summaryRow{"control " + c.Process, fmt.Sprintf("%.2f%% of a core, %.1f MB, %.1f KB/s", c.CPUCorePct, c.RSSMB, c.KBPerS)})
	}
	return append(rows,
		summaryRow{"zero bars missed", strings.Join(r.ZeroBarsMissed, " ")},
		summaryRow{"other bars missed", strings.Join(r.BarsMissed, " ")})
}

func (t Times) text() string {
	return fmt.Sprintf("%.1f / %.1f / %.1f (%d)", t.P50, t.P95, t.P99, t.Count)
}

// formatCounts formats counts by name, in the order of the names.
func formatCounts[V int | int64](counts map[string]V) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s %d", name, counts[name])
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// Summary returns the report as text.
func (r *Report) Summary() string {
	return columns(func(add func(cells ...string)) {
		for _, l := range r.summaryRows() {
			add(l.name, l.value)
		}
	}) + strings.Join(append([]string{""}, r.Examples...), "\n") + "\n"
}

// Compare returns two reports side by side; * marks rows that differ.
func Compare(a, b *Report) string {
	otherValues := map[string]string{}
	for _, l := range b.summaryRows() {
		otherValues[l.name] = l.value
	}
	return columns(func(add func(cells ...string)) {
		for _, l := range a.summaryRows() {
			mark := ""
			if otherValues[l.name] != l.value {
				mark = "*"
			}
			add(mark, l.name, l.value, otherValues[l.name])
		}
	})
}

func columns(fill func(add func(cells ...string))) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fill(func(cells ...string) { fmt.Fprintln(w, strings.Join(cells, "\t")) })
	_ = w.Flush() // writing to a strings.Builder never fails
	return text.String()
}
