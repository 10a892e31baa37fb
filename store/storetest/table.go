package storetest

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/store"
)

var tableContracts = []contractTest{
	{"missing rows have version 0", missingRows},
	{"read returns rows in the order of the keys", readOrder},
	{"conditions are checked at commit", conditionsChecked},
	{"a condition may name a row that isn't written", conditionOnUnwrittenRow},
	{"versions are never reused", versionsNeverReused},
	{"a table that comes back from an older copy", comesBackOlder},
	{"a table that gives numbers out again", numbersGivenOutAgain},
	{"a write across a return of the table", writeAcrossAReturn},
	{"transactions are atomic", transactionsAtomic},
	{"values are copied in and out", valuesCopied},
	{"scan pages through a prefix", scanPages},
	{"scan without results", scanEmptyResult},
	{"malformed requests", malformedRequests},
	{"requests over the limits", oversizedRequests},
	{"requests at the limits", requestsAtLimits},
	{"responses over the limit", oversizedResponses},
	{"errors name the step", errorsNameStep},
}

func missingRows(t *testing.T, h Harness) {
	is := is.New(t)
	rows, err := h.As("a").Table.Read(t.Context(), "x", "y")
	is.NoErr(err)
	is.Equal(rows, []store.Row{{Key: "x"}, {Key: "y"}})
	rows, err = h.As("a").Table.Read(t.Context())
	is.NoErr(err)
	is.Equal(len(rows), 0)
}

func readOrder(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	one := mustCommit(t, table, put("x", "1"))
	two := mustCommit(t, table, put("w", "2"))
	rows, err := table.Read(t.Context(), "x", "w", "v", "x")
	is.NoErr(err)
	x, w := store.Row{Key: "x", Value: []byte("1"), Version: one}, store.Row{Key: "w", Value: []byte("2"), Version: two}
	is.Equal(rows, []store.Row{x, w, {Key: "v"}, x})
}

func conditionsChecked(t *testing.T, h Harness) {
	is := is.New(t)
	first, second := h.As("a").Table, h.As("b").Table
	version := mustCommit(t, first, putIf("x", "1", 0))
	_, err := second.Commit(t.Context(), putIf("x", "2", 0))
	expectError(t, err, store.ErrConditionFailed)
	next := mustCommit(t, second, putIf("x", "2", version))
	is.True(next > version)
	_, err = first.Commit(t.Context(), putIf("x", "3", version))
	expectError(t, err, store.ErrConditionFailed)
	is.Equal(mustRead(t, first, "x"), store.Row{Key: "x", Value: []byte("2"), Version: next})
}

func conditionOnUnwrittenRow(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	fence := mustCommit(t, table, put("fence", "1"))
	txn := put("x", "1")
	txn.Conditions = []store.Condition{{Key: "fence", Version: fence}}
	mustCommit(t, table, txn)
	is.Equal(mustRead(t, table, "fence").Version, fence)
	mustCommit(t, table, put("fence", "2"))
	_, err := table.Commit(t.Context(), txn)
	expectError(t, err, store.ErrConditionFailed)
}

// A holder's row is deleted and created again by another holder. A condition of the
// first holder must not match the new row, so versions must not be reused.
func versionsNeverReused(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	old := mustCommit(t, table, put("x", "1"))
	mustCommit(t, table, store.Txn{Writes: []store.Write{{Key: "x", Delete: true}}})
	is.Equal(mustRead(t, table, "x"), store.Row{Key: "x"})
	again := mustCommit(t, table, putIf("x", "1", 0))
	is.True(again > old)
	_, err := table.Commit(t.Context(), putIf("x", "2", old))
	expectError(t, err, store.ErrConditionFailed)
}

func transactionsAtomic(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	both := store.Txn{Writes: []store.Write{{Key: "x", Value: []byte("1")}, {Key: "y", Value: []byte("1")}}}
	version := mustCommit(t, table, both)
	is.Equal(mustRead(t, table, "x").Version, version)
	is.Equal(mustRead(t, table, "y").Version, version)
	refused := store.Txn{
		Conditions: []store.Condition{{Key: "x", Version: version}, {Key: "y", Version: version + 1}},
		Writes:     []store.Write{{Key: "x", Value: []byte("2")}, {Key: "y", Delete: true}, {Key: "z"}},
	}
	before := h.Fake.Dump("")
	_, err := table.Commit(t.Context(), refused)
	expectError(t, err, store.ErrConditionFailed)
	is.Equal(h.Fake.Dump(""), before)
}

func valuesCopied(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	value := []byte("1")
	mustCommit(t, table, store.Txn{Writes: []store.Write{{Key: "x", Value: value}}})
	value[0] = '2'
	row := mustRead(t, table, "x")
	is.Equal(string(row.Value), "1")
	row.Value[0] = '3'
	is.Equal(string(mustRead(t, table, "x").Value), "1")
	mustCommit(t, table, store.Txn{Writes: []store.Write{{Key: "x", Value: []byte{}}}})
	is.Equal(mustRead(t, table, "x").Value, nil)
	binary := "\x00\xff<&>"
	mustCommit(t, table, put("x", binary))
	is.Equal(string(mustRead(t, table, "x").Value), binary)
}

func scanPages(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	for _, key := range []string{"p/3", "p/1", "o/9", "p/2", "q/1", "p/5", "p/4", "p"} {
		mustCommit(t, table, put(key, key))
	}
	mustCommit(t, table, store.Txn{Writes: []store.Write{{Key: "p/4", Delete: true}}})
	var pages []string
	for after, full := "", true; full; {
		rows, err := table.Scan(t.Context(), "p/", after, 2)
		is.NoErr(err)
		for _, row := range rows {
			is.Equal(row, mustRead(t, table, row.Key))
			pages = append(pages, row.Key)
			after = row.Key
		}
		if full = len(rows) == 2; full {
			pages = append(pages, "|")
		}
	}
	is.Equal(strings.Join(pages, " "), "p/1 p/2 | p/3 p/5 |")
}

func scanEmptyResult(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	mustCommit(t, table, put("p/1", ""))
	for _, c := range []struct{ prefix, after string }{{"q", ""}, {"p/", "p/1"}, {"p/", "z"}, {"p/10", ""}} {
		rows, err := table.Scan(t.Context(), c.prefix, c.after, 10)
		is.NoErr(err)
		is.Equal(len(rows), 0)
	}
	rows, err := table.Scan(t.Context(), "", "a", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
}

func malformedRequests(t *testing.T, h Harness) {
	table := h.As("a").Table
	txns := map[string]store.Txn{
		"no writes":         {Conditions: []store.Condition{{Key: "x"}}},
		"empty key":         put("", "1"),
		"key is not UTF-8":  put("\xff", "1"),
		"key written twice": {Writes: []store.Write{{Key: "x"}, {Key: "x", Delete: true}}},
		"condition twice":   {Conditions: []store.Condition{{Key: "x"}, {Key: "x", Version: 1}}, Writes: []store.Write{{Key: "x"}}},
		"negative version":  putIf("x", "1", -1),
		"delete with value": {Writes: []store.Write{{Key: "x", Value: []byte("1"), Delete: true}}},
	}
	for name, txn := range txns {
		t.Run(name, func(t *testing.T) {
			_, err := table.Commit(t.Context(), txn)
			expectError(t, err, store.ErrInvalid)
		})
	}
	_, err := table.Read(t.Context(), "x", "")
	expectError(t, err, store.ErrInvalid)
	_, err = table.Scan(t.Context(), "", "", 0)
	expectError(t, err, store.ErrInvalid)
	_, err = table.Scan(t.Context(), "\xff", "", 1)
	expectError(t, err, store.ErrInvalid)
	is.New(t).Equal(len(h.Fake.Dump("")), 0)
}

// rowsOf returns a transaction that creates a number of rows, each with a value of the
// given number of bytes.
func rowsOf(rows, bytes int) store.Txn {
	var txn store.Txn
	value := []byte(strings.Repeat("v", bytes))
	for i := range rows {
		key := fmt.Sprintf("row/%03d", i)
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key})
	}
	return txn
}

func oversizedRequests(t *testing.T, h Harness) {
	table := h.As("a").Table
	manyConditions := rowsOf(store.MaxTxnRows+1, 0)
	manyConditions.Writes = manyConditions.Writes[:1]
	txns := map[string]store.Txn{
		"key":        put(strings.Repeat("k", store.MaxKeyBytes+1), ""),
		"value":      put("x", strings.Repeat("v", store.MaxValueBytes+1)),
		"writes":     rowsOf(store.MaxTxnRows+1, 0),
		"conditions": manyConditions,
		"bytes":      rowsOf(5, store.MaxValueBytes),
	}
	for name, txn := range txns {
		t.Run(name, func(t *testing.T) {
			_, err := table.Commit(t.Context(), txn)
			expectError(t, err, store.ErrTooLarge)
		})
	}
	_, err := table.Read(t.Context(), make([]string, store.MaxTxnRows+1)...)
	expectError(t, err, store.ErrTooLarge)
	_, err = table.Scan(t.Context(), "", "", store.MaxScanRows+1)
	expectError(t, err, store.ErrTooLarge)
	is.New(t).Equal(len(h.Fake.Dump("")), 0)
}

func requestsAtLimits(t *testing.T, h Harness) {
	is := is.New(t)
	table := h.As("a").Table
	mustCommit(t, table, rowsOf(store.MaxTxnRows, store.MaxTxnBytes/store.MaxTxnRows-len("row/000")))
	longest := strings.Repeat("\x01", store.MaxKeyBytes) // JSON escapes each byte as six bytes
	mustCommit(t, table, put(longest, strings.Repeat("v", store.MaxValueBytes)))
	is.Equal(len(mustRead(t, table, longest).Value), store.MaxValueBytes)
	rows, err := table.Scan(t.Context(), "row/", "", store.MaxScanRows)
	is.NoErr(err)
	is.Equal(len(rows), store.MaxTxnRows)
}

func oversizedResponses(t *testing.T, h Harness) {
	const rows, scanned = store.MaxResponseBytes / store.MaxValueBytes, 3
	is := is.New(t)
	var keys []string
	for i := range rows {
		keys = append(keys, fmt.Sprintf("x/%02d", i))
		mustCommit(t, h.Fake.As("b").Table, put(keys[i], strings.Repeat("v", store.MaxValueBytes)))
	}
	table := h.As("a").Table
	_, err := table.Scan(t.Context(), "x/", "", rows)
	expectError(t, err, store.ErrTooLarge)
	_, err = table.Read(t.Context(), keys...)
	expectError(t, err, store.ErrTooLarge)
	some, err := table.Scan(t.Context(), "x/", "", scanned)
	is.NoErr(err)
	is.Equal(len(some), scanned)
}

func errorsNameStep(t *testing.T, h Harness) {
	is := is.New(t)
	_, err := h.As("a").Table.Commit(t.Context(), putIf("x", "", 7))
	is.True(strings.HasPrefix(err.Error(), string(store.StepCommit)+" "))
	is.True(strings.Contains(err.Error(), `row "x" has version 0, not 7`))
}
