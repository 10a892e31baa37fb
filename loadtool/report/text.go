package report

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// line is one figure of the text forms.
type line struct {
	name  string
	value string
}

func (r *Report) lines() []line {
	lines := []line{
		{"scenario", fmt.Sprintf("%s, seed %d", r.Scenario, r.Seed)},
		{"requests / completed / tries", fmt.Sprintf("%d / %d / %d", r.Requests, r.Completed, r.Tries)},
	}
	for _, bar := range zeroBars {
		lines = append(lines, line{bar.name, fmt.Sprint(bar.value(r))})
	}
	lines = append(lines,
		line{"lost_tokens", fmt.Sprintf("%s (%.4f of spend)", sorted(r.LostTokens), r.LostShare)},
		line{"billed / consumed / unaccounted tokens", fmt.Sprintf("%d / %d / %d", r.BilledTokens, r.ConsumedTokens, r.UnaccountedTokens)},
		line{"false_refusals (rate)", fmt.Sprintf("%d of %d (%.4f), %d never answered; a perfect counter grants %d",
			r.FalseRefusals, r.BudgetAsked, r.FalseRefusalRate, r.FalseRefusalsFinal, r.PerfectGrants)},
		line{"false_refusals_clairvoyant (rate)", fmt.Sprintf("%d (%.4f)", r.FalseRefusalsClairvoyant, r.FalseRefusalRateClairvoyant)},
		line{"not_run_after_broken_try", fmt.Sprint(r.NotRunAfterBroken)},
		line{"refusals", sorted(r.Refusals)},
		line{"problems", sorted(r.Problems)},
		line{"goodput", fmt.Sprintf("%.4f (%.1f of %.1f)", r.Goodput, r.GoodputInTime, r.GoodputPossible)},
		line{"ttft_ms p50/p95/p99", r.TTFT.text()},
		line{"itl_ms p50/p95/p99", r.ITL.text()},
		line{"tool_paused_s", fmt.Sprintf("%.2f", r.ToolPaused)},
		line{"work_after_leaving_s", fmt.Sprintf("%.2f", r.WorkAfterLeaving)},
		line{"config_in_force_s", fmt.Sprintf("%.2f (%d versions, %d conflicts)", r.ConfigInForce, r.ConfigVersions, r.ConfigConflicts)},
		line{"table writes / reads a second", fmt.Sprintf("%.1f / %.1f", r.TableWritesPerS, r.TableReadsPerS)},
		line{"unfolded / stale segments", fmt.Sprintf("%d / %d", r.UnfoldedSegments, r.StaleSegments)},
	)
	for _, c := range r.Control {
		lines = append(lines, line{"control " + c.Process, fmt.Sprintf("%.2f%% of a core, %.1f MB, %.1f KB/s", c.CPUCorePct, c.RSSMB, c.KBPerS)})
	}
	return append(lines,
		line{"zero bars missed", strings.Join(r.ZeroBarsMissed, " ")},
		line{"other bars missed", strings.Join(r.BarsMissed, " ")})
}

func (t Times) text() string {
	return fmt.Sprintf("%.1f / %.1f / %.1f (%d)", t.P50, t.P95, t.P99, t.Count)
}

// sorted prints counts by name, in the order of the names.
func sorted[V int | int64](counts map[string]V) string {
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
		for _, l := range r.lines() {
			add(l.name, l.value)
		}
	}) + strings.Join(append([]string{""}, r.Examples...), "\n") + "\n"
}

// Compare returns two reports side by side; a mark shows what differs.
func Compare(a, b *Report) string {
	other := map[string]string{}
	for _, l := range b.lines() {
		other[l.name] = l.value
	}
	return columns(func(add func(cells ...string)) {
		for _, l := range a.lines() {
			mark := ""
			if other[l.name] != l.value {
				mark = "*"
			}
			add(mark, l.name, l.value, other[l.name])
		}
	})
}

func columns(fill func(add func(cells ...string))) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fill(func(cells ...string) { fmt.Fprintln(w, strings.Join(cells, "\t")) })
	_ = w.Flush() // a strings.Builder takes everything
	return text.String()
}
