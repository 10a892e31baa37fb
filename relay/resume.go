package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"buckthornridge/origin"
	"buckthornridge/pause"
	"buckthornridge/upstream"
)

// takesUp reports whether the caller continues a stream of which it has events.
func (r *call) takesUp() bool {
	return r.route.Kind.Streams() && r.request.LastEventID != "" && r.request.LastEventID != "0"
}

// findOrigin finds out where a stream began that its caller takes up. Where that is not
// known, or where the stream can't go on, the request must not be sent: upstreams of
// another version or service would continue it with a text that does not fit.
func (r *call) findOrigin(ctx context.Context) *Problem {
	if !r.takesUp() {
		return nil
	}
	key := ""
	if r.request.Origin != "" {
		key = origin.Key(r.workspace.Name, r.request.Origin)
	}
	o, known := r.relay.Origins.Find(ctx, key, r.route)
	if !known {
		return &Problem{Status: http.StatusServiceUnavailable, Name: "origin_unknown",
			Detail: "it is not known at which version the stream began", RetryAfter: retryAfterNoUpstream}
	}
	if !r.route.Has(o.Service) {
		return &Problem{Status: http.StatusServiceUnavailable, Name: "origin_moved",
			Detail:     "the route no longer leads to service " + o.Service + ", which began the stream",
			RetryAfter: retryAfterNoUpstream}
	}
	o = r.resolve(o)
	r.service, r.origin = r.catalogue.Services[o.Service], &o
	return nil
}

// noteOrigin records where the stream began, for this request's own attempts and for those
// of its caller at any router.
func (t *attempt) noteOrigin(head Head) {
	r := t.call
	id := r.request.ID
	if r.takesUp() {
		id = r.request.Origin // recorded again: routers with copies may have ended
	} else {
		o := t.originOf(head)
		r.origin = &o
	}
	if r.route.Kind != Resumable || id == "" || !r.origin.IsKnown() {
		return
	}
	patience := r.request.CallerTimeout
	if patience <= 0 {
		patience = origin.Lifetime
	}
	r.relay.Origins.Began(origin.Key(r.workspace.Name, id), *r.origin, r.request.Arrived.Add(patience))
}

// originOf returns the origin of a stream that the attempt's upstream has begun.
func (t *attempt) originOf(head Head) origin.Origin {
	o := origin.Origin{
		Service: t.call.service.Name,
		Process: origin.Process{Upstream: t.target.ID, Start: head.Process},
	}
	return t.call.resolve(o.Resolve(t.target.Listed()))
}

// resolve adds the version to an origin if it is listed by now.
func (r *call) resolve(o origin.Origin) origin.Origin {
	u, _ := r.relay.Fleet.Upstream(o.Process.Upstream)
	return o.Resolve(u.Listed())
}

// identify returns how certain it must be which process gets the next attempt, and the
// only one that may get it, if there is one.
func (t *attempt) identify() (Identify, int64) {
	switch {
	case t.call.origin != nil:
		process, _ := t.call.origin.Allows(t.target.Listed())
		return OnlyProcess, process
	case t.call.route.Kind == Resumable:
		return KnownProcess, 0
	}
	return AnyProcess, 0
}

// isOtherProcess reports whether a stream would be continued by another process than the one
// that was chosen for its version.
func (t *attempt) isOtherProcess(head Head) bool {
	certainty, process := t.identify()
	return certainty == OnlyProcess && isSuccess(head.Status) && head.Process != process
}

// eligible returns the condition on upstreams for the next attempt; nil if there is none.
func (r *call) eligible() func(id string) bool {
	if r.origin == nil {
		return r.mayBegin()
	}
	return func(id string) bool {
		u, known := r.relay.Fleet.Upstream(id)
		_, allowed := r.origin.Allows(u.Listed())
		return known && allowed
	}
}

// mayBegin returns the condition on upstreams at which the stream may begin; nil if there is
// none.
func (r *call) mayBegin() func(id string) bool {
	if r.route.Kind != Resumable {
		return nil
	}
	unsettled := r.relay.Origins.Unsettled(r.service.Name)
	if len(unsettled) == 0 {
		return nil
	}
	return func(id string) bool {
		u, known := r.relay.Fleet.Upstream(id)
		return known && !unsettled[u.Version]
	}
}

// Time that the continuation of a stream waits for room or a path: it doubles with each
// wait.
const (
	firstWait = 50 * time.Millisecond
	maxWait   = 400 * time.Millisecond
	// maxPathWait is how long upstreams that are not reached are tried again. When several
	// of them end at once, routers take their own paths for lost for about a second.
	maxPathWait = time.Second
)

// noteUnsent records why an excluded upstream did not get the continuation of a stream.
func (r *call) noteUnsent(id string, err error) {
	switch {
	case r.origin == nil, errors.Is(err, upstream.ErrOtherProcess):
	case errors.Is(err, upstream.ErrConnectionLimit), errors.Is(err, upstream.ErrNoRoom):
		r.full = append(r.full, id)
	default:
		r.unreached = append(r.unreached, id)
	}
}

// noteRejected records an upstream that rejected the continuation of a stream for want of
// room. Such attempts do not count towards the route's limit.
func (r *call) noteRejected(id string) {
	if r.origin != nil {
		r.rejected++
		r.full = append(r.full, id)
	}
}

// waitForRetry waits until the retry budget allows another attempt to continue a stream,
// and reports whether it does.
func (r *call) waitForRetry(ctx context.Context) bool {
	for r.waitForRoom(ctx) {
		if r.repeat(ctx, false, refusedRepeat) {
			return true
		}
	}
	return false
}

// waitForRoom waits for room at, or a path to, the upstreams that may continue a stream:
// there are no others. It reports whether to try again; without an upstream that takes new
// work it does not wait.
func (r *call) waitForRoom(ctx context.Context) bool {
	if r.origin == nil || !r.relay.Fleet.Any(r.mayGetRoom) {
		return false
	}
	wait := min(firstWait<<min(r.waits, 10), maxWait)
	wait = wait/2 + rand.N(wait)
	if r.remaining() <= wait || pause.For(ctx, wait) != nil {
		return false
	}
	r.waits++
	r.excluded = slices.DeleteFunc(r.excluded, r.mayTryAgain)
	r.full, r.unreached, r.noRoom = nil, nil, 0
	r.waited += wait
	return true
}

// mayTryAgain reports whether an excluded upstream may get the request after a wait.
func (r *call) mayTryAgain(id string) bool {
	return slices.Contains(r.full, id) || r.waited < maxPathWait && slices.Contains(r.unreached, id)
}

// mayGetRoom reports whether an upstream may continue the stream now or later.
func (r *call) mayGetRoom(u Upstream) bool {
	_, allowed := r.origin.Allows(u.Listed())
	return allowed && !u.Leaving &&
		(!slices.Contains(r.excluded, u.ID) || r.mayTryAgain(u.ID))
}
