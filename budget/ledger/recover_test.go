package ledger

import (
	"testing"

	"github.com/matryer/is"
)

// A router dies before its budget ever lost a token, and a bill that it had handed to
// another router turns out to be of no tokens. The process that folds it must go on: it
// wrote into a map that the row did not have, and died at each pass.
func TestRecoversNothingFromABudgetThatLostNothing(t *testing.T) {
	is := is.New(t)
	var b Budget
	is.NoErr(b.Recover(0))
	is.Equal(b.Billed, int64(0))
	is.True(b.Recover(1) != nil)
}
