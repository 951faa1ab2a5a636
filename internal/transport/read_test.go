package transport

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// A connection is read only as fast as its handler processes the data. Guards against
// a peer that sends as fast as it can and fills the memory with buffers that wait for
// the loop.
func TestReadBackpressure(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serve(t, engine, AcceptOptions{NewHandler: handler.accept, SingleBuffer: true, Limit: 10})
	peer, c := server.open(t)
	runOnLoop(engine, c.Pause)
	const total = 5 << 20
	go peer.Write(bytes.Repeat([]byte("x"), total))
	for range 10 {
		time.Sleep(time.Millisecond)
		runOnLoop(engine, func() {})
	}
	if n := len(handler.data); n != 0 {
		t.Fatalf("%d buffers arrived while paused, want none", n)
	}
	runOnLoop(engine, c.Resume)
	received := 0
	for received < total {
		received += len(receive(t, handler.data))
		if inUse := engine.Pool.BytesInUse(); inUse > 4*BufferSize {
			t.Fatalf("%d bytes are in use, want at most %d", inUse, 4*BufferSize)
		}
	}
}

// The end of a connection is reported while it is paused.
func TestEndIsReportedWhilePaused(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serve(t, engine, AcceptOptions{NewHandler: handler.accept, SingleBuffer: true, Limit: 10})
	peer, c := server.open(t)
	runOnLoop(engine, c.Pause)
	peer.Close()
	handler.waitClosed(t)
}

// Bytes that a peer sent before it closed still arrive if several buffers may be in
// transit, even if the loop is busy meanwhile.
func TestBytesBeforeEndArrive(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serve(t, engine, AcceptOptions{NewHandler: handler.accept, Limit: 10})
	peer, _ := server.open(t)
	release := make(chan bool)
	engine.Loop.Post(func() { <-release })
	for _, part := range []string{"one ", "two ", "three"} {
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
	if want := "one two three"; got != want {
		t.Errorf("%q arrived before the end, want %q", got, want)
	}
}

// idleCase is an action of the peer on an idle connection, and the expected results of
// Idle and AllRead after it.
type idleCase struct {
	name    string
	act     func(*net.TCPConn) // on the loopback interface its effect has arrived when the call returns
	idle    bool
	allRead bool
}

// A connection is idle only if its handler has got everything that has arrived: neither
// bytes, read or unread, nor the end of the connection are pending.
func TestIdle(t *testing.T) {
	reset := func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}
	for _, c := range []idleCase{
		{"nothing", func(*net.TCPConn) {}, true, true},
		{"a byte", func(c *net.TCPConn) { c.Write([]byte("x")) }, false, false},
		{"its end", func(c *net.TCPConn) { c.CloseWrite() }, false, true},
		{"a reset", reset, false, true},
	} {
		t.Run(c.name, func(t *testing.T) { testIdle(t, c, false) })
		t.Run(c.name+" while paused", func(t *testing.T) { testIdle(t, c, true) })
	}
}

func testIdle(t *testing.T, want idleCase, paused bool) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serve(t, engine, AcceptOptions{NewHandler: handler.accept, SingleBuffer: true, Limit: 20})
	peer, c := server.open(t)
	runOnLoop(engine, func() {
		if paused {
			c.Pause()
		}
		if !c.Idle() || !c.AllRead() {
			t.Error("the connection is not idle at first")
		}
		want.act(peer.(*net.TCPConn))
		if c.Idle() != want.idle {
			t.Errorf("Idle is %v, want %v", c.Idle(), want.idle)
		}
		if c.AllRead() != want.allRead {
			t.Errorf("AllRead is %v, want %v", c.AllRead(), want.allRead)
		}
	})
}
