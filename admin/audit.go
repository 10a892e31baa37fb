package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
)

// idPattern is the format of the ids of applies and top-ups.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9._:~-]{1,64}$`)

const idFormat = "1 to 64 letters, digits or . _ : ~ -"

// Key prefixes of the audit rows. Each record is stored in the list of all
// records and in the list of its team. Keys decrease with time, so that a scan
// returns the newest records first.
const (
	auditAllPrefix  = "audit/all/"
	auditTeamPrefix = "audit/team/"
)

func teamAuditPrefix(team string) string { return auditTeamPrefix + team + "/" }

func (r AuditRecord) keySuffix() string {
	return fmt.Sprintf("%020d-%s", math.MaxInt64-r.At.UnixNano(), r.ID)
}

// Limits for writing a record.
const (
	maxAuditAttempts = 5
	auditRetryDelay  = 50 * time.Millisecond
	auditTimeout     = 3 * time.Second
	maxDetail        = 2000 // bytes
)

// auditLog stores audit records in the platform's table.
type auditLog struct{ table store.Table }

func (c call) newAuditRecord(action Action, target, detail string) AuditRecord {
	return AuditRecord{At: time.Now().UTC(), ID: c.id, Team: c.caller.team, Role: c.caller.role, Token: c.caller.token,
		Action: action, Target: target, Detail: detail}
}

// withAudit makes a change and records it. The record is written before the
// change, so that no change lacks one even if the process dies between the two
// writes. The outcome of the change is written afterwards.
func withAudit[T any](ctx context.Context, s *Server, record AuditRecord, change func(context.Context) (T, error)) (T, error) {
	var zero T
	record.Outcome = OutcomeBegun
	if err := s.audit.write(ctx, record); err != nil {
		return zero, newProblem(ProblemUnavailable, "nothing was changed, since the audit can't be written: "+err.Error())
	}
	result, err := change(ctx)
	record.Outcome = outcomeOf(err)
	if err != nil {
		record.Detail += ": " + err.Error()
	} else {
		s.Counters.Changes.Add(string(record.Action), 1)
	}
	outcomeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
	defer cancel()
	if s.audit.write(outcomeCtx, record) != nil {
		s.Counters.OutcomeWriteFailures.Add(1)
	}
	return result, err
}

func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeDone
	case errors.Is(err, store.ErrOutcomeUnknown):
		return OutcomeUnknown
	}
	return OutcomeRefused
}

// write stores a record. Writing the begun record requires that no row exists:
// a commit of it that arrives late would otherwise overwrite the outcome.
func (a auditLog) write(ctx context.Context, record AuditRecord) error {
	record.Detail = record.Detail[:min(len(record.Detail), maxDetail)]
	text, err := json.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode audit record")
	}
	all, team := auditAllPrefix+record.keySuffix(), teamAuditPrefix(record.Team)+record.keySuffix()
	txn := store.Txn{Writes: []store.Write{{Key: all, Value: text}, {Key: team, Value: text}}}
	if record.Outcome == OutcomeBegun {
		txn.Conditions = []store.Condition{{Key: all}}
	}
	for attempt := 1; ; attempt++ {
		_, err = a.table.Commit(ctx, txn)
		if errors.Is(err, store.ErrConditionFailed) {
			return nil // an earlier attempt was written; ids are never reused
		}
		if err == nil || attempt == maxAuditAttempts || ctx.Err() != nil {
			return eris.Wrap(err, "write audit record")
		}
		select {
		case <-ctx.Done():
		case <-time.After(auditRetryDelay * time.Duration(attempt)):
		}
	}
}

// list returns the records below a prefix, newest first, that are older than the
// record with the key suffix after.
func (a auditLog) list(ctx context.Context, prefix, after string, limit int) ([]AuditRecord, error) {
	if after != "" {
		after = prefix + after
	}
	rows, err := a.table.Scan(ctx, prefix, after, limit)
	if err != nil {
		return nil, eris.Wrap(err, "list audit records")
	}
	records := make([]AuditRecord, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &records[i]); err != nil {
			return nil, eris.Wrapf(err, "decode %s", row.Key)
		}
	}
	return records, nil
}
