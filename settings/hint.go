package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxHintNames is the maximum number of known names in a hint.
const maxHintNames = 12

// Hint returns a suffix for the message "unknown ... name": the most similar known
// name, or the list of known names if none is similar.
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
	case len(known) > maxHintNames:
		return fmt.Sprintf(" (known: %s ...)", strings.Join(known[:maxHintNames], ", "))
	default:
		return fmt.Sprintf(" (known: %s)", strings.Join(known, ", "))
	}
}

// distance returns the optimal string alignment distance of two names: the number of
// inserted, deleted, substituted and transposed bytes.
func distance(a, b string) int {
	d := make([][]int, len(a)+1)
	for i := range d {
		d[i] = make([]int, len(b)+1)
		d[i][0] = i
	}
	for j := range d[0] {
		d[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			d[i][j] = min(d[i-1][j], d[i][j-1], d[i-1][j-1]) + 1
			if a[i-1] == b[j-1] {
				d[i][j] = min(d[i][j], d[i-1][j-1])
			}
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				d[i][j] = min(d[i][j], d[i-2][j-2]+1)
			}
		}
	}
	return d[len(a)][len(b)]
}

func keysOf[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	return keys
}
