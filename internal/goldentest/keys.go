package goldentest

import (
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Keys lists the key paths of a value of type t, as written and read by the encoder that
// uses the struct tag named tag, such as json or toml. The list is sorted and has the
// kind of each value. Elements of lists are named [], those of maps {}. Tests compare it
// with a golden file. The name of the type and the names of fields that have a tag may
// change and are not listed.
func Keys(t reflect.Type, tag string) []string {
	paths := keyPaths{tag: tag}
	paths.add("", "", t, nil)
	slices.Sort(paths.lines)
	return paths.lines
}

// keyPaths collects the key paths of one type.
type keyPaths struct {
	tag   string
	lines []string
}

// The interfaces of types with their own encoding in TOML.
type (
	tomlMarshaler   interface{ MarshalTOML() ([]byte, error) }
	tomlUnmarshaler interface{ UnmarshalTOML(any) error }
)

var (
	timeType     = reflect.TypeFor[time.Time]()
	rawType      = reflect.TypeFor[json.RawMessage]()
	bytesType    = reflect.TypeFor[[]byte]()
	textTypes    = []reflect.Type{reflect.TypeFor[encoding.TextMarshaler](), reflect.TypeFor[encoding.TextUnmarshaler]()}
	encoderTypes = map[string][]reflect.Type{ // by tag
		"json": {reflect.TypeFor[json.Marshaler](), reflect.TypeFor[json.Unmarshaler]()},
		"toml": {reflect.TypeFor[tomlMarshaler](), reflect.TypeFor[tomlUnmarshaler]()},
	}
)

// add adds the lines of a value of type t at a path. outer are the types of the structs that contain it.
func (k *keyPaths) add(path, options string, t reflect.Type, outer []reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if kind := k.opaqueKind(t); kind != "" {
		k.addLine(path, kind, options)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		if slices.Contains(outer, t) {
			k.addLine(path, "nested again", options)
			return
		}
		k.addFields(path, t, append(slices.Clone(outer), t))
	case reflect.Slice, reflect.Array:
		k.add(path+"[]", options, t.Elem(), outer)
	case reflect.Map:
		k.add(path+"{}", options, t.Elem(), outer)
	default:
		k.addLine(path, scalarKind(t.Kind()), options)
	}
}

// opaqueKind returns the kind of a type whose parts the encoder does not encode one by one. It is empty for other
// types.
func (k *keyPaths) opaqueKind(t reflect.Type) string {
	switch {
	case t == timeType:
		return "time"
	case t == rawType:
		return "any"
	case t == bytesType:
		return "bytes"
	case implementsAny(t, encoderTypes[k.tag]):
		return "own encoding"
	case implementsAny(t, textTypes):
		return "text"
	}
	return ""
}

// implementsAny reports whether a type, or a pointer to it, implements one of some interfaces.
func implementsAny(t reflect.Type, interfaces []reflect.Type) bool {
	return slices.ContainsFunc(interfaces, func(candidate reflect.Type) bool {
		return t.Implements(candidate) || reflect.PointerTo(t).Implements(candidate)
	})
}

// addFields adds the lines of a struct's fields.
func (k *keyPaths) addFields(path string, t reflect.Type, outer []reflect.Type) {
	for field := range t.Fields() {
		name, options, _ := strings.Cut(field.Tag.Get(k.tag), ",")
		inner := field.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		promoted := field.Anonymous && name == "" && inner.Kind() == reflect.Struct && k.opaqueKind(inner) == ""
		switch {
		case name == "-" && options == "":
		case promoted:
			k.addFields(path, inner, outer)
		case !field.IsExported():
		default:
			if name == "" {
				name = field.Name
			}
			if path != "" {
				name = path + "." + name
			}
			k.add(name, options, field.Type, outer)
		}
	}
}

// addLine adds one line.
func (k *keyPaths) addLine(path, kind, options string) {
	if options != "" {
		kind += ", " + options
	}
	k.lines = append(k.lines, path+": "+kind)
}

// scalarKind returns the kind of an encoded value that has no parts.
func scalarKind(kind reflect.Kind) string {
	switch kind {
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	case reflect.Float32, reflect.Float64:
		return "number"
	case reflect.Interface:
		return "any"
	}
	return "integer"
}
