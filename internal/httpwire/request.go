package httpwire

import "bytes"

// Message is a complete request in a buffer.
type Message struct {
	Head
	Body []byte
	Size int // bytes that the message takes in the buffer, head and framing included
}

// Progress says how much of a request has come.
type Progress uint8

const (
	// Incomplete means that more bytes are needed.
	Incomplete Progress = iota
	// AwaitingContinue means that the head is there, and that the client waits for 100 Continue before it sends the body.
	AwaitingContinue
	// Complete means that all of the request is there.
	Complete
)

// ScanState is how far a request has been parsed, so that bytes which trickle in are not parsed again and again.
// Its zero value belongs to a request that has not begun.
type ScanState struct {
	headScanned int // bytes that hold no end of the head
	needed      int // bytes that the request has, once its head has said so

	chunked     bool
	chunks      ChunkReader
	bodyScanned int // offset up to which a chunked body has been parsed
	bodyLength  int // bytes of data found there
}

// singleFields must not be repeated: different readers would take different ones for the request's.
var singleFields = []string{"X-Correlation-Id", "X-Time-Left-Ms", "Idempotency-Key"}

// ParseRequest parses a request at the start of b. While b holds only a part of it, state goes with b to the next call.
// A chunked body is put together in place. With an error, the request is Incomplete and stays so.
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
	if length > maxBody {
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
		return message.progressWithoutBody(b), nil
	}
	message.Body = b[message.Size : message.Size+length]
	message.Size += length
	return Complete, nil
}

// checkRequestHead checks what a head has beyond a well-formed one if it is a request's.
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

// progressWithoutBody returns how much of a request has come whose head is there, and whose body is not complete.
func (m *Message) progressWithoutBody(b []byte) Progress {
	headAlone := len(b) == m.Head.Size
	if headAlone && m.HasToken("Expect", "100-continue") {
		return AwaitingContinue
	}
	return Incomplete
}

// scanChunks continues with a chunked body from where it stopped, without moving its data.
func (s *ScanState) scanChunks(b []byte) (done bool, err error) {
	for !s.chunks.Done() {
		data, used, err := s.chunks.Next(b[s.bodyScanned:])
		if err != nil {
			return false, err
		}
		s.bodyLength += len(data)
		if s.bodyLength > maxBody {
			return false, ErrBodyTooLong
		}
		if used == 0 {
			return false, nil
		}
		s.bodyScanned += used
	}
	return true, nil
}

// parseChunkedBody parses a chunked body behind the head in b, and puts it together in place once all of it is there.
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
		return m.progressWithoutBody(b), nil
	}
	var chunks ChunkReader
	from := m.Head.Size
	bodyEnd := m.Head.Size
	for !chunks.Done() { // all of it is there and has been scanned, so nothing fails any more
		data, used, _ := chunks.Next(b[from:])
		bodyEnd += copy(b[bodyEnd:], data)
		from += used
	}
	m.Body = b[m.Head.Size:bodyEnd]
	m.Size = from
	return Complete, nil
}

// Call is a complete request as the admin API needs it: a copy, without its body.
type Call struct{ Method, Path, Query string }

// CallReader reads one call, however its bytes come. Its zero value is ready for use.
type CallReader struct{ state ScanState }

// Read parses the call at the start of b, which holds all that has come so far. It returns false without an error
// while b holds only a part of it.
func (r *CallReader) Read(b []byte) (Call, bool, error) {
	var message Message
	progress, err := ParseRequest(b, &message, &r.state)
	if progress != Complete || err != nil {
		return Call{}, false, err
	}
	path, query, _ := bytes.Cut(message.Target(), []byte("?"))
	return Call{Method: string(message.Method()), Path: string(path), Query: string(query)}, true, nil
}
