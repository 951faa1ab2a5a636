package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
)

// FuzzObjectSplitter checks that objects come out of a stream as they went in, however it is cut.
func FuzzObjectSplitter(f *testing.F) {
	f.Add([]byte(`{"a":{"b":[1,"}{"]}}`+"\n\n"+`{"c":"\\\""}{"d":[]}`), byte(1))
	f.Add([]byte("{\n \"a\": 1\n}\n\r\n[1]\n"), byte(3))
	f.Fuzz(func(t *testing.T, text []byte, cut byte) {
		read := func(piece int) (got []string, failed bool) {
			var splitter objectSplitter
			for at := 0; at < len(text); at += piece {
				for data := text[at:min(at+piece, len(text))]; len(data) > 0; {
					object, used, complete, err := splitter.next(data)
					if err != nil {
						return got, true
					}
					if used == 0 {
						t.Fatalf("nothing is taken of %q", data)
					}
					data = data[used:]
					if complete {
						got = append(got, string(object))
					}
				}
			}
			return got, false
		}
		at1, failed1 := read(max(len(text), 1))
		atN, failedN := read(int(cut)%64 + 1)
		if fmt.Sprint(at1, failed1) != fmt.Sprint(atN, failedN) {
			t.Fatalf("%q at once: %q, %v; in pieces of %d: %q, %v", text, at1, failed1, cut%64+1, atN, failedN)
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		for _, object := range at1 {
			if object == "" {
				continue
			}
			var want json.RawMessage
			if err := decoder.Decode(&want); err != nil {
				break // its reader will say so
			}
			if string(want) != object {
				t.Fatalf("%q: %q, want %q", text, object, want)
			}
		}
	})
}
