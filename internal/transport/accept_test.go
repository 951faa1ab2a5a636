package transport

import (
	"net"
	"testing"
	"time"
)

// No more connections than the limit are open; onFull is called for one that
// waits, and it is accepted once another has ended.
func TestConnectionLimit(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	full := make(chan bool, 100)
	opened := make(chan *Conn, 10)
	newHandler := func(c *Conn) Handler { opened <- c; return handler }
	acceptor, err := engine.Listen("127.0.0.1:0", 2, true, newHandler, func() { full <- true })
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		conn, err := net.Dial("tcp", acceptor.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	first := receive(t, opened)
	receive(t, opened)
	receive(t, full)
	runOnLoop(engine, func() {
		if len(opened) != 0 {
			t.Error("a third is open")
		}
		first.Close()
	})
	receive(t, opened)
	dials := 0
	for ; engine.dials.tryAcquire(); dials++ {
	}
	result := receive(t, dial(engine, acceptor.String(), handler))
	if dials != engine.dials.limit || result.err != ErrNoDescriptor {
		t.Errorf("after %d dials: %v", dials, result.err)
	}
}

// A process with a smaller share of the descriptors for a while accepts fewer
// connections, closes none for it, and then accepts as many as before. A fixed
// limit stays as it is, and a listener that is added later gets the share.
func TestResize(t *testing.T) {
	engine := startEngine(t, 124)
	opened := make(chan *Conn, 100)
	handler := newRecordingHandler(engine)
	newHandler := func(c *Conn) Handler { opened <- c; return handler }
	serve := func(limit int) *Acceptor {
		acceptor, err := engine.Listen("127.0.0.1:0", limit, true, newHandler, func() {})
		if err != nil {
			t.Fatal(err)
		}
		return acceptor
	}
	dial := func(a *Acceptor, n int) {
		for range n {
			conn, err := net.Dial("tcp", a.String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
		}
	}
	wide, fixed := serve(10), serve(4).FixLimit()
	engine.Resize(24 + 50) // half of what is usable
	dial(wide, 7)
	dial(fixed, 4)
	for range 9 {
		receive(t, opened)
	}
	later := serve(6)
	dial(later, 4)
	for range 3 {
		receive(t, opened)
	}
	time.Sleep(20 * time.Millisecond) // time for one too many to be accepted
	if n := len(opened); n > 0 || engine.dials.limit != 20 {
		t.Fatalf("%d more than half were accepted; the limit of dials is %d", n, engine.dials.limit)
	}
	engine.Resize(124)
	for range 3 {
		receive(t, opened)
	}
	engine.Resize(1 << 20)
	if engine.dials.limit != 40 {
		t.Errorf("the limit of dials is %d, more than at the start", engine.dials.limit)
	}
}

// A closed acceptor counts its connections down to 0, whether it had reached its
// limit when it was closed or waited for a connection.
func TestOpenConnectionsAfterClose(t *testing.T) {
	for _, limit := range []int{1, 5} {
		engine := startEngine(t, 100)
		handler := newRecordingHandler(engine)
		opened := make(chan *Conn, 1)
		full := make(chan bool, 10)
		newHandler := func(c *Conn) Handler { opened <- c; return handler }
		acceptor, err := engine.Listen("127.0.0.1:0", limit, true, newHandler, func() { full <- true })
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", acceptor.String())
		if err != nil {
			t.Fatal(err)
		}
		receive(t, opened)
		if limit == 1 {
			receive(t, full) // it waits for a connection to end
		}
		acceptor.Close()
		if n := acceptor.OpenConnections(); n < 1 {
			t.Errorf("%d connections counted, one is open", n)
		}
		conn.Close()
		handler.waitClosed(t)
		for end := time.Now().Add(testTimeout); acceptor.OpenConnections() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("limit %d: %d connections counted, none is open", limit, acceptor.OpenConnections())
			}
		}
	}
}
