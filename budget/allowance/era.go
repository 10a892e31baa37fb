package allowance

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// The table may come back from an older copy, in a new era. It has then lost grants that
// holders go on spending, and reports that allow more than the copy's.
//
// Each era has pool rows of its own, so that a transaction which was planned in an earlier
// one and takes effect late changes nothing. The first holder that needs a budget takes its
// row over from the era before: the newest one that any holder knows, which each adds its
// own share to. What is free in it may have been granted to a holder that has not said so
// yet. It is withheld until all VMs have been heard in the new era. Holders go on spending
// what they were granted meanwhile.

const (
	// eraMark separates the budget from the era in the key of a pool.
	eraMark = "@era-"
	// maxSourceRows bounds the rows that are read for one pool: those of a few eras, and of
	// budgets whose names begin alike.
	maxSourceRows = 100
)

// errNotTakenOver says that a pool has no row in the table's era yet.
var errNotTakenOver = eris.New("the pool was not taken over from the era before")

// poolKeyIn returns the key of a budget's row in an era; 0 is that of a table that tells none.
func poolKeyIn(budget string, era int64) string {
	if era == 0 {
		return poolKey(budget)
	}
	return poolKey(budget) + eraMark + strconv.FormatInt(era, 10)
}

// splitPoolKey returns the budget and the era that a pool's key names.
func splitPoolKey(key string) (budget string, era int64) {
	parts := strings.SplitN(key, "/", 3)
	name := parts[len(parts)-1]
	at := strings.LastIndex(name, eraMark)
	if at < 0 {
		return name, 0
	}
	era, err := strconv.ParseInt(name[at+len(eraMark):], 10, 64)
	if err != nil {
		return name, 0
	}
	return name[:at], era
}

// knownPool is a pool's row of an earlier era.
type knownPool struct {
	pool pool
	// version orders the rows of the eras: that of the row, in the era of its key.
	version int64
	row     store.Row // in the table, if it is known to be there
}

// currentEra returns the table's era, and has all accounts enter it if it is new. The caller holds
// m.mu.
func (m *Manager) currentEra() int64 {
	if m.options.Era == nil {
		return 0
	}
	era := m.options.Era()
	if era <= m.era {
		return m.era
	}
	if m.era == 0 {
		m.firstEra = era
	} else {
		klog.Infof("step=enter_era era=%d before=%d budgets=%d", era, m.era, len(m.accounts))
	}
	m.era, m.eraEnteredAt = era, time.Now()
	notify(m.eraEntered)
	for _, a := range m.accounts {
		a.enterEra(era)
	}
	return era
}

// enterEra keeps what is known of the pool for the row of a new era.
func (a *account) enterEra(era int64) {
	if a.newestVersion > 0 && a.era > 0 {
		newest := knownPool{pool: a.pool.clone(), version: store.VersionIn(a.era, store.NumberOf(a.newestVersion))}
		if !a.merged {
			newest.pool = newest.pool.with(a.earlier)
		}
		a.earlier = newest
	}
	settled := a.pool.Heard || a.pool.Vouched
	a.vouches = a.vouches || a.era > 0 && a.version >= 0 && settled
	a.era, a.version, a.newestVersion, a.returnVersion, a.merged = era, -1, 0, 0, a.granted == 0 && a.earlier.version == 0
	a.notifyWaiters()
}

// with returns a pool as it is with what else is known of the eras before its own. The shares
// of holders that have added theirs stay.
func (p pool) with(known knownPool) pool {
	if known.version <= p.Base {
		return p
	}
	next := known.pool.clone()
	next.Base, next.Merged, next.Vouched, next.Withheld, next.Heard = known.version, p.Merged, p.Vouched, p.Withheld, p.Heard
	for holder, s := range p.Holders {
		if slices.Contains(p.Merged, holder) {
			next.Holders[holder] = s
		}
	}
	return next
}

// withOwn returns a pool with the share that its holder knows to be its own.
func (p pool) withOwn(self string, own share, limit int64) pool {
	next := p.clone()
	if _, listed := p.Holders[self]; listed || own != (share{}) {
		next.Holders[self] = own
	}
	if !slices.Contains(p.Merged, self) {
		next.Merged = append(slices.Clone(p.Merged), self)
	}
	next.withhold(limit)
	return next
}

// withhold withholds all that is free, or less if less was before.
func (p *pool) withhold(limit int64) {
	before := p.Withheld
	p.Withheld = 0
	p.Withheld = max(0, min(before, limit-p.committed()))
}

// takeOver returns the first row of an era, from the newest row of an earlier one.
func (a *account) takeOver() pool {
	p := pool{Holders: map[string]share{}}.with(a.source).with(a.earlier)
	p.Merged, p.Vouched, p.Heard = nil, false, false
	p.Withheld = max(0, a.limit)
	p.withhold(a.limit)
	return p
}

// merge returns the row to which this holder has added what it knows, and whether that changes
// it. The caller holds m.mu.
func (m *Manager) merge(a *account) (next pool, changed bool) {
	row := a.pool
	if a.version == 0 {
		row = a.takeOver()
	}
	next = row.with(a.earlier).withOwn(m.self, share{Granted: a.granted, Settled: a.settled, Since: m.firstEra}, a.limit)
	next.Vouched = row.Vouched || a.vouches
	same := a.version > 0 && row.Base >= a.earlier.version && next.Vouched == row.Vouched && next.Holders[m.self].Granted == row.Holders[m.self].Granted
	return next, !same
}

// release returns a pool of which nothing is withheld any more, if all VMs were heard. If none
// of them remembers the era before, what is free may have been spent in it.
func (m *Manager) release(a *account) (next pool, due bool) {
	if a.era == 0 || a.version <= 0 || a.pool.Heard || !m.allHeard() {
		return pool{}, false
	}
	next = a.pool.clone()
	if !next.Vouched && store.EraOf(next.Base) > 0 {
		next.Lost += next.Withheld
	}
	next.Withheld, next.Heard = 0, true
	return next, true
}

// needsRow reports whether a budget has no row in the table's era and this holder is to write
// it. The caller holds m.mu.
func (a *account) needsRow(now time.Time) bool {
	return a.era > 0 && a.version == 0 && (a.need > 0 || !now.Before(a.divideFrom))
}

// readSource reads the newest row of a pool from the eras before the table's.
func (m *Manager) readSource(ctx context.Context, a *account, era int64) (knownPool, error) {
	rows, err := m.options.Table.Scan(ctx, poolKey(a.budget), "", maxSourceRows)
	m.noteTableReply(err)
	if err != nil {
		return knownPool{}, err
	}
	var newest knownPool
	for _, row := range rows {
		budget, of := splitPoolKey(row.Key)
		if version := store.VersionIn(of, store.NumberOf(row.Version)); budget == a.budget && of < era && version > newest.version {
			p, err := decodePool(row.Value)
			if err != nil {
				return knownPool{}, err
			}
			newest = knownPool{pool: p, version: version, row: row}
		}
	}
	return newest, nil
}

// mergeAll merges what this holder knows before it stops.
func (m *Manager) mergeAll(ctx context.Context) {
	m.mu.Lock()
	m.currentEra()
	var left []*account
	for _, a := range m.accounts {
		if !a.merged {
			left = append(left, a)
		}
	}
	m.mu.Unlock()
	for _, a := range left {
		m.adjustGrant(ctx, a)
	}
}

// eraNow returns the table's era.
func (m *Manager) eraNow() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentEra()
}

// eraOfStart returns the first era that this process has known.
func (m *Manager) eraOfStart() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.currentEra()
	return m.firstEra
}

// mayLackReports reports whether a holder that has ended may have reported more than the table
// has: it started in an earlier era, and no report of it is of this one.
func (p predecessorState) mayLackReports(incarnation string, s share, era int64) bool {
	return s.Since > 0 && s.Since < era && p.reports[incarnation].Era < era
}

// isInEra reports whether a row that was written with a version belongs to the era that it was
// meant for.
func isInEra(version, era int64) bool { return era == 0 || store.EraOf(version) == era }

// errOtherEra is the result of a write that took effect in another era than it was meant for.
var errOtherEra = errors.Join(store.ErrOutcomeUnknown, eris.New("written in another era"))
