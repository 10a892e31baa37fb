package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// readersPerInterval is how many processes of the fleet read the VM list per
	// interval.
	readersPerInterval = 3
	// maxStretch bounds the factor by which a process waits longer than the interval.
	maxStretch = 30
	// minSpread and maxSpread are the bounds of the random factor of each wait. It
	// varies so much that processes started together soon read at different times.
	minSpread = 0.2
	maxSpread = 1.8
)

// ListInterval returns the time until a process reads the VM list again. The list
// grows with the fleet: if every process read it each second, this would cost a
// process of a large fleet more than all its other work. Gossip forwards what one
// process reads, so only a few processes of the fleet read the list per interval.
func ListInterval(interval time.Duration, processes int) time.Duration {
	stretch := min(max(1, float64(processes)/readersPerInterval), maxStretch)
	spread := minSpread + (maxSpread-minSpread)*rand.Float64()
	return time.Duration(stretch * spread * float64(interval))
}
