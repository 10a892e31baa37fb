// Package answer computes what a stand-in model answers.
//
// The answer is a pure function of the model, the prompt and the maximum, so
// that a caller can check every byte of it without asking the engine. Each token
// holds its position and a word drawn from the prompt's hash: a lost, doubled or
// swapped token changes the text, and so does a token of another request.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The lengths, in tokens, that are drawn for a prompt without a directive.
const (
	MinLength = 8
	MaxLength = 200
)

// BytesPerToken is how many prompt bytes the stand-ins count as one token.
const BytesPerToken = 4

// The reasons why an answer ends.
const (
	FinishStop   = "stop"   // the answer is complete
	FinishLength = "length" // the maximum cut it off
)

// MaxDirective bounds the length that a directive may ask for, in tokens.
const MaxDirective = 1_000_000

const (
	directiveOpen  = "[[tokens="
	directiveClose = "]]"
	syllables      = 2 // a word has this many, so one of 10,000 words a token
)

// Seed returns the hash that all tokens of an answer derive from.
func Seed(model, prompt string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

// Token returns the token at a position, from 0, of the answer with this seed.
func Token(seed uint64, position int64) string {
	const consonants, vowels = "bcdfghjklmnprstvwxyz", "aeiou"
	bits := mix(seed + uint64(position)*0x9e3779b97f4a7c15)
	text := make([]byte, 0, 16)
	for range syllables {
		text = append(text, consonants[bits%uint64(len(consonants))])
		bits /= uint64(len(consonants))
		text = append(text, vowels[bits%uint64(len(vowels))])
		bits /= uint64(len(vowels))
	}
	text = strconv.AppendInt(text, position, 36)
	return string(append(text, ' '))
}

// mix spreads the bits of x over the whole word (the splitmix64 finalizer).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Length returns how many tokens the whole answer has. A directive in the
// prompt, such as [[tokens=120]], sets it.
func Length(model, prompt string) int64 {
	if length, found := directive(prompt); found {
		return length
	}
	return MinLength + int64(mix(Seed(model, prompt))%(MaxLength-MinLength+1))
}

func directive(prompt string) (int64, bool) {
	_, rest, found := strings.Cut(prompt, directiveOpen)
	if !found {
		return 0, false
	}
	digits, _, found := strings.Cut(rest, directiveClose)
	if !found {
		return 0, false
	}
	length, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || length < 0 {
		return 0, false
	}
	return min(length, MaxDirective), true
}

// Tokens returns the answer, cut off at maxTokens, and why it ends.
func Tokens(model, prompt string, maxTokens int64) (tokens []string, finish string) {
	length := Length(model, prompt)
	finish = FinishStop
	if length > maxTokens {
		length, finish = max(maxTokens, 0), FinishLength
	}
	seed := Seed(model, prompt)
	tokens = make([]string, length)
	for i := range tokens {
		tokens[i] = Token(seed, int64(i))
	}
	return tokens, finish
}

// PromptTokens returns how many tokens the stand-ins count for a prompt. It
// never exceeds the prompt's bytes, which is what a reservation must cover.
func PromptTokens(prompt string) int64 {
	return (int64(len(prompt)) + BytesPerToken - 1) / BytesPerToken
}
