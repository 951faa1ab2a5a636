package workerclient

import (
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// firstFinalStatus is the lowest status code of a final response; those below it are interim ones.
const firstFinalStatus = 200

// responseParser parses the response to one request from the bytes that have come of it: its head, then the pieces of
// its body. It knows nothing of the request. What it returns lies in its buffer, and holds until the next call of
// dropParsed or free.
type responseParser struct {
	pool   *transport.Pool
	input  *transport.Buffer // bytes that have not been dropped yet; nil: none
	parsed int               // bytes of input that have been parsed

	headScanned int // bytes of input that hold no end of a head
	status      int // of the final response; 0: its head has not come
	chunked     bool
	chunks      httpwire.ChunkReader
	bodyLeft    int // bytes of a body of known length; -1: it ends with the connection
}

// bodyPiece is a piece of a body, without its framing.
type bodyPiece struct {
	data []byte
	last bool // the response ends with it
}

// add adds bytes that have been received and takes over their buffer. It returns false if they do not fit.
func (p *responseParser) add(received *transport.Buffer) bool {
	return p.pool.Collect(&p.input, received)
}

// unparsed returns the bytes that have not been parsed yet.
func (p *responseParser) unparsed() []byte {
	if p.input == nil {
		return nil
	}
	return p.input.Bytes()[p.parsed:]
}

// parseHead parses the head of the final response into head, and skips those of interim ones. It returns false if more
// bytes are needed for that.
func (p *responseParser) parseHead(head *httpwire.Head) (complete bool, err error) {
	for len(p.unparsed()) > 0 {
		headComplete, err := httpwire.ParseHead(p.unparsed(), head, &p.headScanned)
		if !headComplete {
			return false, err
		}
		p.headScanned = 0
		p.parsed += head.Size
		status, valid := head.Status()
		if !valid {
			return false, httpwire.ErrMalformed
		}
		if status >= firstFinalStatus {
			return true, p.startBody(status, head)
		}
	}
	return false, nil
}

// startBody prepares for the body that follows a head.
func (p *responseParser) startBody(status int, head *httpwire.Head) error {
	length, chunked, err := head.Framing()
	if err != nil {
		return err
	}
	p.status = status
	p.chunked = chunked
	p.chunks = httpwire.ChunkReader{}
	p.bodyLeft = length
	return nil
}

// bodyEmpty reports whether the head says that the response has no body.
func (p *responseParser) bodyEmpty() bool { return !p.chunked && p.bodyLeft == 0 }

// endsWithConnection reports whether only the end of the connection ends the body.
func (p *responseParser) endsWithConnection() bool { return !p.chunked && p.bodyLeft < 0 }

// parseBody parses the next piece of the body. It returns false if more bytes are needed for that. It must not be
// called after the last piece.
func (p *responseParser) parseBody() (piece bodyPiece, progress bool, err error) {
	if p.chunked {
		return p.parseChunk()
	}
	data := p.unparsed()
	if p.bodyLeft >= 0 {
		data = data[:min(len(data), p.bodyLeft)]
		p.bodyLeft -= len(data)
	}
	p.parsed += len(data)
	return bodyPiece{data: data, last: p.bodyLeft == 0}, len(data) > 0, nil
}

// parseChunk parses data or framing of a chunked body.
func (p *responseParser) parseChunk() (piece bodyPiece, progress bool, err error) {
	data, used, err := p.chunks.Next(p.unparsed())
	if err != nil {
		return bodyPiece{}, false, err
	}
	p.parsed += used
	return bodyPiece{data: data, last: p.chunks.Done()}, used > 0, nil
}

// dropParsed drops what has been parsed, once for all pieces: each removal moves all bytes behind it.
func (p *responseParser) dropParsed() {
	parsed := p.parsed
	p.parsed = 0
	if p.input != nil {
		p.pool.Consume(&p.input, parsed)
	}
}

// free returns the buffer to its pool. The status and the framing of the response stay known.
func (p *responseParser) free() {
	p.pool.Put(p.input)
	p.input = nil
	p.parsed = 0
	p.headScanned = 0
}
