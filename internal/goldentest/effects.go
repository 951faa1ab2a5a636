package goldentest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// Effects lists the effect of each key of a document, for tests that compare the
// meaning of keys with a golden file. It decodes the document, in which every key must
// have a value other than its default, and then decodes it again without each key in
// turn, and lists the decoded values that differ. Only values are listed, not the Go
// fields that hold them. A key without an effect is listed as such, and a key that
// cannot be left out with the error. encode encodes a document as in its file, decode
// decodes it.
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
	withoutEachKey("", document, func(path string) {
		without, err := read()
		if err != nil {
			lines = append(lines, path+": error: "+err.Error())
			return
		}
		lines = append(lines, path+": "+formatChanges(whole, without))
	})
	return Lines(lines)
}

// withoutEachKey does the following for each key of an object, in order: it removes the
// key, calls whileRemoved with the key's path, puts the key back, and continues with the
// keys inside its value.
func withoutEachKey(path string, object map[string]any, whileRemoved func(path string)) {
	for _, key := range slices.Sorted(maps.Keys(object)) {
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		value := object[key]
		delete(object, key)
		whileRemoved(keyPath)
		object[key] = value
		switch value := value.(type) {
		case map[string]any:
			withoutEachKey(keyPath, value, whileRemoved)
		case []map[string]any:
			for i, item := range value {
				withoutEachKey(fmt.Sprintf("%s[%d]", keyPath, i), item, whileRemoved)
			}
		case []any:
			for i, item := range value {
				if item, ok := item.(map[string]any); ok {
					withoutEachKey(fmt.Sprintf("%s[%d]", keyPath, i), item, whileRemoved)
				}
			}
		}
	}
}

// formatChanges formats the values that differ, sorted. Both maps have values by their places.
func formatChanges(before, after map[string]string) string {
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
