package ratelimit

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
)

// Guards against a value that is read as a time of rest it does not name, or for good.
func TestReadRest(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   RestReading
	}{
		{"absent", nil, RestReading{}},
		{"whole", []string{"3"}, RestReading{For: 3 * time.Second}},
		{"decimal", []string{" 0.25 "}, RestReading{For: 250 * time.Millisecond}},
		{"zero", []string{"0"}, RestReading{}},
		{"longest of two", []string{"1", "2"}, RestReading{For: 2 * time.Second}},
		{"one of two is valid", []string{"x", "2"}, RestReading{For: 2 * time.Second, Invalid: true}},
		{"too long", []string{strings.Repeat("9", 30)}, RestReading{For: maxRest}},
		{"too large for a number", []string{strings.Repeat("9", 400)}, RestReading{Invalid: true}},
		{"negative", []string{"-1"}, RestReading{Invalid: true}},
		{"exponent", []string{"1e300"}, RestReading{Invalid: true}},
		{"not a number", []string{"NaN"}, RestReading{Invalid: true}},
		{"infinite", []string{"Inf"}, RestReading{Invalid: true}},
		{"date", []string{"Wed, 21 Oct 2026 07:28:00 GMT"}, RestReading{Invalid: true}},
		{"empty", []string{""}, RestReading{Invalid: true}},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(ReadRest(c.values), c.want) })
	}
}

// Guards against a later and shorter rest that ends an earlier one, and a rest that a new process has to keep.
func TestRestIsOfOneProcess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		var applied Backoff
		r := NewRests(func(_ string, rest Backoff) { applied = rest }, func(string) int { return 6 })
		p := Process{Upstream: "u", Start: 1}
		r.Observe(p, RestReading{For: 4 * time.Second})
		time.Sleep(time.Second)
		r.Observe(p, RestReading{For: time.Second})
		r.Apply(p)
		is.True(applied.Pause >= 3*time.Second && applied.Pause <= 3*time.Second+restJitter)
		r.Apply(Process{Upstream: "u", Start: 2})
		is.Equal(applied, Backoff{})
		time.Sleep(3 * time.Second)
		r.Apply(p)
		is.Equal(applied, Backoff{})
	})
}
