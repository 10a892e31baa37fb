package allowance

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// Timing of the upkeep.
const (
	upkeepInterval = 150 * time.Millisecond
	callLimit      = 1200 * time.Millisecond
	openPause      = 200 * time.Millisecond
	// followInterval is the time between two looks at what other holders have.
	followInterval = time.Second
	// grantTries is how often a change of a pool is tried anew when another holder
	// was faster.
	grantTries = 6
	// grantPause spreads those tries.
	grantPause = 15 * time.Millisecond
	// needLasts is how long the need of a request that was refused is tried for.
	needLasts = time.Second
	// parallelGrants bounds the pools that are changed at once.
	parallelGrants = 4
)

// Run settles what stood before this process and keeps grants and reports up to
// date until the context ends.
func (b *Book) Run(ctx context.Context) {
	var left leftover
	for {
		var err error
		if left, err = b.open(ctx); err == nil {
			break
		}
		logFailure("open budgets", err)
		if !pause(ctx, openPause) {
			return
		}
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { b.follow(ctx) })
	tasks.Go(func() { b.settleAll(ctx, left) })
	b.upkeep(ctx)
	tasks.Wait()
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// upkeep reports and changes grants, when a request waits and at intervals.
func (b *Book) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		if b.mustReport() {
			b.report(ctx)
		}
		if b.adjust(ctx) {
			b.report(ctx)
		}
		select {
		case <-b.kick:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// mustReport reports whether the bounds in force are too old or too tight.
func (b *Book) mustReport() bool {
	clock, known := b.options.Clock.Now()
	if !known {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dirty && time.Since(b.reportedAt) >= reportInterval {
		return true
	}
	for _, a := range b.accounts {
		if a.tight(clock) {
			return true
		}
	}
	return false
}

// tight reports whether a request waits, or will soon, for a new report only.
func (a *account) tight(clock time.Duration) bool {
	unspent := a.grant() - a.committed()
	if unspent <= 0 {
		return false
	}
	room := a.bound(clock) - a.committed()
	if a.need > 0 && time.Since(a.needAt) < needLasts && room < a.need && room < unspent {
		return true
	}
	rate := a.use.rate(time.Now())
	return rate > 0 && float64(room) < 0.4*coverSeconds*rate && room < unspent
}

// report writes down what this holder may have consumed.
func (b *Book) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if b.usageVersion < 0 && !b.readBack(ctx) {
		return
	}
	row, bounds := b.draft()
	data, err := encode(row)
	if err != nil {
		logFailure("report", err)
		return
	}
	key := reportsOf(b.options.VM) + b.options.Incarnation
	version, err := b.options.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Version: b.usageVersion}},
		Writes:     []store.Write{{Key: key, Value: data}},
	})
	b.answered(err)
	b.taken(bounds, version, err)
}

// draft makes a report and keeps to it from now on, since it may come into force
// at any moment from its sending on.
func (b *Book) draft() (report, map[*account]dated) {
	clock, _ := b.options.Clock.Now()
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	row := report{AsOf: clock, Budgets: make(map[string]ledger, len(b.accounts))}
	bounds := make(map[*account]dated, len(b.accounts))
	for name, a := range b.accounts {
		if now.Sub(a.needAt) > needLasts {
			a.need = 0
		}
		l := a.ledger(now)
		if l.Base == 0 && l.Rest == 0 && l.Demand == 0 {
			continue
		}
		row.Budgets[name] = l
		bounds[a] = dated{ledger: l, asOf: clock}
		a.bounds = append(a.bounds, bounds[a])
	}
	b.dirty, b.reportedAt = false, now
	return row, bounds
}

// taken handles the result of a report. Once one is acknowledged, no earlier one
// can come into force any more: each demands the version that it replaced.
func (b *Book) taken(bounds map[*account]dated, version int64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.usageVersion = version
		for a, bound := range bounds {
			a.bounds = append(a.bounds[:0], bound)
			a.wake()
		}
		return
	}
	logFailure("report", err)
	// The next report waits until the table has answered a read: a holder keeps to
	// each report from its sending on, and a cut-off one would never get beyond the
	// knee if it began a new one each time.
	b.usageVersion = -1
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrRateLimited) {
		// Certainly not written: what it would have promised binds no one.
		for a := range bounds {
			a.bounds = a.bounds[:len(a.bounds)-1]
		}
		return
	}
	b.thin()
}

// thin keeps the list of bounds short through a long outage. The first one is in
// force; of those that may come into force, the least counts and all grow alike,
// so that the lowest of each figure stands for all.
func (b *Book) thin() {
	for _, a := range b.accounts {
		if len(a.bounds) <= 3 {
			continue
		}
		merged := a.bounds[1]
		for _, bound := range a.bounds[2:] {
			merged.Base = min(merged.Base, bound.Base)
			merged.Rate = min(merged.Rate, bound.Rate)
			merged.Rest = min(merged.Rest, bound.Rest)
			merged.asOf = max(merged.asOf, bound.asOf)
		}
		a.bounds = append(a.bounds[:1], merged)
	}
}

// readBack finds the version of this holder's report after a lost answer.
func (b *Book) readBack(ctx context.Context) bool {
	rows, err := b.options.Table.Read(ctx, reportsOf(b.options.VM)+b.options.Incarnation)
	b.answered(err)
	if err != nil {
		logFailure("read report back", err)
		return false
	}
	b.usageVersion = rows[0].Version
	return true
}

// adjust changes grants where it is due. It reports whether a waiting request got
// one and needs a report.
func (b *Book) adjust(ctx context.Context) bool {
	due := b.due()
	if len(due) == 0 {
		return false
	}
	limit := make(chan struct{}, parallelGrants)
	var tasks sync.WaitGroup
	for _, a := range due {
		limit <- struct{}{}
		tasks.Go(func() {
			b.change(ctx, a)
			<-limit
		})
	}
	tasks.Wait()
	return true
}

func (b *Book) due() []*account {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []*account
	clock, _ := b.options.Clock.Now()
	for name, a := range b.accounts {
		if now.Sub(a.needAt) > needLasts {
			a.need = 0
		}
		b.foldClosed(name, &a.pool, clock)
		if a.version < 0 || a.mayRecall(now) || a.next(b.self, b.options.VMs(), now).change {
			due = append(due, a)
		}
	}
	return due
}

// change brings a holder's share of one pool to what is planned.
func (b *Book) change(ctx context.Context, a *account) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	began := time.Now()
	for try := range grantTries {
		if try > 0 && !pause(ctx, jitter(grantPause<<min(try, 3))) {
			return
		}
		if b.versionOf(a) < 0 && !b.readPool(ctx, a) {
			return
		}
		b.recall(ctx, a)
		if b.changeOnce(ctx, a) {
			b.notePoor(a, began)
			return
		}
	}
}

// notePoor remembers that tokens for a waiting request were not to be had, if other
// holders were asked since the time given.
func (b *Book) notePoor(a *account, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.recalledAt.Before(since) {
		return
	}
	if a.need > a.grant()-a.committed() && a.short() > 0 {
		a.poorUntil, a.poorFor = time.Now().Add(poorLasts), a.need
		a.need = 0
		a.wake()
	}
}

func (b *Book) versionOf(a *account) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.version
}

// readPool reads a pool's row.
func (b *Book) readPool(ctx context.Context, a *account) bool {
	rows, err := b.options.Table.Read(ctx, poolKey(a.budget))
	b.answered(err)
	if err != nil {
		logFailure("read pool", err)
		return false
	}
	return b.seen(a, rows[0])
}

// seen takes a newer row of a pool.
func (b *Book) seen(a *account, row store.Row) bool {
	p, err := decodePool(row.Value)
	if err != nil {
		logFailure("read pool "+a.budget, err)
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if row.Version < a.newest {
		return false // a stale read
	}
	a.pool, a.version, a.newest = p, row.Version, row.Version
	// The row is what counts, also where the answer to a change was lost. Only a
	// return that may still take effect stays in force against it.
	if row.Version > a.returning {
		a.granted = p.Holders[b.self].Granted
		a.wake()
	}
	return true
}

// changeOnce writes the planned share. It reports whether there is nothing more
// to do now.
func (b *Book) changeOnce(ctx context.Context, a *account) bool {
	txn, granted, version := b.planned(a)
	if txn == nil {
		return true
	}
	next, err := b.options.Table.Commit(ctx, *txn)
	b.answered(err)
	klog.Infof("step=grant budget=%s granted=%d version=%d failed=%t", a.budget, granted, version, err != nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		if a.lowered >= 0 && granted <= a.lowered {
			a.lowered = -1
		}
		if next > a.newest { // else a later row was seen, and it counts
			a.granted, a.version, a.newest = granted, next, next
			a.pool = a.pool.clone()
			a.pool.Holders[b.self] = share{Granted: granted, Settled: a.settled}
		}
		a.wake()
		return true
	}
	a.version = -1
	if !errors.Is(err, store.ErrConditionFailed) {
		logFailure("change grant of "+a.budget, err)
		return true
	}
	return false
}

// planned returns the transaction of a change, or nil if none is due. Tokens that
// are to be returned are out of use before the transaction is sent.
func (b *Book) planned(a *account) (txn *store.Txn, granted, version int64) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	p := a.next(b.self, b.options.VMs(), now)
	if !p.change {
		return nil, 0, 0
	}
	row := a.pool.clone()
	row.Holders[b.self] = share{Granted: p.granted, Settled: a.settled}
	data, err := encode(row)
	if err != nil {
		logFailure("change grant of "+a.budget, err)
		return nil, 0, 0
	}
	a.changedAt = now
	if p.granted < a.granted {
		a.granted, a.returning = p.granted, a.version
	}
	key := poolKey(a.budget)
	return &store.Txn{
		Conditions: []store.Condition{{Key: key, Version: a.version}},
		Writes:     []store.Write{{Key: key, Value: data}},
	}, p.granted, a.version
}

// follow reads what other holders have and report, so that grants follow their
// use.
func (b *Book) follow(ctx context.Context) {
	version := int64(-1)
	for pause(ctx, followInterval) {
		changes, err := b.poll(ctx, version)
		b.answered(err)
		if err != nil {
			if errors.Is(err, store.ErrHistoryLost) {
				version = -1
			}
			continue
		}
		version = changes.Version
		b.learn(changes.Changes)
	}
}

func (b *Book) poll(ctx context.Context, version int64) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if version < 0 {
		return b.options.Feed.All(ctx, segment)
	}
	return b.options.Feed.Since(ctx, segment, version, 0)
}

// learn takes rows of pools and reports.
func (b *Book) learn(changes []store.Change) {
	for _, change := range changes {
		switch {
		case change.Deleted:
			b.forgetEnded(change.Key)
		case strings.HasPrefix(change.Key, poolPrefix):
			b.learnPool(change.Row)
		case strings.HasPrefix(change.Key, usagePrefix):
			b.learnReport(change.Row)
		}
	}
}

// forgetEnded drops a holder whose report the next process on its VM has deleted.
func (b *Book) forgetEnded(key string) {
	if !strings.HasPrefix(key, usagePrefix) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ended, holderOf(key))
}

func (b *Book) learnPool(row store.Row) {
	b.mu.Lock()
	a := b.accounts[budgetOf(row.Key)]
	b.mu.Unlock()
	if a != nil {
		b.seen(a, row)
	}
}

func (b *Book) learnReport(row store.Row) {
	holder := holderOf(row.Key)
	if holder == b.self {
		return
	}
	r, err := decodeReport(row.Value)
	if err != nil {
		logFailure("read the report of "+holder, err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Closed {
		b.ended[holder] = r
	}
	for budget, l := range r.Budgets {
		if a := b.accounts[budget]; a != nil {
			a.others[holder] = l
		}
	}
}
