// Package settings parses and decodes JSON with comments strictly. It reads the
// settings files of processes and the operators' configuration folder. Unknown and
// duplicate keys, wrong types and trailing data are errors with file:line:column,
// and unknown names come with a suggestion.
package settings

import (
	"fmt"
	"strings"
)

// Position is a position in a file. Lines and columns (in bytes) start at 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Error is an error at a position.
type Error struct {
	At   Position
	Text string
}

// Error returns file:line:column: text.
func (e *Error) Error() string { return e.At.String() + ": " + e.Text }

// Errors is a list of errors in the order in which they were found.
type Errors []*Error

// Add appends a formatted error.
func (e *Errors) Add(at Position, format string, args ...any) {
	*e = append(*e, &Error{At: at, Text: fmt.Sprintf(format, args...)})
}

// Error returns one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Kind is the JSON type of a node.
type Kind string

// The JSON types, as error messages name them.
const (
	Null   Kind = "null"
	Bool   Kind = "a boolean"
	Number Kind = "a number"
	String Kind = "a string"
	List   Kind = "a list"
	Object Kind = "an object"
)

// Node is a JSON value with its position.
type Node struct {
	At       Position
	Kind     Kind
	Literal  []byte   // the JSON text of a null, boolean, number or string
	Elements []*Node  // of a list
	Members  []Member // of an object, in the order of the text
}

// Member is a key of an object with its value.
type Member struct {
	Name  string
	At    Position // of the key
	Value *Node
}

// Member returns the member with the given name, or nil.
func (n *Node) Member(name string) *Member {
	for i := range n.Members {
		if n.Members[i].Name == name {
			return &n.Members[i]
		}
	}
	return nil
}
