package admin

import (
	"context"
	"fmt"

	"buckthornridge/budget"
	"buckthornridge/store"
)

// NewBudgets returns Budgets stored in a table.
func NewBudgets(table store.Table) Budgets { return tableBudgets{table} }

type tableBudgets struct{ table store.Table }

func (b tableBudgets) TopUp(ctx context.Context, id budget.ID, topUpID string, tokens int64) (bool, error) {
	return budget.TopUp(ctx, b.table, id, topUpID, tokens)
}

func (b tableBudgets) Status(ctx context.Context, id budget.ID) (budget.State, error) {
	return budget.Status(ctx, b.table, id)
}

func (b tableBudgets) Audit(ctx context.Context) (budget.Report, error) {
	return budget.Audit(ctx, b.table)
}

// accessibleBudget returns the budget named by a request. A missing budget and
// one of another team give the same error, so that a caller can't probe for
// names.
func (s *Server) accessibleBudget(c call) (budget.ID, error) {
	id := budget.ID{Workspace: c.PathValue("workspace"), Name: c.PathValue("budget")}
	snapshot := s.Watcher.Holder.Load()
	workspace, known := snapshot.Workspaces[id.Workspace]
	if _, exists := workspace.Budgets[id.Name]; !known || !exists || !(c.caller.fleet || workspace.Team == c.caller.team) {
		return id, newProblem(ProblemNotFound, fmt.Sprintf("there is no budget %s here", id))
	}
	return id, nil
}

func (s *Server) budget(c call) (any, error) {
	id, err := s.accessibleBudget(c)
	if err != nil {
		return nil, err
	}
	state, err := s.Budgets.Status(c.Context(), id)
	if err != nil {
		return nil, err
	}
	return BudgetReply{Workspace: id.Workspace, Budget: id.Name, BudgetStatus: BudgetStatus{
		Purchased: state.Purchased, Billed: state.Billed, Lost: state.LostTokens(),
		Held: state.HeldTokens(), Free: state.Free,
	}}, nil
}

func (s *Server) topUp(c call) (any, error) {
	id, err := s.accessibleBudget(c)
	if err != nil {
		return nil, err
	}
	var request TopUpRequest
	if _, err := decodeBody(c, maxBodyBytes, &request); err != nil {
		return nil, err
	}
	if !idPattern.MatchString(request.ID) {
		return nil, newProblem(ProblemMalformed, "id: want "+idFormat)
	}
	if request.Tokens <= 0 {
		return nil, newProblem(ProblemMalformed, "tokens: must be more than 0")
	}
	record := c.newAuditRecord(ActionTopUp, id.String(), fmt.Sprintf("%d tokens, top-up %s", request.Tokens, request.ID))
	applied, err := withAudit(c.Context(), s, record, func(ctx context.Context) (bool, error) {
		return s.Budgets.TopUp(ctx, id, request.ID, request.Tokens)
	})
	return TopUpReply{Applied: true, AppliedBefore: !applied}, err
}

func (s *Server) auditBudgets(c call) (any, error) {
	if !c.caller.fleet {
		return nil, newProblem(ProblemForbidden, "only teams with fleet may audit all budgets")
	}
	return s.Budgets.Audit(c.Context())
}

func (s *Server) listAuditRecords(c call) (any, error) {
	limit, err := listLimit(c)
	if err != nil {
		return nil, err
	}
	prefix := auditAllPrefix
	if !c.caller.fleet {
		prefix = teamAuditPrefix(c.caller.team)
	}
	records, err := s.audit.list(c.Context(), prefix, c.URL.Query().Get("after"), max(limit, 1))
	return AuditReply{Records: records}, err
}
