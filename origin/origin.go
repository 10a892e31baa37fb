// Package origin decides at which upstreams a stream may go on after it has broken off.
//
// What upstreams of two software versions write does not fit together, and an upstream
// does not check what it is asked to continue. A stream therefore goes on only at the
// version that sent its first event, wherever in the fleet that was. Origin says what
// began a stream and Allows decides; Records keeps origins by the id of the caller's
// request, for this router's streams and for those whose copies it holds; Replicas chooses
// the routers with the copies; History tells which versions a service has had lately, for
// streams without a record.
//
// The package does no I/O. Times come from the caller, so that tests run it in virtual
// time.
package origin

import "time"

// Process is one start of an upstream.
type Process struct {
	// Upstream is the upstream's id, which a later start may have too.
	Upstream string `msgpack:"u"`
	// Start distinguishes successive processes under the same id; 0 if it is not known.
	Start int64 `msgpack:"s"`
}

// Origin is what sent the first event of a stream.
type Origin struct {
	Service string  `msgpack:"s"`
	Process Process `msgpack:"p"`
	// Version is the version of the process's software, if VersionKnown.
	Version      string `msgpack:"v"`
	VersionKnown bool   `msgpack:"k"`
}

// Listed is an upstream as the list of upstreams names it.
type Listed struct {
	Service string
	Process Process
	Version string
}

// Allows returns which process of an upstream may continue the stream, by its Start, and
// false if none may. One process has one version, even if it is not known which: then only
// that process may, whether it is the listed one or not.
func (o Origin) Allows(u Listed) (start int64, ok bool) {
	switch {
	case o.Service != u.Service:
		return 0, false
	case o.VersionKnown:
		return u.Process.Start, o.Version == u.Version
	}
	return o.Process.Start, o.Process.Start != 0 && o.Process.Upstream == u.Process.Upstream
}

// Resolve adds the version if the list names the process that began the stream.
func (o Origin) Resolve(u Listed) Origin {
	if !o.VersionKnown && o.Process.Start != 0 && o.Process == u.Process && o.Service == u.Service {
		o.Version, o.VersionKnown = u.Version, true
	}
	return o
}

// IsKnown reports whether the origin allows any upstream to continue the stream.
func (o Origin) IsKnown() bool { return o.VersionKnown || o.Process.Start != 0 }

// Merge combines two records of one stream. If they contradict each other, nothing is known
// of it.
func (o Origin) Merge(other Origin) Origin {
	switch {
	case o.Service != other.Service:
		return Origin{}
	case o.VersionKnown && other.VersionKnown:
		if o.Version != other.Version {
			return Origin{}
		}
		return o
	case o.Process != other.Process:
		return Origin{}
	case other.VersionKnown:
		return other
	}
	return o
}

// Lifetime is how long after its first event a stream may be continued if its caller did
// not say how long it waits.
const Lifetime = time.Minute
