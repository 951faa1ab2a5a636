package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// largeResult is too large to be sent in one write.
var largeResult = strings.Repeat("made ", 12<<10)

// respondLargeWhenReleased returns a responder that answers requests whose ids begin with slow
// with largeResult once release is closed, and all others at once.
func respondLargeWhenReleased(arrived chan<- struct{}, release <-chan struct{}) responder {
	return func(id string, conn net.Conn) bool {
		if !strings.HasPrefix(id, "slow") {
			return respondDone(id, conn)
		}
		arrived <- struct{}{}
		<-release
		text := fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`+"\n", id, largeResult)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
		return true
	}
}

// sendWithoutPause sends bytes that are not a request, until the connection ends.
func (c *clientConn) sendWithoutPause() {
	junk := make([]byte, 4<<10)
	for {
		if _, err := c.Write(junk); err != nil {
			return
		}
	}
}

// connectAndSend opens a connection and sends a text.
func (d *testDaemon) connectAndSend(text string) *clientConn {
	d.t.Helper()
	client := d.connect()
	io.WriteString(client, text)
	return client
}

// waitUntilRefused waits until the daemon has closed its listener.
func (d *testDaemon) waitUntilRefused() {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", d.listen)
		if err != nil {
			return
		}
		conn.Close()
		if time.Now().After(end) {
			d.t.Fatal("the program does not close its listener")
		}
	}
}

// checkLargeResult checks that a client gets the complete largeResult.
func (c *clientConn) checkLargeResult(t *testing.T, name string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Errorf("a client %s: %v", name, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != 200 || string(body) != largeResult || err != nil {
		t.Errorf("a client %s: %d, %d bytes, %v", name, response.StatusCode, len(body), err)
	}
}

// During a graceful shutdown, the answer to an open request reaches a client that goes on
// sending, and one that reads it late. The connection of an idle client is closed without a
// reset. Nothing that arrives after the arrival window reaches a worker.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	daemon := &testDaemon{t: t}
	release := make(chan struct{})
	arrived := make(chan struct{}, 2)
	respond := respondLargeWhenReleased(arrived, release)
	workers := []*testWorker{daemon.addWorker("s-1", respond), daemon.addWorker("s-2", respond)}
	daemon.start()

	idle := daemon.connectAndSend(requestText("renewal", "usual", "body"))
	response, err := http.ReadResponse(idle.reader, nil)
	if err != nil || response.StatusCode != 200 {
		t.Fatalf("%+v, %v", response, err)
	}
	io.Copy(io.Discard, response.Body)
	late := daemon.connectAndSend(requestText("renewal", "slow-1", "body"))
	sending := daemon.connectAndSend(requestText("renewal", "slow-2", "body"))
	<-arrived
	<-arrived
	go sending.sendWithoutPause()
	incomplete := daemon.connectAndSend(strings.TrimSuffix(requestText("renewal", "half", "body"), "dy"))

	daemon.signal(syscall.SIGTERM)
	response, err = http.ReadResponse(incomplete.reader, nil)
	if err != nil || response.StatusCode != 503 { // not 408, which the client would get 2 s after its first byte
		t.Errorf("half a request: %+v, %v", response, err)
	}
	if _, err := idle.reader.ReadByte(); err != io.EOF { // returns at the end of the arrival window
		t.Errorf("an idle connection ends with %v", err)
	}
	daemon.waitUntilRefused()
	io.WriteString(late, requestText("renewal", "after-the-end", "body"))
	close(release)
	for name, client := range map[string]*clientConn{"that reads late": late, "that goes on sending": sending} {
		client.checkLargeResult(t, name)
	}
	if _, err := late.reader.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}

	answered := time.Now() // the client has not closed its connection, so the program waits for it
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if span := time.Since(answered); span < 200*time.Millisecond {
		t.Errorf("the program ended %v after the last answer, without waiting for the client to close", span)
	}
	for _, worker := range workers {
		for _, request := range worker.requests() {
			if strings.HasPrefix(request, "after") {
				t.Errorf("forwarded after the arrival window: %s", request)
			}
		}
	}
}
