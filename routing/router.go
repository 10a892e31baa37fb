package routing

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"buckthornridge/kernel"
)

// Router picks upstreams from a table according to a policy.
type Router struct {
	table   *Table
	policy  atomic.Pointer[Policy]
	explain *RingBuffer[Record]
	// workspaces holds a *RetryBudget per workspace.
	workspaces sync.Map
	random     random
}

// NewRouter returns a router over the table that uses the named policy module, or
// DefaultPolicy for an empty name.
func NewRouter(table *Table, policy string) (*Router, error) {
	r := &Router{table: table, explain: NewRingBuffer[Record](defaultRecords)}
	r.random.seedRandomly()
	return r, r.SetPolicy(policy)
}

// SetPolicy switches to the named policy module, or to DefaultPolicy for an empty name.
// What the table has learned is preserved.
func (r *Router) SetPolicy(policy string) error {
	if policy == "" {
		policy = DefaultPolicy
	}
	module, err := kernel.New[Policy](Namespace, policy)
	if err != nil {
		return err
	}
	r.policy.Store(&module)
	return nil
}

// Seed makes the router's random choices deterministic.
func (r *Router) Seed(seed uint64) { r.random.seed(seed) }

// Table returns the router's table.
func (r *Router) Table() *Table { return r.table }

// Explain returns the recorded decisions about a request, newest first.
func (r *Router) Explain(requestID string) []*Record {
	return r.explain.Find(func(rec *Record) bool { return rec.RequestID == requestID })
}

// Pick chooses an upstream and counts the request there until Choice.Done is called. The
// error is a *NoUpstreamError.
func (r *Router) Pick(request Request) (*Choice, error) {
	budget := r.workspaceRetries(request.Workspace)
	if request.Attempt == 0 {
		budget.Deposit()
	} else if !budget.Withdraw() {
		return nil, r.refuse(&request, ReasonNoRetry)
	}
	v := r.view(&request)
	if v.pool == nil {
		return nil, r.refuse(&request, ReasonNoPool)
	}
	for {
		e := r.choose(v)
		if e == nil && !v.borrow && r.table.borrowing.Load() {
			v.borrow = true
			continue
		}
		if e == nil {
			return nil, r.refuseLimited(v)
		}
		if ok, borrowed := e.claim(v.now, v.borrow, request.tokens()); ok {
			choice := r.commit(v, e)
			choice.Borrowed = borrowed
			return choice, nil
		}
		v.abandon(e) // another request took the place of this one
	}
}

// abandon undoes the choice of an upstream that gets no request.
func (v *view) abandon(e *entry) {
	if v.why == ReasonProbe {
		e.health.probing.Store(0)
	}
	v.why = ReasonPolicy
}

func (r *Router) view(request *Request) *view {
	s := r.table.current.Load()
	v := &view{request: request, set: s, index: r.table.index, wall: time.Now(), why: ReasonPolicy, random: &r.random, routers: max(r.table.routers.Load(), 1)}
	v.now = v.wall.Sub(r.table.start)
	v.pool = s.pools[request.Target]
	if v.pool != nil {
		r.table.refresh(v.pool)
	}
	v.from = s.topology.index[request.DataCentre]
	v.table = r.table
	if request.AffinityKey != 0 {
		v.prefillCost = r.table.prefillCostOf(request.Target)
		v.cachedAt = r.table.sessions.find(request.AffinityKey, v.now)
		v.fetch = r.table.fetchModelOf(request.Target)
		v.findHolder()
	}
	return v
}

// choose returns, in this order, an upstream with a due probe, the policy's choice, any
// live upstream, even if it is ejected or stalled, or one that is suspected or dead.
func (r *Router) choose(v *view) *entry {
	if e := v.dueProbe(); e != nil {
		v.why = ReasonProbe
		return e
	}
	if e := (*r.policy.Load()).choose(v); e != nil {
		return e
	}
	if e := v.anyOf(v.pool.live); e != nil {
		v.why = ReasonAllEjected
		return e
	}
	if e := v.anyOf(v.pool.fallback); e != nil {
		v.why = ReasonNoneLive
		return e
	}
	return nil
}

// dueProbe examines one random upstream and claims its probe if one is due. Only first
// attempts probe: a request that failed once is not put at risk again.
func (v *view) dueProbe() *entry {
	if v.request.Attempt > 0 || len(v.pool.live) == 0 {
		return nil
	}
	e := v.pool.live[v.random.below(len(v.pool.live))]
	if e.health.ejected() && e.takesWork() && v.allowed(e) && e.health.claimProbe(v.now) {
		return e
	}
	return nil
}

// anyOf returns the first allowed upstream of a list, from a random position, preferring a
// usable one.
func (v *view) anyOf(list []*entry) *entry {
	var fallback *entry
	if len(list) == 0 {
		return nil
	}
	first := v.random.below(len(list))
	for i := range list {
		e := list[(first+i)%len(list)]
		if v.usable(e) {
			return e
		}
		if fallback == nil && e.takesWork() && v.allowed(e) {
			fallback = e
		}
	}
	return fallback
}

func (r *Router) workspaceRetries(workspace string) *RetryBudget {
	if known, ok := r.workspaces.Load(workspace); ok {
		return known.(*RetryBudget)
	}
	fresh := new(RetryBudget)
	fresh.init(workspaceRetryShare, workspaceRetryBurst)
	kept, _ := r.workspaces.LoadOrStore(workspace, fresh)
	return kept.(*RetryBudget)
}

const (
	retryAfterNoUpstream = 2 * time.Second
	retryAfterNoRetry    = time.Second
)

func (r *Router) refuse(request *Request, why Reason) error {
	r.explain.Add(&Record{
		RequestID: request.ID, At: time.Now(), Target: request.Target, Attempt: request.Attempt, Why: why,
	})
	base := retryAfterNoUpstream
	if why == ReasonNoRetry {
		base = retryAfterNoRetry
	}
	// Jitter, so that refused callers do not return at the same time.
	after := base/2 + time.Duration(r.random.fraction()*float64(base))
	return &NoUpstreamError{Target: request.Target, RetryAfter: after, Why: string(why)}
}

// refuseLimited refuses a request that no upstream may get now. If all of them wait for their
// limits, the caller is told when the first one may get a request.
func (r *Router) refuseLimited(v *view) error {
	err := r.refuse(v.request, ReasonExcluded)
	wait, limited := v.untilAllowed()
	var none *NoUpstreamError
	if limited && errors.As(err, &none) {
		none.Limited, none.RetryAfter = true, max(wait, minLimitedRetry)
	}
	return err
}

// UntilAllowed returns the time until the first upstream may get a request like this one, if
// all of them wait for their limits.
func (r *Router) UntilAllowed(request Request) (time.Duration, bool) {
	v := r.view(&request)
	if v.pool == nil {
		return 0, false
	}
	v.borrow = r.table.borrowing.Load()
	wait, limited := v.untilAllowed()
	return max(wait, minLimitedRetry), limited
}

// minLimitedRetry is the least time after which a caller that was refused for the limits
// of upstreams is told to come back.
const minLimitedRetry = 100 * time.Millisecond

// commit counts the request at the chosen upstream and records the explanation.
func (r *Router) commit(v *view, e *entry) *Choice {
	if v.estimate.firstToken == 0 || v.why != ReasonPolicy {
		v.estimate = v.predict(e, v.hits.forEntry(e))
	}
	if v.request.Attempt == 0 {
		e.retries.Deposit()
	} else {
		e.retries.Withdraw()
	}
	e.begin(v.now, v.request.Priority, v.estimate.own)
	v.pool.count(v.request.Priority, v.estimate.own)
	if v.request.AffinityKey != 0 {
		v.estimate.firstToken = time.Duration(e.speed.load(v.now) * float64(v.firstToken(e)+v.prefillCost.typicalRest()))
	}
	fetchFrom := ""
	if _, fetches := v.fetchTime(e); fetches {
		fetchFrom = v.holder.address
	}
	queued := v.queue(e)
	r.explain.Add(&Record{
		RequestID: v.request.ID, At: v.wall, Target: v.request.Target, Attempt: v.request.Attempt,
		Upstream: e.id, FirstToken: v.estimate.firstToken, Why: v.why, Candidates: v.candidates,
	})
	return &Choice{
		UpstreamID: e.id, Address: e.address, Expected: v.estimate.firstToken, Why: v.why,
		table: r.table, entry: e, estimate: v.estimate, prefix: v.request.Prefix, Tokens: v.request.tokens(), priority: v.request.Priority,
		pool: v.pool, prefill: queued, prefillCost: v.prefillCost, target: v.request.Target, pauseTarget: v.request.PauseTarget, FetchFrom: fetchFrom,
	}
}
