package admin

import (
	"context"
	"errors"
	"fmt"

	"buckthornridge/config"
	"buckthornridge/settings"
)

func (s *Server) getConfig(c call) (any, error) {
	version, err := queryNumber(c, "version", 0)
	if err != nil {
		return nil, err
	}
	state, err := s.loadVersion(c.Context(), config.Version(version))
	if err != nil {
		return nil, err
	}
	return ConfigReply{Version: state.Version, Document: visibleDocument(state.Document, c.caller)}, nil
}

// loadVersion returns a version of the configuration; 0 selects the accepted one.
func (s *Server) loadVersion(ctx context.Context, version config.Version) (config.State, error) {
	if version == 0 {
		head, err := s.Store.Head(ctx)
		if err != nil {
			return config.State{}, err
		}
		version = head.Version
	}
	return s.Store.Load(ctx, version)
}

func (s *Server) apply(c call) (any, error) {
	var request ApplyRequest
	root, err := decodeBody(c, maxConfigBytes, &request)
	if err != nil {
		return nil, err
	}
	if !idPattern.MatchString(request.ApplyID) {
		return nil, newProblem(ProblemMalformed, "apply_id: want "+idFormat)
	}
	// Apply ids are scoped to the team, so that teams can't collide.
	request.ApplyID = c.caller.team + "/" + request.ApplyID
	if c.caller.fleet {
		if faults := config.Check(request.Document, documentNode(root)); len(faults) > 0 {
			return nil, faults
		}
	}
	record := c.newAuditRecord(ActionApply, fmt.Sprintf("version after %d", request.Base), "apply "+request.ApplyID)
	version, err := withAudit(c.Context(), s, record, func(ctx context.Context) (config.Version, error) {
		return s.applyScoped(ctx, c.caller, request)
	})
	if err != nil {
		return nil, err
	}
	return ApplyReply{Version: version}, nil
}

// documentNode returns the node of the document in the body, for error positions.
func documentNode(root *settings.Node) *settings.Node {
	if member := root.Member("document"); member != nil {
		return member.Value
	}
	return nil
}

// applyScoped applies the part of a document that a principal may change. For a
// team without fleet, a base is stale only if the team's own part has changed
// since: other teams change theirs all the time, and that is no conflict.
func (s *Server) applyScoped(ctx context.Context, caller principal, request ApplyRequest) (config.Version, error) {
	for {
		applied, err := s.findApplied(ctx, caller, request)
		if err != nil || applied > 0 {
			return applied, err
		}
		version, err := s.applyOnce(ctx, caller, request)
		// Another apply was accepted in between; retry on the new head.
		var conflict *config.ConflictError
		if caller.fleet || !errors.As(err, &conflict) || ctx.Err() != nil {
			return version, err
		}
	}
}

// findApplied returns the version made by an earlier apply with the same id, or 0
// if there is none.
func (s *Server) findApplied(ctx context.Context, caller principal, request ApplyRequest) (config.Version, error) {
	version, err := s.Store.Applied(ctx, request.ApplyID)
	if err != nil || version == 0 {
		return 0, err
	}
	state, err := s.Store.Load(ctx, version)
	if err != nil {
		return 0, err
	}
	if !equalJSON(state.Document, combine(state.Document, request.Document, caller)) {
		return 0, config.ErrApplyIDReused
	}
	return version, nil
}

func (s *Server) applyOnce(ctx context.Context, caller principal, request ApplyRequest) (config.Version, error) {
	head, err := s.Store.Head(ctx)
	if err != nil {
		return 0, err
	}
	if caller.bootstrap && head.Version > 0 {
		return 0, newProblem(ProblemUnauthorized, "there is a configuration already: the bootstrap token no longer counts")
	}
	if inForce := s.Watcher.State().Version; head.Version < inForce {
		// The table was restored from an older backup. The next version number
		// would be at or below the one in force, so the version would never take
		// effect.
		return 0, newProblem(ProblemUnavailable, fmt.Sprintf("the table's version %d is behind version %d, which is in force; "+
			"nothing was changed", head.Version, inForce))
	}
	base, err := s.rebase(ctx, caller, request, head.Version)
	if err != nil {
		return 0, err
	}
	current, err := s.Store.Load(ctx, base)
	if err != nil {
		return 0, err
	}
	if p := checkScope(current.Document, request.Document, caller); p != nil {
		return 0, p
	}
	next := combine(current.Document, request.Document, caller)
	return s.Store.Apply(ctx, base, next, request.ApplyID, caller.author())
}

// rebase returns the version to apply on, or a conflict if the team's own part
// has changed since its base.
func (s *Server) rebase(ctx context.Context, caller principal, request ApplyRequest, head config.Version) (config.Version, error) {
	if caller.fleet || request.Base == head {
		return request.Base, nil
	}
	before, err := s.Store.Load(ctx, request.Base)
	if errors.Is(err, config.ErrPruned) {
		return 0, conflictProblem(&config.ConflictError{Base: request.Base, Head: config.Head{Version: head}})
	}
	if err != nil {
		return 0, err
	}
	now, err := s.Store.Load(ctx, head)
	if err != nil {
		return 0, err
	}
	changes, image, err := teamChanges(before.Document, now.Document, caller)
	if err != nil {
		return 0, err
	}
	if len(changes.Changes) > 0 {
		return 0, conflictProblem(&config.ConflictError{Base: request.Base, Head: now.Head, AcceptedChanges: changes, BaseAvailable: true, Before: image})
	}
	return head, nil
}

// teamChanges returns how a team's own part of the document changed, and the image
// of that part before the change.
func teamChanges(before, now config.Document, caller principal) (config.Delta, config.Image, error) {
	own := func(doc config.Document) (config.Image, error) {
		return config.NewImage(config.Document{
			Workspaces: teamWorkspaces(doc, caller.team),
			Teams:      map[string]config.Team{caller.team: doc.Teams[caller.team]},
		})
	}
	old, err := own(before)
	if err != nil {
		return config.Delta{}, config.Image{}, err
	}
	current, err := own(now)
	return config.Diff(old, current), old, err
}

func (s *Server) history(c call) (any, error) {
	before, err := queryNumber(c, "before", 0)
	if err != nil {
		return nil, err
	}
	limit, err := listLimit(c)
	if err != nil {
		return nil, err
	}
	records, err := s.Store.History(c.Context(), config.Version(before), limit)
	if err != nil {
		return nil, err
	}
	reply := HistoryReply{Versions: []config.Record{}}
	for _, record := range records {
		if c.caller.fleet || isTeamAuthor(record.Author, c.caller.team) {
			reply.Versions = append(reply.Versions, record)
		}
	}
	return reply, nil
}
