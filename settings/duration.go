package settings

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that settings contain as a string such as "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String formats d as in settings.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes d in the format that UnmarshalJSON decodes.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON rejects numbers, because their unit is unknown, and negative durations,
// because no setting allows them.
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
