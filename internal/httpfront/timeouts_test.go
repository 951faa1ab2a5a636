package httpfront

import (
	"io"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Checks that a request that is not complete in time is rejected, even if its bytes keep arriving slowly.
func TestTricklingRequestTimesOut(t *testing.T) {
	addr := startEchoFrontEnd(t, ampleMemory, 20)
	for _, start := range []string{
		"POST /renewal/k HTTP/1.1\r\nX-Note: ",
		"POST /renewal/k HTTP/1.1\r\nContent-Length: 60000\r\n\r\n",
	} {
		conn, reader := testkit.Connect(t, addr, start)
		responded := make(chan int, 1)
		go func() { responded <- testkit.ReadStatus(reader) }()
		status := -1
		for status < 0 {
			select {
			case status = <-responded:
			case <-time.After(20 * time.Millisecond):
				io.WriteString(conn, "x")
			}
		}
		if status != 408 {
			t.Errorf("%q: status %d, want 408", start, status)
		}
	}
}

// Checks that a request is served if it arrives in the same turn of the event loop in which the idle timeout of its
// connection ends.
func TestIdleTimeoutAsARequestComes(t *testing.T) {
	frontEnd := startHoldingFrontEnd(t)
	conn, reader := testkit.Connect(t, frontEnd.addr, testkit.RequestWithID("first"))
	frontEnd.completeNext()
	requireStatus(t, "the first request", reader, 200)
	release := frontEnd.BlockLoop()
	frontEnd.Dispatcher.Loop.Post(func() {
		frontEnd.connections.ForEach(func(_ uint64, connection *clientConnection) { connection.onTimer() })
	})
	frontEnd.Write(t, conn, testkit.RequestWithID("crossing"))
	release()
	frontEnd.completeNext()
	checkStatus(t, "the crossing request", reader, 200)
}
