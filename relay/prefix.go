package relay

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"buckthornridge/routing"
)

// prefixBlockTokens is the number of prompt tokens that one hash stands for. Parts
// differ in length; with one hash for each block the share of known hashes is about the
// share of known tokens.
const prefixBlockTokens = 256

// maxPrefixBlocks bounds the hashes of one prompt, whose parts may name any number of tokens.
// Longer prompts are told apart by their first blocks.
const maxPrefixBlocks = 1 << 12

// prefixHashes returns one hash for each block of the prompt's parts, up to maxPrefixBlocks.
// Each covers the model and all blocks before it.
func prefixHashes(model string, parts []Part) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	hashes := make([]uint64, 0, 64)
	parent := xxhash.Sum64String(model)
	for _, part := range parts {
		own := xxhash.Sum64String(part.ID)
		blocks := max(1, (part.Tokens+prefixBlockTokens/2)/prefixBlockTokens)
		for i := range min(blocks, int64(maxPrefixBlocks-len(hashes))) {
			parent = combineHashes(parent, own+uint64(i))
			hashes = append(hashes, parent)
		}
	}
	return hashes
}

// affinityKey returns a hash of the parts that a request shares with others of its
// session: all but the last, which is its own. It is 0 without shared parts.
func affinityKey(model string, parts []Part) uint64 {
	if len(parts) < 2 {
		return 0
	}
	parent := xxhash.Sum64String(model)
	for _, part := range parts[:len(parts)-1] {
		parent = combineHashes(parent, xxhash.Sum64String(part.ID))
	}
	return max(parent, 1)
}

// shorterPrefixes returns the keys and sizes of the parts that sessions share with each other: each
// proper prefix of what affinityKey covers.
func shorterPrefixes(model string, parts []Part) []routing.SharedPrefix {
	if len(parts) < 3 {
		return nil
	}
	all := make([]routing.SharedPrefix, 0, len(parts)-2)
	parent, tokens := xxhash.Sum64String(model), int64(0)
	for _, part := range parts[:len(parts)-2] {
		parent = combineHashes(parent, xxhash.Sum64String(part.ID))
		tokens += part.Tokens
		all = append(all, routing.SharedPrefix{Key: max(parent, 1), Tokens: tokens})
	}
	return all
}

// sharedTokens returns the number of tokens in the parts that affinityKey covers.
func sharedTokens(parts []Part) int64 {
	var sum int64
	for _, part := range parts[:max(len(parts)-1, 0)] {
		sum += part.Tokens
	}
	return sum
}

func combineHashes(parent, own uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], parent)
	binary.LittleEndian.PutUint64(b[8:], own)
	return xxhash.Sum64(b[:])
}
