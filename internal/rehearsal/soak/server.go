package soak

import (
	"fmt"
	"net"
)

// chunkedResponseHeader is the header of a response with a chunked body.
const chunkedResponseHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// lastChunk ends the body of a chunked response.
const lastChunk = "0\r\n\r\n"

// encodeChunk returns a text as one chunk of HTTP's chunked transfer coding.
func encodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// serveConnections accepts connections until the listener is closed, and calls serve for each in a goroutine of its own.
func serveConnections(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}
