package upstream

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a conversation, as callers send it.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// FlattenPrompt returns the prompt that engines receive for messages: for each
// message the role, ": ", the content and a line feed.
func FlattenPrompt(messages []Message) string {
	var size int
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + len(": \n")
	}
	var prompt strings.Builder
	prompt.Grow(size)
	for _, m := range messages {
		prompt.WriteString(m.Role)
		prompt.WriteString(": ")
		prompt.WriteString(m.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// PrefixBlockBytes is the number of prompt bytes in one block of a prefix cache.
const PrefixBlockBytes = 64

// PrefixChain returns one hash for each complete block of the prompt. Each hash
// covers the model, the adapter and all blocks up to its own, so that two prompts
// share a hash only if they share the whole prefix. CacheEvent.Prefix is such a
// hash.
func PrefixChain(model, adapter, prompt string) []uint64 {
	chain := make([]uint64, len(prompt)/PrefixBlockBytes)
	parent := xxhash.Sum64String(model + "\x00" + adapter)
	var digest xxhash.Digest
	var parentBytes [8]byte
	for i := range chain {
		binary.LittleEndian.PutUint64(parentBytes[:], parent)
		digest.Reset()
		_, _ = digest.Write(parentBytes[:])
		_, _ = digest.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		parent = digest.Sum64()
		chain[i] = parent
	}
	return chain
}
