package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/rotisserie/eris"
)

// Load decodes the file at path into the struct that into points to. Fields that the
// file does not set keep their values, so a program sets its defaults before the
// call.
func Load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "settings: read file")
	}
	return Decode(path, data, into)
}

// Decode is like Load for a text in memory; name is the file name in errors. The error
// is nil or an Errors with all errors.
func Decode(name string, data []byte, into any) error {
	root, errs := Parse(name, data)
	if len(errs) > 0 {
		return errs
	}
	return Bind(root, into).Err()
}

// Bind decodes a parsed value into the value that into points to and returns all
// errors. It panics if into is not a pointer, which is a programming error.
func Bind(root *Node, into any) Errors {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		panic("settings: Bind needs a pointer")
	}
	var b binder
	b.bind(root, target.Elem())
	return b.errs
}

type binder struct{ errs Errors }

func (b *binder) bind(n *Node, target reflect.Value) {
	if _, custom := target.Addr().Interface().(json.Unmarshaler); custom {
		b.unmarshal(n, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		b.bindStruct(n, target)
	case reflect.Map:
		b.bindMap(n, target)
	case reflect.Slice:
		b.bindSlice(n, target)
	case reflect.Pointer:
		value := reflect.New(target.Type().Elem())
		b.bind(n, value.Elem())
		target.Set(value)
	default:
		if b.expect(n, scalarKind(target.Kind())) {
			b.unmarshal(n, target)
		}
	}
}

func (b *binder) expect(n *Node, want Kind) bool {
	if n.Kind != want {
		b.errs.Add(n.At, "want %s, found %s", want, n.Kind)
	}
	return n.Kind == want
}

func scalarKind(k reflect.Kind) Kind {
	switch k {
	case reflect.Bool:
		return Bool
	case reflect.String:
		return String
	default:
		return Number
	}
}

// unmarshal decodes one value with encoding/json. Errors get the position of the value,
// because encoding/json counts offsets from the start of the value.
func (b *binder) unmarshal(n *Node, target reflect.Value) {
	err := json.Unmarshal(n.JSON(), target.Addr().Interface())
	if err == nil {
		return
	}
	text := err.Error()
	if typeError, ok := err.(*json.UnmarshalTypeError); ok {
		text = "want " + typeError.Type.String() + ", found " + string(n.Literal)
	}
	b.errs.Add(n.At, "%s", text)
}

func (b *binder) bindStruct(n *Node, target reflect.Value) {
	if !b.expect(n, Object) {
		return
	}
	fields := Fields(target.Type())
	for _, member := range n.Members {
		index, known := fields[member.Name]
		if !known {
			hint := Hint(member.Name, keysOf(fields))
			b.errs.Add(member.At, "unknown key %q%s", member.Name, hint)
			continue
		}
		b.bind(member.Value, target.FieldByIndex(index))
	}
}

// bindMap adds entries to a map and keeps the existing ones, as for the fields of a
// struct.
func (b *binder) bindMap(n *Node, target reflect.Value) {
	if !b.expect(n, Object) {
		return
	}
	if target.IsNil() {
		target.Set(reflect.MakeMapWithSize(target.Type(), len(n.Members)))
	}
	for _, member := range n.Members {
		entry := reflect.New(target.Type().Elem()).Elem()
		b.bind(member.Value, entry)
		key := reflect.ValueOf(member.Name).Convert(target.Type().Key())
		target.SetMapIndex(key, entry)
	}
}

func (b *binder) bindSlice(n *Node, target reflect.Value) {
	if !b.expect(n, List) {
		return
	}
	list := reflect.MakeSlice(target.Type(), len(n.Elements), len(n.Elements))
	for i, element := range n.Elements {
		b.bind(element, list.Index(i))
	}
	target.Set(list)
}

// Fields maps the JSON keys of a struct type to the indexes of its fields. It promotes
// the fields of embedded structs that have no key of their own.
func Fields(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, field := range reflect.VisibleFields(t) {
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || key == "-" || (field.Anonymous && key == "") {
			continue
		}
		if key == "" {
			key = field.Name
		}
		fields[key] = field.Index
	}
	return fields
}

// JSON returns the value as standard JSON.
func (n *Node) JSON() []byte {
	switch n.Kind {
	case Object:
		return n.objectJSON()
	case List:
		parts := make([]string, len(n.Elements))
		for i, element := range n.Elements {
			parts[i] = string(element.JSON())
		}
		return []byte("[" + strings.Join(parts, ",") + "]")
	default:
		return n.Literal
	}
}

func (n *Node) objectJSON() []byte {
	parts := make([]string, len(n.Members))
	for i, member := range n.Members {
		name, err := json.Marshal(member.Name)
		if err != nil {
			panic(err) // every Go string can be encoded as JSON
		}
		parts[i] = string(name) + ":" + string(member.Value.JSON())
	}
	return []byte("{" + strings.Join(parts, ",") + "}")
}
