package relay

import (
	"context"
	"strconv"

	"buckthornridge/quarantine"
)

// fingerprintOf returns the request's fingerprint. A caller's repeat has the same path
// and body and another id.
func (r *call) fingerprintOf() quarantine.Fingerprint {
	if r.fingerprint == nil {
		f := quarantine.NewFingerprint(r.workspace.Name, []byte(r.request.Method), []byte(r.request.Host),
			[]byte(r.request.Target), r.request.Body)
		r.fingerprint = &f
	}
	return *r.fingerprint
}

// reportBroken reports a connection that was lost while the upstream may have been
// running the request. A connection that the router itself closed says nothing about the
// upstream, and one that is leaving ends by plan.
func (t *attempt) reportBroken(ctx context.Context) {
	if ctx.Err() != nil || t.target.Leaving {
		return
	}
	t.call.relay.Guard.Broken(quarantine.Upstream{
		ID: t.target.ID, Incarnation: strconv.FormatInt(t.target.Start, 10), Address: t.target.Address,
	}, t.call.fingerprintOf())
}
