package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLargeWorkspaceDoesNotCrowdOutTheOthers(t *testing.T) {
	// One of ten workspaces sends ten times its share, so that all together ask
	// for more than there is. A studio of another workspace must hardly see it:
	// with one queue in order of arrival, or with waits predicted by priority
	// alone, its requests would wait behind the flood or be refused for it.
	t.Parallel()
	is := is.New(t)
	calm, flooded := besideFlood(t, "")
	t.Logf("goodput of the others %.0f, beside the flood %.0f", calm, flooded)
	is.True(flooded >= 0.9*calm)
}

func TestFIFOLetsTheLargeWorkspaceIn(t *testing.T) {
	// The yardstick for the test above: the same flood through one queue takes
	// answers from the others, so that the test can fail.
	t.Parallel()
	is := is.New(t)
	calm, flooded := besideFlood(t, "fifo")
	t.Logf("goodput of the others %.0f, beside the flood %.0f", calm, flooded)
	is.True(flooded < 0.85*calm)
}

// besideFlood returns the goodput of the other workspaces without and with one
// that sends ten times its share.
func besideFlood(t *testing.T, policy string) (calm, flooded float64) {
	s := quick(0.6, time.Second)
	s.engines, s.length, s.admission = 8, 10*time.Second, policy
	calm = runModel(t, s).goodOthers
	s.big = 10
	return calm, runModel(t, s).goodOthers
}
