// Package storetest has the contract that every implementation of the
// platform's services keeps, with its faults. Only tests import it.
package storetest

import (
	"errors"
	"testing"

	"buckthornridge/store"
)

// Harness is one empty platform under test.
type Harness struct {
	// As returns the services as a VM reaches them.
	As func(vmID string) store.Services
	// Fake is the platform behind the services, for faults and audits.
	Fake *store.Fake
}

// Weights and WeightRate are what the platforms under test hold.
var Weights = []store.Weight{{Model: "small", Version: "3", Bytes: 1 << 20}}

// WeightRate is in bytes a second.
const WeightRate = 1 << 18

// Options are those of the platforms under test.
func Options() store.FakeOptions {
	return store.FakeOptions{Seed: 1, Weights: Weights, WeightBytesPerSecond: WeightRate}
}

// contract is one promise with its test.
type contract struct {
	name string
	test func(*testing.T, Harness)
}

// Run checks the whole contract; open is called once for each promise and closes
// what it opens with t.Cleanup.
func Run(t *testing.T, open func(*testing.T) Harness) {
	parts := [][]contract{tableContracts, faultContracts, vmContracts, objectContracts}
	for _, part := range parts {
		for _, c := range part {
			t.Run(c.name, func(t *testing.T) { c.test(t, open(t)) })
		}
	}
}

// RunRows checks the part of the contract that a client of transactions and single
// rows keeps, with lost answers and late writes. It leaves out what such a client
// does not offer: several rows read at one moment, scans of any prefix, the limits
// of our own stand-in.
func RunRows(t *testing.T, open func(*testing.T) Harness) {
	for _, c := range rowContracts {
		t.Run(c.name, func(t *testing.T) { c.test(t, open(t)) })
	}
}

var rowContracts = []contract{
	{"missing rows have version 0", missingRows},
	{"read keeps the order asked", readOrder},
	{"conditions guard rows", conditionsGuardRows},
	{"a condition may name a row that isn't written", conditionOnOtherRow},
	{"versions are never reused", versionsNeverReused},
	{"a transaction is whole or nothing", atomic},
	{"values are copied in and out", valuesCopied},
	{"an answer is lost after the write took effect", answerLost},
	{"the answer of a refused write is lost", refusalLost},
	{"a write happens after its caller gave up", writeDelayed},
	{"a delayed write that was overtaken changes nothing", delayedOvertaken},
}

// put writes one row under no condition.
func put(key, value string) store.Txn {
	return store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}}
}

// putIf writes one row that must have a version.
func putIf(key, value string, version int64) store.Txn {
	txn := put(key, value)
	txn.Conditions = []store.Condition{{Key: key, Version: version}}
	return txn
}

// mustCommit returns the version of a transaction that must succeed.
func mustCommit(t *testing.T, table store.Table, txn store.Txn) int64 {
	t.Helper()
	version, err := table.Commit(t.Context(), txn)
	if err != nil {
		t.Fatalf("commit: %v", err)
	}
	return version
}

// mustRead returns one row.
func mustRead(t *testing.T, table store.Table, key string) store.Row {
	t.Helper()
	rows, err := table.Read(t.Context(), key)
	if err != nil {
		t.Fatalf("read %s: %v", key, err)
	}
	return rows[0]
}

// expect fails unless err is exactly this one of the platform's errors.
func expect(t *testing.T, err, want error) {
	t.Helper()
	for _, known := range []error{
		store.ErrConditionFailed, store.ErrUnavailable, store.ErrOutcomeUnknown,
		store.ErrRateLimited, store.ErrTooLarge, store.ErrInvalid, store.ErrNotFound,
	} {
		if errors.Is(err, known) != errors.Is(want, known) {
			t.Fatalf("want %v, got %v", want, err)
		}
	}
}
