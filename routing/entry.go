package routing

import (
	"sync/atomic"
	"time"

	"buckthornridge/config"
	"buckthornridge/membership"
	"buckthornridge/upstream"
)

// Assumptions about an upstream before anything was observed.
const (
	defaultSlots     = 8
	defaultTokenCost = 100 * time.Microsecond // prefill of one prompt token
	defaultHold      = 2 * time.Second        // time a request holds its slot
	baseTokens       = 64                     // fixed part of a first token, as prompt tokens
	learnWeight      = 0.1                    // weight of one observation in a mean
	maxReportAge     = 15 * time.Second       // older reports say nothing
)

// report is a load report with what the router itself had sent when it was true.
type report struct {
	load upstream.Load
	// asOf is when the report was true, by the router's own clock.
	asOf time.Time
	// ownInFlight and ownPrefill are the router's own part of the report.
	ownInFlight int64
	ownPrefill  int64
}

// entry is the live knowledge of one upstream. Its fields are read and written
// on the request path without locks.
type entry struct {
	id         string
	address    string
	kind       config.UpstreamKind
	service    string
	dataCentre int // index into set.places
	slots      int64
	fencing    bool

	models atomic.Pointer[[]string]
	state  atomic.Uint32 // membership.State as told by membership
	// leavingAt is when the upstream itself said that it is leaving, in
	// nanoseconds since the table's start; 0 if it did not.
	leavingAt atomic.Int64
	ordered   atomic.Bool // operators asked for no new work

	inFlight atomic.Int64
	waiting  atomic.Int64 // own requests without a first token yet
	prefill  atomic.Int64 // prompt tokens of those, less the expected cached part
	history  history
	reported atomic.Pointer[report]

	tokenCost  ewma // nanoseconds of first-token time per token of work
	firstToken ewma // nanoseconds
	hold       ewma // nanoseconds from dispatch to the end
	hitTrust   ewma // reported cached tokens / expected ones

	health  health
	retries TokenBucket
}

func newEntry(id string, u config.Upstream) *entry {
	e := &entry{id: id, address: u.Address, kind: u.Kind, service: u.Service, fencing: u.Fencing}
	e.slots = int64(u.Slots)
	if e.slots <= 0 {
		e.slots = defaultSlots
	}
	models := u.Models
	e.models.Store(&models)
	e.retries.init(upstreamRetryShare, upstreamRetryBurst)
	return e
}

func (e *entry) membership() membership.State { return membership.State(e.state.Load()) }

// takesWork reports whether the upstream may get new work at all.
func (e *entry) takesWork() bool {
	state := e.membership()
	return state != membership.Leaving && state != membership.Gone && e.leavingAt.Load() == 0 && !e.ordered.Load()
}

// serves reports whether the upstream belongs to the target's pool.
func (e *entry) serves(t Target) bool {
	if t.Service != "" {
		return e.service == t.Service
	}
	for _, m := range *e.models.Load() {
		if m == t.Model {
			return true
		}
	}
	return false
}

// begin counts a dispatched request.
func (e *entry) begin(now time.Duration, work int64) {
	inFlight := e.inFlight.Add(1)
	prefill := e.prefill.Add(work)
	e.health.begin(now, e.waiting.Add(1))
	e.history.record(now, inFlight, prefill)
}

// gotFirst takes a request out of the waiting ones.
func (e *entry) gotFirst(now time.Duration, work int64) {
	e.waiting.Add(-1)
	prefill := e.prefill.Add(-work)
	e.history.record(now, e.inFlight.Load(), prefill)
}

// end takes a request out of those in flight.
func (e *entry) end(now time.Duration) {
	e.history.record(now, e.inFlight.Add(-1), e.prefill.Load())
}

// othersAt returns the requests and prompt tokens that other routers had at the
// upstream when it last reported. A report older than maxReportAge counts as none.
func (e *entry) othersAt(now time.Time) (requests, prefill int64) {
	r := e.reported.Load()
	if r == nil || now.Sub(r.asOf) > maxReportAge {
		return 0, 0
	}
	requests = max(0, int64(r.load.Running+r.load.Queued)-r.ownInFlight)
	prefill = max(0, r.load.PrefillTokens-r.ownPrefill)
	return requests, prefill
}
