package router

import (
	"buckthornridge/membership"
	"buckthornridge/quarantine"
	"buckthornridge/request"
)

// guardPort adapts the guard to request.Guard. The members list tells which process of
// an upstream is meant, since one that starts again has the same id and address.
type guardPort struct {
	*quarantine.Guard
	view *membership.ViewHolder
}

var _ request.Guard = guardPort{}

// Broken implements request.Guard. An upstream that leaves ends by plan.
func (p guardPort) Broken(upstreamID string, r quarantine.Request, answered bool) {
	m, known := p.view.Load().Members[upstreamID]
	if !known || m.State == membership.Leaving {
		return
	}
	p.Guard.Broken(quarantine.Upstream{ID: m.ID, Incarnation: m.Incarnation, Address: m.Address}, r, answered)
}
