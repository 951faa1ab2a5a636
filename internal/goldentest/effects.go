package goldentest

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// Effects lists what each key of a document does: it decodes the document, which
// must give every key a value other than its default, then once for each key without
// it, and formats the decoded values that become others. Values alone are listed, not
// the Go fields that hold them. A key without an effect is listed as such, and one
// that cannot be left out with the error. encode writes a document as its file has
// it, decode reads it.
func Effects(t *testing.T, document map[string]any, encode func(any) ([]byte, error), decode func([]byte) (any, error)) string {
	t.Helper()
	read := func() (map[string]string, error) {
		text, err := encode(document)
		if err != nil {
			t.Fatal(err)
		}
		value, err := decode(text)
		return flatten(value), err
	}
	whole, err := read()
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	eachKey("", document, func(path string) {
		without, err := read()
		if err != nil {
			lines = append(lines, path+": error: "+err.Error())
			return
		}
		lines = append(lines, path+": "+changes(whole, without))
	})
	return Lines(lines)
}

// eachKey takes each key of an object out, calls each, and puts the key back, in
// the order of the keys; then it does the same inside the key's value.
func eachKey(path string, object map[string]any, each func(path string)) {
	for _, key := range slices.Sorted(maps.Keys(object)) {
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		value := object[key]
		delete(object, key)
		each(keyPath)
		object[key] = value
		switch value := value.(type) {
		case map[string]any:
			eachKey(keyPath, value, each)
		case []map[string]any:
			for i, item := range value {
				eachKey(fmt.Sprintf("%s[%d]", keyPath, i), item, each)
			}
		case []any:
			for i, item := range value {
				if item, ok := item.(map[string]any); ok {
					eachKey(fmt.Sprintf("%s[%d]", keyPath, i), item, each)
				}
			}
		}
	}
}

// changes formats the values that differ, sorted.
func changes(before, after map[string]string) string {
	var list []string
	valueOrNone := func(values map[string]string, key string) string {
		if value, ok := values[key]; ok {
			return value
		}
		return "none"
	}
	for key, value := range before {
		if now := valueOrNone(after, key); now != value {
			list = append(list, value+" becomes "+now)
		}
	}
	for key, value := range after {
		if _, ok := before[key]; !ok {
			list = append(list, "none becomes "+value)
		}
	}
	if len(list) == 0 {
		return "no effect"
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// Values formats all values that a Go value holds that are not zero, sorted, on one
// line, without the names of the fields that hold them.
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

// Document formats a value that a TOML file is decoded into as such a file, its keys
// sorted, on one line.
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
	place, text string // where it lies, by numbers of fields and elements
	zero        bool
}

// flatten is the leaves of a value by their places.
func flatten(value any) map[string]string {
	all := map[string]string{}
	for _, leaf := range leaves(value) {
		all[leaf.place] = leaf.text
	}
	return all
}

// leaves lists the values without parts that a value holds.
func leaves(value any) (list []leaf) {
	var walk func(place string, v reflect.Value)
	walk = func(place string, v reflect.Value) {
		switch v.Kind() {
		case reflect.Invalid, reflect.Func, reflect.Chan:
		case reflect.Pointer, reflect.Interface:
			if !v.IsNil() {
				walk(place, v.Elem())
			}
		case reflect.Struct:
			for i := range v.NumField() {
				walk(place+"."+strconv.Itoa(i), v.Field(i))
			}
		case reflect.Slice, reflect.Array:
			if v.Type().Elem().Kind() == reflect.Uint8 {
				list = append(list, leaf{place, fmt.Sprintf("%q", v), v.Len() == 0})
				return
			}
			for i := range v.Len() {
				walk(place+"."+strconv.Itoa(i), v.Index(i))
			}
		case reflect.Map:
			for _, key := range slices.SortedFunc(slices.Values(v.MapKeys()), func(a, b reflect.Value) int {
				return strings.Compare(a.String(), b.String())
			}) {
				walk(place+"."+key.String(), v.MapIndex(key))
			}
		default:
			list = append(list, leaf{place, leafText(v), v.IsZero()})
		}
	}
	walk("", reflect.ValueOf(value))
	return list
}

// leafText formats one value without parts.
func leafText(value reflect.Value) string {
	switch {
	case value.Type() == reflect.TypeFor[time.Duration]():
		return time.Duration(value.Int()).String()
	case value.Kind() == reflect.String:
		return strconv.Quote(value.String())
	case value.CanInt(): // a number, also where its type has a String method
		return strconv.FormatInt(value.Int(), 10)
	case value.CanUint():
		return strconv.FormatUint(value.Uint(), 10)
	}
	return fmt.Sprint(value)
}
