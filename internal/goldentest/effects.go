package goldentest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// Effects lists what each key of a document does, for tests that hold the meaning of
// keys in a golden file. It decodes the document, which must give every key a value
// other than its default, then once for each key without it, and formats the decoded
// values that become others. Values alone are listed, not the Go fields that hold
// them. A key without an effect is listed as such, and one that cannot be left out
// with the error. encode writes a document as its file has it, decode reads it.
func Effects(
	t *testing.T, document map[string]any, encode func(any) ([]byte, error), decode func([]byte) (any, error),
) string {
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

// eachKey removes each key of an object, calls a function with its path, and puts the
// key back, in the order of the keys; then it does the same inside the key's value.
func eachKey(path string, object map[string]any, whileRemoved func(path string)) {
	for _, key := range slices.Sorted(maps.Keys(object)) {
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		value := object[key]
		delete(object, key)
		whileRemoved(keyPath)
		object[key] = value
		switch value := value.(type) {
		case map[string]any:
			eachKey(keyPath, value, whileRemoved)
		case []map[string]any:
			for i, item := range value {
				eachKey(fmt.Sprintf("%s[%d]", keyPath, i), item, whileRemoved)
			}
		case []any:
			for i, item := range value {
				if item, ok := item.(map[string]any); ok {
					eachKey(fmt.Sprintf("%s[%d]", keyPath, i), item, whileRemoved)
				}
			}
		}
	}
}

// changes formats the values that differ, sorted. Both maps are by the values' places.
func changes(before, after map[string]string) string {
	const none = "none"
	var list []string
	for place, value := range before {
		now, stays := after[place]
		if !stays {
			now = none
		}
		if now != value {
			list = append(list, value+" becomes "+now)
		}
	}
	for place, value := range after {
		if _, known := before[place]; !known {
			list = append(list, none+" becomes "+value)
		}
	}
	if len(list) == 0 {
		return "no effect"
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
