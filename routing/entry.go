package routing

import (
	"sync/atomic"
	"time"

	"buckthornridge/config"
	"buckthornridge/membership"
	"buckthornridge/ratelimit"
	"buckthornridge/upstream"
)

// DefaultSlots is how many requests an upstream is taken to run at once if it does not say.
const DefaultSlots = 8

// Assumptions about an upstream before the first observation.
const (
	defaultTokenCost   = 100 * time.Microsecond // prefill of one prompt token
	defaultServiceTime = 2 * time.Second        // time a request holds its slot
	baseTokens         = 64                     // fixed share of a first token's time, in prompt tokens
	learnWeight        = 0.1                    // weight of one observation in a moving mean
	maxReportAge       = 15 * time.Second       // older reports are ignored
)

// report is a load report with this router's own load at the time of the report.
type report struct {
	load upstream.Load
	// asOf is the time that the report describes, by this router's clock.
	asOf time.Time
	// ownInFlight and ownPrefill are this router's share of the reported load.
	ownInFlight int64
	ownPrefill  int64
}

// entry holds the current state of one upstream. Its fields are read and written on the
// request path without locks.
type entry struct {
	id         string
	address    string
	kind       config.UpstreamKind
	service    string
	dataCentre int // index into set.topology
	slots      int64
	fencing    bool

	models atomic.Pointer[[]string]
	state  atomic.Uint32 // membership.State
	// leavingAt is when the upstream itself announced that it is leaving, in nanoseconds
	// since the table's start; 0 if it has not.
	leavingAt      atomic.Int64
	drainRequested atomic.Bool // by operators: no new work

	inFlight atomic.Int64
	waiting  atomic.Int64 // this router's requests without a first token
	// prefill counts the prompt tokens of the waiting requests by priority, less the
	// part expected to be cached.
	prefill  [priorities]atomic.Int64
	history  history
	reported atomic.Pointer[report]

	// slowness is the logarithm of observed over predicted first-token time: the part that
	// the model does not explain, such as wrong load reports.
	slowness         atomicFloat
	firstToken       ewma // nanoseconds
	recentFirstToken ewma // as firstToken, with a larger weight
	serviceTime      ewma // nanoseconds from dispatch to the end

	backlog backlog
	speed   presentSpeed
	health  health
	warmUp  *spacing // while the upstream is cold
	limit   *spacing // while the upstream names the rate that it takes
	pause   *spacing // after the upstream had no room
	rest    *spacing // while the upstream wants no requests of this router
	room    *room    // the requests that it may have room for
	bound   slotBound
	retries RetryBudget
}

func newEntry(id string, u config.Upstream) *entry {
	e := &entry{id: id, address: u.Address, kind: u.Kind, service: u.Service, fencing: u.Fencing, warmUp: newSpacing(), limit: newSpacing(), pause: newSpacing(), rest: newSpacing(), room: &room{}}
	e.slots = int64(u.Slots)
	if e.slots <= 0 {
		e.slots = DefaultSlots
	}
	models := u.Models
	e.models.Store(&models)
	e.bound.limit.Store(ratelimit.NoBound)
	e.retries.init(upstreamRetryShare, upstreamRetryBurst)
	return e
}

func (e *entry) membership() membership.State { return membership.State(e.state.Load()) }

// takesWork reports whether the upstream accepts new work.
func (e *entry) takesWork() bool {
	state := e.membership()
	return state != membership.Leaving && state != membership.Gone && e.leavingAt.Load() == 0 && !e.drainRequested.Load()
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

// priorities is the number of distinct priorities; lower ones count as the last.
const priorities = 4

func priorityClass(priority int) int { return min(max(priority, 0), priorities-1) }

// prefillAhead returns this router's prompt tokens at the upstream that are processed
// before a new request of the priority.
func (e *entry) prefillAhead(priority int) int64 {
	var sum int64
	for c := range priorityClass(priority) + 1 {
		sum += e.prefill[c].Load()
	}
	return sum
}

// begin records a dispatched request, which claim has counted in flight.
func (e *entry) begin(now time.Duration, priority int, work int64) {
	e.prefill[priorityClass(priority)].Add(work)
	e.health.begin(now, e.waiting.Add(1))
	e.history.record(now, e.inFlight.Load(), e.prefillAhead(priorities))
}

// endWaiting removes a request from those without a first token.
func (e *entry) endWaiting(now time.Duration, priority int, work int64) {
	e.waiting.Add(-1)
	e.prefill[priorityClass(priority)].Add(-work)
	e.history.record(now, e.inFlight.Load(), e.prefillAhead(priorities))
}

// end removes a request from those in flight.
func (e *entry) end(now time.Duration) {
	e.history.record(now, e.inFlight.Add(-1), e.prefillAhead(priorities))
}

// reportedOthers returns other routers' requests and prompt tokens at the upstream, as of
// its last report. A report older than maxReportAge counts as none.
func (e *entry) reportedOthers(now time.Time) (requests, prefill int64, age time.Duration) {
	r := e.reported.Load()
	if r == nil || now.Sub(r.asOf) > maxReportAge {
		return 0, 0, maxReportAge
	}
	requests = max(0, int64(r.load.Running+r.load.Queued)-r.ownInFlight)
	prefill = max(0, r.load.PrefillTokens-r.ownPrefill)
	return requests, prefill, now.Sub(r.asOf)
}

// prefillTurnover is about how long prompt tokens wait at an upstream.
const prefillTurnover = 300 * time.Millisecond

// estimatedOthers estimates other routers' current load on the upstream: the older the
// report, the closer to the mean of the pool. Once most of the reported requests have
// ended, the report is worthless or misleading: an upstream that looked idle then is the
// one that every router has chosen since.
func (e *entry) estimatedOthers(now time.Time, p *pool) (requests, prefill float64) {
	r, f, age := e.reportedOthers(now)
	meanRequests, meanPrefill := p.mean.requests.load(), p.mean.prefill.load()
	requests = meanRequests + (float64(r)-meanRequests)*reportWeight(age, e.meanServiceTime()/2)
	prefill = meanPrefill + (float64(f)-meanPrefill)*reportWeight(age, prefillTurnover)
	return requests, prefill
}

// meanServiceTime returns how long a request holds its slot.
func (e *entry) meanServiceTime() time.Duration {
	if serviceTime := e.serviceTime.load(); serviceTime > 0 {
		return time.Duration(serviceTime)
	}
	return defaultServiceTime
}

// reportWeight returns the weight, from 1 to 0, of a report of the given age: a half at
// the turnover time, little at twice that.
func reportWeight(age, turnover time.Duration) float64 {
	if turnover <= 0 {
		return 0
	}
	x := float64(max(age, 0)) / float64(turnover)
	return 1 / (1 + x*x)
}
