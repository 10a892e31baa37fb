package settings

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strconv"

	"github.com/tailscale/hujson"
)

// Parse parses one JSON value with comments. It returns either one syntax error or an
// error for each duplicate key. The nesting depth and the number of values are
// limited.
func Parse(name string, data []byte) (*Node, Errors) {
	p := parser{file: name, lines: lineStarts(data)}
	if offset, limit := exceededLimit(data); offset >= 0 {
		p.errs.Add(p.position(offset), "%s", limit)
		return nil, p.errs
	}
	value, err := parseAllowingFinalComment(data)
	if err != nil {
		return nil, Errors{syntaxError(name, err)}
	}
	root := p.node(&value)
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return root, nil
}

// syntaxPattern matches the errors of hujson, which start with a position.
var syntaxPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxError(name string, err error) *Error {
	match := syntaxPattern.FindStringSubmatch(err.Error())
	if match == nil {
		return &Error{At: Position{File: name, Line: 1, Column: 1}, Text: err.Error()}
	}
	line, _ := strconv.Atoi(match[1])
	column, _ := strconv.Atoi(match[2])
	return &Error{At: Position{File: name, Line: line, Column: column}, Text: match[3]}
}

type parser struct {
	file  string
	lines []int // offset of each line's first byte
	errs  Errors
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for offset := 0; ; {
		next := bytes.IndexByte(data[offset:], '\n')
		if next < 0 {
			return starts
		}
		offset += next + 1
		starts = append(starts, offset)
	}
}

func (p *parser) position(offset int) Position {
	line := sort.SearchInts(p.lines, offset+1)
	return Position{File: p.file, Line: line, Column: offset - p.lines[line-1] + 1}
}

func (p *parser) node(value *hujson.Value) *Node {
	n := &Node{At: p.position(value.StartOffset)}
	switch v := value.Value.(type) {
	case *hujson.Object:
		n.Kind = Object
		p.members(n, v)
	case *hujson.Array:
		n.Kind = List
		for i := range v.Elements {
			n.Elements = append(n.Elements, p.node(&v.Elements[i]))
		}
	case hujson.Literal:
		n.Kind = literalKinds[v.Kind()]
		n.Literal = bytes.Clone(v)
	default:
		panic(fmt.Sprintf("settings: hujson returned a %T", v))
	}
	return n
}

var literalKinds = map[hujson.Kind]Kind{'n': Null, 't': Bool, 'f': Bool, '0': Number, '"': String}

func (p *parser) members(n *Node, object *hujson.Object) {
	seen := make(map[string]Position, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		at := p.position(member.Name.StartOffset)
		if first, duplicate := seen[name]; duplicate {
			p.errs.Add(at, "duplicate key %q in one object, first at line %d", name, first.Line)
			continue
		}
		seen[name] = at
		n.Members = append(n.Members, Member{Name: name, At: at, Value: p.node(&member.Value)})
	}
}

// parseAllowingFinalComment parses data. If that fails, it tries again with a line
// feed added: many editors omit the last one, and hujson rejects a comment that ends
// the file without it. Any other error keeps its position.
func parseAllowingFinalComment(data []byte) (hujson.Value, error) {
	value, err := hujson.Parse(data)
	if err == nil {
		return value, nil
	}
	if retried, retryErr := hujson.Parse(append(slices.Clip(data), '\n')); retryErr == nil {
		return retried, nil
	}
	return value, err
}
