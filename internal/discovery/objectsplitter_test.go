package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
)

// splitInPieces passes a text to an objectSplitter in pieces of a size, and returns the objects up to the first error.
func splitInPieces(t *testing.T, text []byte, size int) (objects []string, failed bool) {
	t.Helper()
	var splitter objectSplitter
	for at := 0; at < len(text); at += size {
		data := text[at:min(at+size, len(text))]
		for len(data) > 0 {
			object, used, complete, err := splitter.next(data)
			if err != nil {
				return objects, true
			}
			if used == 0 {
				t.Fatalf("nothing is taken of %q", data)
			}
			data = data[used:]
			if complete {
				objects = append(objects, string(object))
			}
		}
	}
	return objects, false
}

// FuzzObjectSplitter checks that the objects of a stream do not depend on the pieces in which it arrives, and that they
// are the ones that encoding/json reads.
func FuzzObjectSplitter(f *testing.F) {
	f.Add([]byte(`{"a":{"b":[1,"}{"]}}`+"\n\n"+`{"c":"\\\""}{"d":[]}`), byte(1))
	f.Add([]byte("{\n \"a\": 1\n}\n\r\n[1]\n"), byte(3))
	f.Fuzz(func(t *testing.T, text []byte, cut byte) {
		size := int(cut)%64 + 1
		objects, failed := splitInPieces(t, text, max(len(text), 1))
		objectsOfPieces, piecesFailed := splitInPieces(t, text, size)
		if fmt.Sprint(objects, failed) != fmt.Sprint(objectsOfPieces, piecesFailed) {
			t.Fatalf("%q at once: %q, %v; in pieces of %d: %q, %v",
				text, objects, failed, size, objectsOfPieces, piecesFailed)
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		for _, object := range objects {
			if object == "" {
				continue
			}
			var want json.RawMessage
			if err := decoder.Decode(&want); err != nil {
				break // malformed, which the splitter does not check
			}
			if string(want) != object {
				t.Fatalf("%q: %q, want %q", text, object, want)
			}
		}
	})
}
