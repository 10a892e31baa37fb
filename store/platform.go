// Package store defines the interfaces of the platform's services: a
// transactional table, an object store, an eventually consistent VM list and a
// rate-limited weight store. All shared and durable state of buckthornridge goes
// through these interfaces; it runs no store of its own.
//
// Every call may be slow, refused or lost. Callers must handle ErrOutcomeUnknown
// in particular: the write may have taken effect, may take effect later, or never.
package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors that callers distinguish with errors.Is. Implementations wrap them with
// the step and the peer at which they occurred.
var (
	// ErrConditionFailed reports that a transaction changed nothing because a
	// row did not have the version that its condition requires.
	ErrConditionFailed = eris.New("store: condition failed")
	// ErrUnavailable reports a call that certainly had no effect.
	ErrUnavailable = eris.New("store: unavailable")
	// ErrOutcomeUnknown reports a write whose response was lost. The caller
	// resolves it by reading back and writing again under the same conditions,
	// never by assuming either result.
	ErrOutcomeUnknown = eris.New("store: outcome unknown")
	// ErrRateLimited reports a call that exceeded the platform's rate limit; it
	// had no effect.
	ErrRateLimited = eris.New("store: rate limited")
	// ErrTooLarge reports a request or value that exceeds the platform's limits.
	ErrTooLarge = eris.New("store: too large")
	// ErrInvalid reports a malformed request.
	ErrInvalid = eris.New("store: invalid request")
	// ErrNotFound reports a missing object. A missing table row is not an error.
	ErrNotFound = eris.New("store: not found")
)

// Limits of the platform, which both the fake and the stand-in server enforce.
// Keys and names must be valid UTF-8; a request over a limit fails with
// ErrTooLarge.
const (
	MaxKeyBytes      = 512
	MaxValueBytes    = 1 << 20
	MaxTxnRows       = 256     // conditions and writes of one transaction, each; keys of one Read
	MaxTxnBytes      = 4 << 20 // all keys and values of one transaction
	MaxScanRows      = 1000
	MaxResponseBytes = 16 << 20 // all keys and values in one response of Read or Scan
	MaxNameBytes     = 512      // the name of an object
	MaxObjectBytes   = 64 << 20
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is 0 for a row that does not exist. Each commit that writes a row
	// gives it a version higher than any earlier version in the table, also after
	// a deletion, so that a version is never reused for a key.
	Version int64 `json:"version"`
}

// Condition requires a row to have exactly this version at commit time; 0
// requires that the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied atomically: if all conditions hold, all writes take effect at
// one version; otherwise none does.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Table is the platform's transactional table service. Reads are
// linearizable: they see every commit that was acknowledged before they began.
type Table interface {
	// Read returns one row per key, in the order of keys; a missing row has
	// Version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys start with prefix and sort after
	// the key after, in key order. Fewer than limit rows mean that there are no
	// more. Rows of more than MaxResponseBytes give ErrTooLarge; the caller
	// retries with a lower limit.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the version of its writes.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// ObjectStore stores large immutable objects by name. Names are slash-separated
// paths that fs.ValidPath accepts.
type ObjectStore interface {
	// Put stores an object. Putting the same data again succeeds; other data
	// under an existing name fails with ErrConditionFailed.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes an object; deleting a missing one is not an error.
	Delete(ctx context.Context, name string) error
}

// VMState is the platform's state of a VM.
type VMState string

// States of entries in the VM list. A gone incarnation never runs again.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VM is one entry of the VM list: one of our own VMs or an upstream's.
type VM struct {
	ID string `json:"id"`
	// Incarnation distinguishes a process from its successor at the same address.
	// It increases with each start, in the order of OlderIncarnation.
	Incarnation string  `json:"incarnation"`
	Role        string  `json:"role"` // "router", "control", "engine" or "service"
	DataCentre  string  `json:"data_centre"`
	Region      string  `json:"region"`
	Address     string  `json:"address"`                // HTTP address for callers or of the upstream, host:port
	PeerAddress string  `json:"peer_address,omitempty"` // address of the internal peer protocol, host:port
	State       VMState `json:"state"`
}

// VMList is the platform's list of VMs, which is eventually consistent.
type VMList interface {
	// List returns the entries and the time as of which they were current.
	List(ctx context.Context) (vms []VM, asOf time.Time, err error)
	// Announce adds or updates the caller's own entry. A new incarnation changes
	// older ones with the same id to gone; their entries remain in the list. A
	// gone or older incarnation is refused with ErrInvalid. An announcement never
	// changes a state back from leaving to live.
	Announce(ctx context.Context, vm VM) error
}

// Weight describes one set of model weights.
type Weight struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// WeightStore is the rate-limited store of model weights. Engines load weights
// from it; this system only uses the sizes and the rate for planning.
type WeightStore interface {
	// Weights returns the weights in the store and its total rate in bytes per
	// second.
	Weights(ctx context.Context) (weights []Weight, bytesPerSecond int64, err error)
}

// Services are the platform's services as one process uses them.
type Services struct {
	Table   Table
	Objects ObjectStore
	VMs     VMList
	Weights WeightStore
}

// OlderIncarnation reports whether incarnation a of an id started before b. A
// shorter one is older, and of two with the same length the one that is lower in
// byte order, so that decimal numbers and fixed-width timestamps both sort by
// start time.
func OlderIncarnation(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}
