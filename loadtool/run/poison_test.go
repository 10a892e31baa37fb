package run

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an oracle that passes what the rule forbids, or counts what it allows.
func TestBeyondRetries(t *testing.T) {
	for _, c := range []struct {
		name  string
		times []int64
		want  int
	}{
		{"too few crashes", []int64{0, 90_000}, 0},
		{"none after the notice", []int64{0, 10, 20, 3020}, 0},
		{"three after the notice", []int64{0, 10, 20, 3021, 3022, 3023}, 0},
		{"five after the notice, in any order", []int64{9_005, 0, 9_004, 10, 9_003, 20, 9_002, 9_001}, 2},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(beyondRetries(c.times, poisonCrashes), c.want) })
	}
}
