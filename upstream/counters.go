package upstream

import (
	"errors"
	"expvar"
)

// counters are the package's counters under "upstream" in /debug/vars.
var counters = expvar.NewMap("upstream")

// Names of the counters.
const (
	countNotSent  = "not_sent"
	countRefused  = "refused"
	countBroken   = "broken"
	countProtocol = "protocol_violations"
	countOverrun  = "overruns"        // engines that generated past the maximum
	countAdjusted = "usages_adjusted" // usage reports that could not be true
)

// All names are there from the start: an alarm on a counter that appears with
// its first count can't be told from one that is misspelt.
func init() {
	for _, name := range []string{countNotSent, countRefused, countBroken, countProtocol, countOverrun, countAdjusted} {
		counters.Add(name, 0)
	}
}

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
