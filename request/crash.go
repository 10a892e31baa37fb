package request

import (
	"context"
	"errors"

	"buckthornridge/quarantine"
	"buckthornridge/upstream"
)

// fingerprint identifies requests of the workspace with the same content.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.Key.Workspace, r.Digest[:])
}

// reportBroken reports an attempt whose connection was lost while the upstream may have
// been running the request. The end of the run's own context says nothing about the
// upstream.
func (e *Executor) reportBroken(ctx context.Context, r *Request, upstreamID string, err error) {
	if errors.Is(err, upstream.ErrBroken) && ctx.Err() == nil {
		e.guard.Broken(upstreamID, r.fingerprint())
	}
}
