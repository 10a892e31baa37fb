package placement

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/store"
	"buckthornridge/upstream"
)

// engineFake applies a desired state at once; with fencing it rejects outdated
// tokens.
type engineFake struct {
	fencing bool
	fence   int64
	models  []string
}

type clientFake map[string]*engineFake

func (s clientFake) SendDesiredState(_ context.Context, id string, o upstream.DesiredState) error {
	e := s[id]
	if e.fencing && o.Fence < e.fence {
		return errors.New("stale fencing token")
	}
	e.fence = max(e.fence, o.Fence)
	e.models = slices.Clone(o.Models)
	return nil
}

func (s clientFake) input() Input {
	in := Input{
		Models: []Model{{Name: "a", Replicas: 1, Demand: 8}, {Name: "b", Replicas: 1, Demand: 8}},
	}
	for _, id := range []string{"e0", "e1"} {
		in.Engines = append(in.Engines, Engine{ID: id, Slots: 16, MaxModels: 1, Models: s[id].models})
	}
	return in
}

func newTable() store.Table {
	return store.NewFake(store.FakeOptions{}).As("control-1").Table
}

func TestStaleDesiredStateIsCorrected(t *testing.T) {
	// An engine that ignores fencing tokens applies a delayed desired state of a
	// reconciler that has since been replaced, and so drops the only replica of a
	// model. Requests fail with "model not loaded" until the state is sent again.
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := clientFake{"e0": {models: []string{"a"}}, "e1": {models: []string{"b"}}}
		table := newTable()
		first := NewReconciler(table, engines, "control-1")
		is.NoErr(first.Acquire(t.Context()))
		_, err := first.Reconcile(t.Context(), engines.input())
		is.NoErr(err)
		second := NewReconciler(table, engines, "control-2")
		is.NoErr(second.Acquire(t.Context()))
		_, err = second.Reconcile(t.Context(), engines.input())
		is.NoErr(err)

		is.NoErr(engines.SendDesiredState(t.Context(), "e0", upstream.DesiredState{Fence: first.token, Models: []string{"b"}}))
		for range 3 {
			time.Sleep(resendInterval)
			_, err = second.Reconcile(t.Context(), engines.input())
			is.NoErr(err)
		}
		is.Equal(engines["e0"].models, []string{"a"}) // back as planned
		is.Equal(engines["e1"].models, []string{"b"}) // no other engine changed
		_, err = first.Reconcile(t.Context(), engines.input())
		is.True(errors.Is(err, ErrFenced))
	})
}

func TestFencingEngineRejectsStaleDesiredState(t *testing.T) {
	is := is.New(t)
	engines := clientFake{"e0": {fencing: true}, "e1": {fencing: true}}
	table := newTable()
	first, second := NewReconciler(table, engines, "control-1"), NewReconciler(table, engines, "control-2")
	is.NoErr(first.Acquire(t.Context()))
	is.NoErr(second.Acquire(t.Context()))
	_, err := second.Reconcile(t.Context(), engines.input())
	is.NoErr(err)
	before := engines["e0"].models
	is.True(engines.SendDesiredState(t.Context(), "e0", upstream.DesiredState{Fence: first.token, Models: []string{"x"}}) != nil)
	is.Equal(engines["e0"].models, before)
}

func TestOnlyNewestReconcilerChangesEngines(t *testing.T) {
	// Two control processes both act as the elected one. If both sent desired
	// states, engines would keep swapping models.
	is := is.New(t)
	engines := clientFake{"e0": {}, "e1": {}}
	table := newTable()
	first, second := NewReconciler(table, engines, "control-1"), NewReconciler(table, engines, "control-2")
	is.NoErr(first.Acquire(t.Context()))
	is.NoErr(second.Acquire(t.Context()))
	_, err := first.Reconcile(t.Context(), engines.input())
	is.True(errors.Is(err, ErrFenced))
	is.Equal(len(engines["e0"].models)+len(engines["e1"].models), 0) // the fenced reconciler sent nothing
	_, err = second.Reconcile(t.Context(), engines.input())
	is.NoErr(err)
	is.Equal(len(engines["e0"].models)+len(engines["e1"].models), 2)
	_, err = first.Reconcile(t.Context(), engines.input())
	is.True(errors.Is(err, ErrFenced)) // until it calls Acquire again
	is.NoErr(first.Acquire(t.Context()))
	_, err = first.Reconcile(t.Context(), engines.input())
	is.NoErr(err)
}

func TestAcquireResolvesUnknownOutcome(t *testing.T) {
	// The commit of a fencing token has an unknown outcome. If the write took
	// effect, the reconciler must notice, or no models are placed until the next
	// election. If the write takes effect later, it must not fence out the
	// reconciler that acquired the token in between.
	is := is.New(t)
	engines := clientFake{"e0": {}, "e1": {}}
	fake := store.NewFake(store.FakeOptions{Faults: store.Faults{LoseNext: 1}})
	table := fake.As("control-1").Table
	recovered := NewReconciler(table, engines, "control-1")
	is.NoErr(recovered.Acquire(t.Context()))
	_, err := recovered.Reconcile(t.Context(), engines.input())
	is.NoErr(err)

	fake.SetFaults(store.Faults{DelayNext: 1})
	delayed := NewReconciler(table, engines, "control-2")
	is.True(errors.Is(delayed.Acquire(t.Context()), store.ErrOutcomeUnknown))
	third := NewReconciler(table, engines, "control-3")
	is.NoErr(third.Acquire(t.Context()))
	fake.ReleaseDelayed()
	_, err = third.Reconcile(t.Context(), engines.input())
	is.NoErr(err) // the delayed write did not fence it out
}
