package allowance

import (
	"context"
	"time"

	"buckthornridge/store"
)

// rereadsPerReport is how many reads of a report's row may be sent in the time between
// two reports while the table does not answer.
const rereadsPerReport = 2

// longSilence is the time without an answer of the table from which on a large fleet sends its
// reads more slowly: slowReread apart, instead of a few for each report.
const (
	longSilence = 2 * time.Second
	slowReread  = 500 * time.Millisecond
)

// rereadEvery is the time between two reads of a row in a fleet whose table has been silent for
// some time.
func rereadEvery(vms int, silence time.Duration) time.Duration {
	if vms > MaxHolders && silence > longSilence {
		return max(slowReread, reportEvery(vms)/rereadsPerReport)
	}
	return reportEvery(vms) / rereadsPerReport
}

// silence returns how long the table has not answered.
func (m *Manager) silence() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tableReachedAt.IsZero() {
		return 0
	}
	return time.Since(m.tableReachedAt)
}

// reread reads a row and sends the read again at intervals until one is answered. While a
// table is silent it drops calls, so that a single read would learn of the table's return
// only after its own timeout.
func (m *Manager) reread(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	type answer struct {
		row store.Row
		err error
	}
	answers := make(chan answer, 1) // the first one counts
	ticker := time.NewTicker(rereadEvery(m.options.VMs(), m.silence()))
	defer ticker.Stop()
	for {
		go func() {
			row, err := m.readRow(ctx, key)
			select {
			case answers <- answer{row, err}:
			default: // another read was answered first
			}
		}()
		select {
		case first := <-answers:
			return first.row, first.err
		case <-ticker.C:
		case <-ctx.Done():
			return store.Row{}, store.CallError("read", key, store.ErrUnavailable, ctx.Err())
		}
	}
}
