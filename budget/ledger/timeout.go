package ledger

import (
	"context"
	"time"

	"buckthornridge/store"
)

// CallTimeout is the timeout of one call to the table. A commit that exceeds it
// has an unknown outcome and is resolved by reading back.
const CallTimeout = 2 * time.Second

// timeoutTable applies CallTimeout to every call. Without it, a table that accepts
// calls and never answers would block a duty or a grant manager until a restart.
type timeoutTable struct{ table store.Table }

// WithTimeout returns a table whose calls time out after CallTimeout.
func WithTimeout(table store.Table) store.Table {
	if _, already := table.(timeoutTable); already {
		return table
	}
	return timeoutTable{table}
}

// Read implements store.Table.
func (b timeoutTable) Read(ctx context.Context, keys ...string) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return b.table.Read(ctx, keys...)
}

// Scan implements store.Table.
func (b timeoutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return b.table.Scan(ctx, prefix, after, limit)
}

// Commit implements store.Table.
func (b timeoutTable) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return b.table.Commit(ctx, txn)
}
