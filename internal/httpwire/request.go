package httpwire

import "bytes"

// Message is a complete request in a buffer.
type Message struct {
	Head
	Body []byte
	Size int // bytes that the message takes in the buffer, head and framing included
}

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

// ParseRequest parses a request at the start of b. It returns ok false without an error while b holds only a part of
// it; state then goes with b to the next call. A chunked body is put together in place. expectsContinue says that the
// head is there and that the client waits for 100 Continue before it sends the body.
func ParseRequest(b []byte, message *Message, state *ScanState) (ok, expectsContinue bool, err error) {
	if len(b) < state.needed {
		return false, false, nil
	}
	if state.chunked {
		if done, err := state.scanChunks(b); !done {
			return false, false, err
		}
	}
	if ok, err = ParseHead(b, &message.Head, &state.headScanned); !ok {
		return false, false, err
	}
	if err := message.checkRequestHead(); err != nil {
		return false, false, err
	}
	length, chunked, err := message.Framing()
	if err != nil {
		return false, false, err
	}
	if length > maxBody {
		return false, false, ErrBodyTooLong
	}
	message.Body = nil
	message.Size = message.Head.Size
	if chunked {
		return message.parseChunkedBody(b, state)
	}
	length = max(length, 0)
	state.needed = message.Size + length
	if len(b) < state.needed {
		return false, message.awaitsContinue(b), nil
	}
	message.Body = b[message.Size : message.Size+length]
	message.Size += length
	return true, false, nil
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

// awaitsContinue reports whether b holds the head alone and the client waits for 100 Continue.
func (m *Message) awaitsContinue(b []byte) bool {
	return len(b) == m.Head.Size && m.HasToken("Expect", "100-continue")
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

func (m *Message) parseChunkedBody(b []byte, state *ScanState) (ok, expectsContinue bool, err error) {
	if !state.chunked {
		state.chunked = true
		state.bodyScanned = m.Head.Size
	}
	if done, err := state.scanChunks(b); !done {
		return false, m.awaitsContinue(b), err
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
	return true, false, nil
}

// Call is a complete request as the admin API needs it.
type Call struct{ Method, Path, Query string }

// CallReader reads one call, however its bytes come.
type CallReader struct{ state ScanState }

// Read parses the call at the start of b, which holds all that has come so far. It returns false without an error
// while b holds only a part of it.
func (r *CallReader) Read(b []byte) (Call, bool, error) {
	var m Message
	ok, _, err := ParseRequest(b, &m, &r.state)
	if !ok || err != nil {
		return Call{}, false, err
	}
	path, query, _ := bytes.Cut(m.Target(), []byte("?"))
	return Call{string(m.Method()), string(path), string(query)}, true, nil
}
