package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Section is a top-level key of a Document.
type Section string

// The sections. Fleet and policy consist of one entry each, with an empty name; the
// others have one entry per name.
const (
	SectionFleet      Section = "fleet"
	SectionModels     Section = "models"
	SectionKinds      Section = "kinds"
	SectionUpstreams  Section = "upstreams"
	SectionServices   Section = "services"
	SectionTeams      Section = "teams"
	SectionWorkspaces Section = "workspaces"
	SectionPolicy     Section = "policy"
)

// EntryKey identifies one entry of a document.
type EntryKey struct {
	Section Section `json:"section"`
	Name    string  `json:"name,omitempty"`
}

// String returns "section" or "section.name".
func (k EntryKey) String() string {
	if k.Name == "" {
		return string(k.Section)
	}
	return string(k.Section) + "." + k.Name
}

func (k EntryKey) compare(other EntryKey) int {
	return cmp.Or(cmp.Compare(k.Section, other.Section), cmp.Compare(k.Name, other.Name))
}

// Image is the encoded form of a document in the table and in the peer protocol:
// the JSON text of each entry. A process of an older release keeps the keys that it
// does not know, so that digests agree during a rolling upgrade. It is immutable.
type Image struct{ entries map[EntryKey]json.RawMessage }

// Len returns the number of entries.
func (i Image) Len() int { return len(i.entries) }

// Entry returns the JSON text of an entry, or nil.
func (i Image) Entry(key EntryKey) json.RawMessage { return i.entries[key] }

// size returns the total size of all entries in bytes.
func (i Image) size() int {
	size := 0
	for key, value := range i.entries {
		size += len(key.Section) + len(key.Name) + len(value)
	}
	return size
}

func (i Image) keys() []EntryKey {
	return slices.SortedFunc(maps.Keys(i.entries), EntryKey.compare)
}

// Digest returns the SHA-256 digest, in hex, of all entries in key order. Each
// section, name and value is preceded by its length.
func (i Image) Digest() string {
	sum := sha256.New()
	var length [8]byte
	for _, key := range i.keys() {
		for _, part := range [][]byte{[]byte(key.Section), []byte(key.Name), i.entries[key]} {
			binary.BigEndian.PutUint64(length[:], uint64(len(part)))
			sum.Write(length[:])
			sum.Write(part)
		}
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// NewImage returns the image of a document.
func NewImage(doc Document) (Image, error) {
	i := Image{entries: map[EntryKey]json.RawMessage{}}
	err := cmp.Or(
		i.put(EntryKey{Section: SectionFleet}, doc.Fleet),
		i.put(EntryKey{Section: SectionPolicy}, doc.Policy),
		putAll(i, SectionModels, doc.Models),
		putAll(i, SectionKinds, doc.Kinds),
		putAll(i, SectionUpstreams, doc.Upstreams),
		putAll(i, SectionServices, doc.Services),
		putAll(i, SectionTeams, doc.Teams),
		putAll(i, SectionWorkspaces, doc.Workspaces),
	)
	return i, err
}

func (i Image) put(key EntryKey, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return eris.Wrapf(err, "encode %s", key)
	}
	i.entries[key] = text
	return nil
}

func putAll[V any](i Image, section Section, values map[string]V) error {
	for name, value := range values {
		if err := i.put(EntryKey{Section: section, Name: name}, value); err != nil {
			return err
		}
	}
	return nil
}

// Document decodes the image. It ignores keys that this release does not know
// instead of rejecting them: documents are checked when they are accepted.
func (i Image) Document() (Document, error) { return decodeEntries(Document{}, i, i.keys()) }

// Change sets one entry, or deletes it when Value is empty.
type Change struct {
	EntryKey
	Value json.RawMessage `json:"value,omitempty"`
}

// Delta is the difference between two images. Relative to the empty image it is the
// full document.
type Delta struct {
	Changes []Change `json:"changes"` // in the order of their keys
}

// Diff returns the changes from a to b.
func Diff(a, b Image) Delta {
	var delta Delta
	for key, value := range b.entries {
		if !bytes.Equal(a.entries[key], value) {
			delta.Changes = append(delta.Changes, Change{EntryKey: key, Value: value})
		}
	}
	for key := range a.entries {
		if _, inBoth := b.entries[key]; !inBoth {
			delta.Changes = append(delta.Changes, Change{EntryKey: key})
		}
	}
	slices.SortFunc(delta.Changes, func(x, y Change) int { return x.compare(y.EntryKey) })
	return delta
}

// Apply returns a copy of i with delta applied.
func (i Image) Apply(delta Delta) Image {
	next := Image{entries: make(map[EntryKey]json.RawMessage, len(i.entries)+len(delta.Changes))}
	maps.Copy(next.entries, i.entries)
	for _, change := range delta.Changes {
		if len(change.Value) == 0 {
			delete(next.entries, change.EntryKey)
			continue
		}
		next.entries[change.EntryKey] = change.Value
	}
	return next
}
