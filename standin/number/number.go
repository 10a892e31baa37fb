// Package number provides numeric types for settings that reject values out of
// range while they are decoded, so that the error contains the position in the
// settings file.
package number

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

type (
	// Positive is an integer of at least 1.
	Positive int64
	// Fraction is a number from 0 to 1.
	Fraction float64
	// Factor is a positive multiplier.
	Factor float64
)

// UnmarshalJSON rejects values that are not integers or are less than 1.
func (c *Positive) UnmarshalJSON(data []byte) error {
	var value int64
	if json.Unmarshal(data, &value) != nil || value < 1 {
		return eris.Errorf("want a whole number from 1, found %s", data)
	}
	*c = Positive(value)
	return nil
}

// UnmarshalJSON rejects values outside 0 to 1.
func (s *Fraction) UnmarshalJSON(data []byte) error {
	var value float64
	if json.Unmarshal(data, &value) != nil || value < 0 || value > 1 {
		return eris.Errorf("want a number from 0 to 1, found %s", data)
	}
	*s = Fraction(value)
	return nil
}

// UnmarshalJSON rejects values that are not greater than 0.
func (f *Factor) UnmarshalJSON(data []byte) error {
	var value float64
	if json.Unmarshal(data, &value) != nil || value <= 0 {
		return eris.Errorf("want a number above 0, found %s", data)
	}
	*f = Factor(value)
	return nil
}

// NonNegative is an integer of at least 0.
type NonNegative int64

// UnmarshalJSON rejects values that are not integers or are negative.
func (n *NonNegative) UnmarshalJSON(data []byte) error {
	var value int64
	if json.Unmarshal(data, &value) != nil || value < 0 {
		return eris.Errorf("want a whole number from 0, found %s", data)
	}
	*n = NonNegative(value)
	return nil
}
