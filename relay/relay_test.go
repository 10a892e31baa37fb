package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/upstream"
)

// Tests what upstreams may do and what the caller is told, by kind of request. "Not run"
// is claimed only where no upstream can have run the request, and an at-most-once
// request reaches a second upstream only after the first one guaranteed that it did not
// run it.
func TestOutcomes(t *testing.T) {
	unsigned := answered("x")
	unsigned.head.Signed = false
	altered := answered("x")
	altered.head.Altered = true
	truncated := answered("x")
	truncated.bodyErr = upstream.ErrBroken
	misdirected := refusing()
	misdirected.head.Status, misdirected.head.Misdirected = 421, true
	slow := answered("x")
	slow.delay = 10 * time.Second
	for _, c := range []struct {
		name   string
		kind   Kind
		steps  []step
		status int
		body   string
		sends  int
	}{
		{"answered", AtMostOnce, []step{answered("done")}, 200, "done", 1},
		{"no connection, then answered", AtMostOnce, []step{notSent(), answered("done")}, 200, "done", 2},
		{"refused, then answered", AtMostOnce, []step{refusing(), answered("done")}, 200, "done", 2},
		{"refused twice", AtMostOnce, []step{refusing(), refusing()}, 503, "", 2},
		{"another upstream has the address", AtMostOnce, []step{misdirected, answered("done")}, 200, "done", 2},
		{"broken after it was sent", AtMostOnce, []step{broken(), answered("done")}, 502, "", 1},
		{"broken, retryable", Idempotent, []step{broken(), answered("done")}, 200, "done", 2},
		{"broken twice", Idempotent, []step{broken(), broken(), answered("done")}, 502, "", 2},
		{"failed, retryable", Idempotent, []step{failing(500), answered("done")}, 200, "done", 2},
		{"failed", AtMostOnce, []step{failing(500), answered("done")}, 500, "failed", 1},
		{"not signed", AtMostOnce, []step{unsigned}, 502, "", 1},
		{"not signed, retryable", Idempotent, []step{unsigned, answered("done")}, 200, "done", 2},
		{"altered on the way", Idempotent, []step{altered, answered("done")}, 200, "done", 2},
		{"body cut", Idempotent, []step{truncated, answered("done")}, 200, "done", 2},
		{"body cut, not retryable", AtMostOnce, []step{truncated, answered("done")}, 502, "", 1},
		{"no upstream reached", AtMostOnce, nil, 503, "", 4},
		{"too slow", AtMostOnce, []step{slow}, 504, "", 1},
		{"refused, then too slow", Idempotent, []step{refusing(), slow}, 504, "", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				is := is.New(t)
				b := newHarness(t, c.kind, c.steps...)
				got := b.serve(b.request())
				is.Equal(got.status, c.status)
				is.Equal(got.body, c.body)
				is.Equal(len(b.sent), c.sends)
				is.Equal(len(b.distinctUpstreams()), c.sends) // each upstream once
				is.Equal(len(b.records), 1)
				if got.problem != nil && c.status == 503 {
					is.True(got.problem.RetryAfter > 0)
				}
			})
		})
	}
}

// A request that its key, route or budget does not allow is refused at once, and nothing
// is sent.
func TestRefusedWithoutSending(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Request)
		status int
	}{
		{"no route", func(q *Request) { q.Host = "other" }, 404},
		{"unknown key", func(q *Request) { q.Key = "old" }, 401},
		{"budget exhausted", func(q *Request) { q.Size.Prompt = 5000 }, 402},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, AtMostOnce, answered("done"))
			q := b.request()
			c.change(q)
			is.Equal(b.serve(q).status, c.status)
			is.Equal(len(b.sent), 0)
		})
	}
	t.Run("no configuration yet", func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, AtMostOnce, answered("done"))
		b.relay.Catalogue = &CurrentCatalogue{}
		is.Equal(b.serve(b.request()).status, 503)
	})
	t.Run("public route", func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, AtMostOnce, answered("done"))
		q := b.request()
		q.Path, q.Key = "/help", ""
		is.Equal(b.serve(q).status, 200)
		is.Equal(b.sent[0].Workspace, "")
	})
}

// Guards against a gap or a repeated event in a resumed stream: an engine fails in the
// middle of an event, after two whole ones, and another continues after the second.
func TestStreamResumesAtAnotherUpstream(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		dying := answered(events("1", "2") + "id: 3\nda")
		dying.bodyErr = upstream.ErrBroken
		b := newHarness(t, Resumable, dying, answered(events("3", "4")))
		got := b.serve(b.request())
		is.Equal(got.body, events("1", "2", "3", "4"))
		is.True(!got.aborted)
		is.Equal(b.sent[1].LastEventID, "2")
		is.Equal(b.settledTokens, int64(100+4*5))
	})
}

// Guards against faulty streams: the caller never gets an event twice, never misses one,
// and an incomplete stream is visibly aborted.
func TestStreamFaults(t *testing.T) {
	cut := func(body string) step {
		s := answered(body)
		s.bodyErr = upstream.ErrBroken
		return s
	}
	for _, c := range []struct {
		name    string
		kind    Kind
		steps   []step
		body    string
		aborted bool
		status  int
	}{
		{"whole", Stream, []step{answered(events("1", "2"))}, events("1", "2"), false, 200},
		{"cut, not resumable", Stream, []step{cut(events("1")), answered(events("2"))}, events("1"), true, 200},
		{"cut before its first event", Stream, []step{cut("")}, "", false, 502},
		{"cut before its first event, resumable", Resumable, []step{cut(""), answered(events("1"))}, events("1"), false, 200},
		{"a gap", Stream, []step{answered(events("1", "3"))}, events("1"), true, 200},
		{"an event twice", Stream, []step{answered(events("1", "1"))}, events("1"), true, 200},
		{"resumed at the wrong place", Resumable, []step{cut(events("1", "2")), answered(events("1", "2"))}, events("1", "2"), true, 200},
		{"resumed by a server error", Resumable, []step{cut(events("1", "2")), failing(500)}, events("1", "2"), true, 200},
		{"resumed by a refusal", Resumable, []step{cut(events("1", "2")), failing(404)}, events("1", "2"), true, 200},
		{"ends inside an event", Stream, []step{answered(events("1") + "id: 2")}, events("1"), true, 200},
		{"nothing at all", Stream, []step{answered("")}, "", false, 502},
		{"an upstream's refusal", Stream, []step{failing(400)}, "failed", false, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				is := is.New(t)
				b := newHarness(t, c.kind, c.steps...)
				got := b.serve(b.request())
				is.Equal(got.body, c.body)
				is.Equal(got.aborted, c.aborted)
				is.Equal(got.status, c.status)
			})
		})
	}
}

// Guards against resuming a stream at another upstream after its caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, Resumable, answered(events("1", "2")), answered(events("1", "2")))
	c := &caller{disconnected: true}
	b.relay.Serve(context.Background(), c, b.request())
	is.Equal(len(b.sent), 1)
	is.True(c.aborted)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.relay.Serve(ctx, &caller{}, b.request())
	is.True(len(b.sent) <= 2)
}

// A leaving upstream gets no new request, even while routing still knows it.
func TestLeavingUpstreamGetsNoRequest(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, AtMostOnce, answered("done"))
	for _, id := range []string{"u1", "u2", "u3"} {
		u := b.fleet[id]
		u.Leaving = true
		b.fleet[id] = u
	}
	is.Equal(b.serve(b.request()).status, 200)
	is.Equal(b.sent[0].Upstream.ID, "u4")
}

// The budget is charged for a prompt that may have been read and for the output that was
// forwarded, and not at all if the upstreams guarantee that they ran nothing.
func TestSettlement(t *testing.T) {
	for _, c := range []struct {
		name          string
		kind          Kind
		steps         []step
		settledTokens int64
	}{
		{"streamed", Stream, []step{answered(events("1", "2", "3"))}, 100 + 15},
		{"at most what was reserved", Stream, []step{answered(events("1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12"))}, 150},
		{"not run", Stream, []step{refusing(), refusing()}, 0},
		{"unknown", Stream, []step{broken()}, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				is := is.New(t)
				b := newHarness(t, c.kind, c.steps...)
				b.serve(b.request())
				is.Equal(b.settledTokens, c.settledTokens)
				is.Equal(b.reservedTokens, c.settledTokens) // nothing stays reserved
			})
		})
	}
}

// Guards against a retry storm: all upstreams fail all requests, and in any window the
// retries of all routers stay within the budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		const routers = 4
		policy := RetryPolicy{Share: 0.2, Extra: 60, Window: 10 * time.Second}
		var all []*RetryBudget
		for range routers {
			all = append(all, NewRetryBudget(policy))
		}
		var at []time.Time
		requests := 0
		for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(10 * time.Millisecond) {
			for _, r := range all {
				r.Request("orders", routers)
				requests++
				if r.Take("orders", routers) {
					at = append(at, time.Now())
				}
			}
		}
		perWindow := float64(requests) / 3
		for i := range at {
			n := 0
			for _, other := range at[i:] {
				if other.Sub(at[i]) < policy.Window {
					n++
				}
			}
			is.True(float64(n) <= policy.Share*perWindow+policy.Extra)
		}
		is.True(len(at) > requests/10)
	})
}

// A route is found by host and longest prefix; only a newer catalogue replaces the
// current one.
func TestCatalogue(t *testing.T) {
	is := is.New(t)
	c := NewCatalogue(Definition{Version: 3, Routes: []Route{
		{Name: "short", Host: "shop", Prefix: "/"}, {Name: "long", Host: "shop", Prefix: "/orders/"},
	}})
	is.Equal(c.Route("shop", "/orders/1").Name, "long")
	is.Equal(c.Route("shop", "/ordersx").Name, "short")
	is.Equal(c.Route("other", "/"), nil)
	var h CurrentCatalogue
	is.True(h.Advance(c))
	is.True(!h.Advance(NewCatalogue(Definition{Version: 2})))
	is.True(!h.Advance(NewCatalogue(Definition{Version: 3})))
	is.Equal(h.Load().Version, int64(3))
}

// All attempts of a request go to the same service of a split route, and requests are
// distributed by the weights.
func TestSplitRoute(t *testing.T) {
	is := is.New(t)
	route := Route{Services: []WeightedService{{"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for i := range 10_000 {
		id := time.Duration(i).String()
		service := route.Service(id)
		is.Equal(route.Service(id), service)
		counts[service]++
	}
	is.True(counts["b"] > 800 && counts["b"] < 1200)
}

// The events and the remaining buffer together are the input, however it is divided into
// chunks.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\n\r\nrest"), 3)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		size = max(1, min(size, len(data)))
		var s eventSplitter
		var got []byte
		for i := 0; i < len(data); i += size {
			s.add(data[i:min(i+size, len(data))])
			for event := s.next(); event != nil; event = s.next() {
				got = append(got, event...)
				_ = eventID(event)
			}
		}
		if got = append(got, s.buffered...); string(got) != string(data) {
			t.Fatalf("%q became %q", data, got)
		}
	})
}

// Guards against refusing a caller because an upstream has ended: another upstream has
// its address now, the request has not run, and the route's only attempt is still
// available.
func TestMisdirectedRequestUsesUpNoAttempt(t *testing.T) {
	is := is.New(t)
	misdirected := refusing()
	misdirected.head.Status, misdirected.head.Misdirected = 421, true
	for _, c := range []struct {
		first  step
		status int
	}{{misdirected, 200}, {refusing(), 503}} { // a refusal by the upstream itself counts as an attempt
		b := newHarness(t, AtMostOnce, c.first, answered("done"))
		q := b.request()
		q.Path, q.Key = "/help", "" // its route allows one attempt
		is.Equal(b.serve(q).status, c.status)
	}
}

// Guards against charging a prompt again each time that the caller reconnects for the
// rest of the stream.
func TestResumedStreamIsChargedForItsPromptOnce(t *testing.T) {
	for _, c := range []struct {
		name          string
		kind          Kind
		after         string
		settledTokens int64
	}{
		{"from its beginning", Resumable, "", 100 + 2*5},
		{"after the third event", Resumable, "3", 2 * 5},
		{"no event was delivered", Resumable, "0", 100 + 2*5},
		{"a stream that can't be resumed", Stream, "3", 100 + 2*5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, c.kind, answered(events("4", "5")))
			q := b.request()
			q.LastEventID = c.after
			if c.after != "3" {
				b.steps[0] = answered(events("1", "2"))
			}
			is.Equal(b.serve(q).status, 200)
			is.Equal(b.settledTokens, c.settledTokens)
		})
	}
}
