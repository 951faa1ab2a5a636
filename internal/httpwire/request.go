package httpwire

import "bytes"

// Message is a complete request in a buffer.
type Message struct {
	Head
	Body []byte
	Size int // in bytes, including the head and the framing of the body
}

// Progress is how much of a request has been received.
type Progress uint8

const (
	// Incomplete means that more bytes are needed.
	Incomplete Progress = iota
	// AwaitingContinue means that the head is complete, and that the client waits for 100 Continue before it sends the
	// body.
	AwaitingContinue
	// Complete means that the whole request has been received.
	Complete
)

// ScanState is how far a request has been parsed, so that bytes that arrive one after another are not parsed
// repeatedly. Its zero value is the state for a request of which nothing has been parsed.
type ScanState struct {
	headScanned int // number of bytes that are known not to contain the end of the head
	needed      int // size of the request in bytes, 0 until the head has stated it; stays 0 for a chunked body

	chunked     bool
	chunks      ChunkReader
	bodyScanned int // offset in the buffer up to which a chunked body has been parsed
	bodyLength  int // bytes of data in the parsed part of a chunked body
}

// singleFields are the header fields that must not be repeated, because different parsers would use different values.
var singleFields = []string{"X-Correlation-Id", "X-Time-Left-Ms", "Idempotency-Key"}

// ParseRequest parses a request at the start of b. While b holds only a part of the request, the caller passes the same
// state again once b has grown. The data of a chunked body is moved together within b. If an error is returned, the
// progress is Incomplete, and the request can never become complete.
func ParseRequest(b []byte, message *Message, state *ScanState) (Progress, error) {
	if len(b) < state.needed {
		return Incomplete, nil
	}
	if state.chunked {
		done, err := state.scanChunks(b)
		if !done {
			return Incomplete, err
		}
	}
	headComplete, err := ParseHead(b, &message.Head, &state.headScanned)
	if !headComplete {
		return Incomplete, err
	}
	if err := message.checkRequestHead(); err != nil {
		return Incomplete, err
	}
	length, chunked, err := message.Framing()
	if err != nil {
		return Incomplete, err
	}
	if length > maxBodyBytes {
		return Incomplete, ErrBodyTooLong
	}
	message.Body = nil
	message.Size = message.Head.Size
	if chunked {
		return message.parseChunkedBody(b, state)
	}
	length = max(length, 0)
	state.needed = message.Size + length
	if len(b) < state.needed {
		return message.progressBeforeBody(b), nil
	}
	message.Body = b[message.Size : message.Size+length]
	message.Size += length
	return Complete, nil
}

// checkRequestHead checks the requirements for the head of a request that ParseHead does not check.
func (m *Message) checkRequestHead() error {
	version := string(m.Version())
	if version != "HTTP/1.1" && version != "HTTP/1.0" || !isToken(m.Method()) || !isTarget(m.Target()) {
		return ErrMalformed
	}
	for _, name := range singleFields {
		if m.Count(name) > 1 {
			return ErrMalformed
		}
	}
	return nil
}

// progressBeforeBody returns the progress of a request whose head is complete and whose body is not.
func (m *Message) progressBeforeBody(b []byte) Progress {
	onlyHead := len(b) == m.Head.Size
	if onlyHead && m.HasToken("Expect", "100-continue") {
		return AwaitingContinue
	}
	return Incomplete
}

// scanChunks continues to parse a chunked body at bodyScanned, without moving its data.
func (s *ScanState) scanChunks(b []byte) (done bool, err error) {
	for !s.chunks.Done() {
		data, used, err := s.chunks.Next(b[s.bodyScanned:])
		if err != nil {
			return false, err
		}
		s.bodyLength += len(data)
		if s.bodyLength > maxBodyBytes {
			return false, ErrBodyTooLong
		}
		if used == 0 {
			return false, nil
		}
		s.bodyScanned += used
	}
	return true, nil
}

// parseChunkedBody parses a chunked body after the head in b, and moves its data together once all of it is there.
func (m *Message) parseChunkedBody(b []byte, state *ScanState) (Progress, error) {
	if !state.chunked {
		state.chunked = true
		state.bodyScanned = m.Head.Size
	}
	done, err := state.scanChunks(b)
	if err != nil {
		return Incomplete, err
	}
	if !done {
		return m.progressBeforeBody(b), nil
	}
	var chunks ChunkReader
	from := m.Head.Size
	bodyEnd := m.Head.Size
	for !chunks.Done() { // scanChunks has parsed the whole body without an error
		data, used, _ := chunks.Next(b[from:])
		bodyEnd += copy(b[bodyEnd:], data)
		from += used
	}
	m.Body = b[m.Head.Size:bodyEnd]
	m.Size = from
	return Complete, nil
}

// RequestLine holds the parts of a request that the admin API needs. They are copies, independent of the parsed buffer.
type RequestLine struct{ Method, Path, Query string }

// RequestLineReader reads one request to the admin API, whose bytes may arrive in pieces. Its zero value is ready for
// use.
type RequestLineReader struct{ state ScanState }

// Read parses the request at the start of b, which holds all bytes received so far. It returns false without an error
// while b holds only a part of the request.
func (r *RequestLineReader) Read(b []byte) (RequestLine, bool, error) {
	var message Message
	progress, err := ParseRequest(b, &message, &r.state)
	if progress != Complete || err != nil {
		return RequestLine{}, false, err
	}
	path, query, _ := bytes.Cut(message.Target(), []byte("?"))
	return RequestLine{Method: string(message.Method()), Path: string(path), Query: string(query)}, true, nil
}
