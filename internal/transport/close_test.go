package transport

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// Flushed and SentBytes report what has gone to the socket, which decides whether
// a request may have been processed. CloseGracefully sends all that was written
// before the connection closes.
func TestPartialWritesAndGracefulClose(t *testing.T) {
	engine := startEngine(t, 100)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	got := dial(engine, listener.Addr().String(), newRecordingHandler(engine))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := receive(t, got).conn
	large := bytes.Repeat([]byte("x"), 32<<20) // more than any socket buffer takes
	runOnLoop(engine, func() {
		c.Write(large)
		if c.Flushed(c.WriteOffset()) || !c.Flushed(5) {
			t.Errorf("%d of %d bytes were sent", c.SentBytes(), c.WriteOffset())
		}
		c.CloseGracefully()
	})
	// CloseGracefully waits for at most lingerTimeout, so this peer reads at once.
	n, err := io.Copy(io.Discard, conn)
	if n != int64(len(large)+5) || err != nil {
		t.Errorf("%d bytes arrived, %v", n, err)
	}
}

// A connection that is closed while the poller still has an event for it must not
// free its descriptor for the next connection: the event closed that one, unread.
// The poller is blocked between two events here, as by a busy loop.
func TestCloseKeepsDescriptorFromReuse(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	opened := make(chan *Conn, 20)
	acceptor, err := engine.Listen("127.0.0.1:0", 20, false, func(c *Conn) Handler { opened <- c; return handler }, func() {})
	if err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", acceptor.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	setInTransit := func(n int) {
		engine.transitMu.Lock()
		engine.inTransit = n
		engine.transitMu.Unlock()
		engine.transitCond.Signal()
	}
	first, second := dial(), dial()
	receive(t, opened)
	receive(t, opened)
	var peers []net.Conn
	var conns []*Conn
	for range 6 {
		peers = append(peers, dial())
		conns = append(conns, receive(t, opened))
	}
	setInTransit(maxBuffersInTransit)
	first.Write([]byte("first")) // the poller waits before it reads this
	time.Sleep(20 * time.Millisecond)
	second.Write([]byte("second")) // and will wait before this one, while it has the events of the others' ends
	for _, p := range peers {
		p.Close()
	}
	closed := make(chan bool)
	resumeLoop := make(chan bool)
	engine.Loop.Post(func() {
		for _, c := range conns {
			c.Close()
		}
		close(closed)
		<-resumeLoop
	})
	setInTransit(maxBuffersInTransit - 1)
	receive(t, closed)
	next := []net.Conn{dial(), dial(), dial()}
	time.Sleep(50 * time.Millisecond) // for them to be accepted; where they are not, the test checks less
	close(resumeLoop)
	setInTransit(0)
	for range 3 {
		receive(t, opened)
	}
	for _, conn := range next {
		conn.Write([]byte("next"))
	}
	received := map[string]int{}
	for range 5 {
		received[receive(t, handler.data)]++
	}
	if received["first"] != 1 || received["second"] != 1 || received["next"] != 3 || len(handler.closed) > 0 {
		t.Errorf("received %v; %d connections were closed unread", received, len(handler.closed))
	}
}

// What Discard drops is bounded and reaches no handler; the peer's end, which comes
// behind it, does.
func TestDiscard(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	opened := make(chan *Conn, 2)
	acceptor, err := engine.Listen("127.0.0.1:0", 20, true, func(c *Conn) Handler { c.Discard(1 << 20); opened <- c; return handler }, func() {})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		bytes        int
		endIsReached bool
	}{{0, true}, {100, true}, {700 << 10, true}, {64 << 20, false}} {
		conn, err := net.Dial("tcp", acceptor.String())
		if err != nil {
			t.Fatal(err)
		}
		c := receive(t, opened)
		sent := make(chan int, 1)
		go func() {
			n, _ := conn.Write(make([]byte, x.bytes))
			conn.Close()
			sent <- n
		}()
		if !x.endIsReached { // it stops for good, so that the peer fills the kernel's buffers
			deadline := time.Now().Add(testTimeout)
			last := discardedBytes(engine, c)
			lastChange := time.Now()
			for last < 1<<20 || time.Since(lastChange) < 50*lingerInterval {
				time.Sleep(lingerInterval)
				now := discardedBytes(engine, c)
				if now != last {
					last = now
					lastChange = time.Now()
				}
				if time.Now().After(deadline) {
					t.Fatalf("%d bytes were discarded, and it does not stop", last)
				}
			}
			if n := discardedBytes(engine, c); n > 1<<20+BufferSize {
				t.Errorf("%d bytes were discarded, the limit is %d", n, 1<<20)
			}
			runOnLoop(engine, c.Close)
			receive(t, sent)
			continue
		}
		handler.waitClosed(t)
		if n := receive(t, sent); n != x.bytes || len(handler.data) > 0 {
			t.Errorf("%d of %d bytes sent, the handler got %d buffers", n, x.bytes, len(handler.data))
		}
	}
}

// discardedBytes returns how many bytes a connection has discarded so far.
func discardedBytes(engine *Engine, c *Conn) (n int) {
	runOnLoop(engine, func() { n = c.discardedBytes })
	return n
}
