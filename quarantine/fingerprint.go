// Package quarantine finds requests that end the upstreams that run them, and refuses
// them. A request is recognized by its content, since it comes back with another id and
// through other routers. Where requests that differ share a part of their prompts that
// crashes upstreams, it finds the part and refuses all requests with it.
//
// The package decides without I/O: evidence is exchanged through records that its user
// stores, and whether an upstream has ended is asked of a Prober.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBytes is the part of SHA-256 that is kept. Collisions of it can't be
	// computed, so that nobody can have the request of another caller refused.
	digestBytes = 16
	// keyBytes is the length of the part that is computed without reading the body.
	keyBytes = 4
)

// Fingerprint identifies requests with the same content: a key, which rules out most
// other requests cheaply, and a digest.
type Fingerprint [keyBytes + digestBytes]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

func (f Fingerprint) key() uint32 { return binary.BigEndian.Uint32(f[:keyBytes]) }

// Request is what stays the same when a request is repeated.
type Request struct {
	Workspace string
	Method    string
	Host      string
	// Target is the path and the query. Requests with another query are others.
	Target string
	Body   []byte
	// Parts are the parts of the prompt that other requests may share. They do not count
	// towards the fingerprint.
	Parts []Part
}

// Fingerprint returns the request's fingerprint. It reads the whole body.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...]string{r.Workspace, r.Method, r.Host, r.Target} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	var f Fingerprint
	binary.BigEndian.PutUint32(f[:keyBytes], r.key())
	copy(f[keyBytes:], h.Sum(nil))
	return f
}

// key returns the key of the request's fingerprint.
func (r Request) key() uint32 {
	return uint32(xxhash.Sum64String(r.Workspace)*31+xxhash.Sum64String(r.Target)) ^ uint32(len(r.Body))
}

// Upstream is one process of an upstream.
type Upstream struct {
	ID string
	// Incarnation distinguishes successive processes under the same id.
	Incarnation string
	Address     string // host:port
}

// Process identifies a process of an upstream in records.
type Process uint64

func (u Upstream) process() Process {
	return Process(xxhash.Sum64String(u.ID + "\x00" + u.Incarnation))
}
