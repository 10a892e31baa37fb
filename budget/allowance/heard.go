package allowance

import "time"

// What is free in a pool of a new era may have been granted in the one before, until all VMs
// have been heard: a VM says in its usage summary that it has merged all that it knew.

const (
	// lostGrantAge is the most that a copy of the table is taken to be old: a VM that was
	// last heard of before then has no grant that the copy lacks.
	lostGrantAge = 60 * time.Second
	// eraFollowInterval is the time between two reads of other holders' state until all
	// have been heard in a new era.
	eraFollowInterval = 200 * time.Millisecond
)

// allHeard reports whether all VMs that may have lost grants have been heard in the table's
// era. The caller holds m.mu.
func (m *Manager) allHeard() bool {
	if m.era == 0 || m.options.Members == nil {
		return true
	}
	members := m.options.Members()
	if len(members) == 0 || !m.allMerged() {
		return false
	}
	clock, _ := m.options.Clock.Now()
	entered := clock - time.Since(m.eraEnteredAt)
	for _, vm := range members {
		heard, known := m.heard[vm]
		if vm == m.options.VM || known && (heard.era >= m.era || heard.asOf < entered-lostGrantAge) {
			continue
		}
		return false
	}
	return true
}

// allMerged reports whether this holder has added all that it knows to the pools of the era.
// The caller holds m.mu.
func (m *Manager) allMerged() bool {
	for _, a := range m.accounts {
		if a.era != m.era || !a.merged {
			return false
		}
	}
	return true
}

// heardOf is the last sign of a VM.
type heardOf struct {
	era  int64         // newest one in which it has merged all that it knew
	asOf time.Duration // of the table's clock, of its newest usage summary
}

// hear records a usage summary. The caller holds m.mu.
func (m *Manager) hear(holder string, s usageSummary) {
	vm, _ := holderVM(holder)
	h := m.heard[vm]
	m.heard[vm] = heardOf{era: max(h.era, s.Era), asOf: max(h.asOf, s.AsOf)}
}

// isAwaiting reports whether grants wait for VMs to be heard.
func (m *Manager) isAwaiting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.currentEra() == 0 || m.era == m.firstEra && time.Since(m.eraEnteredAt) > lostGrantAge {
		return false
	}
	for _, a := range m.accounts {
		if !a.merged || !a.pool.Heard {
			return true
		}
	}
	return time.Since(m.eraEnteredAt) < lostGrantAge && !m.allHeard()
}
