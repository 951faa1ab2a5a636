package soak

import (
	"fmt"
	"net"
)

// chunkedResponseHead begins a response whose body follows in chunks.
const chunkedResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// lastChunk ends the body of a chunked response.
const lastChunk = "0\r\n\r\n"

// encodeChunk encodes a text as a chunk of HTTP's chunked transfer coding.
func encodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// serveConnections serves each connection in a goroutine of its own until the listener is closed.
func serveConnections(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}
