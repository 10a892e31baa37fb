package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxListed is how many known names a hint lists when none is near.
const maxListed = 12

// Hint returns a text to put after "unknown ... name": the nearest known name,
// or the known names when none is near.
func Hint(name string, known []string) string {
	known = slices.Sorted(slices.Values(known))
	best, nearest := "", len(name)/2+1
	for _, candidate := range known {
		if d := distance(strings.ToLower(name), strings.ToLower(candidate)); d < nearest {
			best, nearest = candidate, d
		}
	}
	switch {
	case best != "":
		return fmt.Sprintf(" (did you mean %q?)", best)
	case len(known) == 0:
		return " (none is defined)"
	case len(known) > maxListed:
		return fmt.Sprintf(" (known: %s ...)", strings.Join(known[:maxListed], ", "))
	default:
		return fmt.Sprintf(" (known: %s)", strings.Join(known, ", "))
	}
}

// distance is the Levenshtein distance in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			above := row[j+1]
			row[j+1] = min(above+1, row[j]+1, diagonal+cost)
			diagonal = above
		}
	}
	return row[len(b)]
}

func keysOf[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	return keys
}
