package quarantine

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of prompts by a hash of its content or its id.
type Part uint64

// PartOf returns the part with an id or a content.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// anyWorkspace stands for the requests of all workspaces.
const anyWorkspace = 0

// partKey is a part as the requests of one workspace contain it. Evidence is kept by
// workspace, so that no workspace can have the parts of another one refused, or clear them.
type partKey struct {
	Part      Part   `msgpack:"p"`
	Workspace uint32 `msgpack:"w"` // a hash; anyWorkspace for all
}

func keyOf(p Part, workspace uint32) partKey { return partKey{Part: p, Workspace: workspace} }

// everywhere returns the key of the same part in the requests of all workspaces.
func (k partKey) everywhere() partKey { return keyOf(k.Part, anyWorkspace) }

// String returns the key as operators see it.
func (k partKey) String() string {
	if k.Workspace == anyWorkspace {
		return fmt.Sprintf("part-%016x", uint64(k.Part))
	}
	return fmt.Sprintf("part-%016x-%08x", uint64(k.Part), k.Workspace)
}

// hash returns a hash that differs between the workspaces.
func (k partKey) hash() uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], uint64(k.Part))
	binary.LittleEndian.PutUint32(b[8:], k.Workspace)
	return xxhash.Sum64(b[:])
}

func comparePartKeys(a, b partKey) int {
	return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Workspace, b.Workspace))
}

// workspaceHash returns what stands for the request's workspace in keys.
func (r Request) workspaceHash() uint32 {
	return max(uint32(xxhash.Sum64String(r.Workspace)), anyWorkspace+1)
}

// has reports whether the request contains a part as the key says.
func (r Request) has(k partKey) bool {
	return (k.Workspace == anyWorkspace || k.Workspace == r.workspaceHash()) && slices.Contains(r.Parts, k.Part)
}
