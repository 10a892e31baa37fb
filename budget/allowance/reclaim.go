package allowance

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"buckthornridge/pause"
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
	pools   []store.Row
	// ended is a time of the table by which all earlier processes had ended.
	ended time.Duration
}

// open reads what earlier processes held. Requests are served from new grants
// from then on.
func (b *Book) open(ctx context.Context) (leftover, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	asked := time.Now()
	rows, err := b.options.Table.Scan(ctx, reportsOf(b.options.VM), "", maxReports)
	if err != nil {
		return leftover{}, eris.Wrap(err, "read reports")
	}
	clock, known := b.options.Clock.Now()
	if !known {
		return leftover{}, eris.New("the table's time is not known")
	}
	// The answer's time is later than the question, and the question later than the
	// start of this process by what has passed since. A process that starts while it
	// is cut off thus counts nothing for the time of the cut.
	ended := clock - asked.Sub(b.started)
	pools, err := b.scanPools(ctx)
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
	for _, row := range pools {
		b.learnPool(row)
	}
	return leftover{rows: rows, reports: reports, pools: pools, ended: ended}, nil
}

// scanPools reads all pools, their parts at once: callers wait for it.
func (b *Book) scanPools(ctx context.Context) ([]store.Row, error) {
	var (
		mu    sync.Mutex
		pools []store.Row
	)
	group, ctx := errgroup.WithContext(ctx)
	for bucket := range buckets {
		group.Go(func() error {
			rows, err := b.scanPart(ctx, poolPart(uint64(bucket)))
			mu.Lock()
			defer mu.Unlock()
			pools = append(pools, rows...)
			return err
		})
	}
	return pools, group.Wait()
}

// scanPart reads all rows whose keys begin with a part.
func (b *Book) scanPart(ctx context.Context, part string) ([]store.Row, error) {
	var all []store.Row
	after := ""
	for {
		rows, err := b.options.Table.Scan(ctx, part, after, scanRows)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// scanRows is how many rows one call reads.
const scanRows = 500

// settleAll settles what earlier processes on this VM held. They have ended, since
// this one runs, so their reports and shares are final but for writes that are
// still under way: a late report allows no more than the one in force, and a late
// change of a pool fails on the version that the settling has changed.
func (b *Book) settleAll(ctx context.Context, left leftover) {
	// All VMs may start at once; in the same order they would meet at each pool.
	rand.Shuffle(len(left.pools), func(i, j int) { left.pools[i], left.pools[j] = left.pools[j], left.pools[i] })
	for len(left.pools) > 0 {
		left.pools = b.settleSome(ctx, left)
		if len(left.pools) > 0 && pause.For(ctx, openPause) != nil {
			return
		}
	}
	b.forget(ctx, left.rows)
}

// settleSome tries each pool once and returns those that are left.
func (b *Book) settleSome(ctx context.Context, left leftover) []store.Row {
	var (
		mu    sync.Mutex
		again []store.Row
		tasks sync.WaitGroup
	)
	limit := make(chan struct{}, parallelGrants)
	for _, row := range left.pools {
		limit <- struct{}{}
		tasks.Go(func() {
			defer func() { <-limit }()
			if err := b.reclaim(ctx, row, left); err != nil {
				logFailure("reclaim "+budgetOf(row.Key), err)
				mu.Lock()
				defer mu.Unlock()
				again = append(again, row)
			}
		})
	}
	tasks.Wait()
	return again
}

func (b *Book) decodeReports(rows []store.Row) (map[string]report, error) {
	earlier := map[string]report{}
	prefix := len(reportsOf(b.options.VM))
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
func (b *Book) reclaim(ctx context.Context, row store.Row, left leftover) error {
	for range reclaimTries {
		next, changed, err := b.reclaimed(row, left)
		if err != nil || !changed {
			return err
		}
		data, err := encode(next)
		if err != nil {
			return err
		}
		version, err := b.commit(ctx, row, store.Write{Key: row.Key, Value: data})
		if err == nil {
			b.learnPool(store.Row{Key: row.Key, Value: data, Version: version})
			return nil
		}
		if !errors.Is(err, store.ErrConditionFailed) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return err
		}
		if pause.For(ctx, jitter(grantPause)) != nil {
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
func (b *Book) commit(ctx context.Context, row store.Row, w store.Write) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return b.options.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []store.Write{w},
	})
}

// reclaimed returns a pool without the shares of ended processes of this VM. What
// they had left goes to this process at once: it will have the same callers.
func (b *Book) reclaimed(row store.Row, left leftover) (pool, bool, error) {
	p, err := decodePool(row.Value)
	if err != nil {
		return pool{}, false, err
	}
	next, changed := p.clone(), false
	for holder, s := range p.Holders {
		vm, incarnation := holderVM(holder)
		if vm != b.options.VM || holder == b.self {
			continue
		}
		r := left.reports[incarnation]
		l := r.Budgets[budgetOf(row.Key)] // nothing may be consumed without an entry
		used := min(l.allows(left.ended-r.AsOf, r.Shape), s.Granted)
		settled := min(max(l.Settled, s.Settled), used)
		next.Settled += settled
		next.Lost += used - settled
		delete(next.Holders, holder)
		mine := next.Holders[b.self]
		mine.Granted += s.Granted - used
		next.Holders[b.self] = mine
		changed = true
		klog.Infof("step=reclaim budget=%s holder=%s granted=%d settled=%d lost=%d report_age_ms=%d",
			budgetOf(row.Key), holder, s.Granted, settled, used-settled, (left.ended - r.AsOf).Milliseconds())
	}
	return next, changed, nil
}

// forget deletes the reports of ended processes.
func (b *Book) forget(ctx context.Context, rows []store.Row) {
	own := reportsOf(b.options.VM) + b.options.Incarnation
	for _, row := range rows {
		if row.Key == own {
			continue
		}
		if _, err := b.commit(ctx, row, store.Write{Key: row.Key, Delete: true}); err != nil {
			logFailure("delete an old report", err)
		}
	}
}

// Close ends the holder's work at a planned stop. Requests must have ended. The
// last report says what was consumed and that nothing follows; the grants stay with
// the VM for a while, since it mostly starts again at once, and others take what it
// has left over if it does not.
func (b *Book) Close(ctx context.Context) {
	row := b.lastReport()
	data, err := encode(row)
	if err != nil {
		logFailure("close", err)
		return
	}
	key := reportsOf(b.options.VM) + b.options.Incarnation
	for range closeTries {
		version, err := b.readRow(ctx, key)
		if err == nil {
			_, err = b.commit(ctx, version, store.Write{Key: key, Value: data})
		}
		if err == nil {
			return
		}
		logFailure("close", err)
		if pause.For(ctx, jitter(grantPause)) != nil {
			return
		}
	}
}

// closeTries is how often the last report is written; without it the next process
// on the VM counts what the report before it allows.
const closeTries = 3

func (b *Book) lastReport() report {
	clock, _ := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	row := report{AsOf: clock, Shape: newShape(b.options.VMs()), Closed: true, Budgets: map[string]ledger{}}
	for name, a := range b.accounts {
		if a.granted > 0 || a.committed() > 0 {
			row.Budgets[name] = ledger{Settled: a.committed(), Base: a.committed()}
		}
	}
	return row
}

// foldClosed takes holders out of a pool that closed a while ago and whose VM has
// not come back. They consume nothing more, so anyone may do so.
func (b *Book) foldClosed(budget string, p *pool, now time.Duration) {
	for holder, s := range p.Holders {
		r, known := b.ended[holder]
		if !known || now-r.AsOf < closedHold {
			continue
		}
		used := min(r.Budgets[budget].Settled, s.Granted)
		p.Settled += used
		delete(p.Holders, holder)
	}
}

// closedHold is how long the grants of a closed holder wait for the next process
// on its VM, which takes a second or two to start.
const closedHold = 6 * time.Second
