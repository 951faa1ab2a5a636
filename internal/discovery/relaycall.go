package discovery

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"

	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns the answers of a server of changes: a reader that takes them
// apart as their bytes come, and the body of a call, which is gathered as it was
// sent. It must never hold more of a server's bytes than its bounds say.

const (
	maxDecompressedBytes = 64 << 20 // bytes of a body once it is inflated; 21,000 workers have 3 MB
	maxBodyBytes = 16 << 20 // bytes of a body as it was sent
	initialBodyCapacity  = 64 << 10 // room that is made on the word of its length alone
)

var (
	errDecompressedTooLarge = fmt.Errorf("the answer has over %d MB", maxDecompressedBytes>>20)
	errBodyTooLarge = fmt.Errorf("the answer has over %d MB as it was sent", maxBodyBytes>>20)
	errCoding   = errors.New("the answer is in a coding that was not asked for")
	errLength   = errors.New("the answer does not say where it ends")
)

// statusError is an answer that is not a 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// responseReader takes one answer apart, whatever pieces it comes in.
type responseReader struct {
	in      *transport.Buffer
	seen    int  // bytes of it that hold no end of the head
	headed  bool // the head has come
	gzipped bool
	last    bool // the server closes the connection behind it
	chunked bool
	chunk   httpwire.ChunkReader
	left    int // of a body of known length
	ended   bool
}

// reset makes the reader ready for the next answer.
func (r *responseReader) reset(pool *transport.Pool) {
	pool.Put(r.in)
	*r = responseReader{}
}

// feed takes in what has come and calls body with each piece of the answer's
// body, which is valid during the call. ended tells that the answer is over.
func (r *responseReader) feed(pool *transport.Pool, data []byte, body func(piece []byte) error) (ended bool, err error) {
	if r.in == nil {
		r.in = pool.Get()
	}
	for len(data) > 0 {
		n := r.in.Fill(data)
		data = data[n:]
		if err := r.drain(body); err != nil {
			return false, err
		}
		if r.ended && (len(data) > 0 || len(r.in.Bytes()) > 0) || n == 0 {
			return false, httpwire.ErrMalformed // bytes behind the answer, or a frame line without end
		}
	}
	return r.ended, nil
}

// drain takes what it can out of the buffer.
func (r *responseReader) drain(body func(piece []byte) error) error {
	at := 0
	defer func() { r.in.Consume(at) }()
	for !r.ended {
		piece, used, err := r.piece(r.in.Bytes()[at:])
		if err != nil {
			return err
		}
		if used == 0 && !r.ended {
			return nil
		}
		if len(piece) > 0 {
			if err := body(piece); err != nil {
				return err
			}
		}
		at += used
	}
	return nil
}

// piece takes the next piece of an answer from the start of in: the head, a part
// of the body, or bytes of its frame. used 0: more must come first.
func (r *responseReader) piece(in []byte) (body []byte, used int, err error) {
	switch {
	case !r.headed:
		var h httpwire.Head
		ok, err := httpwire.ParseHead(in, &h, &r.seen)
		if !ok {
			return nil, 0, err
		}
		r.seen = 0
		return nil, h.Size, r.begin(&h)
	case r.chunked:
		body, used, err = r.chunk.Next(in)
		r.ended = r.chunk.Done()
		return body, used, err
	default:
		used = min(len(in), r.left)
		r.left -= used
		r.ended = r.left == 0
		return in[:used], used, nil
	}
}

// begin takes in the head of the answer.
func (r *responseReader) begin(h *httpwire.Head) error {
	status, ok := h.Status()
	if !ok {
		return httpwire.ErrMalformed
	}
	if status < 200 {
		return nil // an interim answer; the real one follows
	}
	if status != 200 {
		return statusError(status)
	}
	length, chunked, err := h.Framing()
	if err != nil {
		return err
	}
	if !chunked && length < 0 {
		return errLength
	}
	coding := h.Get("Content-Encoding")
	r.gzipped = httpwire.EqualFold(coding, "gzip")
	if coding != nil && !r.gzipped && !httpwire.EqualFold(coding, "identity") {
		return errCoding
	}
	r.headed, r.chunked, r.left = true, chunked, length
	r.last = h.HasToken("Connection", "close")
	r.ended = length == 0
	return nil
}

// responseBody is the body of an answer as it was sent.
type responseBody struct{ data []byte }

// append takes in a piece of it, for an answer of which left bytes are still to come.
func (g *responseBody) append(piece []byte, left int) error {
	if len(g.data)+len(piece) > maxBodyBytes {
		return errBodyTooLarge
	}
	if g.data == nil {
		g.data = make([]byte, 0, min(len(piece)+left, initialBodyCapacity))
	}
	g.data = append(g.data, piece...)
	return nil
}

// decode reads the one change that the body holds.
func (g *responseBody) decode(gzipped bool) (change, error) {
	var in io.Reader = bytes.NewReader(g.data)
	if gzipped {
		inflated, err := gzip.NewReader(in)
		if err != nil {
			return change{}, err
		}
		in = &limitedReader{inflated, maxDecompressedBytes}
	}
	return decodeChange(&whitespaceCompactor{in: in})
}

// limitedReader reads up to a bound, and fails beyond it.
type limitedReader struct {
	in   io.Reader
	left int
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errDecompressedTooLarge
	}
	n, err := b.in.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// whitespaceCompactor reads JSON with each run of white space outside of strings cut down to
// one space. Guards against megabytes of it, which a decoder that waits for the
// next token looks at again for each piece that comes.
type whitespaceCompactor struct {
	in     io.Reader
	quoted bool // inside a string
	masked bool // behind a backslash there
	space  bool // the last byte was white space
}

func (c *whitespaceCompactor) Read(p []byte) (int, error) {
	for {
		n, err := c.in.Read(p)
		if n = c.squeeze(p[:n]); n > 0 || err != nil {
			return n, err
		}
	}
}

// squeeze cuts p down in place and returns what is left of it.
func (c *whitespaceCompactor) squeeze(p []byte) (n int) {
	for _, b := range p {
		space := false
		switch {
		case c.masked:
			c.masked = false
		case c.quoted:
			c.masked, c.quoted = b == '\\', b != '"'
		case b == '"':
			c.quoted = true
		case b == ' ' || b == '\t' || b == '\r' || b == '\n':
			if space = true; c.space {
				continue
			}
			b = ' '
		}
		c.space = space
		p[n] = b
		n++
	}
	return n
}
