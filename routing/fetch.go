package routing

import (
	"sync"
	"time"
)

// An engine can fetch the shared prefix of a prompt from another one that caches it. Where that is
// faster than to read it again, a session need not stay where its prefix is. The router knows the
// holder from its own requests and from other routers' notices. A holder that has ended or has
// evicted the prefix costs a second read, as before; the answer does not depend on it.

// TransferCost says how long engines of a service take to fetch a prefix from each other.
type TransferCost struct {
	// PerToken is the time for one token at the speed of the link.
	PerToken time.Duration
}

const (
	// fetchSetup is the time of a fetch besides the transfer, before any was observed.
	fetchSetup = 5 * time.Millisecond
	// farFetchFactor multiplies the time between two data centres.
	farFetchFactor = 2
	// leastFetchGain is how much sooner a fetch must be than reading: transfers queue at the link
	// of the holder, which no router sees.
	leastFetchGain = 0.5
	// fetchStep moves the learned factor towards a median, maxFetchFactor bounds it.
	fetchStep      = 0.05
	maxFetchFactor = 20.0
)

// fetchModel holds what is known of transfers between the engines of a target.
type fetchModel struct {
	mu     sync.Mutex
	cost   TransferCost
	factor float64 // of observed to expected time; 0 stands for 1
	// fetched and late count fetches, and those that took longer than reading would have.
	fetched, late int64
}

// SetTransferCost tells how long the engines of a service take to fetch prefixes; the zero value
// says that they can't.
func (t *Table) SetTransferCost(target Target, cost TransferCost) {
	m := t.fetchModelOf(target)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cost = cost
}

func (t *Table) fetchModelOf(target Target) *fetchModel {
	if known, ok := t.fetchModels.Load(target); ok {
		return known.(*fetchModel)
	}
	kept, _ := t.fetchModels.LoadOrStore(target, new(fetchModel))
	return kept.(*fetchModel)
}

// time returns how long a fetch of some tokens takes, or false if engines can't.
func (m *fetchModel) time(tokens int64, far bool) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cost.PerToken <= 0 {
		return 0, false
	}
	took := float64(fetchSetup) + float64(m.cost.PerToken)*float64(tokens)
	if far {
		took *= farFetchFactor
	}
	return time.Duration(took * max(1, m.factor)), true
}

// observe learns from the time that a fetch took beyond what else the first token waited for.
func (m *fetchModel) observe(took, expected, reading time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetched++
	if took > reading {
		m.late++
	}
	if m.factor = max(1, m.factor); took > expected {
		m.factor = min(m.factor*(1+fetchStep), maxFetchFactor)
	} else {
		m.factor = max(m.factor*(1-fetchStep), 1)
	}
}

// FetchCounts returns how many prefixes the engines of a service were told to fetch, and how many
// of these took longer than reading would have.
func (t *Table) FetchCounts(target Target) (fetched, late int64) {
	m := t.fetchModelOf(target)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fetched, m.late
}

// fetchTime returns how long an engine takes to fetch the session's shared prefix from its holder.
// It returns false if it caches the prefix, nobody else is known to, or reading is as fast.
func (v *view) fetchTime(e *entry) (time.Duration, bool) {
	holder := v.holder
	if holder == nil || holder == e || v.hasSharedPrefix(e) {
		return 0, false
	}
	took, possible := v.fetch.time(v.fetchable, holder.dataCentre != e.dataCentre)
	reading := v.prefillCost.prefillTime(v.fetchable)
	return took, possible && took < time.Duration(leastFetchGain*float64(reading))
}

// findHolder finds the engine from which the session's shared prefix may be fetched, or else the
// longest part of it that another session has brought to one.
func (v *view) findHolder() {
	if e := v.holderNamed(v.cachedAt); e != nil {
		v.holder, v.fetchable = e, v.request.SharedTokens
		return
	}
	for i := len(v.request.Shorter) - 1; i >= 0; i-- {
		shorter := v.request.Shorter[i]
		if e := v.holderNamed(v.table.sessions.find(shorter.Key, v.now)); e != nil {
			v.holder, v.fetchable = e, shorter.Tokens
			return
		}
	}
}

// holderNamed returns an engine if it may serve a fetch, or nil.
func (v *view) holderNamed(id string) *entry {
	e := v.set.entries[id]
	if e == nil || !e.serves(v.request.Target) || !e.takesWork() || e.health.ejected() || v.stalled(e) {
		return nil
	}
	return e
}

// recordParts records that an engine will cache the prompt's shared parts.
func (v *view) recordParts(e *entry) {
	if v.announcesSharedPrefix() {
		v.table.sessions.record(v.request.AffinityKey, e.id, v.now)
	}
	for _, shorter := range v.request.Shorter {
		v.table.sessions.record(shorter.Key, e.id, v.now)
	}
}
