package origin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/store"
)

func process(id string, start int64) Process { return Process{Upstream: id, Start: start} }

// Guards against a stream that goes on at another version, or at a process whose version is
// not known to be the same.
func TestAllows(t *testing.T) {
	known := Origin{Service: "llm", Process: process("a", 1), Version: "v1", VersionKnown: true}
	unknown := Origin{Service: "llm", Process: process("a", 2)}
	for _, c := range []struct {
		name   string
		origin Origin
		listed Listed
		start  int64
		ok     bool
	}{
		{"the same version", known, Listed{"llm", process("b", 7), "v1"}, 7, true},
		{"another version", known, Listed{"llm", process("b", 7), "v2"}, 0, false},
		{"its upstream, restarted at another version", known, Listed{"llm", process("a", 3), "v2"}, 0, false},
		{"another service", known, Listed{"chat", process("b", 7), "v1"}, 0, false},
		{"unknown version, its upstream as listed earlier", unknown, Listed{"llm", process("a", 1), "v1"}, 2, true},
		{"unknown version, another upstream", unknown, Listed{"llm", process("b", 2), "v1"}, 0, false},
		{"nothing known", Origin{Service: "llm"}, Listed{"llm", Process{}, ""}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start, ok := c.origin.Allows(c.listed)
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(start, c.start)
			}
		})
	}
	resolved := unknown.Resolve(Listed{"llm", process("a", 2), "v3"})
	is := is.New(t)
	is.True(resolved.VersionKnown && resolved.Version == "v3")
	is.Equal(unknown.Resolve(Listed{"llm", process("a", 1), "v1"}), unknown)
}

// Guards against records of one stream that overwrite each other: what contradicts itself
// is not known.
func TestRecordsThatContradictEachOther(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	first := Origin{Service: "llm", Process: process("a", 1)}
	version := Origin{Service: "llm", Version: "v1", VersionKnown: true}
	for _, c := range []struct {
		name  string
		again Origin
		known bool
	}{
		{"the same", first, true},
		{"its version, too", first.Resolve(Listed{"llm", process("a", 1), "v1"}), true},
		{"another process", Origin{Service: "llm", Process: process("b", 1)}, false},
		{"another service", Origin{Service: "chat", Process: process("a", 1)}, false},
	} {
		r := NewRecords()
		r.Add("k", first, now.Add(time.Minute), now)
		r.Add("k", c.again, now.Add(time.Minute), now)
		_, known := r.Find("k")
		is.Equal(known, c.known)
	}
	r := NewRecords()
	r.Add("k", first.Resolve(Listed{"llm", process("a", 1), "v1"}), now.Add(time.Minute), now)
	r.Add("k", version, now.Add(time.Minute), now) // known by its version only
	o, known := r.Find("k")
	is.True(known && o.Version == "v1")
}

// Guards against records that are forgotten while callers may come back, and against memory
// that grows without bound.
func TestRecordsExpire(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRecords()
		o := Origin{Service: "llm", Process: process("a", 1)}
		for i := range maxRecords + 10 {
			r.Add(fmt.Sprint(i), o, time.Now().Add(20*time.Second), time.Now())
		}
		kept, dropped := r.Count()
		is.Equal(kept, maxRecords)
		is.Equal(dropped, int64(10))
		time.Sleep(19 * time.Second)
		r.Expire(time.Now())
		_, known := r.Find("0")
		is.True(known)
		time.Sleep(1*time.Second + 2*expirySlot)
		r.Expire(time.Now())
		kept, _ = r.Count()
		is.Equal(kept, 0)
	})
	is.New(t).True(len(Key("w", strings.Repeat("x", 5000))) <= maxKeyBytes)
}

// Guards against copies that are lost with one data centre, and against routers that look
// for a record elsewhere because they know one member more or less.
func TestReplicas(t *testing.T) {
	is := is.New(t)
	var members []Member
	for i := range 340 {
		members = append(members, Member{Name: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("d", i%7)})
	}
	counts := map[string]int{}
	found := 0
	const records = 2000
	for i := range records {
		id := fmt.Sprint("r", i)
		replicas := Replicas(id, "vm-1", members, Copies)
		centres := map[string]bool{}
		for _, h := range replicas {
			counts[h.Name]++
			centres[h.DataCentre] = true
		}
		is.Equal(len(centres), Copies)
		asked := Replicas(id, "vm-2", append(slices.Clone(members[:300]), Member{"new", "d1"}), Asked)
		for _, h := range replicas {
			if slices.Contains(asked, h) {
				found++
				break
			}
		}
	}
	is.Equal(counts["vm-1"], 0)
	is.True(found > records*99/100) // though 40 of 340 members are not known to the one that asks
	for name, n := range counts {
		if n > 5*records*Copies/len(members) {
			t.Errorf("%s holds %d records", name, n)
		}
	}
	is.Equal(len(Replicas("x", "a", []Member{{"a", ""}, {"b", ""}}, Copies)), 1)
}

// Guards against a router that takes the version that it sees for the only one there was.
func TestOnlyVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHistory(time.Now())
		only := func() string { v, _ := h.Only("llm", time.Now()); return v }
		listed := func(versions ...string) {
			present := map[string]bool{}
			for _, v := range versions {
				present[v] = true
			}
			h.Update(map[string]map[string]bool{"llm": present}, time.Now())
		}
		listed("v2")
		is.Equal(only(), "") // what was before the start is not known
		h.Complete()
		is.Equal(only(), "v2")
		h.Learn("llm", map[string]time.Time{"v1": time.Now().Add(-Lifetime / 2)})
		is.Equal(only(), "")
		time.Sleep(Lifetime)
		is.Equal(only(), "v2")
		listed("v2", "v3")
		is.Equal(only(), "")
		time.Sleep(2 * Lifetime) // v2 is listed all the while
		listed("v3")
		is.Equal(only(), "")
		is.True(h.Several("llm", time.Now()))
		time.Sleep(Lifetime + time.Second)
		listed("v3")
		is.Equal(only(), "v3")
		is.True(!h.Several("llm", time.Now()))
	})
}

// tableFeed is a table that is also a feed and a clock.
type tableFeed struct {
	store.Table
	fake  *store.Fake
	began time.Time
}

func (f tableFeed) All(_ context.Context, segment string) (store.Changes, error) {
	var all store.Changes
	for _, row := range f.fake.Dump(segment + "/") {
		all.Changes = append(all.Changes, store.Change{Row: row})
	}
	return all, nil
}

func (f tableFeed) Since(context.Context, string, int64, time.Duration) (store.Changes, error) {
	return store.Changes{}, store.ErrUnavailable
}

func (f tableFeed) Now() (time.Duration, bool) { return time.Since(f.began), true }

// Guards against a fleet that forgets with its last process which versions served before.
func TestLogOutlivesAllRouters(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{})
		feed := tableFeed{fake.As("vm").Table, fake, time.Now()}
		run := func(length time.Duration, versions ...string) *History {
			h := NewHistory(time.Now())
			present := map[string]bool{}
			for _, v := range versions {
				present[v] = true
			}
			h.Update(map[string]map[string]bool{"llm": present}, time.Now())
			l := &Log{Table: feed, Feed: feed, Clock: feed, History: h, Writes: func(string) bool { return true }}
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			l.Run(ctx)
			return h
		}
		v, ok := run(2*time.Second, "v1").Only("llm", time.Now())
		is.True(ok && v == "v1") // no fleet was before
		for range 3 {            // v1 left unseen
			_, ok = run(5*time.Second, "v2").Only("llm", time.Now())
			is.True(!ok)
		}
		time.Sleep(Lifetime)
		v, ok = run(time.Second, "v2").Only("llm", time.Now())
		is.True(ok && v == "v2")
	})
}

// Guards against a log of versions that lacks one that a service has had, after the table came back from a copy without it.
func TestLogIsWrittenAgainAfterTheTableLostIt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{Era: 1})
		feed := tableFeed{fake.As("a").Table, fake, time.Now()}
		empty := fake.CopyTable()
		h := NewHistory(time.Now())
		h.Update(map[string]map[string]bool{"llm": {"v1": true}}, time.Now())
		l := &Log{Table: feed, Feed: feed, Clock: feed, History: h, Era: fake.Era, Writes: func(string) bool { return true }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.Run(ctx)
		time.Sleep(2 * time.Second)
		is.Equal(len(fake.Dump(Segment+"/")), 1)
		fake.ComeBack(empty)
		time.Sleep(2 * time.Second)
		is.Equal(len(fake.Dump(Segment+"/")), 1)
	})
}

// Guards against streams that begin at a version which nothing but the routers themselves
// knows of, and against a service that serves nobody because its only version is new.
func TestUnsettledVersions(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHistory(time.Now())
		list := func(versions ...string) {
			present := map[string]bool{}
			for _, v := range versions {
				present[v] = true
			}
			h.Update(map[string]map[string]bool{"llm": present}, time.Now())
			h.SetServing(map[string]map[string]bool{"llm": present})
		}
		list("v1")
		is.Equal(len(h.Unsettled("llm", time.Now())), 0) // there is no other
		h.Logged("llm", map[string]time.Time{"v1": {}})
		list("v1", "v2")
		is.Equal(h.Unsettled("llm", time.Now()), map[string]bool{"v2": true})
		h.Logged("llm", map[string]time.Time{"v1": {}, "v2": time.Now()})
		time.Sleep(settleTime - time.Millisecond)
		is.Equal(h.Unsettled("llm", time.Now()), map[string]bool{"v2": true})
		time.Sleep(time.Millisecond)
		is.Equal(len(h.Unsettled("llm", time.Now())), 0)
		list("v1")
		list("v1", "v2") // the row may have lost it meanwhile
		is.Equal(h.Unsettled("llm", time.Now()), map[string]bool{"v2": true})
	})
}

// Guards against a reading of the log that is taken for current though the process stood
// still since, and against one call to the table for each stream that is taken up.
func TestReaderServesOnlyForItsTTL(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		reads, took := 0, 10*time.Millisecond
		r := Reader{Read: func(context.Context) error { reads++; time.Sleep(took); return nil }}
		for range 5 {
			is.NoErr(r.Refresh(t.Context()))
		}
		is.Equal(reads, 1)
		time.Sleep(readTTL)
		is.NoErr(r.Refresh(t.Context()))
		is.Equal(reads, 2)
		time.Sleep(readTTL)
		took = readTimeout + time.Second
		is.True(r.Refresh(t.Context()) != nil) // the answer is from long ago
	})
}
