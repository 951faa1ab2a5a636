package scale

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// This file owns links: loopback proxies through which all control traffic goes.
// A link counts the bytes of each client, and can be cut as a network is: what is
// open falls silent, and what is new never comes up. It must never change a byte.

// traffic counts the bytes of one client, both ways.
type traffic struct{ down, up atomic.Int64 }

// ledger holds the traffic of all clients by name.
type ledger struct {
	mu     sync.Mutex
	byName map[string]*traffic
}

func (l *ledger) of(name string) *traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil {
		l.byName = map[string]*traffic{}
	}
	t := l.byName[name]
	if t == nil {
		t = &traffic{}
		l.byName[name] = t
	}
	return t
}

// totals is a copy of all counts: bytes both ways by name.
func (l *ledger) totals() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make(map[string]int64, len(l.byName))
	for name, t := range l.byName {
		totals[name] = t.down.Load() + t.up.Load()
	}
	return totals
}

// link is one proxy.
type link struct {
	addr   string
	ledger *ledger
	client string // whose traffic it is; "": each request names its client

	listener net.Listener
	sent     atomic.Int64 // bytes that the server has sent
	open     atomic.Int64 // connections

	mu     sync.Mutex
	target string
	cut    bool
	conns  map[net.Conn]struct{}
	healed chan struct{} // closed when the link is whole
}

func newLink(target, client string, book *ledger) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{addr: ln.Addr().String(), ledger: book, client: client, listener: ln, target: target,
		conns: map[net.Conn]struct{}{}, healed: make(chan struct{})}
	close(l.healed)
	go l.accept()
	return l, nil
}

// aim sets the server.
func (l *link) aim(target string) {
	l.mu.Lock()
	l.target = target
	l.mu.Unlock()
}

// setCut cuts the link or heals it. What was open when it was cut is reset then.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
	l.mu.Lock()
	l.closeAll()
	l.mu.Unlock()
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) keep(conn net.Conn) {
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
}

func (l *link) drop(conn net.Conn) {
	conn.Close()
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

// whole waits until the link is whole; false: it was cut meanwhile.
func (l *link) whole() (target string, whole bool) {
	l.mu.Lock()
	healed, cut := l.healed, l.cut
	target = l.target
	l.mu.Unlock()
	<-healed
	return target, !cut
}

// serve carries one connection. One that came while the link was cut ends when it heals.
func (l *link) serve(client net.Conn) {
	l.keep(client)
	defer l.drop(client)
	target, whole := l.whole()
	if !whole {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	l.keep(server)
	defer l.drop(server)
	l.open.Add(1)
	defer l.open.Add(-1)
	var book atomic.Pointer[traffic]
	if l.client != "" {
		book.Store(l.ledger.of(l.client))
	}
	go func() {
		defer server.Close()
		defer client.Close()
		l.pump(server, client, func(p []byte) {
			if name := clientName(p); l.client == "" && name != "" {
				book.Store(l.ledger.of(name))
			}
			if t := book.Load(); t != nil {
				t.up.Add(int64(len(p)))
			}
		})
	}()
	l.pump(client, server, func(p []byte) {
		l.sent.Add(int64(len(p)))
		if t := book.Load(); t != nil {
			t.down.Add(int64(len(p)))
		}
	})
}

const pumpSize = 16 << 10

// pump copies one way until either end closes, and holds what comes while the link is cut.
func (l *link) pump(to, from net.Conn, count func([]byte)) {
	buffer := make([]byte, pumpSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, whole := l.whole(); !whole {
				return
			}
			count(buffer[:n])
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// clientName is the name that a request carries in its query, if it does.
func clientName(p []byte) string {
	line, _, _ := bytes.Cut(p, []byte("\r\n"))
	for _, mark := range []string{"?name=", "&name="} {
		if _, rest, ok := bytes.Cut(line, []byte(mark)); ok {
			end := bytes.IndexAny(rest, "& ")
			if end >= 0 {
				return string(rest[:end])
			}
		}
	}
	return ""
}
