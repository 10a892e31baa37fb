package platform

import (
	"encoding/json"
	"math"

	"github.com/rotisserie/eris"
)

// Number types that check their range while they are decoded, so that an error
// contains the position in the file.
type (
	// Fraction is a number from 0 to 1.
	Fraction float64
	// Rate is a number per second; 0 means no limit.
	Rate float64
	// Count is a whole number that is not negative.
	Count int64
)

// UnmarshalJSON rejects numbers outside 0 to 1.
func (s *Fraction) UnmarshalJSON(data []byte) error {
	value, err := decodeWithin(data, 1)
	*s = Fraction(value)
	return err
}

// UnmarshalJSON rejects numbers that are negative or greater than math.MaxInt32.
func (r *Rate) UnmarshalJSON(data []byte) error {
	value, err := decodeWithin(data, math.MaxInt32)
	*r = Rate(value)
	return err
}

// UnmarshalJSON rejects numbers that are negative or not whole.
func (c *Count) UnmarshalJSON(data []byte) error {
	var value int64
	if json.Unmarshal(data, &value) != nil || value < 0 {
		return eris.Errorf("want a whole number from 0, found %s", data)
	}
	*c = Count(value)
	return nil
}

func decodeWithin(data []byte, upper float64) (float64, error) {
	var value float64
	if json.Unmarshal(data, &value) != nil || value < 0 || value > upper {
		return 0, eris.Errorf("want a number from 0 to %v, found %s", upper, data)
	}
	return value, nil
}
