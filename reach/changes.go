package reach

// Change is a service to which the router has lost its own path, or reached it again.
type Change struct {
	Service string
	Lost    bool
	// Failing is how many of the Members upstreams fail; Failure is the way in which
	// one of them did.
	Failing, Members int
	Failure          Failure
}

// Changes returns what has changed since the last call, for logs.
func (t *Tracker) Changes() []Change {
	var changes []Change
	for _, s := range t.all() {
		if c, changed := s.change(); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

func (s *service) change() (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent, silent := s.recentFailures()
	lost := s.isLost(recent)
	if lost == s.lost {
		return Change{}, false
	}
	s.lost = lost
	c := Change{Service: s.name, Lost: lost, Failing: len(s.failed), Members: len(s.members)}
	if silent {
		c.Failure = Silent
	}
	return c, true
}

// LostServices returns the services to which the router has lost its own path.
func (t *Tracker) LostServices() []string {
	var lost []string
	for _, s := range t.all() {
		if t.Lost(s.name) {
			lost = append(lost, s.name)
		}
	}
	return lost
}
