package allowance

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// A holder's primary report is in one partition of the table, and that may be unavailable
// while the others answer. Its bound then grows every second, and a power loss costs all
// that it allowed: up to a fifth of a prepaid limit after ten seconds. Meanwhile the
// holder therefore writes fallback reports to a second row, in another partition.
//
// Both rows are in force: the holder keeps to each of them, and the next process on the
// VM counts the lower one, or the primary one alone if it can't read the other. The
// second row can thus only lower what is counted, never what may be spent. It is not
// deleted while the holder lives but marked as void: a late write is conditioned on a
// version that the row has left for good.

const (
	// fallbackAfter is the age of the last primary report from which on the fallback row
	// is written: two reports that failed.
	fallbackAfter = 400 * time.Millisecond
	// fallbackReadTimeout bounds the read of the fallback rows at a start, which callers
	// wait for.
	fallbackReadTimeout = 300 * time.Millisecond
	// fallbackProbeTimeout bounds the first read of a fallback row: a partition that does
	// not answer must not delay the report to the next one.
	fallbackProbeTimeout = 300 * time.Millisecond
	// fallbackPartitions is how many partitions the fallback row may be in. With 40% of
	// all partitions unavailable, one VM in 1,500 finds none of them. With three it was
	// one in 16: in a fleet of six about every third outage.
	fallbackPartitions = 8
)

// reportRow is one of the two rows to which a holder writes its reports.
type reportRow struct {
	key     string
	version int64 // -1 while unknown
	// bounds returns an account's bounds by this row: the one in force, and those whose
	// write is not known to have failed.
	bounds func(a *account) *[]usageBound
}

func primaryBoundsOf(a *account) *[]usageBound  { return &a.bounds }
func fallbackBoundsOf(a *account) *[]usageBound { return &a.fallbackBounds }

// keepFallback writes the fallback row while the primary one can't be written, and voids
// it afterwards.
func (m *Manager) keepFallback(ctx context.Context) {
	m.runPeriodically(ctx, reportInterval, nil, func() {
		switch {
		case m.needsFallback():
			m.reportFallback(ctx)
		case m.fallbackActive && m.voidFallback(ctx):
			m.fallbackActive = false
		}
	})
}

// reportFallback writes the fallback row. If its partition does not answer, the next
// report goes to another one.
func (m *Manager) reportFallback(ctx context.Context) {
	if m.fallback.version < 0 {
		probe, cancel := context.WithTimeout(ctx, fallbackProbeTimeout)
		defer cancel()
		if !m.readReportVersion(probe, &m.fallback) {
			m.nextFallbackPartition()
			return
		}
	}
	m.report(ctx, &m.fallback)
}

// nextFallbackPartition switches to the next partition until one has accepted a fallback
// report.
func (m *Manager) nextFallbackPartition() {
	if m.fallbackActive {
		return
	}
	m.fallbackPartition = (m.fallbackPartition + 1) % fallbackPartitions
	m.fallback.key = fallbackKeyPrefix(m.options.VM, m.fallbackPartition) + m.options.Incarnation
}

// needsFallback reports whether the last primary report is old. It is false before the
// first one.
func (m *Manager) needsFallback() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.primaryWrittenAt.IsZero() || time.Since(m.primaryWrittenAt) < fallbackAfter+reportEvery(m.options.VMs()) {
		return false
	}
	for _, a := range m.accounts {
		if a.granted > 0 {
			return true
		}
	}
	return false
}

// voidFallback marks the fallback row as void, and reports whether that was written.
// Until then the holder keeps to what the row may say.
func (m *Manager) voidFallback(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	if m.fallback.version < 0 && !m.readReportVersion(ctx, &m.fallback) {
		return false
	}
	data, err := encode(report{Void: true})
	if err != nil {
		logFailure("end the spare report", err)
		return false
	}
	_, err = m.commit(ctx, store.Row{Key: m.fallback.key, Version: m.fallback.version}, store.Write{Key: m.fallback.key, Value: data})
	m.noteTableReply(err)
	// In the next outage the row is read first: a report is in force only once the
	// partition has answered that read.
	m.fallback.version = -1
	if err != nil {
		logFailure("end the spare report", err)
		return false
	}
	klog.Infof("step=end_spare_report result=done")
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.accounts {
		a.fallbackBounds = nil
		a.notifyWaiters()
	}
	return true
}

// readFallbacks returns what predecessors on this VM wrote to their fallback rows. If
// they can't be read, the primary reports alone are counted.
func (m *Manager) readFallbacks(ctx context.Context) (rows []store.Row, reports map[string]report) {
	ctx, cancel := context.WithTimeout(ctx, fallbackReadTimeout)
	defer cancel()
	reports = map[string]report{}
	var (
		mu      sync.Mutex
		reading sync.WaitGroup
	)
	for partition := range fallbackPartitions {
		reading.Go(func() {
			found := m.readFallbackPartition(ctx, fallbackKeyPrefix(m.options.VM, partition), func(incarnation string, r report) {
				mu.Lock()
				defer mu.Unlock()
				reports[incarnation] = r
			})
			mu.Lock()
			defer mu.Unlock()
			rows = append(rows, found...)
		})
	}
	reading.Wait()
	return rows, reports
}

// readFallbackPartition reads the fallback reports of one partition and passes on those
// in force. A process writes to another partition only before it has written to this one
// or after it has voided its row here, so that at most one is in force.
func (m *Manager) readFallbackPartition(ctx context.Context, prefix string, take func(incarnation string, r report)) []store.Row {
	rows, err := m.options.Table.Scan(ctx, prefix, "", maxReports)
	if err != nil {
		logFailure("read spare reports", err)
		return nil
	}
	for _, row := range rows {
		r, err := decodeReport(row.Value)
		if err != nil {
			logFailure("read a spare report", err)
			continue
		}
		if !r.Void {
			take(row.Key[len(prefix):], r)
		}
	}
	return rows
}

// bindingEntry returns which of a dead holder's reports counts for a budget: the one that
// allowed less until the holder had certainly ended.
func (p predecessorState) bindingEntry(incarnation, budget string) (of reportEntry, allowed int64, age time.Duration) {
	r := p.reports[incarnation]
	of, age = r.Budgets[budget], p.ended-r.AsOf // without an entry nothing may be consumed
	allowed = of.allows(age, r.Curve)
	fallback, found := p.fallback[incarnation]
	if !found || fallback.Era < r.Era {
		return of, allowed, age
	}
	fallbackEntry := fallback.Budgets[budget]
	if less := fallbackEntry.allows(p.ended-fallback.AsOf, fallback.Curve); less < allowed {
		fallbackEntry.Settled = max(fallbackEntry.Settled, of.Settled)
		return fallbackEntry, less, p.ended - fallback.AsOf
	}
	return of, allowed, age
}
