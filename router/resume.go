package router

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/budget/journal"
	"buckthornridge/membership"
	"buckthornridge/store"
)

// Timing of the check after a pause of the process.
const (
	livenessReadTimeout   = time.Second
	livenessRetryInterval = 200 * time.Millisecond
	// longPause is the length from which a pause requires a read of the table
	// before the router dispatches requests again. The platform declares no VM gone
	// within a shorter pause, and an unavailable table must not stop a router that
	// was only short of CPU time for a moment.
	longPause = 10 * time.Second
	// resumeCheckTimeout is how long a dispatch waits for a check in progress.
	resumeCheckTimeout = 2 * time.Second
	resumePollInterval = 5 * time.Millisecond
)

// resumeCheck verifies after a pause of this process that its journal is not
// sealed. A VM that was paused for minutes may have been declared gone, its journal
// sealed and its grants reclaimed. Without the check it would resume in the middle
// of a request, dispatch it under a grant that another router holds by now, and
// overspend the budget or run an at-most-once call again.
type resumeCheck struct {
	table   store.Table
	writer  *journal.Writer
	tracker *membership.Tracker
}

// run reads the journal's liveness row after a pause of the given length. After a
// long pause it retries until the table responds.
func (c resumeCheck) run(ctx context.Context, gap time.Duration) {
	klog.Warningf("this process was paused for %s", gap.Round(time.Millisecond))
	for ctx.Err() == nil {
		err := c.verifyJournal(ctx)
		if err == nil {
			return
		}
		if gap < longPause {
			klog.Warningf("journal not verified after a short pause: %v", err)
			return
		}
		select {
		case <-time.After(livenessRetryInterval):
		case <-ctx.Done():
		}
	}
}

// verifyJournal marks the journal as sealed if its liveness row is no longer the
// version that the writer created. It returns an error if the table is unavailable.
func (c resumeCheck) verifyJournal(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, livenessReadTimeout)
	defer cancel()
	liveness := c.writer.Condition()
	if liveness.Version == 0 {
		return nil // no request was dispatched yet
	}
	rows, err := c.table.Read(ctx, liveness.Key)
	if err != nil {
		return eris.Wrapf(err, "read %s after a pause", liveness.Key)
	}
	if rows[0].Version != liveness.Version {
		c.writer.MarkSealed(eris.New("journal found sealed after a pause"))
	}
	return nil
}

// waitActive reports whether the process is active, that is, no check is pending. It
// waits up to resumeCheckTimeout for a check in progress.
func (c resumeCheck) waitActive() bool {
	for deadline := time.Now().Add(resumeCheckTimeout); !c.tracker.Active(); {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(resumePollInterval)
	}
	return true
}
