package request

import (
	"context"
	"time"
)

// watchdog cancels an attempt that makes no progress. If an engine stalls after
// accepting a request, or a connection is cut without a reset, reads would block
// until the caller's deadline, when it is too late for another attempt.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	limit  time.Duration
}

func newWatchdog(parent context.Context, s Settings) *watchdog {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel, limit: s.StallLimit}
	w.timer = time.AfterFunc(s.FirstTokenLimit, func() { cancel(ErrStalled) })
	return w
}

// progress restarts the timeout for the next token.
func (w *watchdog) progress() { w.timer.Reset(w.limit) }

// explain returns ErrStalled in place of an error that the watchdog's cancellation
// caused.
func (w *watchdog) explain(err error) error {
	if cause := context.Cause(w.ctx); cause == ErrStalled {
		return cause
	}
	return err
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
