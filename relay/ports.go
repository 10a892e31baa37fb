package relay

import (
	"context"
	"net/http"
	"time"

	"buckthornridge/origin"
	"buckthornridge/ratelimit"
	"buckthornridge/routing"
)

// Upstream is one server of a service, as the table lists it.
type Upstream struct {
	// ID is new at most starts of a server; an address may pass to another upstream.
	ID string
	// Start distinguishes successive processes under the same id.
	Start      int64
	Address    string // host:port
	DataCentre string
	Service    string
	// Version is the version of its software. Streams of two versions do not fit together.
	Version string
	Slots   int
	Leaving bool
	// LeavesUnlisted says that Leaving is known from its answers alone: its end is not yet
	// due by plan.
	LeavesUnlisted bool
	// WarmUp is how long the upstream remains cold, as it last reported.
	WarmUp time.Duration
}

// Budgets admits requests against the budgets of workspaces.
type Budgets interface {
	// Reserve reserves ceiling tokens of the workspace's budget before anything is sent.
	// The error is a *Problem, whose status says whether the refusal is certain.
	Reserve(ctx context.Context, w Workspace, ceiling int64) (Reservation, error)
	// Screen tells at once whether Reserve would find the tokens on this VM. The error is a
	// *Problem for a request that is refused for certain.
	Screen(w Workspace, ceiling int64) (covered bool, err error)
}

// Reservation is a part of a budget that is reserved for one request.
type Reservation interface {
	// Settle charges the consumed tokens and releases the rest. Only the first call has
	// an effect.
	Settle(consumed int64)
}

// Picker chooses an upstream. *routing.Router implements it.
type Picker interface {
	Pick(request routing.Request) (*routing.Choice, error)
	// UntilAllowed returns the time until an upstream may get a request, if all of them
	// wait for their limits.
	UntilAllowed(request routing.Request) (time.Duration, bool)
}

// Listed returns what decides which streams the upstream may continue.
func (u Upstream) Listed() origin.Listed {
	return origin.Listed{Service: u.Service, Process: origin.Process{Upstream: u.ID, Start: u.Start}, Version: u.Version}
}

// Fleet looks up upstreams.
type Fleet interface {
	Upstream(id string) (Upstream, bool)
	// Any reports whether any upstream meets a condition.
	Any(condition func(Upstream) bool) bool
}

// Origins keeps where streams began, for the routers of the whole fleet.
type Origins interface {
	// Began records what sends the first event of a stream, before that event is
	// forwarded. The key is that of package origin; until is when its caller gives up.
	Began(key string, o origin.Origin, until time.Time)
	// Unsettled returns the versions of a service at which no stream that may be resumed
	// should begin yet: it might not be known later where it began.
	Unsettled(service string) map[string]bool
	// Find returns what began a stream that a caller takes up, or false if that is not
	// known. The key is empty if the caller did not name the stream.
	Find(ctx context.Context, key string, route *Route) (origin.Origin, bool)
}

// OutgoingRequest is a request as it is sent to one upstream.
type OutgoingRequest struct {
	Request   *Request
	Upstream  Upstream
	Workspace string // empty without one
	Priority  int
	// Remaining is the time until the upstream's response is due at Deadline, as it was when
	// the upstream was chosen.
	Remaining time.Duration
	Deadline  time.Time
	// Wanted returns an error that wraps upstream.ErrAbandoned once nobody waits for the
	// response. It is asked right before the request is written.
	Wanted func(context.Context) error
	// LastEventID is the last event that the caller has, of this or an earlier response.
	LastEventID string
	// FreshConnection asks for a new or recently used connection: a request that can't
	// be retried is lost if an idle connection was closed.
	FreshConnection bool
	// Identify says how certain it must be which process gets the request.
	Identify Identify
	// Process is the only one that may get it, by its Start, with OnlyProcess.
	Process int64
	// FetchFrom is the address of the engine from which the upstream should fetch the parts of the
	// prompt that it lacks; empty for none.
	FetchFrom string
	// Borrowed asks for a router that sends it on its own part of the upstream's slots.
	Borrowed bool
}

// Identify says how certain it must be which process of an upstream gets a request.
type Identify uint8

const (
	// AnyProcess may get the request.
	AnyProcess Identify = iota
	// KnownProcess asks for the process if the list of upstreams may be wrong. The request
	// is sent in any case.
	KnownProcess
	// OnlyProcess sends the request only to OutgoingRequest.Process.
	OnlyProcess
)

// Response is an upstream's response. It must be closed.
type Response interface {
	// Head returns the status, the headers and what they say about the response.
	Head() Head
	// Read reads the body. io.EOF means that the body is complete by its framing.
	Read(b []byte) (int, error)
	Close()
}

// Head is the part of a response before its body.
type Head struct {
	Status int
	// Header holds the headers for the caller.
	Header http.Header
	// NotExecuted says that the upstream guarantees that it did not run the request.
	NotExecuted bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Signed says that the response has the upstream's signature.
	Signed bool
	// Altered says that the body is not as the upstream sent it.
	Altered bool
	// Via is the router that forwarded the request; empty for a response on a connection
	// of this router.
	Via string
	// Process is the start of the process that answers; 0 if it is not known.
	Process int64
	// RateLimit is what the upstream says of the rate of requests that it takes.
	RateLimit ratelimit.Reading
	// RejectionLimit is what the upstream says of the rate of requests that it may have
	// to reject for want of room; with more it fails.
	RejectionLimit ratelimit.Reading
	// Leaving says that the upstream's process leaves and wants no new work.
	Leaving bool
	// Rest is what a rejection says of the time for which the upstream wants no requests of
	// this router.
	Rest ratelimit.RestReading
}

// Sender sends a request to an upstream and returns the head of its response. Its errors
// wrap upstream.ErrNotSent or upstream.ErrBroken.
type Sender interface {
	Send(ctx context.Context, out OutgoingRequest) (Response, error)
	// Runs asks an upstream, over a new connection, whether it still works on a request.
	Runs(ctx context.Context, u Upstream, id string) RunState
}

// RunState is what an upstream says of a request whose exchange has failed.
type RunState uint8

const (
	// RunStateUnknown: the upstream answers, and does not say.
	RunStateUnknown RunState = iota
	// Unreachable: the upstream does not answer this router.
	Unreachable
	// Running: it works on the request.
	Running
	// NotRunning: it does not, or its process has ended.
	NotRunning
)

// Recorder counts and logs requests.
type Recorder interface {
	// RecordRequest records how a request ended.
	RecordRequest(d RequestRecord)
}

// RequestRecord is the record of one request, for its log line and for metrics.
type RequestRecord struct {
	ID string
	// Caller is the caller's address.
	Caller    string
	Route     string
	Workspace string
	// Outcome is short and stable: "answered", "streamed" or a problem's name, among
	// others.
	Outcome string
	Status  int
	Sends   int
	// Upstreams lists the upstreams that the request was sent to.
	Upstreams []string
	// Versions lists the software versions of Upstreams.
	Versions []string
	// Repeats says, for each time that the request was sent once more, why, and what was
	// known of the run before.
	Repeats []Repeat
	// Origin is Request.Origin.
	Origin string
	// Via is the router through which the last response came; empty if it came directly.
	Via string
	// Expected is the time from the last send to the first byte that routing predicted;
	// 0 if it had no prediction.
	Expected time.Duration
	// First is the time from the request's arrival to the first byte of the response,
	// Total that to its end.
	First, Total time.Duration
	Ceiling      int64  // tokens
	Consumed     int64  // tokens
	Cause        string // Problem.Cause
	Detail       string
}
