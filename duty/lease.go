package duty

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// leasePrefix precedes the duty's name in the key of its lease row.
const leasePrefix = "lease/"

// leaseRow is the stored form of a lease.
type leaseRow struct {
	Holder string `json:"holder"` // empty after a release
	Fence  uint64 `json:"fence"`
}

// lease is this process's view of the lease of one duty. It is not safe for
// concurrent use: only the manager's loop uses it.
//
// Expiry needs no clock synchronization. The holder measures the TTL from before
// it sent its last commit, other processes from when they first read the
// resulting row version, which is after that commit. The holder thus stops
// first, unless it is paused.
type lease struct {
	name string
	duty Duty

	version int64     // row version last read
	seenAt  time.Time // when that version was first read or written
	row     leaseRow

	worker *passWorker // nil unless the lease is held
}

func (l *lease) key() string { return leasePrefix + l.name }

// observe records the row as read. The expiry restarts only if its version changed.
func (l *lease) observe(row store.Row, now time.Time) error {
	if row.Version == l.version && !l.seenAt.IsZero() {
		return nil
	}
	l.version, l.seenAt, l.row = row.Version, now, leaseRow{}
	if row.Version == 0 {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(row.Value, &l.row), "decode %s", row.Key)
}

// available reports whether the lease is released or has expired.
func (l *lease) available(ttl time.Duration, now time.Time) bool {
	return l.row.Holder == "" || now.Sub(l.seenAt) >= ttl
}

// nextRow returns the row that renews or takes over the lease, and false if
// another process holds it.
func (l *lease) nextRow(holder string, ttl time.Duration, now time.Time) (leaseRow, bool) {
	switch {
	case l.row.Holder == holder:
		return l.row, true // renewal, also after a takeover whose response was lost
	case l.available(ttl, now):
		return leaseRow{Holder: holder, Fence: l.row.Fence + 1}, true
	}
	return leaseRow{}, false
}

// write commits the row on condition that its version is the one last read.
func (l *lease) write(ctx context.Context, table store.Table, row leaseRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return eris.Wrapf(err, "encode %s", l.key())
	}
	version, err := table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: l.key(), Version: l.version}},
		Writes:     []store.Write{{Key: l.key(), Value: value}},
	})
	if err != nil {
		return eris.Wrapf(err, "write %s", l.key())
	}
	l.version, l.seenAt, l.row = version, time.Now(), row
	return nil
}

// drop stops the worker of the lease, if there is one, and logs the reason.
func (l *lease) drop(reason string) {
	if l.worker == nil {
		return
	}
	l.worker.stop()
	l.worker = nil
	klog.InfoS("stopped running duty", "duty", l.name, "why", reason)
}

// passWorker runs the passes of a duty while its lease is held.
type passWorker struct {
	cancel context.CancelFunc
	expiry *time.Timer
	done   chan struct{}
}

// stop cancels the worker and waits for the pass in progress.
func (w *passWorker) stop() {
	w.expiry.Stop()
	w.cancel()
	<-w.done
}

// expired reports whether the worker ended because the lease was not renewed in
// time.
func (w *passWorker) expired() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

func isConflict(err error) bool { return errors.Is(err, store.ErrConditionFailed) }
