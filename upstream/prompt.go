package upstream

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one turn of a conversation, as callers send it.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// FlattenPrompt joins messages into the prompt that engines get: role, ": ",
// content and a line feed for each.
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

// PrefixBlockBytes is how many prompt bytes one block of a prefix cache covers.
const PrefixBlockBytes = 64

// PrefixChain returns one hash for each whole block of the prompt. A hash covers
// the model, the adapter and every block up to its own, so that two prompts
// share a hash only if they share the whole prefix. CacheEvent.Prefix is such
// a hash.
func PrefixChain(model, adapter, prompt string) []uint64 {
	chain := make([]uint64, len(prompt)/PrefixBlockBytes)
	parent := xxhash.Sum64String(model + "\x00" + adapter)
	var d xxhash.Digest
	var link [8]byte
	for i := range chain {
		binary.LittleEndian.PutUint64(link[:], parent)
		d.Reset()
		_, _ = d.Write(link[:])
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		parent = d.Sum64()
		chain[i] = parent
	}
	return chain
}
