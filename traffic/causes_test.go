package traffic

import (
	"testing"

	"github.com/matryer/is"
)

// Operators need to know which calls a load adds: the line names what was called since the last one.
func TestCausesLine(t *testing.T) {
	is := is.New(t)
	var c Causes
	c.Add("feed_a", 0)
	c.Add("commit_b", 2)
	before := c.Counts()
	c.Add("feed_a", 3)
	c.Add("commit_b", 1)
	is.Equal(CausesLine(c.Counts(), before), " commit_b=1 feed_a=3")
	is.Equal(CausesLine(before, nil), " commit_b=2")
	var none *Meter
	is.Equal(none.CallCounts(), map[string]int64(nil))
}
