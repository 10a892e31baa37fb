package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryLost reports that a feed can't resume from the requested version,
// because the changes after it are no longer kept. The reader reads all rows again.
var ErrHistoryLost = eris.New("store: history lost")

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Changes are changed rows as of one version of the table.
type Changes struct {
	Changes []Change
	Version int64
}

// Feed is a change feed of the rows whose keys have the same first segment, the
// text before the first slash.
type Feed interface {
	// All returns all rows whose keys begin with segment and a slash.
	All(ctx context.Context, segment string) (Changes, error)
	// Since returns the rows changed after a version, in the order of their
	// versions. It waits until there is at least one change and returns none if
	// the wait expires. It fails with ErrHistoryLost if the version is too old.
	Since(ctx context.Context, segment string, version int64, wait time.Duration) (Changes, error)
}

// Clock is a lower bound on the table service's monotonic clock.
type Clock interface {
	// Now returns a time that the service's clock has certainly reached, and
	// whether such a time is known yet. It is never ahead of the service's clock,
	// not even after a pause of the process.
	Now() (time.Duration, bool)
}
