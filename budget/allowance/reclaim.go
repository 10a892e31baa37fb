package allowance

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"buckthornridge/pause"
	"buckthornridge/store"
	"github.com/rotisserie/eris"
)

// maxReclaimTries is how often a pool is tried when other holders change it first.
const maxReclaimTries = 20

func jitter(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d)) + 1) }

// partitionState is the pools of one partition, and what predecessors on this VM left.
type partitionState struct {
	predecessorState
	pools []store.Row
	// readAt is when the pools were read.
	readAt time.Time
}

// reclaimPartition reclaims what predecessors on this VM held in the pools of one
// partition. They have ended, since this process runs, so their reports and shares are
// final except for writes under way: a late report allows no more than the one in force,
// and a late change of a pool fails on the version that the reclaim has changed. All VMs
// go through the pools in the same order, each in its slot.
func (m *Manager) reclaimPartition(ctx context.Context, state partitionState) {
	for waiting := state.pools; len(waiting) > 0; {
		var again []store.Row
		for _, row := range waiting {
			err := m.reclaimPool(ctx, row, state)
			if err != nil && !errors.Is(err, errNotTakenOver) {
				logFailure("reclaim "+budgetOf(row.Key), err)
			}
			if err != nil {
				again = append(again, row)
			}
		}
		if waiting = again; len(waiting) > 0 && pause.For(ctx, startBackoff) != nil {
			return
		}
	}
}

// reclaimPool moves what ended processes of this VM held in one pool.
func (m *Manager) reclaimPool(ctx context.Context, row store.Row, state partitionState) error {
	row, err := m.inTablesEra(ctx, row)
	if err == nil {
		row, err = m.awaitSlot(ctx, row, state)
	}
	if err != nil {
		return err
	}
	var unanswered []WriteOff // of a write that may have taken effect
	for range maxReclaimTries {
		next, ended, err := m.withoutPredecessors(row, state)
		if err == nil && len(ended) == 0 {
			m.noteWriteOffs(unanswered)
		}
		if err != nil || len(ended) == 0 {
			return err
		}
		data, err := encode(next)
		if err != nil {
			return err
		}
		version, err := m.commit(ctx, row, store.Write{Key: row.Key, Value: data})
		if err == nil {
			m.applyPool(store.Row{Key: row.Key, Value: data, Version: version})
			m.noteWriteOffs(ended)
			return nil
		}
		if !errors.Is(err, store.ErrConditionFailed) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return err
		}
		if errors.Is(err, store.ErrOutcomeUnknown) {
			unanswered = ended
		}
		if pause.For(ctx, jitter(grantRetryJitter)) != nil {
			return ctx.Err()
		}
		if row, err = m.rowAfterConflict(ctx, row.Key, err); err != nil {
			return err
		}
	}
	return eris.New("other holders changed the pool first each time")
}

// inTablesEra returns a pool's row in the table's era, once all VMs have added to it what ended
// processes held.
func (m *Manager) inTablesEra(ctx context.Context, row store.Row) (store.Row, error) {
	m.mu.Lock()
	now := m.currentEra()
	m.mu.Unlock()
	budget, era := splitPoolKey(row.Key)
	if now == 0 || era > now {
		return row, nil
	}
	for read := era < now; ; read = true {
		var err error
		if read {
			row, err = m.readRow(ctx, poolKeyIn(budget, now))
		}
		if err != nil {
			return row, err
		}
		p, err := decodePool(row.Value)
		switch {
		case err != nil:
			return row, err
		case row.Version > 0 && p.Heard:
			return row, nil
		case read:
			return row, errNotTakenOver
		}
	}
}

// rowAfterConflict returns a row from the error of a failed commit, or reads it.
func (m *Manager) rowAfterConflict(ctx context.Context, key string, failed error) (store.Row, error) {
	var conflict *store.ConflictError
	if errors.As(failed, &conflict) {
		for _, row := range conflict.Rows {
			if row.Key == key {
				return row, nil
			}
		}
	}
	return m.readRow(ctx, key)
}

func (m *Manager) readRow(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	rows, err := m.options.Table.Read(ctx, key)
	if err != nil {
		return store.Row{}, err
	}
	return rows[0], nil
}

// commit writes or deletes one row on condition of its version.
func (m *Manager) commit(ctx context.Context, row store.Row, w store.Write) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	return m.options.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []store.Write{w},
	})
}

// withoutPredecessors returns a pool without the shares of ended processes of this VM,
// and what each of them cost. What they had left goes to this process, since it will have
// the same callers.
func (m *Manager) withoutPredecessors(row store.Row, state partitionState) (pool, []WriteOff, error) {
	p, err := decodePool(row.Value)
	if err != nil {
		return pool{}, nil, err
	}
	next := p.clone()
	var ended []WriteOff
	for holder, s := range p.Holders {
		vm, incarnation := holderVM(holder)
		if vm != m.options.VM || holder == m.self {
			continue
		}
		entry, allowed, age := state.bindingEntry(incarnation, budgetOf(row.Key))
		used := min(allowed, s.Granted)
		if state.mayLackReports(incarnation, s, m.eraNow()) {
			used = s.Granted // the table may have lost reports that allow more
		}
		settled := min(max(entry.Settled, s.Settled), used)
		next.Settled += settled
		next.Lost += used - settled
		delete(next.Holders, holder)
		mine := next.Holders[m.self]
		mine.Granted, mine.Since = mine.Granted+s.Granted-used, m.eraOfStart()
		next.Holders[m.self] = mine
		ended = append(ended, WriteOff{
			Budget: budgetOf(row.Key), Holder: holder, Granted: s.Granted, Settled: settled,
			Losses: entry.splitLosses(settled, used), ReportAge: age,
		})
	}
	return next, ended, nil
}

// deleteReports deletes the rows that ended processes left.
func (m *Manager) deleteReports(ctx context.Context, rows []store.Row) {
	for _, row := range rows {
		if strings.HasSuffix(row.Key, "/"+m.options.Incarnation) || row.Key == summaryKey(m.options.VM, m.options.Incarnation) {
			continue
		}
		if _, err := m.commit(ctx, row, store.Write{Key: row.Key, Delete: true}); err != nil {
			logFailure("delete an old report", err)
		}
	}
}
