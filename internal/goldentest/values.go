package goldentest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// Values formats all nonzero values that a Go value holds, sorted, on one line, without
// the names of the fields that hold them. Tests use it for the value that a file or a
// command line is decoded into, so that Go fields may be renamed.
func Values(value any) string {
	var list []string
	for _, leaf := range leaves(value) {
		if !leaf.zero {
			list = append(list, leaf.text)
		}
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// Document formats the value that a TOML file is decoded into, by the keys of the file,
// which are sorted, on one line. Tests use it for the content of files with its defaults.
func Document(t *testing.T, value any) string {
	t.Helper()
	var text strings.Builder
	if err := toml.NewEncoder(&text).Encode(value); err != nil {
		t.Fatal(err)
	}
	var document map[string]any
	if _, err := toml.Decode(text.String(), &document); err != nil {
		t.Fatal(err)
	}
	line, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return string(line)
}

// leaf is one value without parts.
type leaf struct {
	place string // path from the outermost value, by indexes of fields and elements and by keys of maps
	text  string
	zero  bool
}

// flatten returns the texts of a value's leaves by their places.
func flatten(value any) map[string]string {
	all := map[string]string{}
	for _, leaf := range leaves(value) {
		all[leaf.place] = leaf.text
	}
	return all
}

// leaves lists the values without parts that a value holds.
func leaves(value any) []leaf {
	var list leafList
	list.add("", reflect.ValueOf(value))
	return list
}

// leafList collects the leaves of a value.
type leafList []leaf

// add adds the leaves of the value at a place.
func (l *leafList) add(place string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Invalid, reflect.Func, reflect.Chan:
	case reflect.Pointer, reflect.Interface:
		if !value.IsNil() {
			l.add(place, value.Elem())
		}
	case reflect.Struct:
		for i := range value.NumField() {
			l.add(place+"."+strconv.Itoa(i), value.Field(i))
		}
	case reflect.Slice, reflect.Array:
		l.addElements(place, value)
	case reflect.Map:
		for _, key := range sortedKeys(value) {
			l.add(place+"."+key.String(), value.MapIndex(key))
		}
	default:
		*l = append(*l, leaf{place: place, text: leafText(value), zero: value.IsZero()})
	}
}

// addElements adds the leaves of a slice or an array. A slice or an array of bytes is one leaf.
func (l *leafList) addElements(place string, value reflect.Value) {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		*l = append(*l, leaf{place: place, text: fmt.Sprintf("%q", value), zero: value.Len() == 0})
		return
	}
	for i := range value.Len() {
		l.add(place+"."+strconv.Itoa(i), value.Index(i))
	}
}

// sortedKeys returns the keys of a map, sorted as strings.
func sortedKeys(value reflect.Value) []reflect.Value {
	keys := value.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	return keys
}

// leafText formats one value without parts.
func leafText(value reflect.Value) string {
	switch {
	case value.Type() == reflect.TypeFor[time.Duration]():
		return time.Duration(value.Int()).String()
	case value.Kind() == reflect.String:
		return strconv.Quote(value.String())
	case value.CanInt(): // formatted as a number even if its type has a String method
		return strconv.FormatInt(value.Int(), 10)
	case value.CanUint():
		return strconv.FormatUint(value.Uint(), 10)
	}
	return fmt.Sprint(value)
}
