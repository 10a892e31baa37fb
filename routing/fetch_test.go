package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
)

// fetchRouter returns a router whose engines fetch a token in a microsecond.
func fetchRouter(t *testing.T) *Router {
	r := sessionRouter(t, 12)
	r.table.SetTransferCost(Target{Service: "llm"}, TransferCost{PerToken: time.Microsecond})
	return r
}

// busy makes an engine late by a time.
func (r *Router) busy(id string, wait time.Duration) {
	r.table.current.Load().entries[id].backlog.addRemote(r.table.now(), wait)
}

// Load: the holder of a session's prefix has a queue. The session goes elsewhere and the prefix
// is fetched, not read again; without transfers it is read as before.
func TestPrefixIsFetchedFromABusyHolder(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, transfers := range []bool{true, false} {
			r := fetchRouter(t)
			if !transfers {
				r.table.SetTransferCost(Target{Service: "llm"}, TransferCost{})
			}
			first := r.mustPick(t, prompt(7))
			is.Equal(first.FetchFrom, "")
			first.Done(Outcome{Kind: OutcomeOK, FirstToken: 100 * time.Millisecond, Total: time.Second})
			again := r.mustPick(t, prompt(7))
			is.Equal(again.UpstreamID, first.UpstreamID) // a free holder keeps its session
			is.Equal(again.FetchFrom, "")
			r.busy(first.UpstreamID, 5*time.Second)
			moved := r.mustPick(t, prompt(7))
			is.True(moved.UpstreamID != first.UpstreamID)
			if !transfers {
				is.Equal(moved.FetchFrom, "")
				is.Equal(moved.prefill.tokens, int64(9000))
				continue
			}
			is.Equal(moved.FetchFrom, first.Address)
			is.Equal(moved.prefill.tokens, int64(3000))
		}
	})
}

// A part that many sessions begin with is fetched for a session that nobody has sent before.
func TestCommonPartIsFetched(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := fetchRouter(t)
		q := prompt(1)
		q.Shorter = []SharedPrefix{{Key: 99, Tokens: 4000}}
		first := r.mustPick(t, q)
		for session := range uint64(40) {
			q := prompt(100 + session)
			q.Shorter = []SharedPrefix{{Key: 99, Tokens: 4000}}
			c := r.mustPick(t, q)
			if c.FetchFrom != "" {
				is.True(c.FetchFrom != c.Address)
				is.Equal(c.prefill.tokens, int64(5000))
				return
			}
		}
		t.Errorf("nobody fetched the part from %s", first.UpstreamID)
	})
}

// Guards against fetches from a holder that has ended or leaves: then the prefix is read again.
func TestNothingIsFetchedFromAnEndedHolder(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, end := range []func(r *Router, id string){
			func(r *Router, id string) { r.table.MarkLeaving(id) },
			func(r *Router, id string) {
				for range failuresToEject {
					r.table.Observe(id, Outcome{Kind: OutcomeUnreachable})
				}
			},
		} {
			r := fetchRouter(t)
			first := r.mustPick(t, prompt(7))
			end(r, first.UpstreamID)
			c := r.mustPick(t, prompt(7))
			is.True(c.UpstreamID != first.UpstreamID)
			is.Equal(c.FetchFrom, "")
			is.Equal(c.prefill.tokens, int64(9000))
		}
	})
}

// Guards against transfers that are slower than reading: the router learns to read again, and to
// fetch once they are fast.
func TestSlowTransfersAreLearned(t *testing.T) {
	is := is.New(t)
	m := &fetchModel{cost: TransferCost{PerToken: time.Microsecond}}
	expected, _ := m.time(6000, false)
	for range 60 {
		m.observe(10*expected, expected, 4*expected)
	}
	slow, _ := m.time(6000, false)
	is.True(slow > 8*expected)
	fetched, late := m.fetched, m.late
	is.Equal(fetched, int64(60))
	is.Equal(late, int64(60))
	for range 120 {
		now, _ := m.time(6000, false)
		m.observe(expected/2, now, 4*expected)
	}
	fast, _ := m.time(6000, false)
	is.True(fast < 2*expected)
	far, _ := m.time(6000, true)
	is.True(far > fast)
}
