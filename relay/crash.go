package relay

import (
	"context"
	"net/http"
	"strconv"

	"buckthornridge/quarantine"
)

// content returns what stays the same when the caller repeats the request.
func (r *call) content() quarantine.Request {
	return quarantine.Request{
		Workspace: r.workspace.Name, Method: r.request.Method, Host: r.request.Host,
		Target: r.request.Target, Body: r.request.Body, Parts: r.sharedParts,
	}
}

// sharedParts returns the parts of a prompt that other requests may have too: all but the
// last one.
func sharedParts(parts []Part) []quarantine.Part {
	if len(parts) < 2 {
		return nil
	}
	shared := make([]quarantine.Part, len(parts)-1)
	for i := range shared {
		shared[i] = quarantine.PartOf(parts[i].ID)
	}
	return shared
}

// checkQuarantine returns a problem for a request that ends the upstreams that run it.
func (r *call) checkQuarantine() *Problem {
	left, refused := r.relay.Guard.Refuse(r.content())
	if !refused {
		return nil
	}
	return &Problem{Status: http.StatusServiceUnavailable, Name: "quarantined",
		Detail: "upstreams ended while they ran this request, or others with a part of it", RetryAfter: left}
}

// crashesUpstreams reports whether several upstreams have crashed under a part of the
// request: a second attempt would most likely end another one.
func (r *call) crashesUpstreams() bool { return r.relay.Guard.Suspected(r.content()) }

// reportBroken reports a connection that was lost while the upstream may have been
// running the request. A connection that the router itself closed says nothing about the
// upstream, one that is leaving ends by plan, and one that had to reject more requests than
// it bears ends whatever it runs.
func (t *attempt) reportBroken(ctx context.Context) {
	if ctx.Err() != nil || t.leaves() || t.call.relay.Rejections.Recent(t.target.ID) {
		return
	}
	t.call.relay.Guard.Broken(quarantine.Upstream{
		ID: t.target.ID, Incarnation: strconv.FormatInt(t.target.Start, 10), Address: t.target.Address,
	}, t.call.content(), t.events >= answeringEvents)
}

// leaves reports whether the upstream is known by now to leave.
func (t *attempt) leaves() bool {
	u, known := t.call.relay.Fleet.Upstream(t.target.ID)
	return t.target.Leaving || known && u.Start == t.target.Start && u.Leaving
}

// answeringEvents is the number of events after which an upstream is taken to go on with
// its answer. One that crashes as it begins may have sent the first one.
const answeringEvents = 2

// reportCompleted reports that the upstream ran the request to a good end.
func (t *attempt) reportCompleted() { t.call.relay.Guard.Completed(t.call.content()) }
