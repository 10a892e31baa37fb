package budget_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/budget"
	"buckthornridge/journal"
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

// adoptedBy gives copies of a holder's bills to another router.
type adoptedBy struct {
	keeper *budget.Keeper
	holder string
}

func (a adoptedBy) Copy(_ context.Context, bill journal.Entry) error {
	a.keeper.Journal().Adopt(a.holder, []journal.Entry{bill})
	return nil
}

// A router answers whole requests during an outage and is killed before the table
// is back. Its callers have complete answers; the bills were in its memory alone
// and are never written. With a copy at another router each is billed, once.
func TestKilledInAnOutageLeavesNoAnswerUnbilled(t *testing.T) {
	story(t, 1_000_000, func(t *testing.T, is *is.I, f *fleet) {
		f.weight = 1
		other := f.start("vm-2", "1")
		f.copies = adoptedBy{keeper: other, holder: "vm-1#1"}
		k := f.start("vm-1", "1")
		is.NoErr(f.must(k, "before", 500).Bill(t.Context(), 500))
		f.faults(platform.Faults{Down: true})
		for i := range 5 {
			r := f.must(k, fmt.Sprint("during-", i), 500)
			is.True(errors.Is(r.Bill(t.Context(), 400), budget.ErrBillPending))
		}
		_ = k.Stop()
		f.faults(platform.Faults{})
		f.gone("vm-1")
		time.Sleep(5 * time.Second)
		f.duties()
		f.duties()
		is.Equal(f.status(studio).Billed, int64(500+5*400))
	})
}

// The router is not killed and writes its bills itself: the copies bill nothing
// a second time.
func TestCopiedBillsAreBilledOnce(t *testing.T) {
	story(t, 1_000_000, func(t *testing.T, is *is.I, f *fleet) {
		f.weight = 1
		other := f.start("vm-2", "1")
		f.copies = adoptedBy{keeper: other, holder: "vm-1#1"}
		k := f.start("vm-1", "1")
		is.NoErr(f.must(k, "before", 500).Bill(t.Context(), 500))
		f.faults(platform.Faults{Down: true})
		for i := range 5 {
			_ = f.must(k, fmt.Sprint("during-", i), 500).Bill(t.Context(), 400)
		}
		f.faults(platform.Faults{})
		time.Sleep(5 * time.Second)
		f.duties()
		is.NoErr(k.Drain(t.Context()))
		f.duties()
		f.duties()
		state := f.status(studio)
		is.Equal(state.Billed, int64(500+5*400))
		is.Equal(state.LostTokens(), int64(0))
	})
}
