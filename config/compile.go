package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/rotisserie/eris"
)

// Compile builds the snapshot of a checked document. It fails only for errors that
// Check reports as well: a malformed or duplicate key digest.
func Compile(version Version, doc Document) (*Snapshot, error) {
	s := &Snapshot{Version: version, Document: doc, keys: map[KeyDigest]KeyOwner{}}
	for name, workspace := range doc.Workspaces {
		for text, budget := range workspace.Keys {
			digest, err := ParseDigest(text)
			if err != nil {
				return nil, eris.Wrapf(err, "workspace %q", name)
			}
			if other, taken := s.keys[digest]; taken {
				return nil, eris.Errorf("workspaces %q and %q share an API key", name, other.Workspace)
			}
			s.keys[digest] = KeyOwner{Workspace: name, Budget: budget}
		}
	}
	return s, nil
}

// ParseDigest decodes a SHA-256 digest in hex.
func ParseDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, eris.Errorf("%q is not a SHA-256 digest in hex (64 digits)", text)
	}
	copy(digest[:], raw)
	return digest, nil
}

// Key returns the owner of an API key. The lookup is by digest, so its duration does
// not reveal how much of a guessed key is correct.
func (s *Snapshot) Key(key string) (KeyOwner, bool) {
	owner, ok := s.keys[sha256.Sum256([]byte(key))]
	return owner, ok
}

// Latency returns the one-way latency between two data centres.
func (s *Snapshot) Latency(from, to string) time.Duration {
	if from == to {
		return 0
	}
	a, b := s.Fleet.DataCentres[from], s.Fleet.DataCentres[to]
	if ms, ok := a.LatencyMS[to]; ok {
		return time.Duration(ms * float64(time.Millisecond))
	}
	if ms, ok := b.LatencyMS[from]; ok {
		return time.Duration(ms * float64(time.Millisecond))
	}
	if a.Region == b.Region {
		return SameRegionLatency
	}
	return OtherRegionLatency
}
