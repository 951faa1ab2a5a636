package workerclient

import (
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// firstFinalStatus is the lowest status code of a final response. Lower codes are those of interim responses.
const firstFinalStatus = 200

// responseParser parses the response to one request from the bytes received so far: first the head, then the parts of
// the body. It does not depend on the request. Slices that it returns refer to its buffer, and are valid until the next
// call of dropParsed or free.
type responseParser struct {
	pool   *transport.Pool
	input  *transport.Buffer // received bytes that have not been dropped yet; nil if there are none
	parsed int               // number of bytes at the start of input that have been parsed

	headScanned int // number of unparsed bytes that are known not to contain the end of a head
	status      int // of the final response; 0 until its head has been parsed
	chunked     bool
	chunks      httpwire.ChunkReader
	bodyLeft    int // bytes left of a body that is not chunked; -1 if the body ends with the connection
}

// bodyPiece is a part of a body, without its framing.
type bodyPiece struct {
	data []byte
	last bool // the response ends after this part
}

// add adds received bytes and takes ownership of their buffer. It returns false if they do not fit.
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

// parseHead parses the head of the final response into head, and skips interim responses. It returns false if more
// bytes are needed.
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

// startBody prepares the parser for the body that follows a head.
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

// bodyEmpty reports whether no bytes of the body are to come, as after a head that states a length of 0.
func (p *responseParser) bodyEmpty() bool { return !p.chunked && p.bodyLeft == 0 }

// endsWithConnection reports whether the body ends only when the connection ends.
func (p *responseParser) endsWithConnection() bool { return !p.chunked && p.bodyLeft < 0 }

// parseBody parses the next part of the body. It returns false if more bytes are needed. It must not be called after
// the last part.
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

// dropParsed drops the parsed bytes. It is called once for all parts of a response that were parsed, because each call
// moves all bytes that follow.
func (p *responseParser) dropParsed() {
	parsed := p.parsed
	p.parsed = 0
	if p.input != nil {
		p.pool.Consume(&p.input, parsed)
	}
}

// free returns the buffer to its pool. The status and the framing of the response are kept.
func (p *responseParser) free() {
	p.pool.Put(p.input)
	p.input = nil
	p.parsed = 0
	p.headScanned = 0
}
