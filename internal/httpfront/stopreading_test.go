package httpfront

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// These tests force two events into one turn of the event loop: the loop is blocked while the client writes, and is
// released once the poller has received the bytes. None of the tests relies on a sleep.

// Checks that a request that was read before StopReading is served.
func TestRequestReadBeforeStopReadingIsServed(t *testing.T) {
	testStopReading(t, 200, func(frontEnd *holdingFrontEnd, conn net.Conn) {
		release := frontEnd.BlockLoop()
		frontEnd.Write(frontEnd.t, conn, testkit.RequestWithID("crossing"))
		frontEnd.Dispatcher.Loop.Post(frontEnd.StopReading)
		release()
	})
}

// Checks that a request is served if the poller has read it but the loop has not handled it yet.
func TestRequestUnhandledAtStopReadingIsServed(t *testing.T) {
	testStopReading(t, 200, func(frontEnd *holdingFrontEnd, conn net.Conn) {
		release := frontEnd.BlockLoop()
		frontEnd.Dispatcher.Loop.Post(frontEnd.StopReading)
		frontEnd.Write(frontEnd.t, conn, testkit.RequestWithID("crossing"))
		release()
	})
}

// Checks that a request that arrives after StopReading is never forwarded.
func TestRequestAfterStopReadingIsNotForwarded(t *testing.T) {
	testStopReading(t, noResponse, func(frontEnd *holdingFrontEnd, conn net.Conn) {
		frontEnd.Do(frontEnd.StopReading)
		frontEnd.waitForLoop()
		io.WriteString(conn, testkit.RequestWithID("crossing"))
	})
}

// Checks that a request of which only a part was read before StopReading is rejected.
func TestHalfRequestAtStopReadingIsRejected(t *testing.T) {
	testStopReading(t, 503, func(frontEnd *holdingFrontEnd, conn net.Conn) {
		release := frontEnd.BlockLoop()
		frontEnd.Dispatcher.Loop.Post(frontEnd.StopReading)
		text := testkit.RequestWithID("crossing")
		frontEnd.Write(frontEnd.t, conn, text[:len(text)/2])
		release()
		io.WriteString(conn, text[len(text)/2:])
	})
}

// noResponse is the status of a request that must get no response.
const noResponse = 0

// testStopReading calls sendAndStop, which stops reading and sends a request on an idle connection, in the order under
// test. It checks that the client gets a response with the status (none if that is noResponse), that its connection is
// closed gracefully, and that no other request is forwarded.
func testStopReading(t *testing.T, status int, sendAndStop func(frontEnd *holdingFrontEnd, conn net.Conn)) {
	t.Helper()
	frontEnd := startHoldingFrontEnd(t)
	conn, reader := testkit.Connect(t, frontEnd.addr, testkit.RequestWithID("first"))
	frontEnd.completeNext()
	requireStatus(t, "the first request", reader, 200)
	sendAndStop(frontEnd, conn)
	if status == 200 {
		frontEnd.completeNext()
	}
	if status != noResponse {
		checkLastResponse(t, reader, status)
	}
	if !closesGracefully(reader) {
		t.Error("the connection is not closed gracefully")
	}
	frontEnd.waitForLoop()
	if forwarded := len(frontEnd.worker.Started); forwarded != 0 {
		t.Errorf("%d requests were forwarded after StopReading", forwarded)
	}
	testkit.Until(t, "all connections end", func() (none bool) {
		frontEnd.Do(func() { none = frontEnd.OpenConnections() == 0 && frontEnd.ConnectionCount() == 0 })
		return none
	})
}

// checkLastResponse reads a response, and checks its status code and that it announces the close of the connection.
func checkLastResponse(t *testing.T, reader *bufio.Reader, status int) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != status || !response.Close {
		t.Fatalf("%+v, %v; want status %d and Connection: close", response, err, status)
	}
	io.Copy(io.Discard, response.Body)
}

// Checks that a client that never stops sending delays neither its own response nor the shutdown.
func TestStopReadingWithAFloodingClient(t *testing.T) {
	frontEnd := startHoldingFrontEnd(t)
	conn, reader := testkit.Connect(t, frontEnd.addr, testkit.RequestWithID("first"))
	attempt := frontEnd.awaitAttempt()
	var sent atomic.Int64
	go func() {
		junk := make([]byte, 16<<10)
		for {
			written, err := conn.Write(junk)
			sent.Add(int64(written))
			if err != nil {
				return
			}
		}
	}()
	testkit.Until(t, "much has been sent", func() bool { return sent.Load() > 100<<10 })
	frontEnd.Do(frontEnd.StopReading)
	frontEnd.complete(attempt)
	checkStatus(t, "its response", reader, 200)
	testkit.Until(t, "its connection ends", func() (none bool) {
		frontEnd.Do(func() { none = frontEnd.OpenConnections() == 0 })
		return none
	})
}
