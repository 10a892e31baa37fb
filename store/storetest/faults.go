package storetest

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/store"
)

var faultContracts = []contractTest{
	{"a response is lost after the write took effect", responseLost},
	{"the response to a refused write is lost", refusalResponseLost},
	{"a write is applied after its caller got an unknown outcome", writeDelayed},
	{"a delayed write that was superseded changes nothing", delayedWriteSuperseded},
	{"down", platformDown},
	{"down without a response", platformUnresponsive},
	{"slow, with a deadline", slowWithDeadline},
	{"a cancelled context", cancelledContext},
	{"rate limits", rateLimited},
	{"rate limits count rows", rateLimitedByRows},
	{"one VM is partitioned", partitionedVM},
	{"transfers under faults preserve the sum", transfersPreserveSum},
}

// longDelay exceeds the duration of any test; a call that waits this long ends by its
// deadline.
const (
	longDelay = time.Hour
	deadline  = 30 * time.Millisecond
)

// A router writes a claim, the platform applies it and the response is lost. The
// router reads back and finds its own claim. Its retry under the same condition must
// fail, or the claim would be made twice.
func responseLost(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	h.Fake.SetFaults(store.Faults{LoseNext: 1})
	_, err := table.Commit(t.Context(), putIf("x", "1", 0))
	expectError(t, err, store.ErrOutcomeUnknown)
	is.Equal(string(mustRead(t, table, "x").Value), "1")
	_, err = table.Commit(t.Context(), putIf("x", "1", 0))
	expectError(t, err, store.ErrConditionFailed)
	is.Equal(h.Fake.Counters().ResponsesLost, int64(1))
}

func refusalResponseLost(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	h.Fake.SetFaults(store.Faults{LoseNext: 1})
	_, err := table.Commit(t.Context(), putIf("x", "1", 9))
	expectError(t, err, store.ErrOutcomeUnknown)
	is.Equal(mustRead(t, table, "x").Version, int64(0))
}

// A router reads back after an unknown outcome, finds no row and tells its caller
// that the request did not run; then the write is applied. Only another write under
// the same condition determines whether the delayed write can still take effect.
func writeDelayed(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	h.Fake.SetFaults(store.Faults{DelayNext: 1})
	_, err := table.Commit(t.Context(), putIf("x", "late", 0))
	expectError(t, err, store.ErrOutcomeUnknown)
	is.Equal(mustRead(t, table, "x").Version, int64(0))
	h.Fake.ReleaseDelayed()
	is.Equal(string(mustRead(t, table, "x").Value), "late")
	is.Equal(h.Fake.Counters().DelayedApplied, int64(1))
}

func delayedWriteSuperseded(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	h.Fake.SetFaults(store.Faults{DelayNext: 1})
	_, err := table.Commit(t.Context(), putIf("x", "late", 0))
	expectError(t, err, store.ErrOutcomeUnknown)
	version := mustCommit(t, table, putIf("x", "settled", 0))
	h.Fake.ReleaseDelayed()
	is.Equal(mustRead(t, table, "x"), store.Row{Key: "x", Value: []byte("settled"), Version: version})
	is.Equal(h.Fake.Counters().DelayedRefused, int64(1))
}

func platformDown(t *testing.T, h Harness) {
	is := is.New(t)
	s := h.As("a")
	h.Fake.SetFaults(store.Faults{Down: true})
	for name, err := range callEveryStep(t.Context(), s) {
		t.Run(string(name), func(t *testing.T) { expectError(t, err, store.ErrUnavailable) })
	}
	h.Fake.SetFaults(store.Faults{})
	is.Equal(len(h.Fake.Dump("")), 0)
	mustCommit(t, s.Table, put("x", "1"))
}

// callEveryStep makes one call of each kind and returns the errors.
func callEveryStep(ctx context.Context, s store.Services) map[store.Step]error {
	results := map[store.Step]error{}
	_, results[store.StepCommit] = s.Table.Commit(ctx, put("x", "1"))
	_, results[store.StepRead] = s.Table.Read(ctx, "x")
	_, results[store.StepScan] = s.Table.Scan(ctx, "", "", 1)
	results[store.StepPut] = s.Objects.Put(ctx, "o", []byte("1"))
	_, results[store.StepGet] = s.Objects.Get(ctx, "o")
	_, results[store.StepObjects] = s.Objects.List(ctx, "")
	results[store.StepDelete] = s.Objects.Delete(ctx, "o")
	_, _, results[store.StepVMs] = s.VMs.List(ctx)
	results[store.StepAnnounce] = s.VMs.Announce(ctx, liveVM("a", "1"))
	_, _, results[store.StepWeights] = s.Weights.Weights(ctx)
	return results
}

// noResponseError returns the expected error of a call that was sent and got no
// response.
func noResponseError(step store.Step) error {
	switch step {
	case store.StepCommit, store.StepPut, store.StepDelete, store.StepAnnounce:
		return store.ErrOutcomeUnknown
	}
	return store.ErrUnavailable
}

// The network drops all requests to the platform. Every call must end at its deadline,
// and a write must give an unknown outcome.
func platformUnresponsive(t *testing.T, h Harness) {
	h.Fake.SetFaults(store.Faults{Down: true, Silent: true})
	for step, call := range readAndWriteCalls(h.As("a")) {
		t.Run(string(step), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			err := call(ctx)
			expectError(t, err, noResponseError(step))
			is.New(t).True(errors.Is(err, context.DeadlineExceeded))
		})
	}
	is.New(t).Equal(len(h.Fake.Dump("")), 0)
}

// readAndWriteCalls returns calls that read and write the table and the object store
// and a call that lists the VMs.
func readAndWriteCalls(s store.Services) map[store.Step]func(context.Context) error {
	return map[store.Step]func(context.Context) error{
		store.StepCommit: func(ctx context.Context) error { _, err := s.Table.Commit(ctx, put("x", "1")); return err },
		store.StepRead:   func(ctx context.Context) error { _, err := s.Table.Read(ctx, "x"); return err },
		store.StepPut:    func(ctx context.Context) error { return s.Objects.Put(ctx, "o", nil) },
		store.StepGet:    func(ctx context.Context) error { _, err := s.Objects.Get(ctx, "o"); return err },
		store.StepVMs:    func(ctx context.Context) error { _, _, err := s.VMs.List(ctx); return err },
	}
}

// A slow platform receives a write after the caller's deadline. Reading back at once
// finds no row; reading back later finds it.
func slowWithDeadline(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	h.Fake.SetFaults(store.Faults{Latency: longDelay})
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	_, err := table.Read(ctx, "x")
	expectError(t, err, store.ErrUnavailable)
	ctx, cancel = context.WithTimeout(t.Context(), deadline)
	defer cancel()
	_, err = table.Commit(ctx, put("x", "1"))
	expectError(t, err, store.ErrOutcomeUnknown)
	is.True(errors.Is(err, context.DeadlineExceeded))
	for h.Fake.Counters().Delayed == 0 {
		time.Sleep(time.Millisecond) // the stand-in server notices when the connection breaks
	}
	h.Fake.SetFaults(store.Faults{})
	is.Equal(mustRead(t, table, "x").Version, int64(0))
	h.Fake.ReleaseDelayed()
	is.Equal(string(mustRead(t, table, "x").Value), "1")
}

func cancelledContext(t *testing.T, h Harness) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for step, err := range callEveryStep(ctx, h.As("a")) {
		t.Run(string(step), func(t *testing.T) {
			expectError(t, err, store.ErrUnavailable)
			is.New(t).True(errors.Is(err, context.Canceled))
		})
	}
	is.New(t).Equal(len(h.Fake.Dump("")), 0)
}

// oncePerHour is a rate limit so low that no second token is available during a test.
const oncePerHour = 1.0 / 3600

func rateLimited(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	h.Fake.SetFaults(store.Faults{WritesPerSecond: oncePerHour, ReadsPerSecond: oncePerHour})
	mustCommit(t, table, put("x", "1"))
	_, err := h.As("b").Table.Commit(t.Context(), put("x", "2"))
	expectError(t, err, store.ErrRateLimited)
	is.Equal(string(mustRead(t, table, "x").Value), "1")
	_, err = table.Read(t.Context(), "x")
	expectError(t, err, store.ErrRateLimited)
	_, err = table.Scan(t.Context(), "x", "", 1)
	expectError(t, err, store.ErrRateLimited)
	is.Equal(h.Fake.Counters().RateLimited, int64(3))
	is.NoErr(h.As("a").Objects.Put(t.Context(), "o", nil)) // rate limits apply to the table only
}

func rateLimitedByRows(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	two := store.Txn{Writes: []store.Write{{Key: "x"}, {Key: "y"}}}
	h.Fake.SetFaults(store.Faults{WritesPerSecond: oncePerHour, CountRows: true})
	mustCommit(t, table, two) // exceeds the burst and takes all of it
	_, err := table.Commit(t.Context(), two)
	expectError(t, err, store.ErrRateLimited)
	is.Equal(h.Fake.Counters().RowsWritten, int64(2))
}

func partitionedVM(t *testing.T, h Harness) {
	is := is.New(t)
	partitioned, other := h.As("a").Table, h.As("b").Table
	h.Fake.SetFaults(store.Faults{PartitionedVMs: []string{"a"}})
	_, err := partitioned.Commit(t.Context(), put("x", "cut"))
	expectError(t, err, store.ErrUnavailable)
	_, err = partitioned.Read(t.Context(), "x")
	expectError(t, err, store.ErrUnavailable)
	mustCommit(t, other, put("x", "other"))
	h.Fake.UpdateFaults(func(f *store.Faults) { f.PartitionedVMs = nil })
	is.Equal(string(mustRead(t, partitioned, "x").Value), "other")
}

// Four VMs move tokens between two rows while responses are lost and writes are
// delayed. Each reads both rows again after any error, as the contract requires. The
// sum of the two rows must never change.
func transfersPreserveSum(t *testing.T, h Harness) {
	const sum, vms, rounds = 1000, 4, 25
	is := is.New(t)
	mustCommit(t, h.As("a").Table, balances(sum, 0))
	h.Fake.SetFaults(store.Faults{LoseRate: 0.2, DelayRate: 0.2, Delay: time.Millisecond})
	var workers sync.WaitGroup
	for vm := range vms {
		workers.Go(func() {
			table := h.As("vm-" + strconv.Itoa(vm)).Table
			for range rounds {
				if !transfer(t, table, sum) {
					return
				}
			}
		})
	}
	workers.Wait()
	h.Fake.ReleaseDelayed()
	rows := h.Fake.Dump("balance/")
	is.Equal(balance(rows[0])+balance(rows[1]), sum)
	is.True(h.Fake.Counters().ResponsesLost > 0)
	is.True(h.Fake.Counters().Delayed > 0)
}

func transfer(t *testing.T, table store.Table, sum int) bool {
	rows, err := table.Read(t.Context(), "balance/1", "balance/2")
	if err != nil || balance(rows[0])+balance(rows[1]) != sum {
		t.Errorf("read %v: %v", rows, err)
		return false
	}
	txn := balances(balance(rows[0])-1, balance(rows[1])+1)
	txn.Conditions = []store.Condition{{Key: "balance/1", Version: rows[0].Version}, {Key: "balance/2", Version: rows[1].Version}}
	_, err = table.Commit(t.Context(), txn)
	if err != nil && !errors.Is(err, store.ErrConditionFailed) && !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("commit: %v", err)
		return false
	}
	return true
}

func balances(first, second int) store.Txn {
	txn := put("balance/1", strconv.Itoa(first))
	txn.Writes = append(txn.Writes, put("balance/2", strconv.Itoa(second)).Writes...)
	return txn
}

func balance(row store.Row) int {
	tokens, _ := strconv.Atoi(string(row.Value))
	return tokens
}
