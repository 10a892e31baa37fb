package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"buckthornridge/bubble"
	"buckthornridge/settings"
	"buckthornridge/standin/number"
	"buckthornridge/upstream"
	"buckthornridge/upstream/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startEngine(t *testing.T, s Settings) *Engine {
	t.Helper()
	e, err := New("engine-1", s)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return e
}

func TestStepDurations(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault Faults
		scale number.Factor
		want  time.Duration // of 20 tokens in a batch of two
	}{
		{"no fault", Faults{}, 1, 20 * 12 * time.Millisecond},
		{"slow", Faults{SlowFactor: 3}, 1, 3 * 20 * 12 * time.Millisecond},
		{"scaled", Faults{}, 0.5, 10 * 12 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := testSettings()
				s.TimeScale = tt.scale
				e := startEngine(t, s)
				is.NoErr(e.SetFaults(tt.fault))
				e.mu.Lock() // both requests are submitted before the first step
				a, _ := e.core.submit(generateRequest("a", 0, 20), 0, time.Now())
				b, _ := e.core.submit(generateRequest("b", 0, 20), 0, time.Now())
				e.mu.Unlock()
				e.signalWork()
				time.Sleep(tt.want - time.Millisecond)
				synctest.Wait()
				is.True(a.generated.Load() < 20)
				time.Sleep(2 * time.Millisecond)
				synctest.Wait()
				is.Equal(a.generated.Load(), int64(20))
				is.Equal(b.generated.Load(), int64(20))
				is.NoErr(e.Stop())
			})
		})
	}
}

func TestStallPausesBatch(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, testSettings())
		is.NoErr(e.SetFaults(Faults{Stall: true}))
		a, refusal := e.submit(generateRequest("a", 0, 20))
		is.Equal(refusal, "")
		time.Sleep(5 * time.Second)
		is.Equal(a.generated.Load(), int64(0))
		is.NoErr(e.SetFaults(Faults{}))
		time.Sleep(time.Second)
		is.Equal(a.generated.Load(), int64(20))
		is.NoErr(e.Stop())
	})
}

func TestDetachedStreamIsCancelledAfterResumeWindow(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, testSettings())
		a, _ := e.submit(generateRequest("a", 0, 1000))
		e.detach(a)
		time.Sleep(9 * time.Second)
		is.Equal(e.ActiveRequests(), 1)
		time.Sleep(3 * time.Second)
		is.Equal(e.ActiveRequests(), 0)
		is.NoErr(e.Stop())
	})
}

func TestLoadReportLags(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := testSettings()
		s.LoadLag = settings.Duration(time.Second)
		e := startEngine(t, s)
		is.Equal(e.load().Running, 0)
		_, _ = e.submit(generateRequest("a", 0, 1000))
		time.Sleep(900 * time.Millisecond)
		stale := e.load()
		is.Equal(stale.Running, 0) // still shows the idle engine
		is.Equal(stale.AgeMillis, int64(900))
		time.Sleep(200 * time.Millisecond)
		is.Equal(e.load().Running, 1)
		is.NoErr(e.SetFaults(Faults{IdleLoad: true}))
		is.Equal(e.load().Running, 0)
		is.NoErr(e.Stop())
	})
}

func TestLeavingEngineRefusesNewAndFinishesOpenStreams(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, testSettings())
		a, _ := e.submit(generateRequest("a", 0, 20))
		e.Leave()
		_, refusal := e.submit(generateRequest("b", 0, 20))
		is.Equal(refusal, wire.ErrorLeaving)
		time.Sleep(time.Second)
		is.Equal(a.generated.Load(), int64(20))
		resumed, refusal := e.resume(wire.Resume{StreamID: "a", From: 7})
		is.Equal(refusal, "") // streams accepted earlier can still be resumed
		is.Equal(e.ActiveRequests(), 1)
		e.detach(resumed)
		is.Equal(e.ActiveRequests(), 0)
		is.Equal(e.load().Leaving, true)
		is.NoErr(e.Stop())
	})
}

func TestDesiredStateLoadsAndUnloadsModels(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := testSettings()
			s.Fencing = fencing
			s.WeightBytes, s.WeightBytesPerSecond = 30, 10 // three seconds per model
			e := startEngine(t, s)
			is.Equal(e.setDesiredState(upstream.DesiredState{Fence: 5, Models: []string{"n", "o"}, Role: "batch"}), "")
			_, refusal := e.submit(generateRequest("a", 0, 1))
			is.Equal(refusal, wire.ErrorModelNotLoaded) // "m" is unloaded immediately
			time.Sleep(4 * time.Second)
			load := e.load()
			is.Equal(load.Models, []string{"n"})
			is.Equal(load.Loading, []string{"o"})
			is.Equal(load.Fence, int64(5))
			is.Equal(load.Role, "batch")
			time.Sleep(3 * time.Second)
			is.Equal(e.load().Models, []string{"n", "o"})

			refusal = e.setDesiredState(upstream.DesiredState{Fence: 4, Models: []string{"m"}})
			is.Equal(refusal == wire.ErrorOldFence, fencing) // without fencing the stale state is applied
			time.Sleep(4 * time.Second)
			is.Equal(e.load().Models[0] == "m", !fencing)
			is.Equal(e.setDesiredState(upstream.DesiredState{Fence: 9, Models: []string{"a", "b", "c"}}), wire.ErrorNoMemory)
			is.NoErr(e.Stop())
		})
	}
}

// A later desired state removes a model while its weights are loading: the model
// must not be reported as loaded afterwards.
func TestModelRemovedDuringLoadIsNotReported(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := testSettings()
		s.WeightBytes, s.WeightBytesPerSecond = 30, 10
		e := startEngine(t, s)
		is.Equal(e.setDesiredState(upstream.DesiredState{Fence: 1, Models: []string{"n"}}), "")
		time.Sleep(time.Second)
		is.Equal(e.setDesiredState(upstream.DesiredState{Fence: 2, Models: []string{"m"}}), "")
		time.Sleep(10 * time.Second)
		is.Equal(e.load().Models, []string{"m"})
		is.NoErr(e.Stop())
	})
}

func TestUnloadEvictsCachedBlocksOfModel(t *testing.T) {
	is := is.New(t)
	e, err := New("e", testSettings())
	is.NoErr(err)
	e.core.cache.store("m", prefixChain("abc"))
	e.core.cache.store("n", prefixChain("xy"))
	is.Equal(e.setDesiredState(upstream.DesiredState{Models: []string{"n"}}), "")
	is.Equal(len(e.core.cache.blocks), 2)
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, text := range []string{
		`{"slots": 0}`, `{"slots": 1.5}`, `{"time_scale": 0}`, `{"cache_event_loss": 1.1}`,
		`{"step_base": 10}`, `{"step_base": "-1ms"}`, `{"slot": 3}`, `{"models": "m"}`,
	} {
		is := is.New(t)
		s := DefaultSettings()
		is.True(settings.Decode("f", []byte(text), &s) != nil)
	}
	is := is.New(t)
	s := DefaultSettings()
	s.Models = []string{"a", "b", "c"}
	_, err := New("e", s)
	is.True(err != nil) // more models than fit
	_, err = New("e", Settings{})
	is.True(err != nil)
}

func desiredState(models ...string) upstream.DesiredState {
	return upstream.DesiredState{Models: models}
}
