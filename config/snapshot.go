// Package config loads and checks the operators' configuration folder, stores
// accepted versions in the platform's table and distributes them to all
// processes.
//
// A Document is the merged content of the folder. An Image is its encoded form:
// the JSON text of each entry. A Delta is the difference between two images, and
// a Step is a packed delta between two versions. A checkpoint is a version that
// is also stored as a full document. A Watcher publishes the latest accepted
// version as a Snapshot, which requests read.
//
// A snapshot never changes after it is published. A process never replaces an
// accepted version by a lower one.
package config

import (
	"sync/atomic"
	"time"
)

// Version numbers accepted configurations from 1; 0 means that none is known.
type Version uint64

// Document is the merged content of the operators' folder, which `apply` sends
// and the table stores. Maps are keyed by the entry's name.
type Document struct {
	Fleet      Fleet                `json:"fleet"`
	Models     map[string]Model     `json:"models,omitempty"`
	Kinds      map[string]Kind      `json:"kinds,omitempty"`
	Upstreams  map[string]Upstream  `json:"upstreams,omitempty"`
	Services   map[string]Service   `json:"services,omitempty"`
	Teams      map[string]Team      `json:"teams,omitempty"`
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`
	Policy     Policy               `json:"policy"`
}

// Fleet names the deployment and its data centres.
type Fleet struct {
	Name        string                `json:"name"`
	DataCentres map[string]DataCentre `json:"data_centres,omitempty"`
}

// DataCentre places a data centre in a region and gives its one-way latency to
// other data centres, for routing. A pair that is not listed is assumed to have
// SameRegionLatency or OtherRegionLatency.
type DataCentre struct {
	Region    string             `json:"region"`
	LatencyMS map[string]float64 `json:"latency_ms,omitempty"`
}

// Model is one language or design model.
type Model struct {
	// MaxOutputTokens limits what one request may generate. It is also the
	// default for requests that set no limit.
	MaxOutputTokens int64 `json:"max_output_tokens"`
	// Weights is the name of the weights in the weight store; empty means the
	// model's name.
	Weights string `json:"weights"`
	// Replicas is the minimum number of engines that should hold the model; 0
	// lets demand decide.
	Replicas int `json:"replicas"`
}

// Kind is a class of requests, such as a caption or a full brief.
type Kind struct {
	// Priority orders kinds under load; 0 is the highest priority.
	Priority int `json:"priority"`
	// Weight is the weight of one answered request in goodput.
	Weight float64 `json:"weight"`
	// FirstTokenMS is the deadline of the first token in milliseconds.
	FirstTokenMS int64 `json:"first_token_ms"`
	// DeadlineMS is the deadline of the complete request in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// UpstreamKind is the type of a backend.
type UpstreamKind string

// The kinds of upstream.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Upstream is one model engine or one server of a plain service.
type Upstream struct {
	Kind       UpstreamKind `json:"kind"`
	Address    string       `json:"address"` // host:port
	DataCentre string       `json:"data_centre"`
	// Models lists the models that an engine holds initially; placement may
	// change them.
	Models []string `json:"models,omitempty"`
	// Service is the name of the service that a plain server belongs to.
	Service string `json:"service,omitempty"`
	// Fencing is set if the engine rejects a desired state with a stale fencing token.
	Fencing bool `json:"fencing,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"slots,omitempty"`
	// MaxModels is the number of models that an engine can hold at once, at
	// least the length of Models.
	MaxModels int `json:"max_models,omitempty"`
	// Leaving stops new work from being sent to this upstream.
	Leaving bool `json:"leaving,omitempty"`
	// WarmUp limits the requests to an upstream that has just started. It is observed,
	// not configured.
	WarmUp WarmUp `json:"-"`
}

// WarmUp limits one router's requests to an upstream until a time.
type WarmUp struct {
	Until time.Time
	// Interval is the least time between two requests; with 0 there are none.
	Interval time.Duration
}

// Service is an HTTP service other than the model engines.
type Service struct {
	// Operations are keyed by "METHOD /path"; a path ending in "/" matches
	// all paths below it.
	Operations map[string]Operation `json:"operations,omitempty"`
}

// Operation is one operation of a plain service.
type Operation struct {
	// Idempotent marks an idempotent call, which may be retried; all other calls
	// run at most once.
	Idempotent bool   `json:"repeatable"`
	Kind       string `json:"kind"`
	// Tokens is the fixed price of the call in budget tokens.
	Tokens int64 `json:"tokens"`
}

// Team is a group of operators who share the platform.
type Team struct {
	// Tokens maps the SHA-256 digest (hex) of an admin token to its role:
	// "viewer", "operator" or "owner". A rotation may use two digests at once.
	Tokens map[string]string `json:"tokens,omitempty"`
	// Fleet allows the team to change sections that belong to no workspace.
	Fleet bool `json:"fleet"`
}

// Workspace is a customer with its own prepaid budgets.
type Workspace struct {
	Team string `json:"team"`
	// Share is the workspace's weight in fair queueing; 0 means 1.
	Share float64 `json:"share"`
	// Keys maps the SHA-256 digest (hex) of an API key to the name of the
	// budget that it is charged to.
	Keys map[string]string `json:"keys,omitempty"`
	// Budgets lists the workspace's budgets. Purchased amounts are stored in
	// the table and not here, because a top-up is a payment.
	Budgets map[string]Budget `json:"budgets,omitempty"`
}

// Budget configures one prepaid budget.
type Budget struct {
	// Busy marks a budget that several routers may hold grants of at once.
	Busy bool `json:"busy"`
}

// Policy selects and configures the policy modules.
type Policy struct {
	Routing   string `json:"routing"`   // a routing.policy module
	Admission string `json:"admission"` // an admission.policy module
	// Placement is PlacementDemand, or empty to leave the models of engines
	// unchanged.
	Placement string          `json:"placement"`
	Budget    BudgetPolicy    `json:"budget"`
	Load      AdmissionPolicy `json:"load"`
}

// PlacementDemand makes placement load models on engines according to demand.
const PlacementDemand = "demand"

// BudgetPolicy configures the size of grants. No value of it can cause overspend.
type BudgetPolicy struct {
	// RefusalWeight, from 0 to 1, weighs false refusals against stranded tokens.
	// Near 1, grants are larger and a request waits longer for reservations
	// that settle soon.
	RefusalWeight float64 `json:"refusal_weight"`
}

// AdmissionPolicy limits queue lengths.
type AdmissionPolicy struct {
	// QueuePerWorkspace is the maximum number of waiting requests per workspace.
	QueuePerWorkspace int `json:"queue_per_workspace"`
}

// Latency assumed between data centres whose pair is not listed.
const (
	SameRegionLatency  = 500 * time.Microsecond
	OtherRegionLatency = 40 * time.Millisecond
)

// Snapshot is one accepted configuration with the indexes that requests need.
// It is immutable.
type Snapshot struct {
	Version Version
	Document
	keys map[KeyDigest]KeyOwner
}

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [32]byte

// KeyOwner is the workspace and the budget of an API key.
type KeyOwner struct {
	Workspace string
	Budget    string
}

// SnapshotHolder publishes snapshots by an atomic pointer swap.
type SnapshotHolder struct{ current atomic.Pointer[Snapshot] }

// Load returns the snapshot in force, or nil if none was published yet.
func (h *SnapshotHolder) Load() *Snapshot { return h.current.Load() }

// Advance publishes s unless a snapshot with the same or a higher version is
// already in force. It reports whether s is now in force.
func (h *SnapshotHolder) Advance(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= s.Version {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			return true
		}
	}
}
