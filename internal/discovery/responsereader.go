package discovery

import (
	"errors"
	"fmt"

	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

var (
	errContentCoding = errors.New("the response has a content coding that was not asked for")
	errNoLength      = errors.New("the response does not say where it ends")
)

// statusError is the status of a response other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// responseReader parses one HTTP response incrementally, whatever pieces it arrives in. It buffers the head and the
// framing; the body is passed on as it comes.
type responseReader struct {
	buffer           *transport.Buffer
	scanned          int  // bytes of buffer that were searched for the end of the head
	headRead         bool // the head has come
	gzipped          bool
	closesConnection bool // the server closes the connection after the response
	chunked          bool
	chunks           httpwire.ChunkReader
	remaining        int // bytes of a body of known length
	done             bool
}

// reset makes the reader ready for the next response.
func (r *responseReader) reset(pool *transport.Pool) {
	pool.Put(r.buffer)
	*r = responseReader{}
}

// feed reads data and calls onBody with each piece of the body, which is valid during the call. done reports that the
// response is complete. Bytes after its end are an error.
func (r *responseReader) feed(pool *transport.Pool, data []byte, onBody func(piece []byte) error) (done bool, err error) {
	if r.buffer == nil {
		r.buffer = pool.Get()
	}
	for len(data) > 0 {
		copied := r.buffer.Fill(data)
		data = data[copied:]
		if err := r.readBuffer(onBody); err != nil {
			return false, err
		}
		if copied == 0 { // the buffer is full of a line of the framing that does not end
			return false, httpwire.ErrMalformed
		}
		if r.done && (len(data) > 0 || len(r.buffer.Bytes()) > 0) {
			return false, httpwire.ErrMalformed
		}
	}
	return r.done, nil
}

// readBuffer consumes what it can of the buffer.
func (r *responseReader) readBuffer(onBody func(piece []byte) error) error {
	consumed := 0
	defer func() { r.buffer.Consume(consumed) }()
	for !r.done {
		piece, used, err := r.next(r.buffer.Bytes()[consumed:])
		if err != nil {
			return err
		}
		if used == 0 && !r.done {
			return nil
		}
		if len(piece) > 0 {
			if err := onBody(piece); err != nil {
				return err
			}
		}
		consumed += used
	}
	return nil
}

// next takes the head, a piece of the body, or bytes of the framing from the start of data. used is the number of bytes
// taken; 0: more must come first.
func (r *responseReader) next(data []byte) (body []byte, used int, err error) {
	switch {
	case !r.headRead:
		used, err = r.readHead(data)
		return nil, used, err
	case r.chunked:
		body, used, err = r.chunks.Next(data)
		r.done = r.chunks.Done()
		return body, used, err
	default:
		used = min(len(data), r.remaining)
		r.remaining -= used
		r.done = r.remaining == 0
		return data[:used], used, nil
	}
}

// readHead reads a head from the start of data and returns its size; 0: it is not complete. The head of an interim
// response is passed over.
func (r *responseReader) readHead(data []byte) (size int, err error) {
	var head httpwire.Head
	complete, err := httpwire.ParseHead(data, &head, &r.scanned)
	if !complete {
		return 0, err
	}
	r.scanned = 0
	status, ok := head.Status()
	if !ok {
		return head.Size, httpwire.ErrMalformed
	}
	if status < httpwire.StatusOK {
		return head.Size, nil
	}
	if status != httpwire.StatusOK {
		return head.Size, statusError(status)
	}
	return head.Size, r.beginBody(&head)
}

// beginBody sets how the body is framed and coded.
func (r *responseReader) beginBody(head *httpwire.Head) error {
	length, chunked, err := head.Framing()
	if err != nil {
		return err
	}
	if !chunked && length < 0 {
		return errNoLength
	}
	coding := head.Get("Content-Encoding")
	r.gzipped = httpwire.EqualFold(coding, "gzip")
	if coding != nil && !r.gzipped && !httpwire.EqualFold(coding, "identity") {
		return errContentCoding
	}
	r.headRead = true
	r.chunked = chunked
	r.remaining = length
	r.closesConnection = head.HasToken("Connection", "close")
	r.done = length == 0
	return nil
}
