package relay

import (
	"io"
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
