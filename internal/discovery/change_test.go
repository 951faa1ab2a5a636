package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"testing/iotest"
)

// FuzzDecodeChange checks that decodeChange returns the same content as encoding/json does for the whole text, and that
// it does not depend on how the bytes arrive.
func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(encodeChange(3, true, "a=ready")))
	f.Add([]byte(`{"seq":1,"more":[{}],"hosts":null,"settings":[{"key":"k","value":[1]}]}`))
	f.Add([]byte(`{"seq":1,"hosts":[{"host":7}]} x`))
	f.Add([]byte("{ \"seq\" :\n\n 1 , \"hosts\":[ {\"host\": \"a  \\\"  b\" } ] }"))
	f.Fuzz(func(t *testing.T, text []byte) {
		change, err := decodeChange(bytes.NewReader(text))
		byteByByte := &whitespaceCompactor{source: iotest.OneByteReader(bytes.NewReader(text))}
		again, errAgain := decodeChange(byteByByte)
		sameContent := fmt.Sprint(change.endpoints, change.version) == fmt.Sprint(again.endpoints, again.version)
		if (err == nil) != (errAgain == nil) || !sameContent {
			t.Errorf("%q: %+v, %v; byte by byte %+v, %v", text, change, err, again, errAgain)
		}
		var list endpointList
		if json.Unmarshal(text, &list) != nil || err != nil || change.typeError != nil {
			return
		}
		got := fmt.Sprint(change.endpoints, change.version, change.snapshot)
		want := fmt.Sprint(list.Endpoints, list.Version, list.Snapshot)
		if got != want {
			t.Errorf("%q: %+v, want %+v", text, change, list)
		}
	})
}
