// Package answer computes the output of a simulated model.
//
// An answer is the output of the model for one prompt. It is a pure function of
// the model, the prompt and the maximum number of tokens, so that a caller can
// verify every byte without querying the engine. Each token contains its position
// and a word derived from the hash of the model and the prompt: a lost,
// duplicated or swapped token changes the text, and so does a token of another
// request.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The range of lengths, in tokens, for a prompt without a length directive.
const (
	MinLength = 8
	MaxLength = 200
)

// BytesPerToken is how many prompt bytes the simulated engines count as one token.
const BytesPerToken = 4

// The finish reasons of an answer.
const (
	FinishStop   = "stop"   // the answer is complete
	FinishLength = "length" // the answer was truncated at the maximum number of tokens
)

// MaxDirective is the maximum length that a directive can set, in tokens.
const MaxDirective = 1_000_000

const (
	directiveOpen  = "[[tokens="
	directiveClose = "]]"
	syllables      = 2 // per word, which gives 10,000 different words
)

// Seed returns the hash from which all tokens of an answer are derived.
func Seed(model, prompt string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

// Token returns the token at a position, counted from 0, of the answer with this
// seed.
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

// mix is the splitmix64 finalizer: every bit of x affects the whole result.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Length returns the number of tokens in the complete answer. A directive in the
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

// Tokens returns the answer, truncated at maxTokens, and its finish reason.
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

// PromptTokens returns the number of tokens that the simulated engines count for
// a prompt. It never exceeds the number of prompt bytes, so a reservation of one
// token per prompt byte always covers the prompt.
func PromptTokens(prompt string) int64 {
	return (int64(len(prompt)) + BytesPerToken - 1) / BytesPerToken
}
