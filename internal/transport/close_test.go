package transport

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// Flushed and SentBytes report which bytes have been written to the socket, by which
// callers decide whether a request may have been processed. CloseGracefully sends all
// written bytes before it closes the connection.
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
	large := bytes.Repeat([]byte("x"), 32<<20) // more than fits in a socket buffer
	runOnLoop(engine, func() {
		c.Write(large)
		if c.Flushed(c.WriteOffset()) || !c.Flushed(5) {
			t.Errorf("%d of %d bytes were sent, want at least 5 but not all", c.SentBytes(), c.WriteOffset())
		}
		c.CloseGracefully()
	})
	// CloseGracefully waits at most lingerTimeout, so the peer must read at once.
	n, err := io.Copy(io.Discard, conn)
	if n != int64(len(large)+5) || err != nil {
		t.Errorf("%d bytes arrived, error %v; want %d", n, err, len(large)+5)
	}
}

// setInTransit sets the engine's number of buffers in transit to handlers.
func setInTransit(engine *Engine, buffers int) {
	engine.transitMu.Lock()
	engine.inTransit = buffers
	engine.transitMu.Unlock()
	engine.transitCond.Signal()
}

// closeOnLoop closes connections on the loop's goroutine and then blocks the loop
// until resume is closed. The returned channel is closed when the connections have
// been closed.
func closeOnLoop(engine *Engine, conns []*Conn, resume chan bool) (closed chan bool) {
	closed = make(chan bool)
	engine.Loop.Post(func() {
		for _, c := range conns {
			c.Close()
		}
		close(closed)
		<-resume
	})
	return closed
}

// Guards against the reuse of a descriptor for which the poller still has an event:
// a connection is closed while the poller has an event for it, the next connection
// gets the same descriptor, and the event closes that connection before anything is
// read from it. Here the poller is blocked between two events, as by a busy loop.
func TestCloseKeepsDescriptorFromReuse(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serve(t, engine, AcceptOptions{NewHandler: handler.accept, Limit: 20})
	first := server.connect(t)
	second := server.connect(t)
	receive(t, server.opened)
	receive(t, server.opened)
	var peers []net.Conn
	var conns []*Conn
	for range 6 {
		peer, c := server.open(t)
		peers = append(peers, peer)
		conns = append(conns, c)
	}

	// The poller waits before it reads the first connection, and later before it reads
	// the second one. Meanwhile it has events for the ends of the other connections.
	setInTransit(engine, maxBuffersInTransit)
	first.Write([]byte("first"))
	time.Sleep(20 * time.Millisecond)
	second.Write([]byte("second"))
	for _, peer := range peers {
		peer.Close()
	}

	resumeLoop := make(chan bool)
	closed := closeOnLoop(engine, conns, resumeLoop)
	setInTransit(engine, maxBuffersInTransit-1)
	receive(t, closed)
	var next []net.Conn
	for range 3 {
		next = append(next, server.connect(t))
	}
	time.Sleep(50 * time.Millisecond) // lets them be accepted; if they are not, the test checks less
	close(resumeLoop)
	setInTransit(engine, 0)
	for range next {
		receive(t, server.opened)
	}

	for _, peer := range next {
		peer.Write([]byte("next"))
	}
	received := map[string]int{}
	for range 5 {
		received[receive(t, handler.data)]++
	}
	if received["first"] != 1 || received["second"] != 1 || received["next"] != 3 || len(handler.closed) > 0 {
		t.Errorf("received %v, want first once, second once and next three times; %d connections were closed",
			received, len(handler.closed))
	}
}

// discardLimit is the limit that the tests pass to Discard.
const discardLimit = 1 << 20

// serveDiscarding starts a server that calls Discard on each connection.
func serveDiscarding(t *testing.T, engine *Engine, handler *recordingHandler) *testServer {
	t.Helper()
	discard := func(c *Conn) Handler {
		c.Discard(discardLimit)
		return handler
	}
	return serve(t, engine, AcceptOptions{NewHandler: discard, SingleBuffer: true, Limit: 20})
}

// sendAndClose starts a goroutine that sends size zero bytes and closes the
// connection. The channel gets the number of bytes that were sent.
func sendAndClose(peer net.Conn, size int) (sent chan int) {
	sent = make(chan int, 1)
	go func() {
		n, _ := peer.Write(make([]byte, size))
		peer.Close()
		sent <- n
	}()
	return sent
}

// The handler does not get the bytes that Discard reads, but it is told of the end of
// the connection that follows them.
func TestDiscardReachesEnd(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serveDiscarding(t, engine, handler)
	for _, size := range []int{0, 100, 700 << 10} {
		peer, _ := server.open(t)
		sent := sendAndClose(peer, size)
		handler.waitClosed(t)
		if n := receive(t, sent); n != size || len(handler.data) > 0 {
			t.Errorf("%d of %d bytes were sent; the handler got %d buffers, want 0", n, size, len(handler.data))
		}
	}
}

// Discard stops permanently at its limit. The peer can then only fill the kernel's
// buffers.
func TestDiscardIsBounded(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serveDiscarding(t, engine, handler)
	peer, c := server.open(t)
	sent := sendAndClose(peer, 64<<20)
	waitUntilDiscardStops(t, engine, c)
	if n := discardedBytes(engine, c); n > discardLimit+BufferSize {
		t.Errorf("%d bytes were discarded, the limit is %d", n, discardLimit)
	}
	runOnLoop(engine, c.Close)
	receive(t, sent)
}

// waitUntilDiscardStops waits until a connection has discarded discardLimit bytes and
// has stopped discarding.
func waitUntilDiscardStops(t *testing.T, engine *Engine, c *Conn) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	last := discardedBytes(engine, c)
	lastChange := time.Now()
	for last < discardLimit || time.Since(lastChange) < 50*lingerInterval {
		time.Sleep(lingerInterval)
		now := discardedBytes(engine, c)
		if now != last {
			last = now
			lastChange = time.Now()
		}
		if time.Now().After(deadline) {
			t.Fatalf("Discard has not stopped after %d bytes", last)
		}
	}
}

// discardedBytes returns the number of bytes that a connection has discarded so far.
func discardedBytes(engine *Engine, c *Conn) (n int) {
	runOnLoop(engine, func() { n = c.discardedBytes })
	return n
}
