package httpwire

import (
	"bytes"
	"strconv"
)

// maxChunkLine bounds the line before a chunk: its size and extensions.
const maxChunkLine = 128

// ChunkReader decodes a chunked body piece by piece. Its zero value is ready for the first byte of a body.
type ChunkReader struct {
	remaining  int  // bytes of the present chunk that are still to come
	lineEndDue bool // the line end behind a chunk comes next
	inTrailer  bool // the last chunk has come
	done       bool
}

// Done reports whether the body has ended.
func (c *ChunkReader) Done() bool { return c.done }

// MidChunk reports whether a chunk has begun and not ended.
func (c *ChunkReader) MidChunk() bool { return c.remaining > 0 }

// Next takes what it can from the start of b and returns how many bytes that were: a piece of data, or bytes of the
// framing alone. used 0 without an error means that more bytes are needed, or that the body has ended.
func (c *ChunkReader) Next(b []byte) (data []byte, used int, err error) {
	if c.done {
		return nil, 0, nil
	}
	if c.remaining > 0 {
		size := min(c.remaining, len(b))
		c.remaining -= size
		c.lineEndDue = c.remaining == 0
		return b[:size], size, nil
	}
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > maxChunkLine || c.lineEndDue && len(b) >= 2 {
			return nil, 0, ErrMalformed
		}
		return nil, 0, nil
	}
	if err := c.line(b[:end]); err != nil {
		return nil, 0, err
	}
	return nil, end + len("\r\n"), nil
}

// line parses a line of the framing.
func (c *ChunkReader) line(line []byte) error {
	if bytes.ContainsAny(line, "\r\n") { // where a line ends, the peer must agree
		return ErrMalformed
	}
	switch {
	case c.lineEndDue:
		if len(line) != 0 {
			return ErrMalformed
		}
		c.lineEndDue = false
	case c.inTrailer:
		c.done = len(line) == 0
	default:
		size, _, _ := bytes.Cut(line, []byte(";"))
		size = bytes.TrimRight(size, " \t")
		length, err := strconv.ParseUint(string(size), 16, 31)
		if err != nil || len(size) == 0 {
			return ErrMalformed
		}
		c.remaining = int(length)
		c.inTrailer = length == 0
	}
	return nil
}
