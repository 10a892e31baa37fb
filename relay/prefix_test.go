package relay

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a few parts that name so many tokens that their hashes take the memory.
func TestPrefixHashesAreBounded(t *testing.T) {
	is := is.New(t)
	parts := make([]Part, 100)
	for i := range parts {
		parts[i] = Part{ID: "a", Tokens: 1 << 20}
	}
	hashes := prefixHashes("m", parts)
	is.Equal(len(hashes), maxPrefixBlocks)
	is.Equal(hashes[:2], prefixHashes("m", []Part{{ID: "a", Tokens: 2 * prefixBlockTokens}}))
	is.Equal(len(prefixHashes("m", []Part{{ID: "a", Tokens: 1 << 20}})), maxPrefixBlocks) // the largest part fits
}
