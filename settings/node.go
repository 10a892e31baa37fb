// Package settings reads JSON with comments strictly. A process's settings file
// and the operators' folder both go through it: unknown and doubled keys, wrong
// types and trailing data are refused, each with file:line:column and a hint.
package settings

import (
	"fmt"
	"strings"
)

// Position is a place in a file; lines and columns (in bytes) count from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Error is one fault at one place.
type Error struct {
	At   Position
	Text string
}

// Error returns file:line:column: text.
func (e *Error) Error() string { return e.At.String() + ": " + e.Text }

// Errors lists all faults found, in the order of the text.
type Errors []*Error

// Add appends a fault.
func (e *Errors) Add(at Position, format string, args ...any) {
	*e = append(*e, &Error{At: at, Text: fmt.Sprintf(format, args...)})
}

// Error returns one line per fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
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

// The JSON types, named as error texts call them.
const (
	Null   Kind = "null"
	Bool   Kind = "a boolean"
	Number Kind = "a number"
	String Kind = "a string"
	List   Kind = "a list"
	Object Kind = "an object"
)

// Node is one JSON value with its place.
type Node struct {
	At       Position
	Kind     Kind
	Literal  []byte   // the JSON text of a null, boolean, number or string
	Elements []*Node  // of a list
	Members  []Member // of an object, in the order of the text
}

// Member is one key of an object with its value.
type Member struct {
	Name  string
	At    Position // of the key
	Value *Node
}

// Member finds the member called name, or nil.
func (n *Node) Member(name string) *Member {
	for i := range n.Members {
		if n.Members[i].Name == name {
			return &n.Members[i]
		}
	}
	return nil
}
