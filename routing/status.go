package routing

import (
	"math"
	"time"

	"buckthornridge/membership"
)

// Status is a router's state of one upstream, for operators and for placement.
type Status struct {
	ID         string   `json:"id"`
	State      string   `json:"state"`
	Ejected    bool     `json:"ejected"`
	DataCentre string   `json:"data_centre"`
	Models     []string `json:"models,omitempty"`
	Service    string   `json:"service,omitempty"`
	Slots      int64    `json:"slots"`
	// InFlight counts this router's own requests, Others those of other routers in the last
	// load report, which was generated ReportAge ago.
	InFlight  int64         `json:"in_flight"`
	Others    int64         `json:"others"`
	ReportAge time.Duration `json:"report_age_ns"`
	// FirstToken is the mean observed by this router, Slowness the ratio of observed to
	// predicted time.
	FirstToken time.Duration `json:"first_token_ns"`
	Slowness   float64       `json:"slowness"`
}

// Status returns the state of every upstream, sorted by ID.
func (t *Table) Status() []Status {
	s := t.current.Load()
	now := time.Now()
	all := make([]Status, 0, len(s.entries))
	for _, id := range sortedIDs(s.entries) {
		all = append(all, s.entries[id].status(now, s.topology))
	}
	return all
}

func (e *entry) status(now time.Time, topo topology) Status {
	others, _, age := e.reportedOthers(now)
	return Status{
		ID: e.id, State: e.reportedState().String(), Ejected: e.health.ejected(),
		DataCentre: topo.name(e.dataCentre), Models: *e.models.Load(), Service: e.service, Slots: e.slots,
		InFlight: e.inFlight.Load(), Others: others, ReportAge: age,
		FirstToken: time.Duration(e.firstToken.load()), Slowness: math.Exp(e.slowness.load()),
	}
}

// reportedState returns the worse of the states from membership and from the upstream
// itself.
func (e *entry) reportedState() membership.State {
	state := e.membership()
	if state < membership.Leaving && !e.takesWork() {
		return membership.Leaving
	}
	return state
}

func (p topology) name(index int) string {
	for name, i := range p.index {
		if i == index {
			return name
		}
	}
	return ""
}

// Demand returns the number of requests for a target that the engines ran or queued at
// their last report, with this router's current ones.
func (t *Table) Demand(target Target) float64 {
	p := t.current.Load().pools[target]
	if p == nil {
		return 0
	}
	now := time.Now()
	total := 0.0
	for _, e := range p.live {
		others, _, _ := e.reportedOthers(now)
		// An engine does not report by model; its load is divided evenly among its models.
		total += float64(others+e.inFlight.Load()) / float64(max(len(*e.models.Load()), 1))
	}
	return total
}
