package request

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/pause"
	"buckthornridge/store"
	"buckthornridge/upstream"
)

// claimState is the state of an at-most-once call in its claim row.
type claimState string

const (
	// claimHeld: the holder may have dispatched the call or may still dispatch it.
	claimHeld claimState = "held"
	// claimDone: the call was executed, and the row holds its reply.
	claimDone claimState = "done"
	// claimUnknown: bytes were sent, and no reply was received.
	claimUnknown claimState = "unknown"
	// claimFree: the call was certainly not executed and may be claimed again.
	claimFree claimState = "free"
)

// claimRow is the durable record that an at-most-once call depends on. Only the
// process that commits the row in state held may dispatch the call, and only once.
// A row does not expire: a holder that was paused may still be sending the call
// when it resumes.
type claimRow struct {
	Digest Digest     `json:"digest"`
	State  claimState `json:"state"`
	Holder string     `json:"holder"` // incarnation
	// Attempt numbers the claims of one holder. It identifies a claim that is read
	// back after the response to its write was lost. It is not a time, since two
	// claims can have the same one.
	Attempt int64           `json:"try"`
	Reply   *upstream.Reply `json:"reply,omitempty"`
	// ClaimedAt is for operators and for removing old rows; no decision uses it.
	ClaimedAt time.Time `json:"claimed_at"`
}

// sameAttempt reports whether two rows belong to the same claim.
func (r claimRow) sameAttempt(other claimRow) bool {
	return r.Holder == other.Holder && r.Attempt == other.Attempt
}

// claims acquires and ends claims in the platform's table.
type claims struct {
	holder   string
	table    store.Table
	attempts atomic.Int64
}

func newClaims(holder string, t store.Table) *claims { return &claims{holder: holder, table: t} }

// errClaimUndecided reports a claim whose result was not known in time. Nothing
// was dispatched under it.
var errClaimUndecided = eris.New("request: the claim could not be decided")

// claimRetryInterval is the delay between attempts to read or write a row.
const claimRetryInterval = 50 * time.Millisecond

// claimPrefix is the key prefix of claim rows in the table.
const claimPrefix = "claim/"

func claimKey(k Key) string { return claimPrefix + k.String() }

// read returns the row and its version. Version 0 means that the row is missing.
func (c *claims) read(ctx context.Context, k Key) (claimRow, int64, error) {
	rows, err := c.table.Read(ctx, claimKey(k))
	if err != nil {
		return claimRow{}, 0, eris.Wrapf(err, "read claim %s", k)
	}
	var row claimRow
	if rows[0].Version == 0 {
		return row, 0, nil
	}
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return row, 0, eris.Wrapf(err, "decode claim %s", k)
	}
	return row, rows[0].Version, nil
}

// acquire claims the key for this process. acquired is true only if the table
// holds the row with this holder and attempt; otherwise row is the row in the
// table. After an error, row is the claim that may still take effect, and the
// caller must revoke it.
//
// If the response to a write is lost, the row is read back: it carries this holder
// and attempt if the write took effect. A write that is still in flight is
// harmless, because it is conditional on a version that the next write changes.
func (c *claims) acquire(ctx context.Context, k Key, d Digest) (row claimRow, acquired bool, err error) {
	want := claimRow{Digest: d, State: claimHeld, Holder: c.holder, Attempt: c.attempts.Add(1), ClaimedAt: time.Now().UTC()}
	for {
		row, version, err := c.read(ctx, k)
		switch {
		case err != nil:
		case row.sameAttempt(want) && row.State == claimHeld:
			return row, true, nil
		case version != 0 && row.State != claimFree:
			return row, false, nil
		default:
			if err = c.write(ctx, k, version, want); err == nil {
				return want, true, nil
			}
		}
		if pause.For(ctx, claimRetryInterval) != nil {
			return want, false, eris.Wrapf(errClaimUndecided, "%s: %v", k, err)
		}
	}
}

// revoke ensures that an undecided claim does not take effect. If the row is
// missing, revoke writes a free one: a write of the claim that is still in flight
// requires that the row is missing, and then fails.
func (c *claims) revoke(ctx context.Context, k Key, undecided claimRow) {
	free := undecided
	free.State = claimFree
	for {
		row, version, err := c.read(ctx, k)
		if err == nil && version != 0 && !(row.sameAttempt(undecided) && row.State == claimHeld) {
			return
		}
		if err == nil && c.write(ctx, k, version, free) == nil {
			return
		}
		if pause.For(ctx, time.Second) != nil {
			return
		}
	}
}

// recordResult records how a claimed call ended. It retries until the row is
// written or ctx ends; in the latter case the row stays held, which other routers
// report as "unknown".
func (c *claims) recordResult(ctx context.Context, k Key, claimed claimRow, state claimState, reply *upstream.Reply) error {
	want := claimed
	want.State = state
	want.Reply = reply
	for {
		row, version, err := c.read(ctx, k)
		if err == nil {
			if !row.sameAttempt(claimed) || row.State == state {
				return nil
			}
			if err = c.write(ctx, k, version, want); err == nil {
				return nil
			}
		}
		if pause.For(ctx, claimRetryInterval) != nil {
			return eris.Wrapf(err, "record %s for claim %s", state, k)
		}
	}
}

func (c *claims) write(ctx context.Context, k Key, version int64, row claimRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return eris.Wrapf(err, "encode claim %s", k)
	}
	key := claimKey(k)
	_, err = c.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Version: version}},
		Writes:     []store.Write{{Key: key, Value: value}},
	})
	return eris.Wrapf(err, "write claim %s", k)
}
