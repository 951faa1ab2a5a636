package transport

import (
	"net"
	"testing"
	"time"
)

// Numbers of connections in a descriptorReuse. More connections end than are opened, since the clients' ends of the new
// ones take descriptors of the same process.
const (
	endedConnections = 24
	newConnections   = 6
)

// descriptorReuse is a test in which connections end while the poller has not handled their events yet, as in a process
// that gets little processor time, and in which new connections then get their descriptors.
type descriptorReuse struct {
	engine     *Engine
	oldServer  *testServer
	newServer  *testServer
	newHandler *recordingHandler
}

// newDescriptorReuse starts an engine with a server for the connections that end and one for the new connections.
func newDescriptorReuse(t *testing.T) *descriptorReuse {
	t.Helper()
	engine := startEngine(t, 200)
	oldHandler := newRecordingHandler(engine)
	newHandler := newRecordingHandler(engine)
	return &descriptorReuse{
		engine:     engine,
		oldServer:  serve(t, engine, AcceptOptions{NewHandler: oldHandler.accept, Limit: 40}),
		newServer:  serve(t, engine, AcceptOptions{NewHandler: newHandler.accept, Limit: 40}),
		newHandler: newHandler,
	}
}

// endConnections opens connections, calls endPeer for the peer of each, and blocks the poller while it has the events for
// these ends and has not handled them. Then it calls act with the connections on the loop's goroutine.
func (d *descriptorReuse) endConnections(t *testing.T, endPeer func(net.Conn), act func([]*Conn)) {
	t.Helper()
	first, _ := d.oldServer.open(t)
	second, _ := d.oldServer.open(t)
	var peers []net.Conn
	var conns []*Conn
	for range endedConnections {
		peer, conn := d.oldServer.open(t)
		peers = append(peers, peer)
		conns = append(conns, conn)
	}

	// The poller waits before it reads the first connection, and later before it reads the second one. Meanwhile it gets
	// the events for the ends of the other connections.
	setInTransit(d.engine, maxBuffersInTransit)
	first.Write([]byte("first"))
	time.Sleep(20 * time.Millisecond)
	second.Write([]byte("second"))
	for _, peer := range peers {
		endPeer(peer)
	}
	runOnLoop(d.engine, func() {
		setInTransit(d.engine, maxBuffersInTransit-1)
		time.Sleep(50 * time.Millisecond) // lets the poller get the events; if it does not, the test checks less
		act(conns)
		d.engine.addInTransit(maxBuffersInTransit)
	})
}

// checkNewConnections opens new connections, then lets the poller handle its events, and checks that the new connections
// are read and stay open.
func (d *descriptorReuse) checkNewConnections(t *testing.T) {
	t.Helper()
	var peers []net.Conn
	for range newConnections {
		peers = append(peers, d.newServer.connect(t))
	}
	time.Sleep(50 * time.Millisecond) // lets them be accepted; if they are not, the test checks less
	setInTransit(d.engine, 0)
	for _, peer := range peers {
		peer.Write([]byte("next"))
	}
	read := 0
	for range peers {
		select {
		case <-d.newHandler.data:
			read++
		case <-time.After(2 * time.Second):
		}
	}
	if closed := len(d.newHandler.closed); read < len(peers) || closed > 0 {
		t.Errorf("of %d new connections %d were read and %d closed", len(peers), read, closed)
	}
}

// resetPeer ends a connection by a reset.
func resetPeer(peer net.Conn) {
	_ = peer.(*net.TCPConn).SetLinger(0)
	peer.Close()
}

// Guards against a new connection that is closed with no answer: a write after a failed one closed the descriptor at
// once, a new connection got it, and the poller's event for the old connection closed the new one.
func TestWriteAfterFailedWriteClosesNoNewConnection(t *testing.T) {
	reuse := newDescriptorReuse(t)
	reuse.endConnections(t, resetPeer, func(conns []*Conn) {
		for _, conn := range conns {
			if conn.Write([]byte("fails")) || conn.Write([]byte("fails too")) {
				t.Error("a write to a connection that its peer has reset succeeded")
			}
		}
	})
	reuse.checkNewConnections(t)
}

// Guards against a new connection that is closed with no answer: the timer that closes a connection without an event fires
// in a process that was stopped for a while, before its poller handles the event that it has.
func TestCloseByTimerClosesNoNewConnection(t *testing.T) {
	reuse := newDescriptorReuse(t)
	reuse.endConnections(t, resetPeer, func(conns []*Conn) {
		for _, conn := range conns {
			conn.Close()
			if conn.closeTimer.Fire != nil { // not closed by the poller before the test could block it
				conn.closeTimer.Fire()
			}
		}
	})
	reuse.checkNewConnections(t)
}

// Guards against a new connection that is closed with no answer: a connection is reset between the write(2) that fills the
// send buffer and the one by which nbio tries to write the rest, and nbio then closes the descriptor.
func TestResetBeforeQueuedWriteClosesNoNewConnection(t *testing.T) {
	reuse := newDescriptorReuse(t)
	reuse.endConnections(t, resetPeer, func(conns []*Conn) {
		for _, conn := range conns {
			if conn.writeQueued([]byte("rest")) {
				t.Error("a write to a connection that its peer has reset succeeded")
			}
		}
	})
	reuse.checkNewConnections(t)
}
