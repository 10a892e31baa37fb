package router

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/admission"
	"buckthornridge/budget"
	"buckthornridge/config"
	"buckthornridge/request"
	"buckthornridge/routing"
	"buckthornridge/upstream"
)

// bytesPerToken is the typical length of a token in bytes. It is used only to
// predict times; budgets reserve a request's ceiling.
const bytesPerToken = 4

// admissionPort adapts the admission controller in force to request.Admission.
type admissionPort struct {
	holder     *admissionHolder
	dataCentre string
}

var _ request.Admission = admissionPort{}

// Admit implements request.Admission.
func (p admissionPort) Admit(ctx context.Context, r *request.Request) (func(), error) {
	release, err := p.holder.load().Admit(ctx, p.admissionRequest(r))
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return nil, refusalProblem(refusal)
	}
	return release, err
}

func (p admissionPort) admissionRequest(r *request.Request) admission.Request {
	out := admission.Request{
		ID:         r.Key.ID,
		Workspace:  r.Key.Workspace,
		Kind:       r.Kind,
		DataCentre: p.dataCentre,
	}
	if r.Call != nil {
		out.Service = r.Call.Service
		out.Deadline = time.Now().Add(r.Timeout)
		return out
	}
	g := r.Generate
	out.Model = g.Model
	out.Prefix = upstream.PrefixChain(g.Model, g.Adapter, g.Prompt)
	out.PromptTokens = int64(len(g.Prompt)) / bytesPerToken
	out.MaxTokens = g.MaxTokens
	if g.FirstToken > 0 {
		out.Deadline = time.Now().Add(g.FirstToken)
	}
	return out
}

func refusalProblem(r *admission.Refusal) *request.Problem {
	name := request.ProblemOverloaded
	if r.Cause == admission.CauseDeadline {
		name = request.ProblemDeadline
	}
	return &request.Problem{Name: name, RunState: request.NotRun, RetryAfter: r.RetryAfter, Detail: r.Error()}
}

// budgetPort adapts this router's grants to request.Budgets.
type budgetPort struct {
	grantManager *budget.GrantManager
	resume       resumeCheck
}

var _ request.Budgets = budgetPort{}

// Reserve implements request.Budgets.
func (p budgetPort) Reserve(ctx context.Context, r *request.Request) (request.Reservation, error) {
	reservation, err := p.grantManager.Reserve(ctx, budget.Request{
		Budget:     r.BudgetID(),
		RequestKey: r.Key.ID,
		Ceiling:    r.Ceiling(),
	})
	if err != nil {
		return nil, err
	}
	return reservation, nil
}

// Alive implements request.Budgets.
func (p budgetPort) Alive() bool { return p.resume.waitActive() && p.grantManager.Alive() }

// routingPort adapts routing and the upstream clients to request.Router.
type routingPort struct {
	router     *routing.Router
	pool       *pool
	dataCentre string
}

var _ request.Router = routingPort{}

// Pick implements request.Router.
func (p routingPort) Pick(r *request.Request, exclude []string) (request.Choice, error) {
	choice, err := p.router.Pick(p.routingRequest(r, exclude))
	var noUpstream *routing.NoUpstreamError
	if errors.As(err, &noUpstream) {
		return nil, &request.Problem{Name: request.ProblemOverloaded, RunState: request.NotRun,
			RetryAfter: noUpstream.RetryAfter, Detail: noUpstream.Error()}
	}
	if err != nil {
		return nil, err
	}
	return routingChoice{choice: choice, started: time.Now(), onLeaving: p.pool.onLeaving, onRejected: p.pool.rejected, onRefused: p.pool.refused}, nil
}

func (p routingPort) routingRequest(r *request.Request, exclude []string) routing.Request {
	out := routing.Request{
		ID:         r.Key.ID,
		Workspace:  r.Key.Workspace,
		Attempt:    len(exclude),
		DataCentre: p.dataCentre,
		Exclude:    exclude,
	}
	if r.Call != nil {
		out.Target = routing.Target{Service: r.Call.Service}
		return out
	}
	g := r.Generate
	out.Target = routing.Target{Model: g.Model}
	out.Prefix = upstream.PrefixChain(g.Model, g.Adapter, g.Prompt)
	out.PromptTokens = int64(len(g.Prompt)) / bytesPerToken
	out.MaxTokens = g.MaxTokens
	out.Priority = g.Priority
	return out
}

// Claim implements request.Router.
func (p routingPort) Claim(id string) bool { return p.router.Table().Claim(id) }

// Engine implements request.Router.
func (p routingPort) Engine(id string) (upstream.Engine, error) { return p.pool.engine(id) }

// Service implements request.Router.
func (p routingPort) Service(id string) (upstream.Service, error) { return p.pool.service(id) }

// routingChoice reports the result of an attempt to routing.
type routingChoice struct {
	choice    *routing.Choice
	started   time.Time
	onLeaving func(id string, kind config.UpstreamKind)
	// onRejected is called for a refusal for want of room.
	onRejected func(id string, tokens int64)
	// onRefused is called for each refusal.
	onRefused func(id string, e *upstream.RefusedError)
}

// Upstream implements request.Choice.
func (c routingChoice) Upstream() string { return c.choice.UpstreamID }

// FirstToken implements request.Choice.
func (c routingChoice) FirstToken(after time.Duration) { c.choice.FirstToken(after) }

// Done implements request.Choice.
func (c routingChoice) Done(result request.AttemptResult) {
	kind := outcomeKind(result.Err)
	if kind == routing.OutcomeLeaving {
		c.onLeaving(c.choice.UpstreamID, config.UpstreamEngine) // only engines report this refusal
	}
	var refused *upstream.RefusedError
	if errors.As(result.Err, &refused) {
		c.onRefused(c.choice.UpstreamID, refused)
	}
	if kind == routing.OutcomeFull {
		c.onRejected(c.choice.UpstreamID, c.choice.Tokens)
	}
	c.choice.Done(routing.Outcome{
		Kind:         kind,
		FirstToken:   result.FirstToken,
		Total:        time.Since(c.started),
		PromptTokens: result.Usage.PromptTokens,
		CachedTokens: result.Usage.CachedTokens,
		OutputTokens: result.Usage.OutputTokens,
	})
}

// outcomeKind classifies the error of an attempt by what it says about the upstream.
func outcomeKind(err error) routing.OutcomeKind {
	var refused *upstream.RefusedError
	var problem *request.Problem
	switch {
	case err == nil || err == io.EOF:
		return routing.OutcomeOK
	case errors.As(err, &refused):
		return refusalKind(refused.Reason)
	case errors.Is(err, upstream.ErrNotSent):
		return routing.OutcomeUnreachable
	case errors.Is(err, upstream.ErrProtocol):
		return routing.OutcomeProtocol
	case errors.Is(err, upstream.ErrBroken), errors.Is(err, request.ErrStalled):
		return routing.OutcomeBroken
	case errors.As(err, &problem), errors.Is(err, context.Canceled), errors.Is(err, request.ErrCallersDisconnected):
		return routing.OutcomeCancelled
	}
	return routing.OutcomeBroken
}

func refusalKind(reason upstream.RefusalReason) routing.OutcomeKind {
	switch reason {
	case upstream.RefusedLeaving:
		return routing.OutcomeLeaving
	case upstream.RefusedModelNotLoaded:
		return routing.OutcomeNotLoaded
	}
	return routing.OutcomeFull
}

func missingSetting(name string) error { return eris.Errorf("settings: %s is missing", name) }
func notPositiveSetting(name string) error {
	return eris.Errorf("settings: %s must be greater than 0", name)
}
