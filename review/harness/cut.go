//go:build review

package harness

import (
	"net"
	"sync"
	"time"
)

// Link is a proxy between a process and a server. While it is cut, open connections stay open
// and silent, and new ones get nothing. Connections that were open during a cut are reset when
// it heals, as those of a machine that was cut off.
type Link struct {
	Address string

	run      *Run
	target   string
	mu       sync.Mutex
	cut      bool
	connects []*net.TCPConn
}

// StartLink starts a proxy to a server.
func (r *Run) StartLink(target string) *Link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	link := &Link{Address: listener.Addr().String(), run: r, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go link.serve(conn.(*net.TCPConn))
		}
	}()
	return link
}

// Cut cuts the link.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
}

// Heal ends the cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
	for _, conn := range l.connects {
		conn.SetLinger(0)
		conn.Close()
	}
	l.connects = nil
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *Link) serve(conn *net.TCPConn) {
	l.mu.Lock()
	l.connects = append(l.connects, conn)
	cut := l.cut
	l.mu.Unlock()
	if cut {
		return // silent until the link heals
	}
	server, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		conn.Close()
		return
	}
	go l.copy(server, conn)
	l.copy(conn, server)
}

// copy passes bytes on, and holds them back while the link is cut.
func (l *Link) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		for l.isCut() {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}
