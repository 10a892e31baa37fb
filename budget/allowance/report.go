package allowance

import (
	"context"
	"errors"
	"time"

	"buckthornridge/store"
)

// reportDue reports whether the bounds in force are too old or nearly used up.
func (m *Manager) reportDue() bool {
	clock, known := m.options.Clock.Now()
	if !known {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.accounts) == 0 {
		return false
	}
	// Reports are also due without callers: a bound grows with its age, and what it
	// allows is lost with the process.
	due := time.Since(m.reportedAt) >= reportEvery(m.options.VMs())-upkeepSlack
	for _, a := range m.accounts {
		if due && a.granted > 0 || a.boundNearlyUsed(clock) {
			return true
		}
	}
	return false
}

// earlyReportShare is the part of a report's headroom at which the next report is written
// early.
const earlyReportShare = 0.4

// boundNearlyUsed reports whether a request waits, or will soon, for nothing but a new
// report.
func (a *account) boundNearlyUsed(clock time.Duration) bool {
	unspent := a.grant() - a.committed()
	if unspent <= 0 {
		return false
	}
	available := a.bound(clock) - a.committed()
	if a.waiting > available && available < unspent {
		return true
	}
	rate := a.useMeter.rate(time.Now())
	return rate > 0 && float64(available) < earlyReportShare*float64(a.reportedHeadroom) && available < unspent
}

// reportPaused reports whether the partition of the primary reports is left alone for the
// rest of an interval because it failed repeatedly. Otherwise each waiting request would
// cause a call to it.
func (m *Manager) reportPaused() bool {
	return m.failedReports >= maxFailedReports && time.Since(m.reportTriedAt) < reportInterval-upkeepSlack
}

// maxFailedReports is how many tries of a primary report may fail before the next ones
// are paused.
const maxFailedReports = 2

// noteReport counts consecutive failures of the primary report.
func (m *Manager) noteReport(r *reportRow, err error) {
	if r != &m.primary {
		return
	}
	if err == nil {
		m.failedReports = 0
	} else {
		m.failedReports++
	}
}

// report writes a report of what this holder may have consumed.
func (m *Manager) report(ctx context.Context, r *reportRow) {
	if r == &m.primary {
		m.reportTriedAt = time.Now()
	}
	if r.version < 0 && !m.readReportVersion(ctx, r) {
		return
	}
	if r == &m.fallback {
		m.fallbackActive = true
	}
	row, bounds := m.prepareReport(r)
	data, err := encode(row)
	if err != nil {
		logFailure("report", err)
		return
	}
	version, err := m.commit(ctx, store.Row{Key: r.key, Version: r.version}, store.Write{Key: r.key, Value: data})
	m.noteTableReply(err)
	if err == nil && !isInEra(version, row.Era) {
		err = errOtherEra
	}
	m.noteReport(r, err)
	m.finishReport(r, bounds, version, err)
}

// prepareReport makes a report and adds its bounds at once, since the report may come
// into force at any time after it is sent.
func (m *Manager) prepareReport(r *reportRow) (report, map[*account]usageBound) {
	clock, _ := m.options.Clock.Now()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	row := report{AsOf: clock, Curve: currentCurve(m.options.VMs()), Budgets: map[string]reportEntry{}, Era: m.currentEra()}
	bounds := make(map[*account]usageBound, len(m.accounts))
	for name, a := range m.accounts {
		if now.Sub(a.needAt) > needTTL {
			a.need = 0
		}
		var entry reportEntry // without a grant, nothing may be consumed
		if a.granted > 0 {
			entry = a.newEntry(m.self, m.sharing(a).Holders, row.Curve.RampStart, now)
			row.Budgets[name] = entry
		}
		bounds[a] = usageBound{reportEntry: entry, curve: row.Curve, asOf: clock}
		a.reportedHeadroom = entry.Base - a.committed()
		kept := r.bounds(a)
		*kept = append(*kept, bounds[a])
	}
	if r == &m.primary {
		m.reportedAt = now
	}
	return row, bounds
}

// finishReport handles the result of a report. Once one is acknowledged, no earlier one
// can come into force any more: each is conditioned on the version that it replaced.
func (m *Manager) finishReport(r *reportRow, bounds map[*account]usageBound, version int64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		r.version = version
		if r == &m.primary {
			m.primaryWrittenAt = time.Now()
		}
		for a, bound := range bounds {
			kept := r.bounds(a)
			*kept = append((*kept)[:0], bound)
			a.notifyWaiters()
		}
		return
	}
	logFailure("report", err)
	// The next report waits until the table has answered a read. A holder keeps to
	// each report once it is sent; a holder that is disconnected from the table would
	// never get past the ramp start if it sent a new one each time.
	r.version = -1
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrRateLimited) {
		// The report was certainly not written, so its bounds are not in force.
		for a := range bounds {
			kept := r.bounds(a)
			*kept = (*kept)[:len(*kept)-1]
		}
		return
	}
	m.mergeBounds(r)
}

// mergeBounds keeps the list of bounds short through a long outage. The first bound is in
// force. Of those that may come into force the least counts, and all grow alike, so that
// one with the most restrictive value of each field replaces them.
func (m *Manager) mergeBounds(r *reportRow) {
	for _, a := range m.accounts {
		kept := r.bounds(a)
		if len(*kept) <= 3 {
			continue
		}
		merged := (*kept)[1]
		for _, bound := range (*kept)[2:] {
			merged.Base = min(merged.Base, bound.Base)
			merged.Rate = min(merged.Rate, bound.Rate)
			merged.Rest = min(merged.Rest, bound.Rest)
			merged.Demand = min(merged.Demand, bound.Demand)
			merged.curve.RampStart = max(merged.curve.RampStart, bound.curve.RampStart)
			merged.asOf = max(merged.asOf, bound.asOf)
		}
		*kept = append((*kept)[:1], merged)
	}
}

// readReportVersion reads the version of this holder's report after a lost answer.
func (m *Manager) readReportVersion(ctx context.Context, r *reportRow) bool {
	row, err := m.reread(ctx, r.key)
	m.noteTableReply(err)
	if err != nil {
		m.noteReport(r, err)
		logFailure("read report back", err)
		return false
	}
	r.version = row.Version
	return true
}
