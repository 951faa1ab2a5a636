package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Listener lets a test act as a worker or a server: the test accepts each connection, reads each request and
// writes each response itself, and so decides in which order events happen.
type Listener struct {
	// ReadAhead is how many bytes accepted connections read from the socket at once. A test sets it if it must leave
	// the rest in the socket's buffer; 0 selects the default of bufio.
	ReadAhead int

	t        *testing.T
	listener *net.TCPListener
}

// Listen returns a listener on a loopback address, which is closed at the end of the test.
func Listen(t *testing.T) *Listener {
	t.Helper()
	return ListenWith(t, net.ListenConfig{})
}

// ListenWithSmallBuffers is Listen for tests in which a socket must be full: the kernel accepts only a part of a
// request while the test does not read it.
func ListenWithSmallBuffers(t *testing.T) *Listener {
	t.Helper()
	const (
		receiveBuffer  = 2048 // bytes
		maxSegmentSize = 500  // bytes
	)
	return ListenWith(t, net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, maxSegmentSize)
		})
	}})
}

// ListenWith is Listen for tests that set options of the listening socket.
func ListenWith(t *testing.T, config net.ListenConfig) *Listener {
	t.Helper()
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &Listener{t: t, listener: listener.(*net.TCPListener)}
}

// Addr returns the address that tests give to the code under test as that of a worker or a server.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// Accept waits for the next connection, and fails the test if none comes within WaitTimeout.
func (l *Listener) Accept() *AcceptedConn {
	l.t.Helper()
	l.listener.SetDeadline(time.Now().Add(WaitTimeout))
	conn, err := l.listener.Accept()
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { conn.Close() })
	return l.wrap(conn)
}

// AcceptAny waits for the connection that comes first at one of some listeners, for tests that do not choose which
// worker gets an attempt. None of the listeners may be used after it.
func AcceptAny(listeners ...*Listener) *AcceptedConn {
	t := listeners[0].t
	t.Helper()
	accepted := make(chan *AcceptedConn, len(listeners))
	for _, listener := range listeners {
		go func() {
			if conn, err := listener.listener.Accept(); err == nil { // an error means that the test has ended
				accepted <- listener.wrap(conn)
			}
		}()
	}
	first := Receive(t, accepted)
	t.Cleanup(func() { first.Conn.Close() })
	return first
}

// wrap returns the test's end of a connection.
func (l *Listener) wrap(conn net.Conn) *AcceptedConn {
	conn.SetDeadline(time.Now().Add(WaitTimeout))
	reader := bufio.NewReader(conn)
	if l.ReadAhead > 0 {
		reader = bufio.NewReaderSize(conn, l.ReadAhead)
	}
	return &AcceptedConn{Conn: conn, Reader: reader, t: l.t, addr: l.Addr()}
}

// ListenOnLoopback returns the address of a new listener and its Accept, for tests that need no more of it.
func ListenOnLoopback(t *testing.T) (addr string, accept func() *AcceptedConn) {
	t.Helper()
	listener := Listen(t)
	return listener.Addr(), listener.Accept
}

// AcceptedConn is the worker's or server's end of a connection, on which a test reads requests and writes responses
// step by step. Reads and writes fail after WaitTimeout.
type AcceptedConn struct {
	Conn   net.Conn
	Reader *bufio.Reader // reads from Conn

	t    *testing.T
	addr string // of the listener
}

// ReadRequest reads the head of a request and a body of bodySize bytes, and returns their text, in which what changes
// from run to run is masked. Tests compare it with a golden file.
func (c *AcceptedConn) ReadRequest(bodySize int) string {
	c.t.Helper()
	var text strings.Builder
	for !strings.HasSuffix(text.String(), "\r\n\r\n") {
		line, err := c.Reader.ReadString('\n')
		if err != nil {
			c.t.Fatalf("%q, %v", text.String(), err)
		}
		text.WriteString(line)
	}
	body := make([]byte, bodySize)
	if _, err := io.ReadFull(c.Reader, body); err != nil {
		c.t.Fatal(err)
	}
	return MaskVolatile(strings.ReplaceAll(text.String()+string(body), c.addr, "ADDRESS"))
}

// ParseRequest reads a request with its body and returns both. Tests check its header fields, or only wait for it.
func (c *AcceptedConn) ParseRequest() (request *http.Request, body string) {
	c.t.Helper()
	request, err := http.ReadRequest(c.Reader)
	if err != nil {
		c.t.Fatal(err)
	}
	content, err := io.ReadAll(request.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return request, string(content)
}

// AwaitFirstByte waits until the first byte of a request has arrived, and leaves the request unread.
func (c *AcceptedConn) AwaitFirstByte() {
	c.t.Helper()
	if _, err := c.Reader.Peek(1); err != nil {
		c.t.Fatal(err)
	}
}

// Write writes a response or a part of it. Errors are ignored, since tests check the effect at the other end.
func (c *AcceptedConn) Write(text string) { io.WriteString(c.Conn, text) }

// WriteDone writes the response that completes the request with a correlation ID.
func (c *AcceptedConn) WriteDone(id string) { c.Write(DoneResponse(id)) }

// ServeRequest reads a request, writes the response that completes it, and returns the request and its body.
func (c *AcceptedConn) ServeRequest() (request *http.Request, body string) {
	c.t.Helper()
	request, body = c.ParseRequest()
	c.WriteDone(request.Header.Get("X-Correlation-Id"))
	return request, body
}

// ReadRest reads until the other end closes the connection. Tests use it to see how much of a request was sent.
func (c *AcceptedConn) ReadRest() (string, error) {
	rest, err := io.ReadAll(c.Reader)
	return string(rest), err
}

// Close closes the connection normally, as a worker does with idle ones.
func (c *AcceptedConn) Close() { c.Conn.Close() }

// Reset closes the connection with a TCP reset, as the kernel of a crashed worker does.
func (c *AcceptedConn) Reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Conn.Close()
}

// volatileFields matches the header fields whose values change from run to run.
var volatileFields = regexp.MustCompile(`(Retry-After|X-Time-Left-Ms): [0-9.]+`)

// MaskVolatile replaces the values of header fields that change from run to run, so that tests can compare a message
// with a golden file.
func MaskVolatile(text string) string { return volatileFields.ReplaceAllString(text, "$1: MASKED") }
