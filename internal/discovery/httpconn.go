package discovery

import (
	"errors"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	connectTimeout = time.Second

	// responseIdleTimeout is the longest time without a byte of a response; a watch sends one at least every 2 s.
	responseIdleTimeout = 3 * time.Second
)

var errConnectionClosed = errors.New("the connection was closed")

// httpConn is an HTTP client for one membership server. It carries one request at a time, and keeps the connection open
// for the next one. Its callbacks run on the event loop's goroutine and must be set before the first request.
type httpConn struct {
	registry     *Registry
	address      string // host:port
	headerFields string // of each request, each field ended by CRLF

	onConnected func()                   // a connection was established
	onProgress  func()                   // a part of the response has arrived, but not its end
	onBody      func(piece []byte) error // takes a piece of the body; an error ends the request
	onDone      func(err error)          // the request is complete, or has failed

	conn             *transport.Conn // nil if none is open
	generation       int             // counts connections, so that callbacks of earlier ones are ignored
	request          []byte
	awaitingResponse bool // the request in progress has no complete response yet
	reused           bool // the connection has carried a response before, and may have been closed unnoticed since
	response         responseReader
	gzipped          bool // the body of the latest response is compressed
	closesConnection bool // the server closes the connection after the latest response
	timeout          eventloop.Deadline
	timeoutExtended  bool // by unreadDataGrace
}

var (
	_ transport.Handler = (*httpConn)(nil)
	_ responseConsumer  = (*httpConn)(nil)
)

// get sends a GET request, on the open connection if there is one and otherwise on a new one.
func (h *httpConn) get(target string) {
	h.request = appendGetRequest(h.request[:0], h.address, target, h.headerFields)
	h.awaitingResponse = true
	if h.conn != nil {
		h.send()
		return
	}
	h.dial()
}

// appendGetRequest appends a GET request with additional header fields, each ended by CRLF.
func appendGetRequest(dst []byte, address, target, headerFields string) []byte {
	dst = append(dst, "GET "...)
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, address...)
	dst = append(dst, "\r\n"...)
	dst = append(dst, headerFields...)
	return append(dst, "\r\n"...)
}

// dial opens a connection and sends the request on it.
func (h *httpConn) dial() {
	h.generation++
	generation := h.generation
	h.reused = false
	h.timeout.Fire = h.onTimeout
	loop := h.registry.dispatcher.Loop
	loop.Set(&h.timeout, loop.Now()+connectTimeout+responseIdleTimeout)
	h.registry.engine.DialReserved(h.address, connectTimeout, h, func(conn *transport.Conn, err error) {
		switch {
		case generation != h.generation:
			if conn != nil {
				conn.Close()
			}
		case err != nil:
			if errors.Is(err, transport.ErrNoDescriptor) {
				h.registry.client.CloseAllIdle()
			}
			h.finish(err)
		default:
			h.conn = conn
			h.onConnected()
			h.send()
		}
	})
}

// send writes the request.
func (h *httpConn) send() {
	h.restartTimeout()
	if !h.conn.Write(h.request) {
		h.connectionLost()
		return
	}
	h.registry.stats.BytesWritten += int64(len(h.request))
}

// restartTimeout allows the server responseIdleTimeout for its next bytes.
func (h *httpConn) restartTimeout() {
	h.timeoutExtended = false
	loop := h.registry.dispatcher.Loop
	loop.Set(&h.timeout, loop.Now()+responseIdleTimeout)
}

// onTimeout fails a request for which nothing has arrived in time. If bytes are waiting to be read, the timeout is
// extended instead, but only once.
func (h *httpConn) onTimeout() {
	if h.conn == nil || h.timeoutExtended || h.conn.AllRead() {
		h.finish(errTimeout)
		return
	}
	h.timeoutExtended = true
	loop := h.registry.dispatcher.Loop
	loop.Set(&h.timeout, loop.Now()+unreadDataGrace)
}

// OnData implements transport.Handler: it parses the data that the server has sent.
func (h *httpConn) OnData(conn *transport.Conn, received *transport.Buffer) {
	pool := &h.registry.engine.Pool
	defer pool.Put(received)
	if conn != h.conn {
		return
	}
	h.registry.stats.BytesRead += int64(len(received.Bytes()))
	if !h.awaitingResponse { // nothing was requested, so this is no response to anything
		h.close()
		return
	}
	h.restartTimeout()
	err := h.response.feed(pool, received.Bytes(), h)
	if h.response.trailingData {
		err = httpwire.ErrMalformed
	}
	switch {
	case err != nil || h.response.done:
		h.finish(err)
	case h.conn == conn:
		h.onProgress()
	}
}

// acceptHead implements responseConsumer: the status must be 200, and the content coding gzip, identity or none.
func (h *httpConn) acceptHead(head *httpwire.Head) (bodyFraming, error) {
	status, ok := head.Status()
	if !ok {
		return bodyFraming{}, httpwire.ErrMalformed
	}
	if status < httpwire.StatusOK {
		return bodyFraming{interim: true}, nil
	}
	if status != httpwire.StatusOK {
		return bodyFraming{}, statusError(status)
	}
	length, chunked, err := head.Framing()
	if err != nil {
		return bodyFraming{}, err
	}
	if !chunked && length < 0 {
		return bodyFraming{}, errNoLength
	}
	coding := head.Get("Content-Encoding")
	h.gzipped = httpwire.EqualFold(coding, "gzip")
	if coding != nil && !h.gzipped && !httpwire.EqualFold(coding, "identity") {
		return bodyFraming{}, errContentCoding
	}
	h.closesConnection = head.HasToken("Connection", "close")
	return bodyFraming{chunked: chunked, length: length}, nil
}

// takeBody implements responseConsumer.
func (h *httpConn) takeBody(piece []byte) error { return h.onBody(piece) }

// OnClosed implements transport.Handler: the server has closed the connection, or it broke.
func (h *httpConn) OnClosed(conn *transport.Conn, _ error) {
	if conn == h.conn {
		h.connectionLost()
	}
}

// connectionLost handles the loss of the connection. The request in progress is repeated on a new connection if the
// server may have closed the old one before the request was sent; otherwise it fails.
func (h *httpConn) connectionLost() {
	retry := h.awaitingResponse && h.reused && h.response.buffer == nil
	if retry {
		h.disconnect()
		h.dial()
		return
	}
	h.finish(errConnectionClosed)
}

// finish ends the request. After a complete response the connection is kept, unless the server closes it.
func (h *httpConn) finish(err error) {
	wasAwaiting := h.awaitingResponse
	h.registry.dispatcher.Loop.Clear(&h.timeout)
	h.response.reset(&h.registry.engine.Pool)
	h.awaitingResponse = false
	h.reused = true
	if err != nil || h.closesConnection {
		h.disconnect()
	}
	if wasAwaiting {
		h.onDone(err)
	}
}

// disconnect closes the connection, if there is one. Its callbacks are ignored from then on.
func (h *httpConn) disconnect() {
	h.registry.dispatcher.Loop.Clear(&h.timeout)
	h.response.reset(&h.registry.engine.Pool)
	h.generation++
	conn := h.conn
	if conn != nil {
		h.conn = nil
		conn.Close()
	}
}

// close ends the request without calling onDone, and disconnects.
func (h *httpConn) close() {
	h.awaitingResponse = false
	h.disconnect()
}
