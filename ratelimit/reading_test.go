package ratelimit

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a header that is read as a rate it does not name, or not read at all.
func TestRead(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   Reading
	}{
		{"absent", nil, Reading{}},
		{"whole", []string{"4"}, Reading{Named: true, PerSecond: 4}},
		{"decimal", []string{" 2.9 "}, Reading{Named: true, PerSecond: 2.9}},
		{"zero", []string{"0"}, Reading{Named: true}},
		{"lowest of two", []string{"4", "2"}, Reading{Named: true, PerSecond: 2}},
		{"one of two is valid", []string{"x", "3"}, Reading{Named: true, PerSecond: 3}},
		{"empty", []string{""}, Reading{Invalid: true}},
		{"text", []string{"many"}, Reading{Invalid: true}},
		{"list", []string{"2, 4"}, Reading{Invalid: true}},
		{"negative", []string{"-1"}, Reading{Invalid: true}},
		{"exponent", []string{"1e309"}, Reading{Invalid: true}},
		{"too large", []string{strings.Repeat("9", 400)}, Reading{Invalid: true}},
		{"not a number", []string{"NaN"}, Reading{Invalid: true}},
		{"infinite", []string{"Inf"}, Reading{Invalid: true}},
		{"hexadecimal", []string{"0x10"}, Reading{Invalid: true}},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Read(c.values), c.want) })
	}
}
