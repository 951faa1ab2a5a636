package transport

import (
	"io"
	"net"
	"testing"
)

// Dial connects to the given address, unlike nbio's own dial, and reports a refused
// connection. The slot is free again after the connection has ended.
func TestDial(t *testing.T) {
	engine := startEngine(t, 100)
	listener, err := net.Listen("tcp", "127.5.6.7:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := newRecordingHandler(engine)
	got := dial(engine, listener.Addr().String(), handler)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := receive(t, got).conn
	if c == nil || c.Handle == 0 {
		t.Fatal("Dial opened no connection")
	}
	sent := make([]byte, len("first"))
	if _, err := io.ReadFull(conn, sent); err != nil || string(sent) != "first" {
		t.Fatalf("the peer read %q, error %v; want first", sent, err)
	}
	conn.Write([]byte("hello"))
	if received := receive(t, handler.data); received != "hello" {
		t.Errorf("received %q, want hello", received)
	}
	conn.Close()
	handler.waitClosed(t)
	runOnLoop(engine, func() {
		if c.Handle != 0 || engine.OpenConnections() != 0 || c.Write([]byte("x")) {
			t.Error("the connection is still open after the peer has closed it")
		}
	})
	listener.Close()
	result := receive(t, dial(engine, listener.Addr().String(), handler))
	if result.err == nil {
		t.Error("a refused connection is reported as open")
	}
}
