package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"
)

// newConnectionClient returns a client that opens a new connection for each request.
func newConnectionClient() *http.Client {
	return &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// post sends a request and returns status, body and Retry-After. leftMs is the time that the
// client has left, in milliseconds; if it is 0, the request does not say.
func (d *testDaemon) post(class, id, body string, leftMs int) (status int, text, retryAfter string) {
	d.t.Helper()
	request, _ := http.NewRequest(http.MethodPost, "http://"+d.listen+"/"+class+"/key-1?x=y", strings.NewReader(body))
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Weight-Hint", "20000")
	if leftMs > 0 {
		request.Header.Set("X-Time-Left-Ms", fmt.Sprint(leftMs))
	}
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { reused = got.Reused }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := d.client.Do(request)
	if err != nil {
		d.t.Errorf("%s: %v (on a reused connection: %v)", id, err, reused)
		return 0, "", ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), response.Header.Get("Retry-After")
}

// postStatus sends a request with a short body and without a time left, and returns the
// status.
func (d *testDaemon) postStatus(class, id string) int {
	d.t.Helper()
	status, _, _ := d.post(class, id, "x", 0)
	return status
}

// postInBackground sends a request as postStatus does, and returns a channel for the
// status.
func (d *testDaemon) postInBackground(class, id string) <-chan int {
	status := make(chan int, 1)
	go func() { status <- d.postStatus(class, id) }()
	return status
}

// postUntil sends status-checks one after the other until a condition holds or testTimeout
// has passed. leftMs is as for post.
func (d *testDaemon) postUntil(holds func() bool, idPrefix string, leftMs int) {
	d.t.Helper()
	end := time.Now().Add(testTimeout)
	for i := 0; !holds() && time.Now().Before(end); i++ {
		d.post("status-check", fmt.Sprint(idPrefix, i), "x", leftMs)
	}
}

// health returns the status of /healthz, or 0 if the request is not answered.
func (d *testDaemon) health() int {
	response, err := d.client.Get("http://" + d.listen + "/healthz")
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// waitUntilUnhealthy waits until /healthz responds with 503. This shows that a signal has been
// handled, which happens some time after it is sent.
func (d *testDaemon) waitUntilUnhealthy() {
	d.t.Helper()
	for began := time.Now(); time.Since(began) < testTimeout; time.Sleep(time.Millisecond) {
		response, err := d.client.Get("http://" + d.listen + "/healthz")
		if err != nil {
			d.t.Fatalf("healthz after SIGTERM: %v", err)
		}
		response.Body.Close()
		if response.StatusCode == http.StatusServiceUnavailable {
			return
		}
	}
	d.t.Fatal("healthz does not answer 503 after SIGTERM")
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a client's connection, whose deadline is testTimeout from now.
func (d *testDaemon) connect() *clientConn {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.listen)
	if err != nil {
		d.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	d.t.Cleanup(func() { conn.Close() })
	return &clientConn{conn, bufio.NewReader(conn)}
}

// requestText returns the bytes of a request.
func requestText(class, id, body string) string {
	return fmt.Sprintf("POST /%s/k HTTP/1.1\r\nX-Correlation-Id: %s\r\nContent-Length: %d\r\n\r\n%s", class, id, len(body), body)
}

// send sends a renewal with a short body.
func (c *clientConn) send(id string) { io.WriteString(c, requestText("renewal", id, "x")) }

// readResponse reads a response. ends reports whether the response says that the connection
// will be closed.
func (c *clientConn) readResponse(t *testing.T) (status int, ends bool) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close
}

// closed waits until the daemon sends a byte or closes the connection, and reports whether it
// has closed it.
func (c *clientConn) closed() bool {
	_, err := c.reader.ReadByte()
	return err == io.EOF
}
