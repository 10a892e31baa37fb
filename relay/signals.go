package relay

import "buckthornridge/ratelimit"

// Signals applies what upstreams say of themselves in their answers, on whatever path these
// come.
type Signals struct {
	// Limiter follows the rates that upstreams name.
	Limiter *ratelimit.Limiter
	// Rejections follows the rejections of upstreams that bear few.
	Rejections *ratelimit.Rejections
	// SlotBounds bounds the requests in flight at such upstreams.
	SlotBounds *ratelimit.SlotBounds
	// Rests keeps the upstreams that want no requests for a while.
	Rests *ratelimit.Rests
	// MarkLeaving records that a process of an upstream leaves: the listed one and, if
	// that is another one, the one that said so.
	MarkLeaving func(u Upstream, process int64)
}

// Observe applies what the head of an upstream's answer says. The answer of another
// upstream at the address says nothing about it.
func (s Signals) Observe(u Upstream, head Head) {
	if head.Misdirected {
		return
	}
	s.Limiter.Observe(u.ID, u.Start, head.RateLimit)
	s.SlotBounds.Observe(u.Service, u.ID, u.Start, head.RejectionLimit)
	s.Rests.Observe(ratelimit.Process{Upstream: u.ID, Start: u.Start}, head.Rest)
	if head.Leaving {
		s.MarkLeaving(u, head.Process)
	}
}
