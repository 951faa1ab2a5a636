package transport

import (
	"net"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
)

const testTimeout = 20 * time.Second

// recordingHandler sends the events of its connections to channels.
type recordingHandler struct {
	data   chan string
	closed chan error
	engine *Engine
}

// newRecordingHandler returns a handler whose channels have a capacity of 1000 events.
func newRecordingHandler(engine *Engine) *recordingHandler {
	return &recordingHandler{make(chan string, 1000), make(chan error, 1000), engine}
}

func (h *recordingHandler) OnData(_ *Conn, b *Buffer) {
	h.data <- string(b.Bytes())
	h.engine.Pool.Put(b)
}

func (h *recordingHandler) OnClosed(_ *Conn, err error) { h.closed <- err }

// accept can be used as AcceptOptions.NewHandler; all connections then share this
// handler.
func (h *recordingHandler) accept(*Conn) Handler { return h }

// waitClosed waits until a connection has ended, and returns the error passed to
// OnClosed.
func (h *recordingHandler) waitClosed(t *testing.T) error {
	t.Helper()
	return receive(t, h.closed)
}

// receive returns the next value of a channel.
func receive[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("no value within the time limit")
	}
	return v
}

// testServer is an acceptor that sends the connections it accepts to a channel.
type testServer struct {
	*Acceptor
	opened chan *Conn
}

// serve starts a testServer on the loopback interface.
func serve(t *testing.T, engine *Engine, options AcceptOptions) *testServer {
	t.Helper()
	server := &testServer{opened: make(chan *Conn, 100)}
	newHandler := options.NewHandler
	options.NewHandler = func(c *Conn) Handler {
		handler := newHandler(c)
		server.opened <- c
		return handler
	}
	acceptor, err := engine.Listen("127.0.0.1:0", options)
	if err != nil {
		t.Fatal(err)
	}
	server.Acceptor = acceptor
	return server
}

// connect opens a connection to the server, which is closed at the end of the test.
func (s *testServer) connect(t *testing.T) net.Conn {
	t.Helper()
	peer, err := net.Dial("tcp", s.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return peer
}

// open opens a connection to the server, and returns both of its ends.
func (s *testServer) open(t *testing.T) (net.Conn, *Conn) {
	t.Helper()
	peer := s.connect(t)
	return peer, receive(t, s.opened)
}

// startEngine starts an engine and its loop, which both run until the end of the test.
func startEngine(t *testing.T, descriptors int) *Engine {
	t.Helper()
	loop := eventloop.New()
	engine, err := NewEngine(loop, descriptors)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		loop.Run()
		close(done)
	}()
	t.Cleanup(func() {
		loop.Stop()
		<-done
		engine.StopListening()
	})
	return engine
}

// runOnLoop runs f on the loop's goroutine and waits until it has returned.
func runOnLoop(engine *Engine, f func()) {
	done := make(chan struct{})
	engine.Loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

type dialResult struct {
	conn *Conn
	err  error
}

// dial opens a connection and writes "first" to it at once.
func dial(engine *Engine, addr string, handler Handler) chan dialResult {
	got := make(chan dialResult, 1)
	engine.Dial(addr, testTimeout, handler, func(c *Conn, err error) {
		if c != nil {
			c.Write([]byte("first")) // must not crash if nbio has not registered the connection yet
		}
		got <- dialResult{c, err}
	})
	return got
}
