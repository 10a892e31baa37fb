package allowance

import (
	"context"
	"time"

	"buckthornridge/store"
)

// rereadsPerReport is how many reads of a report's row may be sent in the time between
// two reports while the table does not answer.
const rereadsPerReport = 2

// rereadEvery is the time between two reads of a row in a fleet whose table is silent.
func rereadEvery(vms int) time.Duration { return reportEvery(vms) / rereadsPerReport }

// reread reads a row and sends the read again at intervals until one is answered. While a
// table is silent it drops calls, so that a single read would learn of the table's return
// only after its own timeout.
func (m *Manager) reread(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	type answer struct {
		row store.Row
		err error
	}
	answers := make(chan answer, 1) // the first one counts
	ticker := time.NewTicker(rereadEvery(m.options.VMs()))
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
