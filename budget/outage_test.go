package budget_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/budget"
	"buckthornridge/platform"
)

// The table is down. The first answer waits for its bill until the limit; those
// after it used to wait as long each, 2 s at the end of every answer for an hour,
// although it was known by then that the table does not take bills.
func TestOnlyTheFirstBillWaitsInAnOutage(t *testing.T) {
	witnessed(t, func(t *testing.T, is *is.I, f *fleet, _ *bench, k *budget.Keeper) {
		billed := f.status(studio).Billed
		f.faults(platform.Faults{Down: true})
		var waits []time.Duration
		for i := range 5 {
			r := f.must(k, fmt.Sprint("during-", i), 500)
			began := time.Now()
			is.True(errors.Is(r.Bill(t.Context(), 500), budget.ErrBillPending))
			waits = append(waits, time.Since(began))
		}
		is.True(waits[0] >= time.Second)
		for _, wait := range waits[1:] {
			is.Equal(wait, time.Duration(0))
		}
		f.faults(platform.Faults{})
		time.Sleep(5 * time.Second)
		f.duties()
		is.Equal(f.status(studio).Billed, billed+5*500)
	})
}
