package journal_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"buckthornridge/bubble"
	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/store"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

var studio = ledger.ID{Workspace: "lankawrap", Name: "studio-1"}

// writeHeldBudget writes a budget to the table of which a holder has all tokens.
func writeHeldBudget(t *testing.T, table store.Table, holder string, tokens int64) {
	t.Helper()
	row := ledger.Budget{Purchased: tokens, Holders: map[string]ledger.Holding{holder: {Held: tokens}}}
	txn := store.Txn{Writes: []store.Write{{Key: ledger.BudgetKey(studio), Value: ledger.Encode(&row)}}}
	if _, err := table.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

func studioRow(fake *store.Fake) *ledger.Budget {
	var row ledger.Budget
	_ = ledger.Decode("", fake.Dump(ledger.BudgetKey(studio))[0].Value, &row)
	return &row
}

// runWriter runs a writer until the returned function is called.
func runWriter(t *testing.T, fake *store.Fake) (*journal.Writer, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	w := journal.NewWriter(fake.As("vm-1").Table, "vm-1#1", 0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	<-w.Ready()
	return w, func() {
		cancel()
		<-done
	}
}

func bill(number uint64, request string, tokens int64) journal.Entry {
	return journal.Entry{Kind: journal.KindBill, Reservation: number, Budget: studio, Request: request, Tokens: tokens}
}

// A router in outage mode waits for its journal to become durable, and the last
// entry of the queue is removed meanwhile. If the wait did not end for the removed
// entry, the router would stay in outage mode for ever; if it ended at once, the
// entries before it would count as durable although they are not.
func TestWaitDurableSkipsRemovedEntries(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{})
		w, stop := runWriter(t, fake)
		defer stop()
		fake.SetFaults(store.Faults{Down: true})
		first := w.Add(bill(1, "a", 1), nil)
		time.Sleep(time.Second) // in flight
		last := w.Add(bill(2, "b", 1), nil)
		settled := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			settled <- w.WaitDurable(ctx)
		}()
		time.Sleep(time.Second)
		is.True(w.Remove(last))
		time.Sleep(time.Second)
		is.Equal(len(settled), 0) // the first entry is not durable
		fake.SetFaults(store.Faults{})
		is.NoErr(<-settled)
		<-first.Done()
	})
}

// The answer of a segment's commit is lost and the segment is sent again. Before
// the second copy arrives, the first one is folded and deleted. Guards against a
// second copy that stays in the table as long as the router runs: the next fold
// must delete it.
func TestStrayCopyOfASegmentIsRemoved(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{})
		writeHeldBudget(t, fake.As("operator").Table, "vm-1#1", 100)
		w, stop := runWriter(t, fake)
		defer stop()
		folder := journal.Folder{Table: fake.As("operator").Table, Index: journal.NewIndex()}
		folded := false
		fake.SetHooks(store.Hooks{After: func(c store.Call, _ error) {
			if c.Step == store.StepCommit && c.VM == "vm-1" && !folded {
				folded = true
				_, err := folder.Run(t.Context())
				is.NoErr(err)
			}
		}})
		fake.UpdateFaults(func(f *store.Faults) { f.LoseNext = 1 })
		<-w.Add(bill(1, "a", 10), nil).Done()
		is.Equal(len(fake.Dump(ledger.SegmentPrefix)), 1) // the stray copy
		_, err := folder.Run(t.Context())
		is.NoErr(err)
		is.Equal(len(fake.Dump(ledger.SegmentPrefix)), 0)
		is.Equal(studioRow(fake).Billed, int64(10))
	})
}

// TestEachRequestIsBilledOnce runs several folders, two with a cached index, in
// random order over hours. Guards against a stale cache: a request that was billed
// within the retention must not be billed again, and a request that was not billed
// must not count as a duplicate.
func TestEachRequestIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		keys := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 60).Draw(rt, "requests")
		turns := rapid.SliceOfN(rapid.IntRange(0, 3), len(keys), len(keys)).Draw(rt, "turns")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 100), len(keys), len(keys)).Draw(rt, "minutes")
		var fault string
		bubble.Test(t, func(t *testing.T) { fault = billOnce(t, keys, turns, pauses) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func billOnce(t *testing.T, keys, turns, pauses []int) string {
	fake := store.NewFake(store.FakeOptions{})
	table := fake.As("operator").Table
	writeHeldBudget(t, table, "vm-1#1", 1000)
	w, stop := runWriter(t, fake)
	defer stop()
	folders := []journal.Folder{{Table: table, Index: journal.NewIndex()}, {Table: table, Index: journal.NewIndex()}, {Table: table}}
	billedAt := map[int]time.Time{}
	var billed, duplicates int64
	for i, key := range keys {
		<-w.Add(bill(uint64(i), fmt.Sprint("request-", key), 1), nil).Done()
		if turns[i] < len(folders) {
			if _, err := folders[turns[i]].Run(t.Context()); err != nil {
				return err.Error()
			}
		} else if _, err := (journal.Folder{Table: table}).Run(t.Context()); err != nil {
			return err.Error()
		}
		row := studioRow(fake)
		first, before := billedAt[key]
		switch {
		case row.Billed == billed+1 && before && time.Since(first) < journal.Retention:
			return fmt.Sprintf("request %d billed again after %v", key, time.Since(first))
		case row.Billed == billed && !before:
			return fmt.Sprintf("request %d taken for a duplicate", key)
		}
		if row.Billed > billed {
			billedAt[key] = time.Now()
		}
		billed, duplicates = row.Billed, row.Lost[ledger.CauseDuplicate]
		time.Sleep(time.Duration(pauses[i]) * time.Minute)
	}
	if billed+duplicates != int64(len(keys)) {
		return fmt.Sprintf("%d billed, %d duplicates of %d", billed, duplicates, len(keys))
	}
	return ""
}

// TestIndexIsReadOnce checks that a folder reads no index row that it wrote.
func TestIndexIsReadOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{})
		writeHeldBudget(t, fake.As("operator").Table, "vm-1#1", 1000)
		w, stop := runWriter(t, fake)
		defer stop()
		reads := 0
		fake.SetHooks(store.Hooks{Before: func(c store.Call) {
			if c.Step == store.StepRead && strings.HasPrefix(c.Keys[0], ledger.IndexPrefix) {
				reads++
			}
		}})
		folder := journal.Folder{Table: fake.As("operator").Table, Index: journal.NewIndex()}
		for i := range uint64(20) {
			<-w.Add(bill(i, fmt.Sprint(i), 1), nil).Done()
			_, err := folder.Run(t.Context())
			is.NoErr(err)
		}
		is.Equal(reads, 0)
		is.Equal(studioRow(fake).Billed, int64(20))
	})
}
