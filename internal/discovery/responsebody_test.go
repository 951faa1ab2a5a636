package discovery

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// compressRepeated returns, compressed, a text followed by a unit that is repeated to more than size bytes.
func compressRepeated(text string, unit string, size int) []byte {
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	io.WriteString(w, text)
	piece := strings.Repeat(unit, 1<<20/len(unit))
	for n := 0; n <= size; n += len(piece) {
		io.WriteString(w, piece)
	}
	w.Close()
	return body.Bytes()
}

// A response that decompresses to too many bytes or elements is rejected, and the next server is polled.
func TestDecompressedBodyLimits(t *testing.T) {
	for name, test := range map[string]struct {
		body []byte
		want error
	}{
		"white space": {
			compressRepeated(`{"seq":9,"whole":true,`, " ", maxDecompressedBytes),
			errDecompressedTooLarge,
		},
		"elements": {
			compressRepeated(`{"seq":9,"whole":true,"hosts":[`, "{},", maxElements*3),
			errTooManyElements,
		},
	} {
		t.Run(name, func(t *testing.T) {
			local := newServer(t)
			remote := newRemoteServer(t)
			follower := startFollower(t, local, remote).loadInitial(``)
			first := local.expectRequest(pollQuery(0))
			fmt.Fprintf(first, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", len(test.body))
			first.Write(test.body)
			remote.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
			follower.waitForVersion(5, "a=ready")
			if follower.countLogLines(test.want.Error()) != 1 {
				t.Errorf("no log line has %q", test.want)
			}
		})
	}
}

// A body that exceeds the limit on the bytes as sent is rejected.
func TestSentBodyLimit(t *testing.T) {
	var body responseBody
	var err error
	for range maxBodyBytes>>20 + 1 {
		err = body.append(make([]byte, 1<<20), 0)
		if err != nil {
			break
		}
	}
	if !errors.Is(err, errBodyTooLarge) || len(body.data) > maxBodyBytes {
		t.Errorf("the body has %d bytes, %v", len(body.data), err)
	}
}
