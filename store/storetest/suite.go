// Package storetest is a test suite for implementations of the platform's services,
// including their behaviour under faults. Only tests import it.
package storetest

import (
	"errors"
	"testing"

	"buckthornridge/store"
)

// Harness is one empty platform under test.
type Harness struct {
	// As returns the services as a VM uses them.
	As func(vmID string) store.Services
	// Fake is the platform behind the services, for faults and audits.
	Fake *store.Fake
}

// Weights are the contents of the weight store of the platforms under test.
var Weights = []store.Weight{{Model: "small", Version: "3", Bytes: 1 << 20}}

// WeightRate is the rate of that weight store in bytes per second.
const WeightRate = 1 << 18

// Options returns the options of the platforms under test.
func Options() store.FakeOptions {
	return store.FakeOptions{Seed: 1, Weights: Weights, WeightBytesPerSecond: WeightRate}
}

// contractTest is the test of one guarantee.
type contractTest struct {
	name string
	test func(*testing.T, Harness)
}

// Run runs all contract tests. It calls open once for each test; open releases its
// resources with t.Cleanup.
func Run(t *testing.T, open func(*testing.T) Harness) {
	parts := [][]contractTest{tableContracts, faultContracts, vmContracts, objectContracts}
	for _, part := range parts {
		for _, c := range part {
			t.Run(c.name, func(t *testing.T) { c.test(t, open(t)) })
		}
	}
}

// RunSingleRows runs the tests for a client that only supports transactions and single
// rows, including lost responses and delayed writes. It leaves out what such a client
// does not support: consistent reads of several rows, scans of arbitrary prefixes and
// the limits of our own stand-in server.
func RunSingleRows(t *testing.T, open func(*testing.T) Harness) {
	for _, c := range rowContracts {
		t.Run(c.name, func(t *testing.T) { c.test(t, open(t)) })
	}
}

var rowContracts = []contractTest{
	{"missing rows have version 0", missingRows},
	{"a table that comes back from an older copy", comesBackOlder},
	{"a table that gives numbers out again", numbersGivenOutAgain},
	{"a write across a return of the table", writeAcrossAReturn},
	{"read returns rows in the order of the keys", readOrder},
	{"conditions are checked at commit", conditionsChecked},
	{"a condition may name a row that isn't written", conditionOnUnwrittenRow},
	{"versions are never reused", versionsNeverReused},
	{"transactions are atomic", transactionsAtomic},
	{"values are copied in and out", valuesCopied},
	{"a response is lost after the write took effect", responseLost},
	{"the response to a refused write is lost", refusalResponseLost},
	{"a write is applied after its caller got an unknown outcome", writeDelayed},
	{"a delayed write that was superseded changes nothing", delayedWriteSuperseded},
}

// put writes one row under no condition.
func put(key, value string) store.Txn {
	return store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}}
}

// putIf writes one row on the condition that it has a version.
func putIf(key, value string, version int64) store.Txn {
	txn := put(key, value)
	txn.Conditions = []store.Condition{{Key: key, Version: version}}
	return txn
}

// mustCommit commits a transaction that must succeed and returns its version.
func mustCommit(t *testing.T, table store.Table, txn store.Txn) int64 {
	t.Helper()
	version, err := table.Commit(t.Context(), txn)
	if err != nil {
		t.Fatalf("commit: %v", err)
	}
	return version
}

// mustRead returns one row; the read must succeed.
func mustRead(t *testing.T, table store.Table, key string) store.Row {
	t.Helper()
	rows, err := table.Read(t.Context(), key)
	if err != nil {
		t.Fatalf("read %s: %v", key, err)
	}
	return rows[0]
}

// expectError fails unless err matches want and no other error of package store.
func expectError(t *testing.T, err, want error) {
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
