package transport

import (
	"testing"
	"time"
)

// At most as many connections as the limit are open. OnFull is called when a
// connection must wait, and the connection is accepted once another one has ended.
func TestConnectionLimit(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	full := make(chan bool, 100)
	server := serve(t, engine, AcceptOptions{
		NewHandler:   handler.accept,
		SingleBuffer: true,
		Limit:        2,
		OnFull:       func() { full <- true },
	})
	for range 3 {
		server.connect(t)
	}
	first := receive(t, server.opened)
	receive(t, server.opened)
	receive(t, full)
	runOnLoop(engine, func() {
		if len(server.opened) != 0 {
			t.Error("a third connection is open, with a limit of two")
		}
		first.Close()
	})
	receive(t, server.opened)
}

// A dial fails with ErrNoDescriptor when all descriptors for dials are in use.
func TestDialLimit(t *testing.T) {
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serve(t, engine, AcceptOptions{NewHandler: handler.accept, Limit: 2})
	dials := 0
	for engine.dials.tryAcquire() {
		dials++
	}
	result := receive(t, dial(engine, server.String(), handler))
	if dials != engine.dials.limit || result.err != ErrNoDescriptor {
		t.Errorf("after %d dials: error %v, want %v after %d dials", dials, result.err, ErrNoDescriptor, engine.dials.limit)
	}
}

// A process that has a smaller share of the descriptors for a while accepts fewer
// connections meanwhile, without closing any, and then as many as before. A fixed
// limit does not change, and the limit of a listener that is added later is reduced
// by the same share.
func TestResize(t *testing.T) {
	engine := startEngine(t, 124)
	handler := newRecordingHandler(engine)
	serveUpTo := func(limit int) *testServer {
		return serve(t, engine, AcceptOptions{NewHandler: handler.accept, SingleBuffer: true, Limit: limit})
	}
	connect := func(server *testServer, connections int) {
		for range connections {
			server.connect(t)
		}
	}
	receiveOpened := func(server *testServer, connections int) {
		t.Helper()
		for range connections {
			receive(t, server.opened)
		}
	}
	resizable := serveUpTo(10)
	fixed := serveUpTo(4)
	fixed.FixLimit()

	engine.Resize(24 + 50) // half of the descriptors for connections, besides the overhead of 24
	connect(resizable, 7)
	connect(fixed, 4)
	receiveOpened(resizable, 5)
	receiveOpened(fixed, 4)
	later := serveUpTo(6)
	connect(later, 4)
	receiveOpened(later, 3)
	time.Sleep(20 * time.Millisecond) // time in which a connection beyond the limits could be accepted
	tooMany := len(resizable.opened) + len(fixed.opened) + len(later.opened)
	if tooMany > 0 || engine.dials.limit != 20 {
		t.Fatalf("%d connections above the halved limits were accepted, want 0; the limit of dials is %d, want 20",
			tooMany, engine.dials.limit)
	}

	engine.Resize(124)
	receiveOpened(resizable, 2)
	receiveOpened(later, 1)

	engine.Resize(1 << 20)
	if engine.dials.limit != 40 {
		t.Errorf("the limit of dials is %d, want 40 as at the start", engine.dials.limit)
	}
}

// The connection count of a closed acceptor falls to 0, whether the acceptor had
// reached its limit when it was closed or was waiting for a connection.
func TestOpenConnectionsAfterClose(t *testing.T) {
	for _, limit := range []int{1, 5} {
		engine := startEngine(t, 100)
		handler := newRecordingHandler(engine)
		full := make(chan bool, 10)
		server := serve(t, engine, AcceptOptions{
			NewHandler:   handler.accept,
			SingleBuffer: true,
			Limit:        limit,
			OnFull:       func() { full <- true },
		})
		peer, _ := server.open(t)
		if limit == 1 {
			receive(t, full) // the acceptor waits for a connection to end
		}
		server.Close()
		if n := server.OpenConnections(); n < 1 {
			t.Errorf("limit %d: OpenConnections is %d, but one connection is open", limit, n)
		}
		peer.Close()
		handler.waitClosed(t)
		waitForNoConnections(t, server)
	}
}

// waitForNoConnections waits until OpenConnections of a server is 0.
func waitForNoConnections(t *testing.T, server *testServer) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for server.OpenConnections() > 0 {
		if time.Now().After(end) {
			t.Fatalf("OpenConnections is %d, but no connection is open", server.OpenConnections())
		}
		time.Sleep(time.Millisecond)
	}
}
