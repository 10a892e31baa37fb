package allowance

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// maxReports bounds the reports of ended processes that are read at a start.
const maxReports = 64

// reclaimTries is how often a pool is tried when other holders are faster.
const reclaimTries = 20

func jitter(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d)) + 1) }

// leftover is what earlier processes on this VM left in the table.
type leftover struct {
	rows    []store.Row // their reports
	reports map[string]report
	pools   []store.Change
}

// open reads what earlier processes held. Requests are served from new grants
// from then on.
func (b *Book) open(ctx context.Context) (leftover, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callLimit)
	defer cancel()
	rows, err := b.options.Table.Scan(ctx, usagePrefix(b.options.VM), "", maxReports)
	if err != nil {
		return leftover{}, eris.Wrap(err, "read reports")
	}
	pools, err := b.options.Feed.All(ctx, poolSegment)
	b.answered(err)
	if err != nil {
		return leftover{}, eris.Wrap(err, "read pools")
	}
	reports, err := b.decodeReports(rows)
	if err != nil {
		return leftover{}, err
	}
	b.mu.Lock()
	b.ready = true
	b.mu.Unlock()
	b.learn(pools.Changes)
	return leftover{rows: rows, reports: reports, pools: pools.Changes}, nil
}

// settleAll settles what earlier processes on this VM held. They have ended, since
// this one runs, so their reports and shares are final but for writes that are
// still under way: a late report allows no more than the one in force, and a late
// change of a pool fails on the version that the settling has changed.
func (b *Book) settleAll(ctx context.Context, left leftover) {
	for len(left.pools) > 0 {
		err := b.reclaim(ctx, left.pools[0].Row, left.reports)
		if err == nil {
			left.pools = left.pools[1:]
			continue
		}
		logFailure("reclaim "+budgetOf(left.pools[0].Key), err)
		if !pause(ctx, openPause) {
			return
		}
	}
	b.forget(ctx, left.rows)
}

func (b *Book) decodeReports(rows []store.Row) (map[string]report, error) {
	earlier := map[string]report{}
	prefix := len(usagePrefix(b.options.VM))
	for _, row := range rows {
		incarnation := row.Key[prefix:]
		if incarnation == b.options.Incarnation {
			continue
		}
		r, err := decodeReport(row.Value)
		if err != nil {
			return nil, eris.Wrapf(err, "report of incarnation %s", incarnation)
		}
		earlier[incarnation] = r
	}
	return earlier, nil
}

// reclaim moves what ended processes of this VM held in one pool.
func (b *Book) reclaim(ctx context.Context, row store.Row, earlier map[string]report) error {
	for range reclaimTries {
		next, changed, err := b.reclaimed(row, earlier)
		if err != nil || !changed {
			return err
		}
		data, err := encode(next)
		if err != nil {
			return err
		}
		err = b.commit(ctx, row, store.Write{Key: row.Key, Value: data})
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConditionFailed) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return err
		}
		if !pause(ctx, jitter(grantPause)) {
			return ctx.Err()
		}
		if row, err = b.readRow(ctx, row.Key); err != nil {
			return err
		}
	}
	return eris.New("others were always faster")
}

func (b *Book) readRow(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	rows, err := b.options.Table.Read(ctx, key)
	if err != nil {
		return store.Row{}, err
	}
	return rows[0], nil
}

// commit writes or deletes one row under its version.
func (b *Book) commit(ctx context.Context, row store.Row, w store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, err := b.options.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []store.Write{w},
	})
	return err
}

// reclaimed returns a pool without the shares of ended processes of this VM.
func (b *Book) reclaimed(row store.Row, earlier map[string]report) (pool, bool, error) {
	p, err := decodePool(row.Value)
	if err != nil {
		return pool{}, false, err
	}
	now, known := b.options.Clock.Now()
	if !known {
		return pool{}, false, eris.New("the table's time is not known")
	}
	next, changed := p.clone(), false
	for holder, s := range p.Holders {
		vm, incarnation := holderVM(holder)
		if vm != b.options.VM || holder == b.self {
			continue
		}
		r := earlier[incarnation]
		l := r.Budgets[budgetOf(row.Key)] // nothing may be consumed without an entry
		used := min(l.allows(now-r.AsOf), s.Granted)
		settled := min(max(l.Settled, s.Settled), used)
		next.Settled += settled
		next.Lost += used - settled
		delete(next.Holders, holder)
		changed = true
		klog.Infof("step=reclaim budget=%s holder=%s granted=%d settled=%d lost=%d report_age_ms=%d",
			budgetOf(row.Key), holder, s.Granted, settled, used-settled, (now - r.AsOf).Milliseconds())
	}
	return next, changed, nil
}

// forget deletes the reports of ended processes.
func (b *Book) forget(ctx context.Context, rows []store.Row) {
	own := usagePrefix(b.options.VM) + b.options.Incarnation
	for _, row := range rows {
		if row.Key == own {
			continue
		}
		if err := b.commit(ctx, row, store.Write{Key: row.Key, Delete: true}); err != nil {
			logFailure("delete an old report", err)
		}
	}
}

// Close gives everything back at a planned stop. Requests must have ended; what
// cannot be given back in time is settled by the next process on the VM.
func (b *Book) Close(ctx context.Context) {
	b.mu.Lock()
	b.closed = true
	var accounts []*account
	for _, a := range b.accounts {
		accounts = append(accounts, a)
	}
	b.mu.Unlock()
	for _, a := range accounts {
		if err := b.leave(ctx, a); err != nil {
			logFailure("give back "+a.budget, err)
		}
	}
}

// leave takes this holder out of one pool.
func (b *Book) leave(ctx context.Context, a *account) error {
	for range grantTries {
		if b.versionOf(a) < 0 && !b.readPool(ctx, a) {
			return eris.New("the pool can't be read")
		}
		b.mu.Lock()
		row := a.pool.clone()
		_, member := row.Holders[b.self]
		delete(row.Holders, b.self)
		row.Settled += a.settled
		row.Lost += a.open
		version := a.version
		a.granted = min(a.granted, a.committed())
		b.mu.Unlock()
		if !member {
			return nil
		}
		data, err := encode(row)
		if err != nil {
			return err
		}
		key := poolKey(a.budget)
		err = b.commit(ctx, store.Row{Key: key, Version: version}, store.Write{Key: key, Value: data})
		if err == nil || !errors.Is(err, store.ErrConditionFailed) {
			return err
		}
		b.mu.Lock()
		a.version = -1
		b.mu.Unlock()
	}
	return eris.New("others were always faster")
}
