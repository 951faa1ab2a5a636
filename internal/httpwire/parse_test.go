package httpwire

import (
	"bytes"
	"slices"
	"testing"

	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// FuzzParse: no input makes the parsers panic, and a body never grows.
func FuzzParse(f *testing.F) {
	for _, x := range testkit.Exchanges {
		f.Add([]byte(x.Request))
	}
	for _, x := range testkit.WorkerResponses {
		f.Add([]byte(x.Script))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > transport.BufferSize {
			return
		}
		var m Message
		ok, _, err := ParseRequest(slices.Clone(b), &m, new(ScanState))
		if ok && (err != nil || m.Size > len(b) || len(m.Body) > m.Size || len(m.Body) > MaxBody) {
			t.Fatalf("size %d, body %d of %d bytes, %v", m.Size, len(m.Body), len(b), err)
		}
		// In pieces it is the same as at once, and what has been looked at stays so.
		var sc ScanState
		for n := 1; n <= min(len(b), 700); n++ {
			var whole, piece Message
			seen, at := sc.headScanned, sc.bodyScanned
			ok1, _, err1 := ParseRequest(slices.Clone(b[:n]), &whole, new(ScanState))
			ok2, _, err2 := ParseRequest(slices.Clone(b[:n]), &piece, &sc)
			if ok1 != ok2 || err1 != err2 || !bytes.Equal(whole.Body, piece.Body) || whole.Size != piece.Size && ok1 {
				t.Fatalf("%d bytes of %q: at once %v, %v; in pieces %v, %v", n, b, ok1, err1, ok2, err2)
			}
			if ok1 || err1 != nil {
				break
			}
			if sc.needed == 0 && !sc.chunked && sc.headScanned != n || sc.headScanned < seen-1 || sc.bodyScanned < at {
				t.Fatalf("%d bytes of %q: looked at %d, then %d; body %d, then %d", n, b, seen, sc.headScanned, at, sc.bodyScanned)
			}
		}
		var h Head
		if ok, _ := ParseHead(b, &h, new(int)); ok {
			h.Framing()
			h.HasToken("Connection", "close")
		}
	})
}
