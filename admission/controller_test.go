package admission

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/config"
	"buckthornridge/routing"
)

// fixedCapacity is a Capacity with constant values.
type fixedCapacity struct {
	limit      int
	firstToken time.Duration
}

func (f *fixedCapacity) Limit(routing.Target) int                         { return f.limit }
func (f *fixedCapacity) PredictFirstToken(*routing.Request) time.Duration { return f.firstToken }

func newController(t *testing.T, capacity Capacity) *Controller {
	c, err := NewController(capacity, "")
	if err != nil {
		t.Fatal(err)
	}
	s := &config.Snapshot{}
	s.Kinds = map[string]config.Kind{"caption": {Priority: 0}, "note": {Priority: 1}, "brief": {Priority: 2}}
	c.Update(s)
	return c
}

func TestWaitingRequestIsRefusedWhenDeadlineIsUnreachable(t *testing.T) {
	// A request waits for a slot that never becomes free. It must be refused when
	// an immediate dispatch would be too late, not when the deadline has passed.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, &fixedCapacity{limit: 1, firstToken: 300 * time.Millisecond})
		_, err := c.Admit(t.Context(), Request{Workspace: "w", Model: "m"})
		is.NoErr(err)
		began := time.Now()
		_, err = c.Admit(t.Context(), Request{Workspace: "w", Model: "m", Deadline: began.Add(2 * time.Second)})
		var refusal *Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Cause, CauseDeadline)
		is.True(refusal.RetryAfter > 0)
		is.Equal(time.Since(began), 1700*time.Millisecond)
		is.Equal(c.Waiting(routing.Target{Model: "m"}), 0)
	})
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, &fixedCapacity{limit: 1})
		release, err := c.Admit(t.Context(), Request{Workspace: "w", Model: "m"})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.Admit(ctx, Request{Workspace: "w", Model: "m"})
		is.Equal(err, context.DeadlineExceeded)
		release()
		release() // must have no effect
		_, err = c.Admit(t.Context(), Request{Workspace: "w", Model: "m"})
		is.NoErr(err)
		_, err = c.Admit(ctx, Request{Workspace: "w", Model: "m"})
		is.Equal(err, context.DeadlineExceeded) // the second release freed no slot
	})
}

func TestServicesDoNotWaitBehindModels(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, &fixedCapacity{limit: 1})
		_, err := c.Admit(t.Context(), Request{Workspace: "w", Model: "m", Kind: "caption"})
		is.NoErr(err)
		began := time.Now()
		_, err = c.Admit(t.Context(), Request{Workspace: "w", Service: "orders"})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

func TestRetryAfterIsJittered(t *testing.T) {
	// A pool loses its engines, and a hundred callers are refused at once. With the
	// same RetryAfter they would all retry at the same moment.
	is := is.New(t)
	c := newController(t, &fixedCapacity{limit: 0})
	seen := map[time.Duration]bool{}
	for range 100 {
		_, err := c.Admit(t.Context(), Request{Workspace: "w", Model: "m"})
		var refusal *Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Cause, CauseOverload)
		seen[refusal.RetryAfter.Round(time.Millisecond)] = true
	}
	is.True(len(seen) > 20)
}

func TestUrgentRequestEvictsLessUrgentOne(t *testing.T) {
	// A workspace's queue is full of its own briefs. A caption must not be refused
	// because of them: the newest brief must be evicted and refused at once.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, &fixedCapacity{limit: 1})
		s := *c.snapshot.Load()
		s.Policy.Load.QueuePerWorkspace = 1
		c.Update(&s)
		release, err := c.Admit(t.Context(), Request{Workspace: "w", Model: "m", Kind: "brief"})
		is.NoErr(err)
		brief := make(chan error)
		go func() {
			_, err := c.Admit(t.Context(), Request{Workspace: "w", Model: "m", Kind: "brief"})
			brief <- err
		}()
		synctest.Wait()
		caption := make(chan error)
		go func() {
			_, err := c.Admit(t.Context(), Request{ID: "c", Workspace: "w", Model: "m", Kind: "caption"})
			caption <- err
		}()
		var refusal *Refusal
		is.True(errors.As(<-brief, &refusal))
		is.Equal(refusal.Cause, CauseOverload)
		_, err = c.Admit(t.Context(), Request{Workspace: "w", Model: "m", Kind: "brief"})
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Cause, CauseQueueFull)
		release()
		is.NoErr(<-caption)
		is.True(c.Explain("c")[0].Admitted)
	})
}
