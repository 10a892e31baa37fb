package allowance

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/pause"
	"buckthornridge/store"
)

// adjustGrants changes the grants for which that is due. It reports whether there were
// any, after which a waiting request may need a report.
func (m *Manager) adjustGrants(ctx context.Context) bool {
	due := m.dueAccounts()
	if len(due) == 0 {
		return false
	}
	limit := make(chan struct{}, maxParallelGrants)
	var tasks sync.WaitGroup
	for _, a := range due {
		limit <- struct{}{}
		tasks.Go(func() {
			m.adjustGrant(ctx, a)
			<-limit
		})
	}
	tasks.Wait()
	return true
}

func (m *Manager) dueAccounts() []*account {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []*account
	m.currentEra()
	clock, _ := m.options.Clock.Now()
	for name, a := range m.accounts {
		if now.Sub(a.needAt) > needTTL {
			a.need = 0
		}
		m.foldClosed(name, &a.pool, clock)
		sharing := m.sharing(a)
		_, releases := m.release(a)
		if !a.merged || releases {
			due = append(due, a)
			continue
		}
		if !sharing.Holds && a.granted == 0 && a.need == 0 || m.reclaiming(a) {
			continue
		}
		if a.version < 0 || a.needsRow(now) || a.planShare(m.self, sharing, now).change {
			due = append(due, a)
		}
	}
	return due
}

// adjustGrant changes a holder's share of one pool as planned.
func (m *Manager) adjustGrant(ctx context.Context, a *account) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	for try := range maxGrantTries {
		if try > 0 && pause.For(ctx, jitter(grantRetryJitter<<min(try, 3))) != nil {
			return
		}
		if m.versionOf(a) < 0 && !m.readPool(ctx, a) {
			return
		}
		if m.tryAdjustGrant(ctx, a) {
			return
		}
	}
}

func (m *Manager) versionOf(a *account) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return a.version
}

// readPool reads a pool's row.
func (m *Manager) readPool(ctx context.Context, a *account) bool {
	era := m.eraOf(a)
	rows, err := m.options.Table.Read(ctx, poolKeyIn(a.budget, era))
	m.noteTableReply(err)
	if err != nil {
		logFailure("read pool", err)
		return false
	}
	if rows[0].Version == 0 && era > 0 {
		source, err := m.readSource(ctx, a, era)
		if err != nil {
			logFailure("read pool of an earlier era", err)
			return false
		}
		m.mu.Lock()
		a.source = source
		m.mu.Unlock()
	}
	return m.applyPoolRow(a, rows[0])
}

// eraOf returns the era of an account.
func (m *Manager) eraOf(a *account) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.currentEra()
	return a.era
}

// applyPoolRow takes over a newer row of a pool.
func (m *Manager) applyPoolRow(a *account, row store.Row) bool {
	p, err := decodePool(row.Value)
	if err != nil {
		logFailure("read pool "+a.budget, err)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.currentEra()
	if _, era := splitPoolKey(row.Key); era != a.era || row.Version < a.newestVersion {
		return false // of an earlier era, or a stale read
	}
	if row.Version == 0 && a.era > 0 {
		p = a.takeOver()
	}
	a.pool, a.version, a.newestVersion = p, row.Version, row.Version
	if !a.merged {
		a.notifyWaiters()
		return true // the holder knows its share better
	}
	// The row is authoritative, also after the answer to a change was lost. Only a
	// return that may still take effect overrides it.
	if row.Version > a.returnVersion {
		a.granted = p.Holders[m.self].Granted
		a.notifyWaiters()
	}
	return true
}

// tryAdjustGrant writes the planned share. It reports whether nothing more is to be done
// now.
func (m *Manager) tryAdjustGrant(ctx context.Context, a *account) bool {
	planned := m.planTxn(a)
	if planned == nil {
		return true
	}
	granted, version := planned.granted, planned.version
	next, err := m.options.Table.Commit(ctx, planned.txn)
	m.noteTableReply(err)
	if err == nil && !isInEra(next, planned.era) {
		err = errOtherEra
	}
	if m.applyConflict(a, err) {
		return false
	}
	klog.Infof("step=grant budget=%s granted=%d version=%d era=%d merge=%t failed=%t", a.budget, granted, version, planned.era, planned.merges, err != nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	if planned.era != a.era {
		return false // the table has come back from an older copy meanwhile
	}
	if err == nil {
		// Set only on success: a VM that lost the race for a contended pool retries at once.
		a.changedAt = time.Now()
		if a.loweredGrant >= 0 && granted <= max(a.loweredGrant, a.committed()) {
			a.loweredGrant = -1
		}
		a.merged = true
		if next > a.newestVersion { // otherwise a later row was seen, and it counts
			a.granted, a.version, a.newestVersion = granted, next, next
			a.pool = planned.pool
		}
		a.notifyWaiters()
		return !planned.merges // more may be due
	}
	a.version = -1
	if !errors.Is(err, store.ErrConditionFailed) {
		logFailure("change grant of "+a.budget, err)
		return true
	}
	return false
}

// applyConflict takes over the pool's row from the error of a failed transaction, if it
// contains one, which saves a read. It reports whether it did.
func (m *Manager) applyConflict(a *account, err error) bool {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	for _, row := range conflict.Rows {
		if row.Key == poolKeyIn(a.budget, m.eraOf(a)) {
			return m.applyPoolRow(a, row)
		}
	}
	return false
}

// plannedChange is a change of a pool's row.
type plannedChange struct {
	txn     store.Txn
	pool    pool  // as it is then
	granted int64 // to this holder
	// version and era are those of the row before.
	version, era int64
	// merges says that the change adds what this holder knows of an earlier era.
	merges bool
}

// planTxn returns the next change of a pool, or nil if none is due. Tokens to be returned are
// taken out of use before the transaction is sent.
func (m *Manager) planTxn(a *account) *plannedChange {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.currentEra(); a.version < 0 {
		return nil
	}
	change := &plannedChange{granted: a.granted, version: a.version, era: a.era, merges: !a.merged || a.needsRow(now)}
	if change.merges {
		next, changed := m.merge(a)
		if !changed {
			a.merged = true
			return nil
		}
		change.pool = next
	} else if next, due := m.release(a); due {
		change.pool = next
	} else {
		p := a.planShare(m.self, m.sharing(a), now)
		if !p.change {
			return nil
		}
		if p.granted < a.granted {
			a.granted, a.returnVersion = p.granted, a.version
		}
		change.granted, change.pool = p.granted, a.pool.clone()
		change.pool.Holders[m.self] = share{Granted: p.granted, Settled: a.settled, Since: m.firstEra}
	}
	data, err := encode(change.pool)
	if err != nil {
		logFailure("change grant of "+a.budget, err)
		return nil
	}
	key := poolKeyIn(a.budget, a.era)
	change.txn = store.Txn{
		Conditions: []store.Condition{{Key: key, Version: a.version}},
		Writes:     []store.Write{{Key: key, Value: data}},
	}
	if source := a.source.row; a.version == 0 && source.Version > 0 {
		change.txn.Conditions = append(change.txn.Conditions, store.Condition{Key: source.Key, Version: source.Version})
		change.txn.Writes = append(change.txn.Writes, store.Write{Key: source.Key, Delete: true})
	}
	return change
}
