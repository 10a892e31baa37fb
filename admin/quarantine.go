package admin

import (
	"context"
	"errors"
	"fmt"

	"buckthornridge/quarantine"
	"buckthornridge/store"
)

// listQuarantine returns the requests under which upstreams ended. They are not told apart
// by team.
func (s *Server) listQuarantine(c call) (any, error) {
	if !c.caller.fleet {
		return nil, newProblem(ProblemForbidden, "only teams with fleet may see the quarantine")
	}
	entries, err := quarantine.List(c.Context(), s.Table)
	return QuarantineReply{Entries: entries}, err
}

// releaseQuarantined lets a quarantined request run again.
func (s *Server) releaseQuarantined(c call) (any, error) {
	if !c.caller.fleet {
		return nil, newProblem(ProblemForbidden, "only teams with fleet may release a request")
	}
	fingerprint := c.PathValue("fingerprint")
	record := c.newAuditRecord(ActionRelease, fingerprint, "")
	return withAudit(c.Context(), s, record, func(ctx context.Context) (ReleaseReply, error) {
		err := quarantine.Release(ctx, s.Table, fingerprint)
		switch {
		case errors.Is(err, quarantine.ErrNotSuspected):
			return ReleaseReply{}, newProblem(ProblemNotFound, fmt.Sprintf("no upstream ended under the request %s", fingerprint))
		case errors.Is(err, store.ErrConditionFailed):
			return ReleaseReply{}, newProblem(ProblemConflict, "another request is being released; try again")
		}
		return ReleaseReply{Released: err == nil}, err
	})
}
