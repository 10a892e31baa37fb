package budget_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/budget"
	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/store"
)

// The table is down. The first answer waits for its bill until the limit. Guards
// against the same wait for each later answer, although it is known by then that
// the table does not accept bills: 2 s at the end of every answer, for the length
// of the outage.
func TestOnlyTheFirstBillWaitsInAnOutage(t *testing.T) {
	runWitnessed(t, func(t *testing.T, is *is.I, f *fleet, _ *witnessSet, m *budget.GrantManager) {
		billed := f.status(studio).Billed
		f.faults(store.Faults{Down: true})
		var waits []time.Duration
		for i := range 5 {
			r := f.mustReserve(m, fmt.Sprint("during-", i), 500)
			began := time.Now()
			is.True(errors.Is(r.Bill(t.Context(), 500), budget.ErrBillPending))
			waits = append(waits, time.Since(began))
		}
		is.True(waits[0] >= time.Second)
		for _, wait := range waits[1:] {
			is.Equal(wait, time.Duration(0))
		}
		f.faults(store.Faults{})
		time.Sleep(5 * time.Second)
		f.duties()
		is.Equal(f.status(studio).Billed, billed+5*500)
	})
}

// directCopier copies a holder's bills to the store of another router.
type directCopier struct {
	book   *budget.BillCopyStore
	holder string
}

func (n directCopier) Copy(_ context.Context, number uint64, bill journal.Entry) error {
	return n.book.Add(n.holder, number, bill)
}

func (n directCopier) Release(_ context.Context, upTo uint64) error {
	n.book.Release(n.holder, upTo)
	return nil
}

// outageWithCopies runs a test in which vm-1 answers five requests of 400 tokens
// during an outage and vm-2 stores copies of the bills.
func outageWithCopies(t *testing.T, body func(t *testing.T, is *is.I, f *fleet, m *budget.GrantManager)) {
	runTest(t, 1_000_000, func(t *testing.T, is *is.I, f *fleet) {
		f.weight = 1
		other := f.start("vm-2", "1")
		book := budget.NewBillCopyStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go book.Run(ctx, f.fake.As("vm-2").Table, other.Journal())
		f.copier = directCopier{book: book, holder: "vm-1#1"}
		m := f.start("vm-1", "1")
		is.NoErr(f.mustReserve(m, "before", 500).Bill(t.Context(), 500))
		f.faults(store.Faults{Down: true})
		for i := range 5 {
			r := f.mustReserve(m, fmt.Sprint("during-", i), 500)
			is.True(errors.Is(r.Bill(t.Context(), 400), budget.ErrBillPending))
		}
		time.Sleep(time.Minute) // vm-2 must not treat a silent holder as sealed
		body(t, is, f, m)
		is.Equal(len(f.fake.Dump(ledger.AdoptedPrefix)), 0)
	})
}

// A router completes requests during an outage and is killed before the table is
// back. Guards against complete answers that are never billed, because the bills
// were in that router's memory alone: with a copy at another router each is billed
// once.
func TestCrashInOutageLeavesNoAnswerUnbilled(t *testing.T) {
	outageWithCopies(t, func(_ *testing.T, is *is.I, f *fleet, m *budget.GrantManager) {
		_ = m.Stop()
		f.faults(store.Faults{})
		f.declareGone("vm-1")
		time.Sleep(5 * time.Second)
		f.duties()
		is.Equal(f.status(studio).Billed, int64(500+5*400))
	})
}

// The router survives the outage and writes its bills itself. Guards against copies
// that bill a second time, and against copies that stay in the table as long as the
// router runs.
func TestCopiedBillsAreBilledOnce(t *testing.T) {
	outageWithCopies(t, func(_ *testing.T, is *is.I, f *fleet, _ *budget.GrantManager) {
		f.faults(store.Faults{})
		time.Sleep(10 * time.Second)
		f.duties()
		state := f.status(studio)
		is.Equal(state.Billed, int64(500+5*400))
		is.Equal(state.LostTokens(), int64(0))
		// Any copy that vm-2 still stored would be handed over now.
		is.NoErr(f.manager("vm-1#1").Drain(f.t.Context()))
		time.Sleep(10 * time.Second)
		is.Equal(len(f.fake.Dump(ledger.AdoptedPrefix)), 0)
	})
}

// The router survives the outage, writes its bills, and crashes later without
// having released all copies. The remaining copies are handed over and must bill
// nothing.
func TestUnreleasedCopiesBillNothing(t *testing.T) {
	outageWithCopies(t, func(t *testing.T, is *is.I, f *fleet, m *budget.GrantManager) {
		unreleased := journal.Entry{Kind: journal.KindBill, Budget: studio, Request: "before", Tokens: 500}
		is.NoErr(f.copier.Copy(t.Context(), 1<<40, unreleased))
		f.faults(store.Faults{})
		time.Sleep(10 * time.Second)
		_ = m.Stop()
		f.declareGone("vm-1")
		time.Sleep(5 * time.Second)
		f.duties()
		is.Equal(f.status(studio).Billed, int64(500+5*400))
	})
}

// adoptedBy adds every copy to another router's journal at once, like a router that
// wrongly considers the holder's journal sealed.
type adoptedBy struct {
	manager *budget.GrantManager
	holder  string
}

func (a adoptedBy) Copy(_ context.Context, _ uint64, bill journal.Entry) error {
	a.manager.Journal().Adopt(a.holder, []journal.Entry{bill})
	return nil
}

func (adoptedBy) Release(context.Context, uint64) error { return nil }

// A bill copy is in the table although its holder runs. The holder serves other
// requests for hours, until the index no longer contains the bills of the outage,
// and crashes with an open stream. Guards against a copy that is kept until then:
// it would be billed a second time, out of the tokens that the crash writes off.
func TestCopyDoesNotOutliveTheIndex(t *testing.T) {
	runTest(t, 1_000_000, func(t *testing.T, is *is.I, f *fleet) {
		f.weight = 1
		other := f.start("vm-2", "1")
		f.copier = adoptedBy{manager: other, holder: "vm-1#1"}
		m := f.start("vm-1", "1")
		is.NoErr(f.mustReserve(m, "before", 500).Bill(t.Context(), 500))
		f.faults(store.Faults{Down: true})
		is.True(errors.Is(f.mustReserve(m, "during", 500).Bill(t.Context(), 400), budget.ErrBillPending))
		f.faults(store.Faults{})
		billed := int64(900)
		for i := range 12 {
			time.Sleep(40 * time.Minute)
			is.NoErr(f.mustReserve(m, fmt.Sprint("later-", i), 10).Bill(t.Context(), 10))
			billed += 10
			f.duties()
		}
		f.mustReserve(m, "open", 5000)
		time.Sleep(time.Second)
		_ = m.Stop()
		f.declareGone("vm-1")
		f.duties()
		is.Equal(f.status(studio).Billed, billed)
		is.Equal(len(f.fake.Dump(ledger.AdoptedPrefix)), 0)
	})
}

// A budget's first requests are small, and so is the exposure that comes with their
// grant, which lasts long. Guards against larger requests that each wait for a group
// commit before the dispatch, for as long as the grant lasts: the first of them must
// raise the exposure.
func TestOnlyFirstLargeRequestWaitsForCommit(t *testing.T) {
	runTest(t, 10_000_000, func(t *testing.T, is *is.I, f *fleet) {
		f.weight = 1
		f.witnesses = newWitnessSet("vm-2#1")
		m := f.start("vm-1", "1")
		for i := range 300 {
			is.NoErr(f.mustReserve(m, fmt.Sprint("small-", i), 10).Bill(t.Context(), 10))
		}
		is.True(f.status(studio).Holders["vm-1#1"].Held > 10*5000) // the large ones need no grant
		waited := 0
		for i := range 10 {
			began := time.Now()
			r := f.mustReserve(m, fmt.Sprint("large-", i), 5000)
			if time.Since(began) > time.Millisecond {
				waited++
			}
			is.NoErr(r.Bill(t.Context(), 1000))
			time.Sleep(time.Second)
		}
		is.True(waited <= 1)
	})
}
