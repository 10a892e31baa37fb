// Package ratelimit keeps the requests of all routers to an upstream below a rate that
// the upstream bears. Each router decides by itself which part of the rate it may use.
//
// The package decides without I/O.
package ratelimit

import (
	"regexp"
	"strconv"
	"strings"
)

// decimal matches the numbers that may name a rate.
var decimal = regexp.MustCompile(`^(\d+(\.\d*)?|\.\d+)$`)

// Reading is what one answer of an upstream says of the rate that it takes.
type Reading struct {
	// Named says that the answer names a rate.
	Named bool
	// PerSecond is the rate of requests that the upstream takes from all routers
	// together.
	PerSecond float64
	// Invalid says that the answer names something that is no rate. It then says
	// nothing: an earlier rate stays in force.
	Invalid bool
}

// Read returns the reading of the values of an answer's header field. Of several rates
// the lowest holds.
func Read(values []string) Reading {
	r := Reading{}
	for _, value := range values {
		value = strings.TrimSpace(value)
		rate, err := strconv.ParseFloat(value, 64)
		if err != nil || !decimal.MatchString(value) {
			r.Invalid = true
			continue
		}
		if !r.Named || rate < r.PerSecond {
			r.Named, r.PerSecond = true, rate
		}
	}
	r.Invalid = r.Invalid && !r.Named
	return r
}
