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
			t.Errorf("%d of %d bytes were sent, want 5 at least but not all", c.SentBytes(), c.WriteOffset())
		}
		c.CloseGracefully()
	})
	// CloseGracefully waits for at most lingerTimeout, so this peer reads at once.
	n, err := io.Copy(io.Discard, conn)
	if n != int64(len(large)+5) || err != nil {
		t.Errorf("%d bytes arrived, error %v; want %d", n, err, len(large)+5)
	}
}

// setInTransit sets how many buffers the poller counts as on their way to handlers.
func setInTransit(engine *Engine, buffers int) {
	engine.transitMu.Lock()
	engine.inTransit = buffers
	engine.transitMu.Unlock()
	engine.transitCond.Signal()
}

// closeOnLoop closes connections on the loop, which then is busy until resume is
// closed. The channel that it returns is closed once they are.
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

// A connection that is closed while the poller still has an event for it must not
// free its descriptor for the next connection: the event closed that one, unread.
// The poller is blocked between two events here, as by a busy loop.
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

	// The poller waits before it reads the first connection, and will wait before the
	// second, while it has the events of the others' ends.
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
	time.Sleep(50 * time.Millisecond) // for them to be accepted; where they are not, the test checks less
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
		t.Errorf("received %v, want first, second and three times next; %d connections were closed unread",
			received, len(handler.closed))
	}
}

// discardLimit is the limit of the tests of Discard.
const discardLimit = 1 << 20

// serveDiscarding starts a server that discards what it receives.
func serveDiscarding(t *testing.T, engine *Engine, handler *recordingHandler) *testServer {
	t.Helper()
	discard := func(c *Conn) Handler {
		c.Discard(discardLimit)
		return handler
	}
	return serve(t, engine, AcceptOptions{NewHandler: discard, SingleBuffer: true, Limit: 20})
}

// sendAndClose sends zeros and closes the connection, and then passes on how many
// were sent.
func sendAndClose(peer net.Conn, size int) (sent chan int) {
	sent = make(chan int, 1)
	go func() {
		n, _ := peer.Write(make([]byte, size))
		peer.Close()
		sent <- n
	}()
	return sent
}

// What Discard drops reaches no handler; the peer's end, which comes behind it, does.
func TestDiscardReachesEnd(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serveDiscarding(t, engine, handler)
	for _, size := range []int{0, 100, 700 << 10} {
		peer, _ := server.open(t)
		sent := sendAndClose(peer, size)
		handler.waitClosed(t)
		if n := receive(t, sent); n != size || len(handler.data) > 0 {
			t.Errorf("%d of %d bytes sent, the handler got %d buffers, want none", n, size, len(handler.data))
		}
	}
}

// Discard stops for good at its limit, so that the peer fills the kernel's buffers.
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

// waitUntilDiscardStops waits until a connection has reached the limit and discards
// no more.
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
			t.Fatalf("%d bytes were discarded, and it does not stop", last)
		}
	}
}

// discardedBytes returns how many bytes a connection has discarded so far.
func discardedBytes(engine *Engine, c *Conn) (n int) {
	runOnLoop(engine, func() { n = c.discardedBytes })
	return n
}
