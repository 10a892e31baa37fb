package allowance

import (
	"context"
	"maps"
	"time"

	"buckthornridge/store"
)

// A holder publishes what it has consumed and what its callers ask for in a row of its
// own, the usage summary. Reports are written several times a second, are binding, and
// are read by the next process on their VM only. If every VM followed them, a fleet would
// spend a quarter of a weak VM's link on them, and the answers to requests would be
// delayed.

const (
	// followInterval is the time between two reads of other holders' state, and the least
	// between two of a holder's usage summaries.
	followInterval = time.Second
	// summaryIntervalPerVM lengthens the time between usage summaries with the fleet, so
	// that all VMs together write, and each of them reads, at most 20 a second.
	summaryIntervalPerVM = time.Second / 20
)

// summaryInterval is the time between two usage summaries of one holder.
func summaryInterval(vms int) time.Duration {
	return max(followInterval, summaryIntervalPerVM*time.Duration(vms))
}

// usageSummary is the row that tells the other holders. It grants nothing.
type usageSummary struct {
	// AsOf is the time of the table service when the summary was made.
	AsOf    time.Duration    `msgpack:"t,omitempty"`
	Budgets map[string]usage `msgpack:"b"`
	// Closed says that the holder consumes nothing more: the numbers are final.
	Closed bool `msgpack:"c,omitempty"`
	// Era is the table's era if the holder has added all that it knew to the pools of it.
	Era int64 `msgpack:"e,omitempty"`
}

// usage is one budget in a usage summary, in tokens.
type usage struct {
	Settled int64 `msgpack:"s"`
	// Demand is the recent demand of callers in tokens a second, refused requests
	// included.
	Demand int64 `msgpack:"d,omitempty"`
}

// publishSummary writes this holder's usage summary if it is due and has changed.
func (m *Manager) publishSummary(ctx context.Context) {
	now := m.summary(time.Now())
	due := time.Since(m.publishedAt) >= summaryInterval(m.options.VMs()) || demandChanged(m.publishedUsage, now.Budgets)
	if now.Era <= m.publishedEra && (!due || maps.Equal(now.Budgets, m.publishedUsage)) {
		return
	}
	if m.writeSummary(ctx, now) == nil {
		m.publishedAt, m.publishedUsage, m.publishedEra = time.Now(), now.Budgets, now.Era
	}
}

// demandChanged reports whether the demand differs so much from the published one that
// the others should know at once: they divide a budget by it.
func demandChanged(published, now map[string]usage) bool {
	before, after := demandOf(published), demandOf(now)
	return after > before+before/demandChangeDivisor || after < before-before/demandChangeDivisor
}

// demandChangeDivisor is the part of the published demand, as a divisor, by which it must
// change.
const demandChangeDivisor = 2

func demandOf(budgets map[string]usage) int64 {
	var sum int64
	for _, u := range budgets {
		sum += u.Demand
	}
	return sum
}

// summary returns the current usage summary. It leaves out budgets without a grant, and
// those without use and demand.
func (m *Manager) summary(now time.Time) usageSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := usageSummary{Budgets: map[string]usage{}}
	if m.currentEra(); m.era > 0 {
		s.AsOf, _ = m.options.Clock.Now()
		if m.allMerged() {
			s.Era = m.era
		}
	}
	for name, a := range m.accounts {
		u := usage{Settled: a.settled, Demand: int64(a.demandMeter.rate(now))}
		if a.granted > 0 && u != (usage{}) {
			s.Budgets[name] = u
		}
	}
	return s
}

// writeSummary replaces this holder's usage summary. It needs no condition: no other
// process writes the row while this one lives, and an old write that takes effect late
// misleads for a while but grants nothing.
func (m *Manager) writeSummary(ctx context.Context, s usageSummary) error {
	data, err := encode(s)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
		defer cancel()
		_, err = m.options.Table.Commit(ctx, store.Txn{Writes: []store.Write{{Key: summaryKey(m.options.VM, m.options.Incarnation), Value: data}}})
		m.noteTableReply(err)
	}
	if err != nil {
		logFailure("tell other holders", err)
	}
	return err
}

// applySummary takes over the usage summary of another holder.
func (m *Manager) applySummary(row store.Row) {
	holder := holderOfSummary(row.Key)
	if holder == m.self {
		return
	}
	s, err := decodeSummary(row.Value)
	if err != nil {
		logFailure("read the standing of "+holder, err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hear(holder, s)
	if s.Closed {
		m.closedHolders[holder] = s
	}
	for budget, u := range s.Budgets {
		if a := m.accounts[budget]; a != nil {
			a.others[holder] = u
		}
	}
}
