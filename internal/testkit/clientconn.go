package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// RequestWithID returns a request of the class renewal with a correlation ID, which an EchoWorkerClient completes. Tests
// send it as the request of an ordinary client.
func RequestWithID(id string) string {
	return "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nContent-Length: 4\r\n\r\ndone"
}

// Connect opens a client's connection to a front end, which is closed at the end of the test, and sends text, which may
// be empty or a part of a request. Reads and writes fail after WaitTimeout.
func Connect(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(WaitTimeout))
	io.WriteString(conn, text)
	return conn, bufio.NewReader(conn)
}

// ReadStatus reads a client's next response and returns its status code, or 0 if the connection ends before it.
func ReadStatus(in *bufio.Reader) int {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
