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

// statusError is the error for a response with a status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// responseConsumer decides which responses are accepted and takes their bodies.
type responseConsumer interface {
	// acceptHead returns how the body that follows a head is framed. An error rejects the response.
	acceptHead(head *httpwire.Head) (bodyFraming, error)

	// takeBody takes a piece of the body, which is valid only during the call. It returns an error if the response must
	// not be read any further, including when the call has replaced or reset the reader.
	takeBody(piece []byte) error
}

// bodyFraming describes what follows the head of a response.
type bodyFraming struct {
	interim bool // another head follows, and no body
	chunked bool // a chunked body follows
	length  int  // length of a body that is not chunked
}

// responseReader parses one HTTP response incrementally, in whatever pieces it arrives. It buffers the head and the
// framing; the body is passed on as it arrives. The discovery watch and the connections to membership servers use it.
type responseReader struct {
	buffer       *transport.Buffer
	head         httpwire.Head // the latest one; kept here because it is large and would otherwise be allocated for each call
	scanned      int           // bytes of buffer that have been searched for the end of the head
	headRead     bool          // the final head, after any interim ones, has been accepted
	chunked      bool
	chunks       httpwire.ChunkReader
	remaining    int  // bytes to come of a body of known length
	done         bool // the response is complete
	trailingData bool // bytes have arrived after its end
}

// reset makes the reader ready for the next response.
func (r *responseReader) reset(pool *transport.Pool) {
	pool.Put(r.buffer)
	*r = responseReader{}
}

// feed reads data up to the end of the response. After an error the reader must be reset.
func (r *responseReader) feed(pool *transport.Pool, data []byte, consumer responseConsumer) error {
	if r.buffer == nil {
		r.buffer = pool.Get()
	}
	for len(data) > 0 && !r.done {
		copied := r.buffer.Fill(data)
		data = data[copied:]
		if err := r.readBuffer(consumer); err != nil {
			return err
		}
		if copied == 0 { // the buffer is full, and the head or line of the framing in it has no end
			return httpwire.ErrMalformed
		}
	}
	r.trailingData = r.done && (len(data) > 0 || len(r.buffer.Bytes()) > 0)
	return nil
}

// readBuffer consumes as much of the buffer as can be parsed.
func (r *responseReader) readBuffer(consumer responseConsumer) error {
	consumed := 0
	for !r.done {
		piece, used, err := r.next(r.buffer.Bytes()[consumed:], consumer)
		if err != nil {
			return err
		}
		if used == 0 && !r.done {
			break
		}
		if len(piece) > 0 {
			if err := consumer.takeBody(piece); err != nil {
				return err
			}
		}
		consumed += used
	}
	r.buffer.Consume(consumed)
	return nil
}

// next takes the head, a piece of the body, or bytes of the framing from the start of data. used is the number of bytes
// taken; it is 0 if more data is needed.
func (r *responseReader) next(data []byte, consumer responseConsumer) (body []byte, used int, err error) {
	switch {
	case !r.headRead:
		used, err = r.readHead(data, consumer)
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

// readHead reads a head from the start of data and returns its size, or 0 if it is not complete. The head of an interim
// response is skipped.
func (r *responseReader) readHead(data []byte, consumer responseConsumer) (size int, err error) {
	complete, err := httpwire.ParseHead(data, &r.head, &r.scanned)
	if !complete {
		return 0, err
	}
	r.scanned = 0
	size = r.head.Size
	framing, err := consumer.acceptHead(&r.head)
	if err != nil || framing.interim {
		return size, err
	}
	r.headRead = true
	r.chunked = framing.chunked
	r.remaining = framing.length
	r.done = !framing.chunked && framing.length == 0
	return size, nil
}
