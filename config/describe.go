package config

import (
	"fmt"
	"maps"
	"slices"

	"buckthornridge/settings"
)

// Describe returns one line for each value that a delta adds (+), deletes (-) or
// changes (~) relative to before, in key order. Digests of keys and tokens are
// included, because they are not secret.
func (d Delta) Describe(before Image) []string {
	var lines []string
	for _, change := range d.Changes {
		old := before.Entry(change.EntryKey)
		at := change.EntryKey.String()
		switch {
		case len(old) == 0:
			lines = append(lines, fmt.Sprintf("+ %s: %s", at, change.Value))
		case len(change.Value) == 0:
			lines = append(lines, fmt.Sprintf("- %s: %s", at, old))
		default:
			lines = describeChange(lines, at, parseEntry(old), parseEntry(change.Value))
		}
	}
	return lines
}

func parseEntry(text []byte) *settings.Node {
	node, errs := settings.Parse("entry", text)
	if len(errs) > 0 {
		// Text that is not JSON is shown unchanged.
		return &settings.Node{Kind: settings.String, Literal: text}
	}
	return node
}

func describeChange(lines []string, at string, old, now *settings.Node) []string {
	if old.Kind != settings.Object || now.Kind != settings.Object {
		if before, after := string(old.JSON()), string(now.JSON()); before != after {
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", at, before, after))
		}
		return lines
	}
	names := map[string]bool{}
	for _, name := range append(memberNames(old), memberNames(now)...) {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		lines = describeMember(lines, at+"."+name, old.Member(name), now.Member(name))
	}
	return lines
}

func describeMember(lines []string, at string, old, now *settings.Member) []string {
	switch {
	case old == nil:
		return append(lines, fmt.Sprintf("+ %s: %s", at, now.Value.JSON()))
	case now == nil:
		return append(lines, fmt.Sprintf("- %s: %s", at, old.Value.JSON()))
	}
	return describeChange(lines, at, old.Value, now.Value)
}
