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

// These tests force two events into one turn of the event loop: it is blocked while the client writes, and goes on once
// the poller shows that this has arrived. None of them relies on a sleep.

// A request that was read before StopReading is served.
func TestRequestReadBeforeStopReadingIsServed(t *testing.T) {
	testStopReading(t, 200, func(front *holdingFrontEnd, conn net.Conn) {
		release := front.BlockLoop()
		front.Write(front.t, conn, testkit.RequestWithID("crossing"))
		front.Dispatcher.Loop.Post(front.StopReading)
		release()
	})
}

// A request that the poller has read, and the loop has not handled yet, is served.
func TestRequestUnhandledAtStopReadingIsServed(t *testing.T) {
	testStopReading(t, 200, func(front *holdingFrontEnd, conn net.Conn) {
		release := front.BlockLoop()
		front.Dispatcher.Loop.Post(front.StopReading)
		front.Write(front.t, conn, testkit.RequestWithID("crossing"))
		release()
	})
}

// A request that comes after StopReading is never forwarded.
func TestRequestAfterStopReadingIsNotForwarded(t *testing.T) {
	testStopReading(t, noResponse, func(front *holdingFrontEnd, conn net.Conn) {
		front.Do(front.StopReading)
		front.waitForHandled()
		io.WriteString(conn, testkit.RequestWithID("crossing"))
	})
}

// A request of which only a half was read before StopReading is rejected.
func TestHalfRequestAtStopReadingIsRejected(t *testing.T) {
	testStopReading(t, 503, func(front *holdingFrontEnd, conn net.Conn) {
		release := front.BlockLoop()
		front.Dispatcher.Loop.Post(front.StopReading)
		text := testkit.RequestWithID("crossing")
		front.Write(front.t, conn, text[:len(text)/2])
		release()
		io.WriteString(conn, text[len(text)/2:])
	})
}

// noResponse is the status of a request that must get no response.
const noResponse = 0

// testStopReading stops reading while a usual client, whose connection is idle, sends a request, in the order that
// cross says. It checks that the client gets a response with a status, that its connection is closed in order, and that
// no other request is forwarded.
func testStopReading(t *testing.T, status int, cross func(front *holdingFrontEnd, conn net.Conn)) {
	t.Helper()
	front := startHoldingFrontEnd(t)
	conn, reader := testkit.Connect(t, front.addr, testkit.RequestWithID("first"))
	front.completeNext()
	requireStatus(t, "the first request", reader, 200)
	cross(front, conn)
	if status == 200 {
		front.completeNext()
	}
	if status != noResponse {
		checkLastResponse(t, reader, status)
	}
	if !endsInOrder(reader) {
		t.Error("the connection is not closed in order")
	}
	front.waitForHandled()
	if forwarded := len(front.worker.Started); forwarded != 0 {
		t.Errorf("%d requests were forwarded after StopReading", forwarded)
	}
	testkit.Until(t, "all connections end", func() (none bool) {
		front.Do(func() { none = front.OpenConnections() == 0 && front.ConnectionCount() == 0 })
		return none
	})
}

// checkLastResponse reads a response and checks its status code, and that it says that the connection ends.
func checkLastResponse(t *testing.T, reader *bufio.Reader, status int) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != status || !response.Close {
		t.Fatalf("%+v, %v; want %d and the connection's end", response, err, status)
	}
	io.Copy(io.Discard, response.Body)
}

// A client that sends without end delays neither its own response nor the shutdown.
func TestStopReadingWithAFloodingClient(t *testing.T) {
	front := startHoldingFrontEnd(t)
	conn, reader := testkit.Connect(t, front.addr, testkit.RequestWithID("first"))
	attempt := front.awaitAttempt()
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
	front.Do(front.StopReading)
	front.complete(attempt)
	checkStatus(t, "its response", reader, 200)
	testkit.Until(t, "its connection ends", func() (none bool) {
		front.Do(func() { none = front.OpenConnections() == 0 })
		return none
	})
}
