package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/config"
)

func sessionRouter(t testing.TB, upstreams int) *Router {
	t.Helper()
	return sessionRouterOf(t, upstreams, 16)
}

func sessionRouterOf(t testing.TB, upstreams, slots int) *Router {
	t.Helper()
	table := NewTable()
	all := map[string]config.Upstream{}
	for i := range upstreams {
		id := fmt.Sprintf("u%02d", i)
		all[id] = config.Upstream{Kind: config.UpstreamService, Service: "llm", Address: id + ":1", Slots: slots}
	}
	table.Update(&config.Snapshot{Document: config.Document{Upstreams: all}})
	r, err := NewRouter(table, SessionPolicy)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *Router) pickSession(t *testing.T, key uint64) *Choice {
	t.Helper()
	c, err := r.Pick(Request{Target: Target{Service: "llm"}, AffinityKey: key, Prefix: []uint64{key}, PromptTokens: 100})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Requests of one session go to one upstream, and sessions spread over all of them.
func TestSessionsStayAtAffinityUpstream(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := sessionRouter(t, 12)
		used := map[string]int{}
		for key := range uint64(600) {
			first := r.pickSession(t, key+1)
			first.Done(Outcome{Kind: OutcomeOK, FirstToken: time.Millisecond})
			second := r.pickSession(t, key+1)
			second.Done(Outcome{Kind: OutcomeOK, FirstToken: time.Millisecond})
			is.Equal(first.UpstreamID, second.UpstreamID)
			used[first.UpstreamID]++
		}
		is.Equal(len(used), 12)
		for _, n := range used {
			is.True(n < 3*600/12)
		}
	})
}

// The affinity upstream of a session with many requests fills up. The session must spread
// to the next upstreams on the ring before it takes all slots of the first.
func TestHotSessionSpreads(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := sessionRouter(t, 12)
		used := map[string]int{}
		for range 60 {
			used[r.pickSession(t, 7).UpstreamID]++
			time.Sleep(summaryMaxAge)
		}
		is.True(len(used) >= 4)
		for _, n := range used {
			is.True(n <= 16)
		}
	})
}

// An upstream fails two of five requests while the other requests and its health checks
// succeed: its sessions are sent elsewhere, and return once it has recovered.
func TestDegradedUpstreamIsAvoided(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := sessionRouter(t, 12)
		affinity := r.pickSession(t, 7)
		affinity.Done(Outcome{Kind: OutcomeOK, FirstToken: time.Millisecond})
		degraded := affinity.UpstreamID
		away := 0
		for i := range 100 {
			time.Sleep(summaryMaxAge)
			c := r.pickSession(t, 7)
			kind := OutcomeOK
			if c.UpstreamID == degraded && i%5 < 2 {
				kind = OutcomeErrored
			}
			if c.UpstreamID != degraded {
				away++
			}
			c.Done(Outcome{Kind: kind, FirstToken: time.Millisecond})
		}
		is.True(away > 60)
		time.Sleep(degradedAvoidTime + time.Second)
		is.Equal(r.pickSession(t, 7).UpstreamID, degraded)
	})
}
