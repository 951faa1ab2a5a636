package httpwire

import (
	"bytes"
	"strconv"
)

// maxChunkLine is the maximum length in bytes of the line before a chunk, which holds the chunk's size and extensions.
const maxChunkLine = 128

// ChunkReader decodes a chunked body piece by piece. Its zero value is ready for the first byte of a body.
type ChunkReader struct {
	remaining  int  // bytes of the current chunk that have not been read yet
	lineEndDue bool // the line end after a chunk's data comes next
	inTrailer  bool // the last chunk has been read, and the trailer follows
	done       bool // the trailer has ended, and with it the body
}

// Done reports whether the body has ended.
func (c *ChunkReader) Done() bool { return c.done }

// MidChunk reports whether a part of the current chunk's data has not been read yet.
func (c *ChunkReader) MidChunk() bool { return c.remaining > 0 }

// Next reads the next part of the body from the start of b: either data, which it returns, or a line of the framing,
// for which data is nil. used is the number of bytes it has read. If used is 0 without an error, more bytes are needed
// or the body has ended.
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
	if err := c.parseFramingLine(b[:end]); err != nil {
		return nil, 0, err
	}
	return nil, end + len("\r\n"), nil
}

// parseFramingLine parses a line of the framing: the line end after a chunk, a trailer line, or a chunk's size.
func (c *ChunkReader) parseFramingLine(line []byte) error {
	if bytes.ContainsAny(line, "\r\n") { // another parser might take a bare CR or LF for the end of the line
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
