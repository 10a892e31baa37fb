package mirror

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"buckthornridge/store"
)

func row(key string, version int64) store.Change {
	return store.Change{Row: store.Row{Key: key, Value: []byte{byte(version)}, Version: version}}
}

func gone(key string, version int64) store.Change {
	return store.Change{Row: store.Row{Key: key, Version: version}, Deleted: true}
}

// A machine that the table turns away learns a server's leaving from a peer. What
// it hears later from a peer that lags, or from a stale read, changes nothing.
func TestNewestRowCounts(t *testing.T) {
	is := is.New(t)
	m := New()
	is.Equal(len(m.Apply(Update{Changes: []store.Change{row("a", 1), row("b", 2)}, Version: 2, Whole: true})), 2)
	is.Equal(len(m.Apply(Update{Changes: []store.Change{gone("a", 5)}, Version: 5})), 1)
	is.Equal(len(m.Apply(Update{Changes: []store.Change{row("a", 1), row("b", 2)}, Version: 2, Whole: true})), 0)
	is.Equal(len(m.Apply(Update{Changes: []store.Change{row("a", 1)}, Version: 3})), 0)
	is.Equal(len(m.Rows()), 1)
	is.Equal(m.Version(), int64(5))
}

// The history was dropped with a deletion in the gap. Reading all rows anew shows
// it by the row that is missing.
func TestWholeUpdateShowsDeletions(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Apply(Update{Changes: []store.Change{row("a", 1), row("b", 2)}, Version: 2, Whole: true})
	news := m.Apply(Update{Changes: []store.Change{row("b", 2), row("c", 7)}, Version: 9, Whole: true})
	is.Equal(len(news), 2)
	is.True(news[1].Deleted && news[1].Key == "a")
}

// Any sequence of writes and deletions, read by a follower in any order of partial
// and whole updates, leaves it with the rows of the source.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := New(), New()
		source.Apply(Update{Version: 1, Whole: true})
		version := int64(1)
		var updates []Update
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			version++
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			change := row(key, version)
			if rapid.Bool().Draw(t, "delete") {
				change = gone(key, version)
			}
			source.Apply(Update{Changes: []store.Change{change}, Version: version})
			updates = append(updates, source.Since(rapid.Int64Range(0, version).Draw(t, "since")))
		}
		for range rapid.IntRange(0, 10).Draw(t, "late") {
			follower.Apply(rapid.SampledFrom(updates).Draw(t, "update"))
		}
		follower.Apply(source.Since(0))
		if len(follower.Rows()) != len(source.Rows()) {
			t.Fatalf("%v, want %v", follower.Rows(), source.Rows())
		}
	})
}
