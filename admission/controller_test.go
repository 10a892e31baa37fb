package admission

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"buckthornridge/config"
	"buckthornridge/routing"
)

// fixed is a Capacity of a constant size.
type fixed struct {
	limit  int
	expect time.Duration
}

func (f *fixed) Limit(routing.Target) int              { return f.limit }
func (f *fixed) Expect(*routing.Request) time.Duration { return f.expect }

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

func TestWaitingRequestIsRefusedWhenItsDeadlineIsOutOfReach(t *testing.T) {
	// A caller at the counter waits for a place that never comes free. The
	// refusal must come when an immediate dispatch would just be too late, not
	// when the deadline itself has passed.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, &fixed{limit: 1, expect: 300 * time.Millisecond})
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

func TestCancelledRequestLeavesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, &fixed{limit: 1})
		release, err := c.Admit(t.Context(), Request{Workspace: "w", Model: "m"})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.Admit(ctx, Request{Workspace: "w", Model: "m"})
		is.Equal(err, context.DeadlineExceeded)
		release()
		release() // harmless
		_, err = c.Admit(t.Context(), Request{Workspace: "w", Model: "m"})
		is.NoErr(err)
		_, err = c.Admit(ctx, Request{Workspace: "w", Model: "m"})
		is.Equal(err, context.DeadlineExceeded) // the double release gave no second place
	})
}

func TestServicesDoNotWaitBehindModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, &fixed{limit: 1})
		_, err := c.Admit(t.Context(), Request{Workspace: "w", Model: "m", Kind: "caption"})
		is.NoErr(err)
		began := time.Now()
		_, err = c.Admit(t.Context(), Request{Workspace: "w", Service: "orders"})
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
	})
}
