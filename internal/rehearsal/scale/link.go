package scale

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// clientTraffic counts the bytes of one client.
type clientTraffic struct {
	bytesDown atomic.Int64 // to the client
	bytesUp   atomic.Int64 // from the client
}

// ledger counts the traffic of all clients by name. It is safe for concurrent use.
type ledger struct {
	mutex  sync.Mutex
	byName map[string]*clientTraffic
}

// client returns the counters of a client.
func (l *ledger) client(name string) *clientTraffic {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byName == nil {
		l.byName = map[string]*clientTraffic{}
	}
	counted := l.byName[name]
	if counted == nil {
		counted = &clientTraffic{}
		l.byName[name] = counted
	}
	return counted
}

// totals returns the bytes of each client, both ways together.
func (l *ledger) totals() map[string]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	totals := make(map[string]int64, len(l.byName))
	for name, counted := range l.byName {
		totals[name] = counted.bytesDown.Load() + counted.bytesUp.Load()
	}
	return totals
}

// link is a loopback proxy that forwards control traffic unchanged. It counts the bytes of each client, and can be cut
// like a network: open connections fall silent and new ones are not served. It is safe for concurrent use.
type link struct {
	addr   string
	ledger *ledger
	client string // whose traffic it is; empty: each request names its client

	listener    net.Listener
	sent        atomic.Int64 // bytes sent by the server
	connections atomic.Int64 // that are forwarded at present

	mutex  sync.Mutex
	target string
	cut    bool
	conns  map[net.Conn]struct{} // both ends of those that are forwarded, and accepted ones that wait
	healed chan struct{}         // closed while the link is not cut
}

func newLink(target, client string, ledger *ledger) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &link{
		addr:     listener.Addr().String(),
		ledger:   ledger,
		client:   client,
		listener: listener,
		target:   target,
		conns:    map[net.Conn]struct{}{},
		healed:   make(chan struct{}),
	}
	close(started.healed)
	go started.accept()
	return started, nil
}

// setTarget sets the server.
func (l *link) setTarget(target string) {
	l.mutex.Lock()
	l.target = target
	l.mutex.Unlock()
}

// setCut cuts the link or heals it. Healing resets the connections that were open or accepted while it was cut.
func (l *link) setCut(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cut == cut {
		return
	}
	l.cut = cut
	if cut {
		l.healed = make(chan struct{})
		return
	}
	close(l.healed)
	l.closeAll()
}

func (l *link) closeAll() {
	for conn := range l.conns {
		conn.Close()
	}
}

func (l *link) close() {
	l.listener.Close()
	l.setCut(false)
	l.mutex.Lock()
	l.closeAll()
	l.mutex.Unlock()
}

// accept serves connections until the listener is closed.
func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) track(conn net.Conn) {
	l.mutex.Lock()
	l.conns[conn] = struct{}{}
	l.mutex.Unlock()
}

func (l *link) untrack(conn net.Conn) {
	conn.Close()
	l.mutex.Lock()
	delete(l.conns, conn)
	l.mutex.Unlock()
}

// waitHealed waits until the link is not cut. uncut is false if it had to wait.
func (l *link) waitHealed() (target string, uncut bool) {
	l.mutex.Lock()
	healed := l.healed
	cut := l.cut
	target = l.target
	l.mutex.Unlock()
	<-healed
	return target, !cut
}

// serve forwards one connection. One that was accepted while the link was cut ends when it heals.
func (l *link) serve(client net.Conn) {
	l.track(client)
	defer l.untrack(client)
	target, uncut := l.waitHealed()
	if !uncut {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	l.track(server)
	defer l.untrack(server)
	l.connections.Add(1)
	defer l.connections.Add(-1)
	var counted atomic.Pointer[clientTraffic]
	if l.client != "" {
		counted.Store(l.ledger.client(l.client))
	}
	countUp := func(data []byte) {
		if name := clientName(data); l.client == "" && name != "" {
			counted.Store(l.ledger.client(name))
		}
		if counter := counted.Load(); counter != nil {
			counter.bytesUp.Add(int64(len(data)))
		}
	}
	countDown := func(data []byte) {
		l.sent.Add(int64(len(data)))
		if counter := counted.Load(); counter != nil {
			counter.bytesDown.Add(int64(len(data)))
		}
	}
	go func() {
		defer server.Close()
		defer client.Close()
		l.forward(server, client, countUp)
	}()
	l.forward(client, server, countDown)
}

// forwardBufferSize is the size of the buffer for each direction, in bytes.
const forwardBufferSize = 16 << 10

// forward copies one way until either end closes. Data that is read while the link is cut is not forwarded.
func (l *link) forward(destination, source net.Conn, onData func([]byte)) {
	buffer := make([]byte, forwardBufferSize)
	for {
		length, err := source.Read(buffer)
		if length > 0 {
			if _, uncut := l.waitHealed(); !uncut {
				return
			}
			onData(buffer[:length])
			if _, err := destination.Write(buffer[:length]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// clientName returns the name in the query of a request, or "".
func clientName(data []byte) string {
	line, _, _ := bytes.Cut(data, []byte("\r\n"))
	for _, key := range []string{"?name=", "&name="} {
		if _, rest, found := bytes.Cut(line, []byte(key)); found {
			end := bytes.IndexAny(rest, "& ")
			if end >= 0 {
				return string(rest[:end])
			}
		}
	}
	return ""
}
