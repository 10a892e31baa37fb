package settings

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a length of time that settings write as a string such as "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns the form that settings use.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the form that UnmarshalJSON reads.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON refuses bare numbers, whose unit would be a guess, and negative
// durations, which no setting can mean.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.Errorf(`want a duration such as "250ms", found %s`, data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return eris.Errorf(`want a duration such as "250ms", found %q`, text)
	}
	*d = Duration(parsed)
	return nil
}
