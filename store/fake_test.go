package store_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/store"
)

// A delayed write must be invisible before its due time and visible to all readers
// from then on, without a timer.
func TestDelayedWriteIsAppliedInVirtualTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{Faults: store.Faults{DelayNext: 1, Delay: time.Minute}})
		table := fake.As("router-1").Table
		_, err := table.Commit(t.Context(), write("a", "1"))
		is.True(errors.Is(err, store.ErrOutcomeUnknown))
		is.Equal(version(t, table, "a"), int64(0))
		time.Sleep(time.Minute)
		is.Equal(version(t, table, "a"), int64(1))
		is.Equal(fake.Counters().DelayedApplied, int64(1))
	})
}

func version(t *testing.T, table store.Table, key string) int64 {
	t.Helper()
	rows, err := table.Read(t.Context(), key)
	is.New(t).NoErr(err)
	return rows[0].Version
}

func write(key, value string) store.Txn {
	return store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}}
}

// Of two delayed writes the first has the longer delay. They must be applied in the
// order of their due times, even if no call happens until both are due.
func TestDelayedWritesAreAppliedInOrderOfDueTimes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{})
		for _, delay := range []time.Duration{2 * time.Minute, time.Minute} {
			fake.SetFaults(store.Faults{DelayNext: 1, Delay: delay})
			_, err := fake.As("a").Table.Commit(t.Context(), write("x", delay.String()))
			is.True(errors.Is(err, store.ErrOutcomeUnknown))
		}
		time.Sleep(time.Hour)
		is.Equal(string(fake.Dump("")[0].Value), "2m0s")
	})
}

// The platform is unreachable while a slow write is in transit. The write must
// never be applied.
func TestWriteInTransitToUnavailablePlatformIsLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{Faults: store.Faults{Down: true, Latency: 10 * time.Second}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := fake.As("a").Table.Commit(ctx, write("x", "1"))
		is.True(errors.Is(err, store.ErrOutcomeUnknown))
		time.Sleep(time.Hour)
		is.Equal(len(fake.Dump("")), 0)
	})
}

func TestRateLimitsOverTime(t *testing.T) {
	threeRows := store.Txn{Writes: []store.Write{{Key: "x"}, {Key: "y"}, {Key: "z"}}}
	for name, c := range map[string]struct {
		faults  store.Faults
		applied int64 // of ten commits at once, and ten more after each of two seconds
	}{
		"calls": {store.Faults{WritesPerSecond: 3}, 9},
		"rows":  {store.Faults{WritesPerSecond: 3, CountRows: true}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				fake := store.NewFake(store.FakeOptions{Faults: c.faults})
				for range 3 {
					for range 10 {
						_, _ = fake.As("a").Table.Commit(t.Context(), threeRows)
					}
					time.Sleep(time.Second)
				}
				is.New(t).Equal(fake.Counters().Txns, c.applied)
				is.New(t).Equal(fake.Counters().RateLimited, 30-c.applied)
			})
		})
	}
}

func TestFaultsAreReproducibleBySeed(t *testing.T) {
	outcomes := func(seed uint64) string {
		fake := store.NewFake(store.FakeOptions{Seed: seed, Faults: store.Faults{LoseRate: 0.3, DelayRate: 0.3}})
		var drawn strings.Builder
		for range 64 {
			_, err := fake.As("a").Table.Commit(t.Context(), write("x", "1"))
			fmt.Fprint(&drawn, err == nil, fake.Counters().Delayed, " ")
		}
		return drawn.String()
	}
	is := is.New(t)
	is.Equal(outcomes(1), outcomes(1))
	is.True(outcomes(1) != outcomes(2))
}

// A caller reads back after its deadline, doesn't find the write and assumes that it
// had no effect, but the request is still in transit and arrives later. The write must
// therefore give ErrOutcomeUnknown and be applied late.
func TestDeadlineDoesNotCancelWriteInTransit(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{Faults: store.Faults{Latency: 10 * time.Second}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := fake.As("router-1").Table.Commit(ctx, store.Txn{Writes: []store.Write{{Key: "a"}}})
		is.True(errors.Is(err, store.ErrOutcomeUnknown))
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(len(fake.Dump("")), 0)
		time.Sleep(10 * time.Second)
		is.Equal(len(fake.Dump("")), 1)
	})
}

// A hook lets another VM create a row before the first VM's commit takes effect, so
// that the first commit must fail.
func TestHooksInterleaveTwoVMs(t *testing.T) {
	is := is.New(t)
	fake := store.NewFake(store.FakeOptions{})
	create := store.Txn{
		Conditions: []store.Condition{{Key: "a", Version: 0}},
		Writes:     []store.Write{{Key: "a"}},
	}
	fake.SetHooks(store.Hooks{Before: func(call store.Call) {
		if call.Step != store.StepCommit || call.VM != "slow" {
			return
		}
		_, err := fake.As("quick").Table.Commit(t.Context(), create)
		is.NoErr(err)
	}})
	_, err := fake.As("slow").Table.Commit(t.Context(), create)
	is.True(errors.Is(err, store.ErrConditionFailed))
}

func TestFailedMatchesMeaningAndCause(t *testing.T) {
	is := is.New(t)
	err := store.CallError("table commit", "host:1", store.ErrOutcomeUnknown, context.DeadlineExceeded)
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(!errors.Is(err, store.ErrUnavailable))
	is.Equal(err.Error(), "table commit host:1: store: outcome unknown: context deadline exceeded")
}
