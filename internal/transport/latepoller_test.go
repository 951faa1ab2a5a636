package transport

import (
	"net"
	"testing"
	"time"
)

// Guards against a new connection that is closed with no answer: a connection whose poller event is not handled within
// shutdownTimeout was closed by the timer, a new connection got its descriptor, and the poller's event for the old
// connection closed the new one. Here the poller is blocked, as in a process that gets little processor time.
func TestLatePollerClosesNoNewConnection(t *testing.T) {
	const clients = 6
	engine := startEngine(t, 100)
	handler := newRecordingHandler(engine)
	server := serve(t, engine, AcceptOptions{NewHandler: handler.accept, Limit: 50})
	first := server.connect(t)
	second := server.connect(t)
	receive(t, server.opened)
	receive(t, server.opened)
	var peers []net.Conn
	var conns []*Conn
	for range clients {
		peer, c := server.open(t)
		peers = append(peers, peer)
		conns = append(conns, c)
	}

	// The poller waits before it reads the first connection, and later before it reads the second one. Meanwhile it has
	// events for the ends of the other connections, and the loop closes them.
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
	time.Sleep(50 * time.Millisecond) // lets the poller get the events; if it does not, the test checks less
	engine.addInTransit(maxBuffersInTransit)
	close(resumeLoop)
	time.Sleep(2 * shutdownTimeout)

	var next []net.Conn
	for range clients {
		next = append(next, server.connect(t))
		receive(t, server.opened)
	}
	setInTransit(engine, 0)

	for _, peer := range next {
		peer.Write([]byte("next"))
	}
	received := map[string]int{}
	for range clients + 2 {
		select {
		case text := <-handler.data:
			received[text]++
		case <-time.After(2 * time.Second):
		}
	}
	if received["next"] != clients || len(handler.closed) > 0 {
		t.Errorf("received %v, want next %d times; %d new connections were closed", received, clients, len(handler.closed))
	}
}
