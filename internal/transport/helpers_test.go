package transport

import (
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

// newRecordingHandler returns a handler whose channels take a thousand events.
func newRecordingHandler(engine *Engine) *recordingHandler {
	return &recordingHandler{make(chan string, 1000), make(chan error, 1000), engine}
}

func (h *recordingHandler) OnData(_ *Conn, b *Buffer) {
	h.data <- string(b.Bytes())
	h.engine.Pool.Put(b)
}

func (h *recordingHandler) OnClosed(_ *Conn, err error) { h.closed <- err }

// waitClosed waits until a connection has ended, and returns how.
func (h *recordingHandler) waitClosed(t *testing.T) error { return receive(t, h.closed) }

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

// startEngine starts an engine and its loop until the end of the test.
func startEngine(t *testing.T, descriptors int) *Engine {
	loop := eventloop.New()
	engine, err := NewEngine(loop, descriptors)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	t.Cleanup(func() { loop.Stop(); <-done; engine.StopListening() })
	return engine
}

// runOnLoop runs f on the loop's goroutine.
func runOnLoop(engine *Engine, f func()) {
	done := make(chan struct{})
	engine.Loop.Post(func() { f(); close(done) })
	<-done
}

type dialResult struct {
	conn *Conn
	err  error
}

// dial opens a connection and writes to it at once.
func dial(engine *Engine, addr string, handler Handler) chan dialResult {
	got := make(chan dialResult, 1)
	engine.Dial(addr, testTimeout, handler, func(c *Conn, err error) {
		if c != nil {
			c.Write([]byte("first")) // crashed once, where nbio did not hold the connection yet
		}
		got <- dialResult{c, err}
	})
	return got
}
