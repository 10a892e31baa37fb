// Package bubble runs tests in virtual time.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

var (
	mu         sync.Mutex // guards the variables below
	running    int        // bubbles
	processors int        // of the process while no bubble runs
)

// Test is synctest.Test. With the race detector, the process has one processor while any
// bubble runs: Go 1.26 uses one race context for all timers of a bubble, and two
// processors that run two of them at once break the detector's memory
// (docs/incidents/race-detector-in-bubbles.md).
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceDetector {
		enter()
		defer leave()
	}
	synctest.Test(t, f)
}

func enter() {
	mu.Lock()
	defer mu.Unlock()
	if running == 0 {
		processors = runtime.GOMAXPROCS(1)
	}
	running++
}

func leave() {
	mu.Lock()
	defer mu.Unlock()
	running--
	if running == 0 {
		runtime.GOMAXPROCS(processors)
	}
}
