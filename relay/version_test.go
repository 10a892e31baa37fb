package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/origin"
	"buckthornridge/upstream"
)

// setVersions gives the upstreams versions; the first one that gets a request breaks off
// after two events, and the events name their upstream's version.
func (b *harness) setVersions(versions map[string]string) {
	for id, u := range b.fleet {
		u.Version = versions[id]
		b.fleet[id] = u
	}
	b.answer = func(out OutgoingRequest) step {
		event := func(id string) string { return "id: " + id + "\ndata: " + out.Upstream.Version + "\n\n" }
		if out.LastEventID != "" {
			return answered(event("3"))
		}
		s := answered(event("1") + event("2"))
		s.bodyErr = upstream.ErrBroken
		return s
	}
}

// Guards against one answer with events of two software versions.
func TestStreamResumesAtItsVersionOnly(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions map[string]string
		resumes  bool // another upstream has the version of the first one
	}{
		{"two of each", map[string]string{"u1": "v1", "u2": "v2", "u3": "v1", "u4": "v2"}, true},
		{"each another", map[string]string{"u1": "v1", "u2": "v2", "u3": "v3", "u4": "v4"}, false},
		{"one version", map[string]string{"u1": "v1", "u2": "v1", "u3": "v1", "u4": "v1"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				for range 20 {
					b := newHarness(t, Resumable)
					b.setVersions(c.versions)
					got := b.serve(b.request())
					seen := 0
					for _, v := range []string{"v1", "v2", "v3", "v4"} {
						if strings.Contains(got.body, v) {
							seen++
						}
					}
					if seen != 1 {
						t.Errorf("events of %d versions in %q", seen, got.body)
					}
					if got.aborted == c.resumes {
						t.Errorf("aborted %t: %q", got.aborted, got.body)
					}
				}
			})
		})
	}
}

// takeUp returns a request for the rest of a stream that the request r0 began.
func (b *harness) takeUp() *Request {
	q := b.request()
	q.LastEventID, q.Origin = "2", "r0"
	return q
}

// Guards against a stream that is taken up at a guess: what can't go on is refused as not
// run, and nothing is sent or charged.
func TestStreamThatCantGoOnIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		origin *origin.Origin
		reason string
	}{
		{"unknown origin", nil, "origin_unknown"},
		{"a service that the route does not lead to", &origin.Origin{Service: "chat", Version: "v1", VersionKnown: true}, "origin_moved"},
		{"a version that no upstream has", &origin.Origin{Service: "orders", Version: "v9", VersionKnown: true}, "no_upstream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, Resumable, answered(events("3")))
			if c.origin != nil {
				b.origins[origin.Key("studio", "r0")] = *c.origin
			}
			got := b.serve(b.takeUp())
			is.Equal(got.status, 503)
			is.Equal(got.problem.Name, c.reason)
			is.True(got.problem.NotExecuted() && got.problem.RetryAfter > 0)
			is.Equal(len(b.sent), 0)
			is.Equal(b.settledTokens, int64(0))
		})
	}
}

// Guards against a stream that is taken up at the service that its new request's id chooses.
func TestStreamOfASplitRouteGoesOnAtItsService(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, Resumable)
	b.answer = func(OutgoingRequest) step { return answered(events("3")) }
	c := b.relay.Catalogue.Load()
	b.relay.Catalogue = &CurrentCatalogue{}
	b.relay.Catalogue.Advance(NewCatalogue(Definition{
		Version: 2, Keys: c.keys, Workspaces: []Workspace{c.Workspaces["studio"]},
		Services: []Service{c.Services["orders"], {Name: "other", EventTokens: 5}},
		Routes: []Route{{Name: "split", Host: "shop", Prefix: "/", Kind: Resumable, Timeout: time.Second, Attempts: 2,
			Services: []WeightedService{{"other", 99}, {"orders", 1}}}},
	}))
	b.origins[origin.Key("studio", "r0")] = origin.Origin{Service: "orders", Process: origin.Process{Upstream: "u2", Start: 7}}
	for i := range 20 {
		q := b.takeUp()
		q.ID = fmt.Sprint("r", i)
		is.Equal(b.serve(q).status, 200)
		is.Equal(b.sent[i].Upstream.ID, "u2") // the process that began it, whose version is not known
		is.Equal(b.sent[i].Process, int64(7))
	}
}

// Guards against a continuation that gives up because the upstreams of its version have no
// room for a moment, or that goes elsewhere; and against one that waits where none is left.
func TestContinuationWaitsForItsVersion(t *testing.T) {
	v1 := origin.Origin{Service: "orders", Version: "v1", VersionKnown: true}
	for _, c := range []struct {
		name   string
		full   time.Duration // for which u1 and u2, of v1, have no room
		leave  bool          // then they leave
		status int
		within time.Duration
	}{
		{"full for a moment", 300 * time.Millisecond, false, 200, time.Second},
		{"full for too long", time.Hour, false, 503, time.Second},
		{"leaving meanwhile", 200 * time.Millisecond, true, 503, 800 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				is := is.New(t)
				b := newHarness(t, Resumable)
				b.setVersions(map[string]string{"u1": "v1", "u2": "v1", "u3": "v2", "u4": "v2"})
				began := time.Now()
				b.answer = func(out OutgoingRequest) step {
					is.Equal(out.Upstream.Version, "v1")
					if time.Since(began) < c.full {
						return refusing()
					}
					return answered(events("3"))
				}
				if c.leave {
					time.AfterFunc(100*time.Millisecond, func() {
						b.mu.Lock()
						defer b.mu.Unlock()
						for _, id := range []string{"u1", "u2"} {
							u := b.fleet[id]
							u.Leaving = true
							b.fleet[id] = u
						}
					})
				}
				b.origins[origin.Key("studio", "r0")] = v1
				got := b.serve(b.takeUp())
				is.Equal(got.status, c.status)
				is.True(time.Since(began) < c.within)
				if c.status == 503 {
					is.True(got.problem.NotExecuted())
					is.Equal(b.settledTokens, int64(0))
				}
			})
		})
	}
}

// Guards against a request that is bound to a version before its caller has an event of it.
func TestOnlyWhatWasBegunBinds(t *testing.T) {
	runTest(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, Resumable)
		b.setVersions(map[string]string{"u1": "v1", "u2": "v2", "u3": "v3", "u4": "v4"})
		first := ""
		b.answer = func(out OutgoingRequest) step {
			if first == "" || first == out.Upstream.ID {
				first = out.Upstream.ID
				return broken()
			}
			return answered(events("1", "2"))
		}
		got := b.serve(b.request())
		is.Equal(got.status, 200)
		o := b.origins[origin.Key("studio", "r1")]
		is.True(o.Process.Upstream != first && o.VersionKnown)
	})
}

// Guards against a continuation that is refused because no path leads to its version for a
// moment, and against one that waits long for upstreams that have ended.
func TestContinuationWaitsForAPath(t *testing.T) {
	for _, c := range []struct {
		name    string
		without time.Duration // a path
		status  int
	}{{"for a moment", 300 * time.Millisecond, 200}, {"for good", time.Hour, 503}} {
		t.Run(c.name, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				is := is.New(t)
				b := newHarness(t, Resumable)
				b.setVersions(map[string]string{"u1": "v1", "u2": "v1", "u3": "v2", "u4": "v2"})
				began := time.Now()
				b.answer = func(out OutgoingRequest) step {
					is.Equal(out.Upstream.Version, "v1")
					if time.Since(began) < c.without {
						return notSent()
					}
					return answered(events("3"))
				}
				b.origins[origin.Key("studio", "r0")] = origin.Origin{Service: "orders", Version: "v1", VersionKnown: true}
				q := b.takeUp()
				got := b.serve(q)
				is.Equal(got.status, c.status)
				is.True(time.Since(began) < maxPathWait+2*maxWait)
			})
		})
	}
}

// Guards against a stream that begins at a version which might not be known later, and
// against other requests that are kept from it.
func TestStreamsBeginAtSettledVersions(t *testing.T) {
	for kind, want := range map[Kind]int{Resumable: 503, Stream: 200} {
		runTest(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, kind, answered(events("1")))
			for id, u := range b.fleet {
				u.Version = "new"
				b.fleet[id] = u
			}
			b.unsettled = map[string]bool{"new": true}
			is.Equal(b.serve(b.request()).status, want)
			is.Equal(len(b.sent), min(1, 503-want))
		})
	}
}
