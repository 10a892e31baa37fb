package storetest

import (
	"testing"

	"github.com/matryer/is"

	"buckthornridge/store"
)

// A table comes back from an older copy. Readers must not take its rows for stale ones, and
// nothing that was planned on the lost rows may take effect.
func comesBackOlder(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	first := mustCommit(t, table, put("x", "1"))
	older := h.Fake.CopyTable()
	lost := mustCommit(t, table, putIf("x", "2", first))
	created := mustCommit(t, table, put("y", "1"))
	h.Fake.ComeBack(older)
	x := mustRead(t, table, "x")
	is.Equal(string(x.Value), "1")
	is.True(x.Version > created)
	is.Equal(mustRead(t, table, "y").Version, int64(0))
	_, err := table.Commit(t.Context(), putIf("x", "3", lost))
	expectError(t, err, store.ErrConditionFailed)
	is.True(mustCommit(t, table, putIf("x", "3", x.Version)) > x.Version)
}

// The same numbers are given out again: a condition on a lost row must not match another one.
func numbersGivenOutAgain(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	older := h.Fake.CopyTable()
	lost := mustCommit(t, table, put("x", "lost"))
	h.Fake.ComeBack(older)
	again := mustCommit(t, table, put("x", "new"))
	is.True(again > lost)
	_, err := table.Commit(t.Context(), putIf("x", "3", lost))
	expectError(t, err, store.ErrConditionFailed)
	is.Equal(string(mustRead(t, table, "x").Value), "new")
}

// A VM that has not heard of the return may write on condition of a row from before. It must
// not take that for a success: others may have acted on the return.
func writeAcrossAReturn(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	first := mustCommit(t, table, put("x", "1"))
	h.Fake.ComeBack(h.Fake.CopyTable())
	_, err := table.Commit(t.Context(), putIf("x", "2", first))
	expectError(t, err, store.ErrOutcomeUnknown)
	is.Equal(string(mustRead(t, table, "x").Value), "2")
}
