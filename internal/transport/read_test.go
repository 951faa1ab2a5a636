package transport

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// No more is read from a connection than its handler takes in: a peer that sent as
// fast as it could once filled the memory with what waited for the loop. What a
// peer sent before it closed still arrives, and its end is reported while paused.
func TestReadBackpressure(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	opened := make(chan *Conn, 10)
	newHandler := func(c *Conn) Handler { opened <- c; return handler }
	narrow, err1 := engine.Listen("127.0.0.1:0", 10, true, newHandler, func() {})
	wide, err2 := engine.Listen("127.0.0.1:0", 10, false, newHandler, func() {})
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	open := func(addr net.Addr) (net.Conn, *Conn) {
		peer, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { peer.Close() })
		return peer, receive(t, opened)
	}
	peer, c := open(narrow.Addr())
	runOnLoop(engine, c.Pause)
	total := 5 << 20
	go peer.Write(bytes.Repeat([]byte("x"), total))
	for range 10 {
		time.Sleep(time.Millisecond)
		runOnLoop(engine, func() {})
	}
	if n := len(handler.data); n != 0 {
		t.Fatalf("%d buffers arrived while paused", n)
	}
	runOnLoop(engine, c.Resume)
	for n := 0; n < total; {
		n += len(receive(t, handler.data))
		if inUse := engine.Pool.BytesInUse(); inUse > 4*BufferSize {
			t.Fatalf("%d bytes are in use", inUse)
		}
	}
	peer, c = open(narrow.Addr())
	runOnLoop(engine, c.Pause)
	peer.Close()
	handler.waitClosed(t)
	peer, _ = open(wide.Addr())
	release := make(chan bool)
	engine.Loop.Post(func() { <-release })
	for _, part := range []string{"one ", "two ", "three"} { // while the loop is busy elsewhere
		peer.Write([]byte(part))
		time.Sleep(5 * time.Millisecond)
	}
	peer.Close()
	time.Sleep(5 * time.Millisecond)
	close(release)
	handler.waitClosed(t)
	got := ""
	for len(handler.data) > 0 {
		got += <-handler.data
	}
	if got != "one two three" {
		t.Errorf("%q arrived before the end", got)
	}
}

// A connection is idle only while its handler has got all that has arrived: there
// are no bytes, read or unread, and no end.
func TestIdle(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn){
		"nothing": func(*net.TCPConn) {},
		"a byte":  func(c *net.TCPConn) { c.Write([]byte("x")) },
		"its end": func(c *net.TCPConn) { c.CloseWrite() },
		"a reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, paused := range []bool{false, true} {
			engine := startEngine(t, 100)
			handler := newRecordingHandler(engine)
			opened := make(chan *Conn, 1)
			acceptor, err := engine.Listen("127.0.0.1:0", 20, true, func(c *Conn) Handler { opened <- c; return handler }, func() {})
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp", acceptor.String())
			if err != nil {
				t.Fatal(err)
			}
			c := receive(t, opened)
			runOnLoop(engine, func() {
				if paused {
					c.Pause()
				}
				if !c.Idle() || !c.AllRead() {
					t.Errorf("%s: it is not idle at first", name)
				}
				act(conn.(*net.TCPConn)) // on loopback it has arrived when the call returns
				if c.Idle() != (name == "nothing") {
					t.Errorf("%s, paused %v: Idle is %v", name, paused, c.Idle())
				}
				if c.AllRead() != (name != "a byte") {
					t.Errorf("%s, paused %v: NothingUnread is %v", name, paused, c.AllRead())
				}
			})
			conn.Close()
		}
	}
}
