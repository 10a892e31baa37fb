package request

import (
	"crypto/sha256"
	"fmt"
	"strings"
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

// promptRequest returns a model request whose prompt has some lines and a last one of its own.
func promptRequest(n int, lines ...string) *Request {
	r := chatRequest(fmt.Sprint("p", n), 20)
	r.Digest = sha256.Sum256(fmt.Append(nil, n))
	r.Generate.Prompt = strings.Join(append(lines, fmt.Sprint("user: question ", n)), "\n") + "\n"
	return r
}

// Guards against a line of prompts that ends each engine which begins an answer on it, in requests that differ, and
// against refusing others that share their first line or their workspace.
func TestPromptLineThatEndsEnginesIsRefused(t *testing.T) {
	runTest(t, func(t *testing.T, is *is.I, env *testEnv) {
		const first, deadly = "system: you are a designer", "user: the line that crashes engines"
		for i := range 30 {
			id := fmt.Sprint("e-", i, "-")
			engine := env.engine(id)
			engine.breakAt, engine.noResume = 1, true
			env.ended[id] = true
		}
		e, _ := env.executor("vm-1")
		crashes, late := 0, 0
		for i := range 9 {
			known := crashes >= 5
			runRequest(t.Context(), e.Do, promptRequest(i, first, deadly, fmt.Sprint("assistant: answer ", i)))
			for len(env.order) > 0 && env.engines[env.order[0]].generated > 0 {
				env.order = env.order[1:] // it ended
				if crashes++; known {
					late++
				}
			}
			time.Sleep(3 * time.Second) // the bound for acting on the fifth crash
		}
		t.Logf("%d crashes, %d late", crashes, late)
		is.True(crashes >= 3)
		is.True(late <= 3)
		env.order = nil
		env.engine("sound-")
		got := runRequest(t.Context(), e.Do, promptRequest(100, first, "user: a sound line"))
		is.True(got.outcome.Problem == nil)
		got = runRequest(t.Context(), e.Do, promptRequest(101, "system: you are a clerk", deadly))
		is.Equal(got.outcome.Problem.RunState, NotRun)
	})
}
