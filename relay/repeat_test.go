package relay

import (
	"io"
	"slices"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/upstream"
)

// Guards against records that don't tell why a request was sent once more, and whether its
// first run had ended.
func TestRepeatsAreRecorded(t *testing.T) {
	cut := answered("x")
	cut.bodyErr = upstream.WrapError("read response", "u", upstream.ErrBroken, io.ErrUnexpectedEOF)
	silent := step{err: upstream.WrapError("exchange", "u", upstream.ErrBroken, syscall.ETIMEDOUT)}
	unsigned := answered("x")
	unsigned.head.Signed = false
	for want, first := range map[string]step{
		"refused:ended": refusing(), "failed:ended": failing(500), "closed:ended": cut,
		"silent:unknown": silent, "invalid:cancelled": unsigned,
	} {
		t.Run(want, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				is := is.New(t)
				b := newHarness(t, Idempotent, first, answered("done"))
				is.Equal(b.serve(b.request()).status, 200)
				is.Equal(len(b.records[0].Repeats), 1)
				is.Equal(b.records[0].Repeats[0].String(), want)
			})
		})
	}
}

// Guards against two runs of a stream at once: the connection of the first fell silent, so its
// upstream has not seen that it was closed.
func TestSilentStreamGoesOnOnceItsRunHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		states []RunState
		sends  int
		repeat string
	}{
		"the run has ended":             {nil, 2, "silent:ended"},
		"it ends later":                 {[]RunState{Running, Running}, 2, "silent:ended"},
		"the upstream is out of reach":  {[]RunState{Unreachable}, 2, "silent:unknown"},
		"the upstream does not say":     {[]RunState{RunStateUnknown}, 1, ""},
		"the run lasts to the deadline": {slices.Repeat([]RunState{Running}, 100), 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				is := is.New(t)
				silent := answered(events("1"))
				silent.bodyErr = upstream.WrapError("read response", "u", upstream.ErrBroken, syscall.ETIMEDOUT)
				b := newHarness(t, Resumable, silent, answered(events("2")))
				b.runStates = c.states
				b.serve(b.request())
				is.Equal(len(b.sent), c.sends)
				is.Equal(len(b.records[0].Repeats), c.sends-1)
				if c.sends > 1 {
					is.Equal(b.records[0].Repeats[0].String(), c.repeat)
					is.Equal(b.asked, len(c.states)+map[bool]int{true: 0, false: 1}[c.repeat == "silent:unknown"])
				}
			})
		})
	}
}
