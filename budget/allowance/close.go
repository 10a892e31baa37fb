package allowance

import (
	"context"
	"time"

	"buckthornridge/pause"
	"buckthornridge/store"
)

// Close ends the holder's work at a planned stop. Requests must have ended. The final
// report says what was consumed and that nothing follows. The grants stay with the VM for
// a while, since it usually starts again at once. If it does not, other holders take what
// is left: they learn of the stop from the usage summary, which is written after the
// report.
func (m *Manager) Close(ctx context.Context) {
	for range maxCloseTries {
		m.mergeAll(ctx)
		row, err := m.writeFinalReport(ctx)
		if err == nil {
			m.publishFinalUsage(ctx, row)
			return
		}
		logFailure("close", err)
		if pause.For(ctx, jitter(grantRetryJitter)) != nil {
			return
		}
	}
}

// writeFinalReport writes the final report. It fails if the table turns out to have come back
// from an older copy: what this holder knows must be merged first.
func (m *Manager) writeFinalReport(ctx context.Context) (report, error) {
	row := m.finalReport()
	data, err := encode(row)
	if err != nil {
		return row, err
	}
	key := reportKeyPrefix(m.options.VM) + m.options.Incarnation
	old, err := m.readRow(ctx, key)
	if err != nil {
		return row, err
	}
	if m.eraNow() != row.Era {
		return row, errOtherEra
	}
	version, err := m.commit(ctx, old, store.Write{Key: key, Value: data})
	if err == nil && !isInEra(version, row.Era) {
		err = errOtherEra
	}
	return row, err
}

// publishFinalUsage publishes the final report's numbers to the other holders.
func (m *Manager) publishFinalUsage(ctx context.Context, last report) {
	s := usageSummary{AsOf: last.AsOf, Closed: true, Budgets: map[string]usage{}}
	m.mu.Lock()
	if m.currentEra(); m.allMerged() {
		s.Era = m.era
	}
	m.mu.Unlock()
	for budget, entry := range last.Budgets {
		s.Budgets[budget] = usage{Settled: entry.Settled}
	}
	_ = m.writeSummary(ctx, s) // logged; without it the grants wait for the next process on the VM
}

// maxCloseTries is how often the final report is tried; without it the next process on
// the VM counts what the report before it allows.
const maxCloseTries = 3

func (m *Manager) finalReport() report {
	clock, _ := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	row := report{AsOf: clock, Curve: currentCurve(m.options.VMs()), Closed: true, Budgets: map[string]reportEntry{}, Era: m.currentEra()}
	for name, a := range m.accounts {
		if a.granted > 0 || a.committed() > 0 {
			row.Budgets[name] = reportEntry{Settled: a.committed(), Base: a.committed()}
		}
	}
	return row
}

// foldClosed removes from a pool the holders that closed a while ago and whose VM has not
// come back, and counts what they used as settled. They consume nothing more, so any
// holder may do so.
func (m *Manager) foldClosed(budget string, p *pool, now time.Duration) {
	for holder, s := range p.Holders {
		r, known := m.closedHolders[holder]
		if !known || now-r.AsOf < closedGrace {
			continue
		}
		used := min(r.Budgets[budget].Settled, s.Granted)
		p.Settled += used
		delete(p.Holders, holder)
	}
}

// closedGrace is how long the grants of a closed holder wait for the next process on its
// VM, which takes a second or two to start.
const closedGrace = 6 * time.Second
