// Package config turns the operators' folder into one immutable Snapshot that
// every request reads, and keeps the fleet on the highest accepted version.
//
// A snapshot never changes after it is published; an accepted version is never
// followed by a lower one in the same process.
package config

import (
	"sync/atomic"
	"time"
)

// Version counts accepted configurations, from 1; 0 means none was seen yet.
type Version uint64

// Document is the merged content of the operators' folder: what `apply` sends
// and the table keeps. Maps are keyed by the entry's name.
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

// Fleet names the deployment and its places.
type Fleet struct {
	Name        string                `json:"name"`
	DataCentres map[string]DataCentre `json:"data_centres,omitempty"`
}

// DataCentre places a data centre in a region and gives its one-way latency to
// other data centres, for routing. A pair that is not listed counts as
// SameRegionLatency or OtherRegionLatency.
type DataCentre struct {
	Region    string             `json:"region"`
	LatencyMS map[string]float64 `json:"latency_ms,omitempty"`
}

// Model is one language or design model.
type Model struct {
	// MaxOutputTokens bounds what one request may generate; it is also the
	// default when a request names no maximum.
	MaxOutputTokens int64 `json:"max_output_tokens"`
	// Weights names the weights in the weight store; the model's name if empty.
	Weights string `json:"weights"`
	// Replicas is the least number of engines that should hold the model; 0
	// leaves it to demand.
	Replicas int `json:"replicas"`
}

// Kind is a class of requests, such as a caption or a full brief.
type Kind struct {
	// Priority orders kinds under load; 0 goes first.
	Priority int `json:"priority"`
	// Weight is what one answered request counts for in goodput.
	Weight float64 `json:"weight"`
	// FirstTokenMS is the deadline of the first token in milliseconds.
	FirstTokenMS int64 `json:"first_token_ms"`
	// DeadlineMS bounds the whole request in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// UpstreamKind says what a back end is.
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
	// Models lists what an engine holds at first; placement may change it.
	Models []string `json:"models,omitempty"`
	// Service names the service that a plain server belongs to.
	Service string `json:"service,omitempty"`
	// Fencing says that the engine refuses orders with an old fencing number.
	Fencing bool `json:"fencing,omitempty"`
	// Slots is how many requests the upstream runs at once.
	Slots int `json:"slots,omitempty"`
	// MaxModels is how many models an engine can hold at once; at least as many
	// as Models lists.
	MaxModels int `json:"max_models,omitempty"`
	// Leaving asks for no new work on this upstream.
	Leaving bool `json:"leaving,omitempty"`
}

// Service is a plain service beside the model engines.
type Service struct {
	// Operations are keyed by "METHOD /path"; a path ending in "/" covers
	// everything below it.
	Operations map[string]Operation `json:"operations,omitempty"`
}

// Operation is one call of a plain service.
type Operation struct {
	// Repeatable calls may be tried again; all others run at most once.
	Repeatable bool   `json:"repeatable"`
	Kind       string `json:"kind"`
	// Tokens is the fixed price of the call in budget tokens.
	Tokens int64 `json:"tokens"`
}

// Team is a group of operators who share the platform.
type Team struct {
	// Tokens maps the SHA-256 digest (hex) of an admin token to its role:
	// "viewer", "operator" or "owner". Two digests may stand during a rotation.
	Tokens map[string]string `json:"tokens,omitempty"`
	// Fleet lets the team change what is not below a workspace of a team.
	Fleet bool `json:"fleet"`
}

// Workspace is a customer with its own prepaid budgets.
type Workspace struct {
	Team string `json:"team"`
	// Share is the workspace's weight in fair queueing; 0 counts as 1.
	Share float64 `json:"share"`
	// Keys maps the SHA-256 digest (hex) of an API key to the name of the
	// budget that it draws on.
	Keys map[string]string `json:"keys,omitempty"`
	// Budgets lists the workspace's budgets. What was bought stands in the
	// table, not here: a top-up is a payment.
	Budgets map[string]Budget `json:"budgets,omitempty"`
}

// Budget is the shape of one prepaid budget.
type Budget struct {
	// Busy marks a budget that several routers may hold grants of at once.
	Busy bool `json:"busy"`
}

// Policy selects and tunes the decision modules.
type Policy struct {
	Routing   string `json:"routing"`   // a routing.policy module
	Admission string `json:"admission"` // an admission.policy module
	// Placement is PlacementDemand, or empty to leave engines as they are.
	Placement string          `json:"placement"`
	Budget    BudgetPolicy    `json:"budget"`
	Load      AdmissionPolicy `json:"load"`
}

// PlacementDemand lets engines be ordered to hold what demand asks for.
const PlacementDemand = "demand"

// BudgetPolicy tunes grants. No value of it can cause overspend.
type BudgetPolicy struct {
	// RefusalWeight from 0 to 1 says how much a false refusal counts against
	// stranded tokens: near 1 grants are larger and a request waits longer for
	// reservations that settle soon.
	RefusalWeight float64 `json:"refusal_weight"`
}

// AdmissionPolicy bounds queues.
type AdmissionPolicy struct {
	// QueuePerWorkspace is the most requests that may wait per workspace.
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

// KeyOwner is what an API key stands for.
type KeyOwner struct {
	Workspace string
	Budget    string
}

// Holder publishes snapshots by read-copy-update.
type Holder struct{ current atomic.Pointer[Snapshot] }

// Load returns the snapshot in force, or nil before the first one.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Advance publishes s unless a snapshot with the same or a higher version is
// already in force. It reports whether s is now in force.
func (h *Holder) Advance(s *Snapshot) bool {
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
