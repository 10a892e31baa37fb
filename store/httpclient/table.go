package httpclient

import (
	"context"
	"strings"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
	"buckthornridge/store/wire"
)

type table struct{ *Client }

func (t table) Read(ctx context.Context, keys ...string) ([]store.Row, error) {
	e := post(store.StepRead, wire.PathRead, wire.ReadRequest{Keys: keys})
	if err := store.CheckKeys(keys); err != nil {
		return nil, t.invalidRequest(e, err)
	}
	response, err := call(ctx, t.Client, e, func(a wire.RowsResponse) error { return checkRead(keys, a.Rows) })
	if err != nil {
		return nil, err
	}
	return response.Rows, nil
}

// checkRead rejects a response that belongs to another request. Its rows would
// otherwise be used as the requested rows, so that a wrong version or a missing row
// would persist.
func checkRead(keys []string, rows []store.Row) error {
	if len(rows) != len(keys) {
		return eris.Errorf("%d rows for %d keys", len(rows), len(keys))
	}
	for i, row := range rows {
		if row.Key != keys[i] || row.Version < 0 {
			return eris.Errorf("row %q version %d for key %q", row.Key, row.Version, keys[i])
		}
	}
	return nil
}

func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	e := post(store.StepScan, wire.PathScan, wire.ScanRequest{Prefix: prefix, After: after, Limit: limit})
	if err := store.CheckScan(prefix, after, limit); err != nil {
		return nil, t.invalidRequest(e, err)
	}
	response, err := call(ctx, t.Client, e, func(a wire.RowsResponse) error { return checkScan(prefix, after, limit, a.Rows) })
	if err != nil {
		return nil, err
	}
	return response.Rows, nil
}

func checkScan(prefix, after string, limit int, rows []store.Row) error {
	if rows == nil || len(rows) > limit {
		return eris.Errorf("%d rows for limit %d", len(rows), limit)
	}
	for _, row := range rows {
		if row.Key <= after || !strings.HasPrefix(row.Key, prefix) || row.Version < 1 {
			return eris.Errorf("unexpected row %q version %d", row.Key, row.Version)
		}
		after = row.Key
	}
	return nil
}

func (t table) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	e := post(store.StepCommit, wire.PathCommit, txn)
	e.write = true
	if err := store.CheckTxn(txn); err != nil {
		return 0, t.invalidRequest(e, err)
	}
	response, err := call(ctx, t.Client, e, func(a wire.CommitResponse) error {
		if a.Version < 1 {
			return eris.Errorf("invalid commit version %d", a.Version)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return response.Version, nil
}

// invalidRequest returns the error of a request that is not sent because the
// platform would reject it.
func (c *Client) invalidRequest(e exchange, err error) error {
	return eris.Wrapf(err, "%s %s", e.step, c.options.Address)
}
