package upstream

import (
	"errors"
	"expvar"
)

// counters are published under "upstream" in /debug/vars.
var counters = expvar.NewMap("upstream")

// Names of the counters.
const (
	countNotSent  = "not_sent"
	countRefused  = "refused"
	countBroken   = "broken"
	countProtocol = "protocol_violations"
	countOverrun  = "overruns"        // streams that exceeded MaxTokens
	countAdjusted = "usages_adjusted" // usage reports with an impossible count
)

// All counters are published from the start. If a counter appeared only with its
// first increment, an alert on it would look the same as one with a misspelt name.
func init() {
	for _, name := range []string{countNotSent, countRefused, countBroken, countProtocol, countOverrun, countAdjusted} {
		counters.Add(name, 0)
	}
}

// countFailure increments the counter of an error kind; some kinds have none.
func countFailure(kind error) {
	for _, c := range []struct {
		kind error
		name string
	}{
		{ErrNotSent, countNotSent},
		{ErrRefused, countRefused},
		{ErrBroken, countBroken},
		{ErrProtocol, countProtocol},
	} {
		if errors.Is(kind, c.kind) {
			counters.Add(c.name, 1)
			return
		}
	}
}
