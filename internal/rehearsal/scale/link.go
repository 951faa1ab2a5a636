package scale

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// byteCounter counts the bytes that one client sends and receives through links.
type byteCounter struct {
	bytesDown atomic.Int64 // bytes sent to the client
	bytesUp   atomic.Int64 // bytes received from the client
}

// byteCounters holds a byteCounter for each client, by name. It is safe for concurrent use.
type byteCounters struct {
	mutex  sync.Mutex
	byName map[string]*byteCounter
}

// client returns the counter of a client, which is created at the first call.
func (l *byteCounters) client(name string) *byteCounter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byName == nil {
		l.byName = map[string]*byteCounter{}
	}
	counted := l.byName[name]
	if counted == nil {
		counted = &byteCounter{}
		l.byName[name] = counted
	}
	return counted
}

// totals returns the number of bytes of each client, sent and received together.
func (l *byteCounters) totals() map[string]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	totals := make(map[string]int64, len(l.byName))
	for name, counted := range l.byName {
		totals[name] = counted.bytesDown.Load() + counted.bytesUp.Load()
	}
	return totals
}

// link is a loopback TCP proxy that forwards control traffic unchanged. It counts the bytes of each client, and can be cut
// to simulate a network partition: open connections then carry no data, and new ones are accepted but not served. It is
// safe for concurrent use.
type link struct {
	addr         string // where clients connect
	byteCounters *byteCounters
	client       string // the client that uses the link; if empty, each request names its client in the query

	listener    net.Listener
	bytesSent   atomic.Int64 // bytes sent by the server
	connections atomic.Int64 // number of connections whose data is being forwarded

	mutex  sync.Mutex
	target string // address of the server
	cut    bool
	conns  map[net.Conn]struct{} // connections to clients and to the server, including accepted ones that wait for the link to heal
	healed chan struct{}         // closed while the link is not cut; replaced when it is cut
}

func newLink(target, client string, counters *byteCounters) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &link{
		addr:         listener.Addr().String(),
		byteCounters: counters,
		client:       client,
		listener:     listener,
		target:       target,
		conns:        map[net.Conn]struct{}{},
		healed:       make(chan struct{}),
	}
	close(started.healed)
	go started.accept()
	return started, nil
}

// setTarget sets the address of the server for new connections.
func (l *link) setTarget(target string) {
	l.mutex.Lock()
	l.target = target
	l.mutex.Unlock()
}

// setCut cuts the link or heals it. Healing closes the connections that were open or were accepted while it was cut.
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

// waitHealed waits until the link is not cut. It returns the address of the server, and whether the link was not cut at the
// time of the call.
func (l *link) waitHealed() (target string, uncut bool) {
	l.mutex.Lock()
	healed := l.healed
	cut := l.cut
	target = l.target
	l.mutex.Unlock()
	<-healed
	return target, !cut
}

// serve forwards one connection. A connection that was accepted while the link was cut is closed when the link heals.
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
	var counted atomic.Pointer[byteCounter]
	if l.client != "" {
		counted.Store(l.byteCounters.client(l.client))
	}
	countUp := func(data []byte) {
		if name := clientName(data); l.client == "" && name != "" {
			counted.Store(l.byteCounters.client(name))
		}
		if counter := counted.Load(); counter != nil {
			counter.bytesUp.Add(int64(len(data)))
		}
	}
	countDown := func(data []byte) {
		l.bytesSent.Add(int64(len(data)))
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

// forward copies data in one direction until either connection is closed, and calls onData before each write. If it reads
// data while the link is cut, it waits until the link heals, and then returns without forwarding the data.
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

// clientName returns the parameter "name" in the query of an HTTP request that begins in data, or "" if there is none.
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
