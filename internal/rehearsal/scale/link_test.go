package scale

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second // far beyond what any test needs

// startEchoServer starts an echo server and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func TestLinkCountsByName(t *testing.T) {
	var book ledger
	l, err := newLink(startEchoServer(t), "", &book)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	conn := dial(t, l.addr)
	const request = "GET /v1/servers?watch=1&after=0&name=d-7 HTTP/1.1\r\n\r\n"
	io.WriteString(conn, request)
	if _, err := io.ReadFull(conn, make([]byte, len(request))); err != nil {
		t.Fatal(err)
	}
	if got := book.totals()["d-7"]; got != 2*int64(len(request)) {
		t.Errorf("%d bytes of %d", got, 2*len(request))
	}
	if l.sent.Load() != int64(len(request)) || l.connections.Load() != 1 {
		t.Errorf("%d bytes sent, %d open", l.sent.Load(), l.connections.Load())
	}
}

// A cut link is silent to open and to new connections, and resets both when it heals.
func TestCutLink(t *testing.T) {
	var book ledger
	l, err := newLink(startEchoServer(t), "d", &book)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	old := dial(t, l.addr)
	echo := func(conn net.Conn) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	if err := echo(old); err != nil {
		t.Fatal(err)
	}
	l.setCut(true)
	fresh := dial(t, l.addr)
	for name, conn := range map[string]net.Conn{"open": old, "new": fresh} {
		conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
		if err := echo(conn); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s connection over a cut link: %v", name, err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
	}
	awaitConnections(t, l, 3) // two ends of the old one, and the new one
	l.setCut(false)
	for name, conn := range map[string]net.Conn{"open": old, "new": fresh} {
		if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s connection after the heal: %v", name, err)
		}
	}
	if err := echo(dial(t, l.addr)); err != nil {
		t.Errorf("after the heal: %v", err)
	}
}

// awaitConnections waits until a link has accepted so many connections: one that is accepted after the heal is served.
func awaitConnections(t *testing.T, l *link, count int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		l.mutex.Lock()
		open := len(l.conns)
		l.mutex.Unlock()
		if open >= count {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections at the link, not %d", open, count)
		}
	}
}

func TestNetworkCuts(t *testing.T) {
	n := newNetwork(&Scenario{Zones: 4, Regions: 2})
	if !n.connected(0, 3) || !n.connected(2, 3) {
		t.Fatal("a network without faults is cut")
	}
	n.lostRegions[1] = true
	if n.connected(0, 3) || !n.connected(2, 3) || !n.connected(0, 1) {
		t.Error("a region that is cut off must connect its own zones, and the others theirs")
	}
	delete(n.lostRegions, 1)
	n.lostZones[2] = true
	if n.connected(2, 2) || n.connected(3, 2) || !n.connected(3, 0) {
		t.Error("a lost zone can reach another, or the others cannot reach each other")
	}
}
