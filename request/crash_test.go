package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/upstream"
)

// Guards against a model request that is dispatched on and on although each engine that runs it ends.
func TestRequestThatEndsEnginesIsRefused(t *testing.T) {
	runTest(t, func(t *testing.T, is *is.I, env *testEnv) {
		var engines []*fakeEngine
		for i := range 12 {
			id := fmt.Sprint("e-", i, "-")
			engine := env.engine(id)
			engine.breakAt, engine.noResume = 2, true
			engines = append(engines, engine)
			env.ended[id] = true
		}
		e, _ := env.executor("vm-1")
		for i := range 4 {
			runRequest(t.Context(), e.Do, chatRequest(fmt.Sprint("k", i), 20))
			env.order = env.order[1:] // an engine that ended leaves the list
			time.Sleep(3 * time.Second)
		}
		generated := 0
		for _, engine := range engines {
			generated += engine.generated
		}
		is.Equal(generated, 3)
		got := runRequest(t.Context(), e.Do, chatRequest("k", 20))
		is.Equal(got.outcome.Problem.RunState, NotRun)
	})
}

// Guards against a call that is dispatched on and on although each server that runs it ends.
func TestCallThatEndsServersIsRefused(t *testing.T) {
	runTest(t, func(t *testing.T, is *is.I, env *testEnv) {
		var servers []*fakeService
		for i := range 8 {
			id := fmt.Sprint("s-", i, "-")
			server := env.service(id)
			server.err = upstream.ErrBroken
			servers = append(servers, server)
			env.ended[id] = true
		}
		e, _ := env.executor("vm-1")
		for i := range 6 {
			runRequest(t.Context(), e.Do, orderRequest(fmt.Sprint("k", i)))
			env.order = env.order[1:]
			time.Sleep(3 * time.Second)
		}
		runs := 0
		for _, server := range servers {
			runs += server.runs
		}
		is.Equal(runs, 3)
	})
}
