package httpwire

import (
	"bytes"
	"slices"
	"testing"

	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// FuzzParseRequest checks that no input makes the parsers panic, that a body is no larger than its message, and that
// input that arrives byte by byte gives the same result as input that arrives at once.
func FuzzParseRequest(f *testing.F) {
	for _, exchange := range testkit.Exchanges {
		f.Add([]byte(exchange.Request))
	}
	for _, response := range testkit.WorkerResponses {
		f.Add([]byte(response.Script))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) > transport.BufferSize {
			return
		}
		checkSizes(t, input)
		checkByteByByte(t, input)
		var head Head
		if complete, _ := ParseHead(input, &head, new(int)); complete {
			head.Framing()
			head.HasToken("Connection", "close")
		}
	})
}

// parseCopy parses a copy of an input, since ParseRequest moves the data of a chunked body within its buffer.
func parseCopy(input []byte, state *ScanState) (Message, Progress, error) {
	var message Message
	progress, err := ParseRequest(slices.Clone(input), &message, state)
	return message, progress, err
}

// checkSizes checks that a request and its body are no larger than the input.
func checkSizes(t *testing.T, input []byte) {
	t.Helper()
	message, progress, err := parseCopy(input, new(ScanState))
	if progress != Complete {
		return
	}
	if err != nil || message.Size > len(input) || len(message.Body) > message.Size || len(message.Body) > maxBodyBytes {
		t.Fatalf("size %d, body %d of %d bytes, %v", message.Size, len(message.Body), len(input), err)
	}
}

// checkByteByByte checks that an input that arrives byte by byte gives the same result as one that arrives at once, and
// that no byte is scanned twice, except a CR at the end of the received part of a head.
func checkByteByByte(t *testing.T, input []byte) {
	t.Helper()
	const maxPieces = 700
	var state ScanState
	for size := 1; size <= min(len(input), maxPieces); size++ {
		before := state
		atOnce, progressAtOnce, errAtOnce := parseCopy(input[:size], new(ScanState))
		inPieces, progressInPieces, errInPieces := parseCopy(input[:size], &state)
		completeAtOnce := progressAtOnce == Complete
		completeInPieces := progressInPieces == Complete
		sizesDiffer := completeAtOnce && atOnce.Size != inPieces.Size
		if completeAtOnce != completeInPieces || errAtOnce != errInPieces || !bytes.Equal(atOnce.Body, inPieces.Body) || sizesDiffer {
			t.Fatalf("%d bytes of %q: at once %v, %v; in pieces %v, %v",
				size, input, completeAtOnce, errAtOnce, completeInPieces, errInPieces)
		}
		if completeAtOnce || errAtOnce != nil {
			return
		}
		inHead := state.needed == 0 && !state.chunked
		scannedBack := state.headScanned < before.headScanned-1 || state.bodyScanned < before.bodyScanned
		if inHead && state.headScanned != size || scannedBack {
			t.Fatalf("%d bytes of %q: head scanned to %d, then %d; body to %d, then %d",
				size, input, before.headScanned, state.headScanned, before.bodyScanned, state.bodyScanned)
		}
	}
}
