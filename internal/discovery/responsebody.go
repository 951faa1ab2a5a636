package discovery

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// Bounds on the body of a response, against a server that sends too much.
const (
	maxDecompressedBytes = 64 << 20 // in a decompressed body; the list of 21,000 workers has 3 MB
	maxBodyBytes         = 16 << 20 // in a body as it was sent
	initialBodyCapacity  = 64 << 10 // largest allocation that is based on the announced length alone
)

var (
	errDecompressedTooLarge = fmt.Errorf("the response has over %d MB", maxDecompressedBytes>>20)
	errBodyTooLarge         = fmt.Errorf("the response has over %d MB as it was sent", maxBodyBytes>>20)
)

// responseBody is the body of a response as it was sent, possibly compressed.
type responseBody struct{ data []byte }

// append adds a piece of the body. remaining is the number of bytes that are known to follow it.
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

// decode decodes the single change that the body contains.
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

// limitedReader reads up to a limit. Beyond the limit it returns errDecompressedTooLarge, where io.LimitedReader would
// return io.EOF.
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

// whitespaceCompactor reads JSON with each run of white space outside of strings reduced to one space. Otherwise
// json.Decoder, while it waits for the next token, would scan megabytes of white space again for each piece that
// arrives.
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

// compact compacts piece in place and returns its new length.
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
