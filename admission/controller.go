package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"buckthornridge/config"
	"buckthornridge/kernel"
	"buckthornridge/routing"
)

// Defaults and bounds.
const (
	defaultQueuePerWorkspace = 64
	// defaultServiceTime is how long a request is assumed to occupy its slot
	// until one has been seen to end.
	defaultServiceTime = 2 * time.Second
	// recheckInterval is how often a pool with waiting requests checks for capacity
	// of which it is not notified, such as that freed by other routers' requests.
	recheckInterval = 25 * time.Millisecond
	minRetryAfter   = 100 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
	maxDecisions    = 4096
)

// Controller admits or refuses requests. It is safe for concurrent use.
type Controller struct {
	capacity  Capacity
	snapshot  atomic.Pointer[config.Snapshot]
	policy    string
	pools     sync.Map // routing.Target to *pool
	decisions *routing.RingBuffer[Decision]
}

// NewController returns a controller that uses the named queue policy, or
// DefaultPolicy for an empty name.
func NewController(capacity Capacity, policy string) (*Controller, error) {
	if policy == "" {
		policy = DefaultPolicy
	}
	if _, err := kernel.New[Queue](Namespace, policy); err != nil {
		return nil, err
	}
	c := &Controller{capacity: capacity, policy: policy, decisions: routing.NewRingBuffer[Decision](maxDecisions)}
	c.snapshot.Store(&config.Snapshot{})
	return c, nil
}

// Update applies the kinds, shares and limits of a snapshot.
func (c *Controller) Update(snapshot *config.Snapshot) { c.snapshot.Store(snapshot) }

// Explain returns the retained decisions about a request, newest first.
func (c *Controller) Explain(requestID string) []*Decision {
	return c.decisions.Find(func(d *Decision) bool { return d.RequestID == requestID })
}

// Wake admits waiting requests of a target if it has capacity. It is called when
// capacity may have become free.
func (c *Controller) Wake(target routing.Target) {
	if existing, ok := c.pools.Load(target); ok {
		existing.(*pool).dispatch()
	}
}

// Waiting returns the number of queued requests for the target.
func (c *Controller) Waiting(target routing.Target) int {
	if existing, ok := c.pools.Load(target); ok {
		p := existing.(*pool)
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.queue.len()
	}
	return 0
}

// Admit waits until the request may be dispatched. The caller must call release
// when the request no longer uses an upstream; further calls have no effect. The
// error is a *Refusal or the error of ctx.
func (c *Controller) Admit(ctx context.Context, request Request) (release func(), err error) {
	snapshot := c.snapshot.Load()
	priority := snapshot.Kinds[request.Kind].Priority
	share := snapshot.Workspaces[request.Workspace].Share
	if share <= 0 {
		share = 1
	}
	p := c.pool(request.target())
	decision := &Decision{
		RequestID: request.ID, At: time.Now(), Workspace: request.Workspace,
		Kind: request.Kind, Priority: priority,
	}
	w := &waiter{
		workspace: request.Workspace, priority: priority, cost: request.cost(),
		deadline: request.Deadline, firstToken: c.capacity.PredictFirstToken(request.routing(priority)),
		result: make(chan error, 1),
	}
	decision.FirstToken = w.firstToken
	err = p.enqueue(w, share, queueBound(snapshot), decision)
	if err == nil {
		err = p.wait(ctx, w)
	}
	c.recordDecision(decision, err)
	if err != nil {
		return nil, err
	}
	var once sync.Once
	return func() { once.Do(func() { p.release() }) }, nil
}

func queueBound(s *config.Snapshot) int {
	if s.Policy.Load.QueuePerWorkspace > 0 {
		return s.Policy.Load.QueuePerWorkspace
	}
	return defaultQueuePerWorkspace
}

func (c *Controller) recordDecision(decision *Decision, err error) {
	decision.Waited = time.Since(decision.At)
	decision.Admitted = err == nil
	if refusal, ok := err.(*Refusal); ok {
		decision.Cause = refusal.Cause
		decision.RetryAfter = refusal.RetryAfter
	}
	c.decisions.Add(decision)
}

func (c *Controller) pool(target routing.Target) *pool {
	if existing, ok := c.pools.Load(target); ok {
		return existing.(*pool)
	}
	queue, err := kernel.New[Queue](Namespace, c.policy)
	if err != nil {
		panic(err) // NewController has validated the policy
	}
	created := &pool{target: target, capacity: c.capacity, queue: queue, admissions: map[int]*rate{}, lastAdmitted: map[int]time.Time{}}
	kept, _ := c.pools.LoadOrStore(target, created)
	return kept.(*pool)
}

// withJitter limits d to the bounds of a Retry-After and multiplies it by a random
// factor from 0.75 to 1.5.
func withJitter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(d) * (0.75 + 0.75*rand.Float64()))
}
