// Package reach decides by which path a router sends requests to each upstream: over its
// own connections or, once it has lost its own path, through another router.
//
// A router can't tell an upstream that has ended from one that it no longer reaches by a
// single failure. Tracker compares the failures of the upstreams of one service:
// upstreams that fail one after the other, with none that connects in between, are a
// fault of the router's own path. Forwarders chooses the router that sends in its place.
//
// The package does no I/O. Times come from the caller, so that tests run it in virtual
// time.
package reach

import "time"

// Path is the way to an upstream.
type Path uint8

// The paths to an upstream.
const (
	// Direct uses the router's own connections.
	Direct Path = iota
	// DirectBriefly uses them too, but the path may be lost: a dial that takes longer
	// than BriefDial is given up, and the request is forwarded.
	DirectBriefly
	// OpenOnly uses connections that are already open; without one the request is
	// forwarded.
	OpenOnly
	// Forwarded sends through another router.
	Forwarded
)

// Failure is the way in which a path to an upstream failed.
type Failure uint8

// The failures of a path.
const (
	// Refused is a connection that was refused or reset. Open connections may work.
	Refused Failure = iota
	// Silent is a connection on which nothing came back in time.
	Silent
)

// String returns the failure's name in logs.
func (f Failure) String() string {
	if f == Silent {
		return "silent"
	}
	return "refused"
}

// BriefDial bounds a dial while the router's own path may be lost.
const BriefDial = 250 * time.Millisecond

// Upstream is an upstream and its service.
type Upstream struct {
	ID      string
	Service string
}
