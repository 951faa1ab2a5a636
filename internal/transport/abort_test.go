package transport

import (
	"bytes"
	"errors"
	"io"
	"syscall"
	"testing"
	"time"
)

// Guards against work for a client that has left: the bytes of an aborted connection that its peer had not received yet
// were delivered until the poller closed the socket. Here the poller is blocked, as by a busy loop.
func TestAbortDeliversNothingMore(t *testing.T) {
	engine := startEngine(t, 100)
	server := serve(t, engine, AcceptOptions{NewHandler: newRecordingHandler(engine).accept, Limit: 20})
	first := server.connect(t)
	receive(t, server.opened)
	peer, aborted := server.open(t)
	message := bytes.Repeat([]byte("x"), 32<<20) // more than fits in the buffers of both sockets

	setInTransit(engine, maxBuffersInTransit)
	first.Write([]byte("first"))
	time.Sleep(20 * time.Millisecond) // lets the poller begin to wait; if it does not, the test checks less
	var taken int64
	runOnLoop(engine, func() {
		aborted.Write(message)
		taken = aborted.SentBytes()
		aborted.Abort()
	})
	received, err := io.Copy(io.Discard, peer)
	setInTransit(engine, 0)
	if received >= taken || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d of the %d bytes that the socket had taken arrived after the abort, then %v; want fewer and a reset",
			received, taken, err)
	}
}

// Guards against an attempt that leaves after its deadline: a write in many slow pieces goes on behind the time at which
// it was allowed.
func TestWriteBeforeSendsNothingTooLate(t *testing.T) {
	engine := startEngine(t, 100)
	server := serve(t, engine, AcceptOptions{NewHandler: newRecordingHandler(engine).accept, Limit: 20})
	peer, conn := server.open(t)
	runOnLoop(engine, func() {
		now := engine.Loop.Now()
		inTime := conn.WriteBefore([]byte("in time"), now+time.Hour)
		tooLate := conn.WriteBefore([]byte("too late"), now)
		if !inTime || tooLate {
			t.Errorf("written in time %v, too late %v; want true and false", inTime, tooLate)
		}
		conn.Close()
	})
	if got, err := io.ReadAll(peer); string(got) != "in time" {
		t.Errorf("the peer has %q, %v", got, err)
	}
}
