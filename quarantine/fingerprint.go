// Package quarantine finds requests that end the upstreams that run them, and refuses
// them. A request is recognized by its content, since it comes back with another id and
// through other routers.
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

// fingerprintBytes is the length of a Fingerprint. Collisions of 16 bytes of SHA-256
// can't be computed, so that nobody can have the request of another caller refused.
const fingerprintBytes = 16

// Fingerprint identifies requests with the same content.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// NewFingerprint returns the fingerprint of a request of a workspace. The parts are what
// stays the same when the request is repeated, such as its path and its body.
func NewFingerprint(workspace string, parts ...[]byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	write := func(part []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	write([]byte(workspace))
	for _, part := range parts {
		write(part)
	}
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// Upstream is one process of an upstream.
type Upstream struct {
	ID string
	// Incarnation distinguishes successive processes under the same id.
	Incarnation string
	Address     string // host:port
}

// process identifies a process of an upstream in records.
type process uint64

func (u Upstream) process() process {
	return process(xxhash.Sum64String(u.ID + "\x00" + u.Incarnation))
}
