package edge

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/relay"
	"buckthornridge/routing"
	"buckthornridge/store"
)

// decodeTestEntry decodes rows whose value is "ready", "leaving" or "broken".
func decodeTestEntry(key string, data []byte) (relay.Upstream, error) {
	u := relay.Upstream{ID: key, Address: key + ":1", Service: "orders"}
	switch string(data) {
	case "leaving":
		u.Leaving = true
	case "broken":
		return relay.Upstream{}, errors.New("no entry")
	}
	return u, nil
}

func writeOf(key, value string) []store.Change {
	return []store.Change{{Row: store.Row{Key: key, Value: []byte(value)}}}
}

func deletionOf(key string) []store.Change {
	return []store.Change{{Row: store.Row{Key: key}, Deleted: true}}
}

func knows(f *fleet, id string) bool {
	_, known := f.Upstream(id)
	return known
}

// An entry that lapsed in an outage of the table and is written again in time stays in
// use; another, which is not written again, is removed.
func TestLapsedEntryIsKeptUntilTheDeadline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		until := time.Now().Add(lapseHold)
		f := newFleet(decodeTestEntry, routing.NewTable(), func() time.Time { return until })
		f.apply(writeOf("a", "ready"))
		f.apply(writeOf("b", "ready"))
		f.apply(deletionOf("a"))
		f.apply(deletionOf("b"))
		is.True(knows(f, "a"))
		time.Sleep(lapseHold / 2)
		f.apply(writeOf("a", "ready"))
		time.Sleep(lapseHold)
		f.removeLapsed()
		is.True(knows(f, "a"))
		is.True(!knows(f, "b"))
	})
}

// Guards against requests to a server that has left. The server left 2.1 s after a
// partition of the VM from the table had healed. Its entry was treated as lapsed for two
// more seconds, and it got a request 2,072 ms after it had left.
func TestDeletionAfterAnOutageTakesEffect(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		until := time.Now().Add(lapseHold)
		f := newFleet(decodeTestEntry, routing.NewTable(), func() time.Time { return until })
		f.apply(writeOf("a", "ready"))
		time.Sleep(lapseHold - 100*time.Millisecond)
		f.apply(deletionOf("a"))
		time.Sleep(200 * time.Millisecond)
		f.removeLapsed()
		is.True(!knows(f, "a"))
	})
}

// An entry that can't be decoded names no upstream and does not affect the others. A
// leaving upstream stays known, so that its address gets no new work under another
// entry.
func TestUnreadableAndLeavingEntries(t *testing.T) {
	is := is.New(t)
	f := newFleet(decodeTestEntry, routing.NewTable(), func() time.Time { return time.Time{} })
	f.apply(writeOf("a", "ready"))
	f.apply(writeOf("b", "leaving"))
	f.apply(writeOf("c", "broken"))
	f.apply(writeOf("a", "broken"))
	is.True(!knows(f, "a"))
	is.True(!knows(f, "c"))
	u, known := f.Upstream("b")
	is.True(known && u.Leaving)
	is.Equal(f.unreadable.Load(), int64(2))
}
