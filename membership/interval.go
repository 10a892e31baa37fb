package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// readersTogether is how many processes look at the VM list per interval.
	readersTogether = 3
	// maxStretch bounds how much longer than its interval a process waits.
	maxStretch = 30
	// leastSpread and mostSpread vary each wait so much that processes started
	// together soon look at different times.
	leastSpread = 0.2
	mostSpread  = 1.8
)

// ListInterval returns the time until a process looks at the VM list again. The
// list grows with the fleet, so if all looked each second, the list alone would
// cost a process of a large fleet more than all else. What one of them reads,
// gossip tells the others; so the looks are shared: a few of them fall into each
// interval, wherever in the fleet.
func ListInterval(interval time.Duration, processes int) time.Duration {
	stretch := min(max(1, float64(processes)/readersTogether), maxStretch)
	spread := leastSpread + (mostSpread-leastSpread)*rand.Float64()
	return time.Duration(stretch * spread * float64(interval))
}
