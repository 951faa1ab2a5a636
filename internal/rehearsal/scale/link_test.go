package scale

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second // reached only if a test fails

// startEchoServer starts an echo server and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// startLink starts a link to an echo server, and closes it when the test ends.
func startLink(t *testing.T, client string, counted *byteCounters) *link {
	t.Helper()
	started, err := newLink(startEchoServer(t), client, counted)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.close)
	return started
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

// echo sends a byte over a connection to an echo server and reads it back.
func echo(conn net.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// A link without a client of its own counts the bytes of each request for the client that the query names.
func TestLinkCountsByName(t *testing.T) {
	var counted byteCounters
	link := startLink(t, "", &counted)
	conn := dial(t, link.addr)
	const request = "GET /v1/servers?watch=1&after=0&name=d-7 HTTP/1.1\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, len(request))); err != nil {
		t.Fatal(err)
	}
	if got, want := counted.totals()["d-7"], 2*int64(len(request)); got != want {
		t.Errorf("%d bytes are counted, want %d", got, want)
	}
	sent := link.bytesSent.Load()
	open := link.connections.Load()
	if sent != int64(len(request)) || open != 1 {
		t.Errorf("%d bytes sent and %d connections, want %d and 1", sent, open, len(request))
	}
}

// A cut link carries no data on open and on new connections, and closes both when it heals.
func TestCutLink(t *testing.T) {
	var counted byteCounters
	link := startLink(t, "d", &counted)
	before := dial(t, link.addr)
	if err := echo(before); err != nil {
		t.Fatal(err)
	}
	link.setCut(true)
	conns := map[string]net.Conn{"open": before, "new": dial(t, link.addr)}
	for name, conn := range conns {
		conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
		if err := echo(conn); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s connection over a cut link: %v, want a timeout", name, err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
	}
	awaitConnections(t, link, 3) // the open connection counts twice, to client and to server; the new one once
	link.setCut(false)
	for name, conn := range conns {
		if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s connection after the heal: %v, want it to be closed", name, err)
		}
	}
	if err := echo(dial(t, link.addr)); err != nil {
		t.Errorf("another connection after the heal: %v", err)
	}
}

// awaitConnections waits until a link holds at least count connections. A test must wait for this before it heals the link,
// because a connection that is accepted afterwards is served.
func awaitConnections(t *testing.T, link *link, count int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		link.mutex.Lock()
		open := len(link.conns)
		link.mutex.Unlock()
		if open >= count {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the link has %d connections, want %d", open, count)
		}
	}
}

// checkConnected checks whether each pair of zones can reach each other.
func checkConnected(t *testing.T, network *network, fault string, want map[[2]int]bool) {
	t.Helper()
	for zones, connected := range want {
		if got := network.connected(zones[0], zones[1]); got != connected {
			t.Errorf("%s: zones %d and %d connected %v, want %v", fault, zones[0], zones[1], got, connected)
		}
	}
}

// The zones of a region that is cut off reach each other but no other region. A lost zone reaches no zone, not even itself.
func TestNetworkCuts(t *testing.T) {
	network := newNetwork(&Scenario{Zones: 4, Regions: 2})
	checkConnected(t, network, "no fault", map[[2]int]bool{{0, 3}: true, {2, 3}: true})
	network.isolatedRegions[1] = true
	checkConnected(t, network, "region 1 cut off", map[[2]int]bool{{0, 3}: false, {2, 3}: true, {0, 1}: true})
	delete(network.isolatedRegions, 1)
	network.lostZones[2] = true
	checkConnected(t, network, "zone 2 lost", map[[2]int]bool{{2, 2}: false, {3, 2}: false, {3, 0}: true})
}
