package admin

import "expvar"

// Counters counts the activity of the API since the process started.
type Counters struct {
	Requests expvar.Int
	Problems expvar.Map // error replies, by problem name
	Changes  expvar.Map // successful changes, by action
	// OutcomeWriteFailures counts changes whose outcome could not be written to the
	// audit log.
	OutcomeWriteFailures expvar.Int
}

func (c *Counters) init() {
	c.Problems.Init()
	c.Changes.Init()
}

// Map returns the counters under their published names.
func (c *Counters) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("requests", &c.Requests)
	m.Set("problems", &c.Problems)
	m.Set("changes", &c.Changes)
	m.Set("audit_late", &c.OutcomeWriteFailures)
	return m
}
