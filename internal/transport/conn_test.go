package transport

import (
	"io"
	"net"
	"testing"
)

// Dial reaches the address that it is given, which nbio's own dial did not, and
// reports a refused connection; the slot is free again when the connection ends.
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
	if b := make([]byte, 5); c == nil || c.Handle == 0 {
		t.Fatal("no connection")
	} else if _, err := io.ReadFull(conn, b); err != nil || string(b) != "first" {
		t.Fatalf("%q, %v", b, err)
	}
	conn.Write([]byte("hello"))
	if s := receive(t, handler.data); s != "hello" {
		t.Errorf("read %q", s)
	}
	conn.Close()
	handler.waitClosed(t)
	runOnLoop(engine, func() {
		if c.Handle != 0 || engine.OpenConnections() != 0 || c.Write([]byte("x")) {
			t.Error("the connection is still there")
		}
	})
	listener.Close()
	result := receive(t, dial(engine, listener.Addr().String(), handler))
	if result.err == nil {
		t.Error("a refused connection is reported as open")
	}
}
