package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryLost reports that a feed can't go on from the version asked for, since
// the changes behind it are no longer kept. The reader takes all rows anew.
var ErrHistoryLost = eris.New("store: history lost")

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Changes are rows as of one version of the table service.
type Changes struct {
	Changes []Change
	Version int64
}

// Feed tells what has changed below the first segment of the keys, the text before
// their first slash.
type Feed interface {
	// All returns all rows whose keys begin with segment and a slash.
	All(ctx context.Context, segment string) (Changes, error)
	// Since returns the rows changed after a version, in the order of their
	// versions, as soon as there is one; none once the wait is over.
	// ErrHistoryLost if the version is too old.
	Since(ctx context.Context, segment string, version int64, wait time.Duration) (Changes, error)
}

// Clock tells the table service's own steady time.
type Clock interface {
	// Now returns a time that the service's clock has certainly reached, and
	// whether any is known yet. It never runs ahead of the service's clock, also
	// not when the process was paused.
	Now() (time.Duration, bool)
}
