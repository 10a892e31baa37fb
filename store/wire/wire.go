// Package wire defines the messages of the platform's HTTP interface, which its
// client and its stand-in server share. Bodies are JSON, except for objects and
// weights, which are raw bytes.
package wire

import (
	"net/http"
	"time"

	"buckthornridge/store"
)

// Paths of the interface. The name of an object follows PathObjects as one escaped
// path segment, and the name of a model follows PathWeights in the same way.
const (
	PathRead    = "/v1/table/read"
	PathScan    = "/v1/table/scan"
	PathCommit  = "/v1/table/commit"
	PathObjects = "/v1/objects"
	PathVMs     = "/v1/vms"
	PathWeights = "/v1/weights"
)

// Headers of the interface.
const (
	// HeaderVM contains the id of the VM that makes a request.
	HeaderVM = "X-Vm"
	// HeaderError contains the Code of an error. An error response without it is not
	// the platform's own: a 503 without it may come from a proxy after the platform
	// accepted the request.
	HeaderError = "X-Platform-Error"
)

// Limits of bodies in bytes. They allow for the base64 encoding of values and the
// escaping of keys in JSON.
const (
	MaxRequestBytes  = 2 * store.MaxTxnBytes
	MaxResponseBytes = 2 * store.MaxResponseBytes
)

// ReadRequest requests rows by key; the response is a RowsResponse.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest requests rows by prefix; the response is a RowsResponse.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// RowsResponse is the response to ReadRequest and ScanRequest.
type RowsResponse struct {
	Rows []store.Row `json:"rows"`
}

// CommitResponse contains the version of an applied store.Txn.
type CommitResponse struct {
	Version int64 `json:"version"`
}

// ObjectsResponse contains the names of objects.
type ObjectsResponse struct {
	Names []string `json:"names"`
}

// VMsResponse contains the entries of the VM list.
type VMsResponse struct {
	VMs  []store.VM `json:"vms"`
	AsOf time.Time  `json:"as_of"`
}

// WeightsResponse contains the weights in the weight store and its rate.
type WeightsResponse struct {
	Weights        []store.Weight `json:"weights"`
	BytesPerSecond int64          `json:"bytes_per_second"`
}

// DoneResponse is the response to a request that returns no data.
type DoneResponse struct {
	Done bool `json:"done"`
}

// ErrorResponse describes an error for people. Clients use the code in HeaderError.
type ErrorResponse struct {
	Error  Code   `json:"error"`
	Detail string `json:"detail"`
}

// Code identifies an error of package store on the wire.
type Code string

// errorKind maps a Code to its error and its HTTP status.
type errorKind struct {
	code   Code
	err    error
	status int
}

var errorKinds = []errorKind{
	{"condition-failed", store.ErrConditionFailed, http.StatusConflict},
	{"unavailable", store.ErrUnavailable, http.StatusServiceUnavailable},
	{"outcome-unknown", store.ErrOutcomeUnknown, http.StatusGatewayTimeout},
	{"rate-limited", store.ErrRateLimited, http.StatusTooManyRequests},
	{"too-large", store.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{"invalid", store.ErrInvalid, http.StatusBadRequest},
	{"not-found", store.ErrNotFound, http.StatusNotFound},
}
