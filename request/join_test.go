package request

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a run that starts before its caller follows it: its first token would
// arrive while nobody follows, and end the answer as if the caller had disconnected.
func TestRunHasAFollowerBeforeItStarts(t *testing.T) {
	is := is.New(t)
	e, _ := newTestEnv(t).executor("vm-1")
	r := chatRequest("k", 10)
	r.CallerKey = false
	run, caller, created, problem := e.join(r)
	is.True(problem == nil)
	is.True(created)
	is.True(!run.disconnectedFor(0))
	run.leave(caller)
	is.True(run.disconnectedFor(0))
}
