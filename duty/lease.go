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

// leaseRow is one lease in the table.
type leaseRow struct {
	Holder string `json:"holder"` // empty once released
	Fence  uint64 `json:"fence"`
}

// lease is this process's view of one duty's lease. Only the manager's loop
// uses it.
//
// No clock is compared across processes. The holder counts its time from before
// it sent its last commit, the others from when they first saw the row as it is,
// which is after that commit; so the holder stops first, unless it is paused.
type lease struct {
	name string
	duty Duty

	version int64 // of the row as last seen
	since   time.Time
	row     leaseRow

	pass *passes // nil unless held
}

func (l *lease) key() string { return leasePrefix + l.name }

// observe takes note of the row as read.
func (l *lease) observe(row store.Row, now time.Time) error {
	if row.Version == l.version && !l.since.IsZero() {
		return nil
	}
	l.version, l.since, l.row = row.Version, now, leaseRow{}
	if row.Version == 0 {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(row.Value, &l.row), "decode %s", row.Key)
}

// free reports whether anybody may take the lease.
func (l *lease) free(ttl time.Duration, now time.Time) bool {
	return l.row.Holder == "" || now.Sub(l.since) >= ttl
}

// next returns the row to write now, if any.
func (l *lease) next(holder string, ttl time.Duration, now time.Time) (leaseRow, bool) {
	switch {
	case l.row.Holder == holder:
		return l.row, true // renewal; also of a take-over whose answer was lost
	case l.free(ttl, now):
		return leaseRow{Holder: holder, Fence: l.row.Fence + 1}, true
	}
	return leaseRow{}, false
}

// write sets the row if it is as last seen.
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
	l.version, l.since, l.row = version, time.Now(), row
	return nil
}

// drop ends the passes of a lease that is held no more.
func (l *lease) drop(why string) {
	if l.pass == nil {
		return
	}
	l.pass.end()
	l.pass = nil
	klog.InfoS("duty given up", "duty", l.name, "why", why)
}

// passes is the running work of a held lease.
type passes struct {
	cancel context.CancelFunc
	lapse  *time.Timer
	done   chan struct{}
}

// end stops the work and waits for the pass in progress.
func (p *passes) end() {
	p.lapse.Stop()
	p.cancel()
	<-p.done
}

// lapsed reports whether the lease ran out before it was renewed.
func (p *passes) lapsed() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func isLost(err error) bool { return errors.Is(err, store.ErrConditionFailed) }
