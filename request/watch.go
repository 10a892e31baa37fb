package request

import (
	"context"
	"time"
)

// watch cancels an attempt that makes no progress. It guards against an engine
// that accepts a request and stalls, or a connection cut without a reset: reads
// would block until the caller's deadline, when it is too late for another try.
type watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	limit  time.Duration
}

func newWatch(parent context.Context, s Settings) *watch {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{ctx: ctx, cancel: cancel, limit: s.StallLimit}
	w.timer = time.AfterFunc(s.FirstTokenLimit, func() { cancel(ErrStalled) })
	return w
}

// progress starts the wait for the next token.
func (w *watch) progress() { w.timer.Reset(w.limit) }

// explain returns the watch's reason in place of the error that it caused.
func (w *watch) explain(err error) error {
	if cause := context.Cause(w.ctx); cause == ErrStalled {
		return cause
	}
	return err
}

func (w *watch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
