package discovery

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// Bounds on the body of a response, against a server that sends too much.
const (
	maxDecompressedBytes = 64 << 20 // of a body once it is decompressed; 21,000 workers have 3 MB
	maxBodyBytes         = 16 << 20 // of a body as it was sent
	initialBodyCapacity  = 64 << 10 // allocated at most by the announced length alone
)

var (
	errDecompressedTooLarge = fmt.Errorf("the response has over %d MB", maxDecompressedBytes>>20)
	errBodyTooLarge         = fmt.Errorf("the response has over %d MB as it was sent", maxBodyBytes>>20)
)

// responseBody is the body of a response as it was sent, maybe compressed.
type responseBody struct{ data []byte }

// append adds a piece to a body of which remaining more bytes are known to follow.
func (b *responseBody) append(piece []byte, remaining int) error {
	if len(b.data)+len(piece) > maxBodyBytes {
		return errBodyTooLarge
	}
	if b.data == nil {
		b.data = make([]byte, 0, min(len(piece)+remaining, initialBodyCapacity))
	}
	b.data = append(b.data, piece...)
	return nil
}

// decode reads the one change that the body holds.
func (b *responseBody) decode(gzipped bool) (membershipChange, error) {
	var source io.Reader = bytes.NewReader(b.data)
	if gzipped {
		decompressed, err := gzip.NewReader(source)
		if err != nil {
			return membershipChange{}, err
		}
		source = &limitedReader{source: decompressed, remaining: maxDecompressedBytes}
	}
	return decodeChange(&whitespaceCompactor{source: source})
}

// limitedReader reads up to a limit, and fails with errDecompressedTooLarge beyond it, where io.LimitedReader would
// report the end.
type limitedReader struct {
	source    io.Reader
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errDecompressedTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// whitespaceCompactor reads JSON with each run of white space outside of strings reduced to one space. It protects
// json.Decoder from megabytes of white space, which it scans again for each piece while it waits for the next token.
type whitespaceCompactor struct {
	source     io.Reader
	text       stringTracker
	afterSpace bool // the last byte was white space
}

func (c *whitespaceCompactor) Read(p []byte) (int, error) {
	for {
		n, err := c.source.Read(p)
		n = c.compact(p[:n])
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// compact reduces piece in place and returns the length that is left.
func (c *whitespaceCompactor) compact(piece []byte) (n int) {
	for _, b := range piece {
		space := false
		switch {
		case c.text.inside(b):
		case b == '"':
			c.text.inString = true
		case b == ' ' || b == '\t' || b == '\r' || b == '\n':
			if c.afterSpace {
				continue
			}
			space = true
			b = ' '
		}
		c.afterSpace = space
		piece[n] = b
		n++
	}
	return n
}
