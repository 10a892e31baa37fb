// Package operators embeds counters.md of the operators' pages and parses its
// tables, so that the programs' tests can compare them with the code.
package operators

import (
	_ "embed"
	"expvar"
	"regexp"
	"strings"
)

//go:embed counters.md
var countersPage string

// Counter is one row of counters.md.
type Counter struct {
	Name string // path in /debug/vars, levels separated by dots
	Key  string // key of a counter that is split by cause; may be empty
}

// counterRow matches the first two columns of a row.
var counterRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (?:`([^`]+)`)? *\\|")

// Counters returns the rows of the section with the given title.
func Counters(title string) []Counter {
	_, section, _ := strings.Cut(countersPage, "\n## "+title+"\n")
	section, _, _ = strings.Cut(section, "\n## ")
	var rows []Counter
	for _, match := range counterRow.FindAllStringSubmatch(section, -1) {
		rows = append(rows, Counter{Name: match[1], Key: match[2]})
	}
	return rows
}

// Published reports whether this process publishes an expvar counter under a
// dotted path.
func Published(path string) bool {
	name, rest, nested := strings.Cut(path, ".")
	found := expvar.Get(name)
	for nested && found != nil {
		inner, isMap := found.(*expvar.Map)
		if !isMap {
			return false
		}
		name, rest, nested = strings.Cut(rest, ".")
		found = inner.Get(name)
	}
	return found != nil
}
