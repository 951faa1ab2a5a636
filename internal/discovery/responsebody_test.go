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

// An answer that inflates to more than the bound, has more bytes than that as it
// is sent, or more elements, is refused, and the next server is asked.
func TestResponseBodyLimits(t *testing.T) {
	bomb := func(text string, unit string, size int) []byte {
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
	for name, x := range map[string]struct {
		body []byte
		why  error
	}{
		"white space": {bomb(`{"seq":9,"whole":true,`, " ", maxDecompressedBytes), errDecompressedTooLarge},
		"elements":    {bomb(`{"seq":9,"whole":true,"hosts":[`, "{},", maxElements*3), errTooManyElements},
	} {
		t.Run(name, func(t *testing.T) {
			home, other := newServer(t), newServer(t)
			s := startFollower(t, 1, home, other).loadInitial(``)
			first := home.expectRequest("after=0&name=d+1")
			fmt.Fprintf(first, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", len(x.body))
			first.Write(x.body)
			other.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
			s.waitForVersion(5, "a=ready")
			if s.countLogLines(x.why.Error()) != 1 {
				t.Errorf("the log does not say %q", x.why)
			}
		})
	}
	var g responseBody
	var err error
	for range maxBodyBytes>>20 + 1 {
		if err = errors.Join(err, g.append(make([]byte, 1<<20), 0)); err != nil {
			break
		}
	}
	if !errors.Is(err, errBodyTooLarge) || len(g.data) > maxBodyBytes {
		t.Errorf("%d bytes are gathered, %v", len(g.data), err)
	}
}
