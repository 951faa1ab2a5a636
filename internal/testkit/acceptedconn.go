package testkit

import (
	"bufio"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"
)

// AcceptedConn is a connection that a stand-in for a worker or a server has accepted.
type AcceptedConn struct {
	Conn net.Conn

	t      *testing.T
	reader *bufio.Reader
	addr   string // of the listener
}

// ListenOnLoopback starts to listen until the end of the test. accept waits for the next connection.
func ListenOnLoopback(t *testing.T) (addr string, accept func() *AcceptedConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	addr = listener.Addr().String()
	accept = func() *AcceptedConn {
		t.Helper()
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(Patience))
		return &AcceptedConn{Conn: conn, t: t, reader: bufio.NewReader(conn), addr: addr}
	}
	return addr, accept
}

// ReadRequest reads the head of a request and a body of bodySize bytes, and returns their text without what changes
// from run to run.
func (c *AcceptedConn) ReadRequest(bodySize int) string {
	c.t.Helper()
	var text strings.Builder
	for !strings.HasSuffix(text.String(), "\r\n\r\n") {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.t.Fatalf("%q, %v", text.String(), err)
		}
		text.WriteString(line)
	}
	body := make([]byte, bodySize)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		c.t.Fatal(err)
	}
	return MaskVolatile(strings.ReplaceAll(text.String()+string(body), c.addr, "ADDRESS"))
}

// volatileFields matches the header fields whose values change from run to run.
var volatileFields = regexp.MustCompile(`(Retry-After|X-Time-Left-Ms): [0-9.]+`)

// MaskVolatile replaces the values of header fields that change from run to run.
func MaskVolatile(text string) string { return volatileFields.ReplaceAllString(text, "$1: MASKED") }
