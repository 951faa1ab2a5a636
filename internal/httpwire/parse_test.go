package httpwire

import (
	"bytes"
	"slices"
	"testing"

	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// FuzzParseRequest checks that no input makes the parsers panic, that a body fits its message, and that input which
// comes byte by byte is parsed as if it came at once.
func FuzzParseRequest(f *testing.F) {
	for _, exchange := range testkit.Exchanges {
		f.Add([]byte(exchange.Request))
	}
	for _, x := range testkit.WorkerResponses {
		f.Add([]byte(x.Script))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > transport.BufferSize {
			return
		}
		var message Message
		complete, _, err := ParseRequest(slices.Clone(b), &message, new(ScanState))
		if complete && (err != nil || message.Size > len(b) || len(message.Body) > message.Size || len(message.Body) > maxBody) {
			t.Fatalf("size %d, body %d of %d bytes, %v", message.Size, len(message.Body), len(b), err)
		}
		// What has been scanned is not scanned again.
		var state ScanState
		for n := 1; n <= min(len(b), 700); n++ {
			var atOnce, inPieces Message
			headBefore, bodyBefore := state.headScanned, state.bodyScanned
			completeAtOnce, _, errAtOnce := ParseRequest(slices.Clone(b[:n]), &atOnce, new(ScanState))
			completeInPieces, _, errInPieces := ParseRequest(slices.Clone(b[:n]), &inPieces, &state)
			if completeAtOnce != completeInPieces || errAtOnce != errInPieces || !bytes.Equal(atOnce.Body, inPieces.Body) || atOnce.Size != inPieces.Size && completeAtOnce {
				t.Fatalf("%d bytes of %q: at once %v, %v; in pieces %v, %v", n, b, completeAtOnce, errAtOnce, completeInPieces, errInPieces)
			}
			if completeAtOnce || errAtOnce != nil {
				break
			}
			if state.needed == 0 && !state.chunked && state.headScanned != n || state.headScanned < headBefore-1 || state.bodyScanned < bodyBefore {
				t.Fatalf("%d bytes of %q: head scanned to %d, then %d; body to %d, then %d", n, b, headBefore, state.headScanned, bodyBefore, state.bodyScanned)
			}
		}
		var head Head
		if ok, _ := ParseHead(b, &head, new(int)); ok {
			head.Framing()
			head.HasToken("Connection", "close")
		}
	})
}
