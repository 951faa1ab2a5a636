package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"
)

// scriptedUpstream is an upstream that a test controls step by step. It writes to
// raw sockets and shares no code with the relay.
type scriptedUpstream struct {
	t        testing.TB
	listener net.Listener
	watches  chan *scriptedWatch // receives each watch that is opened
	via      string              // Via header of its watches; set before the first call

	mu      sync.Mutex
	respond func(url.Values) string // returns the body for a single call, or an empty string for status 503
	calls   []url.Values            // queries of the single calls so far
	conns   map[net.Conn]bool
}

// scriptedWatch is a watch that a relay has opened.
type scriptedWatch struct {
	conn  net.Conn
	query url.Values
}

// startScriptedUpstream starts an upstream at an address that answers all single calls with body.
func startScriptedUpstream(t testing.TB, address, body string) *scriptedUpstream {
	t.Helper()
	return startScriptedUpstreamVia(t, address, body, "1.1 another")
}

// startScriptedUpstreamVia starts such an upstream whose watches have the given Via header.
func startScriptedUpstreamVia(t testing.TB, address, body, via string) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	u := &scriptedUpstream{
		t:        t,
		listener: listener,
		via:      via,
		watches:  make(chan *scriptedWatch, 100),
		conns:    map[net.Conn]bool{},
	}
	u.setResponse(func(url.Values) string { return body })
	go u.accept()
	t.Cleanup(u.stop)
	return u
}

// awaitWatch waits for a relay to open a watch.
func (u *scriptedUpstream) awaitWatch() *scriptedWatch {
	u.t.Helper()
	select {
	case watch := <-u.watches:
		return watch
	case <-time.After(testTimeout):
		u.t.Fatal("no watch is opened")
		return nil
	}
}

// address returns the address where the upstream listens.
func (u *scriptedUpstream) address() string { return u.listener.Addr().String() }

// setResponse sets the function that returns the responses to single calls.
func (u *scriptedUpstream) setResponse(respond func(url.Values) string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.respond = respond
}

// stop closes the listener and resets all connections.
func (u *scriptedUpstream) stop() {
	u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		reset(conn)
	}
}

// reset closes a connection by a reset.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// accept serves connections until the listener is closed.
func (u *scriptedUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[conn] = true
		u.mu.Unlock()
		go u.serve(conn)
	}
}

// serve answers the single calls of a connection, and hands its watch to the test.
func (u *scriptedUpstream) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		query := request.URL.Query()
		if query.Get("watch") == "1" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nVia: %s\r\nTransfer-Encoding: chunked\r\n\r\n", u.via)
			u.watches <- &scriptedWatch{conn, query}
			return
		}
		body := u.recordCall(query)
		status := "200 OK"
		if body == "" {
			status = "503 Service Unavailable"
		}
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
}

// recordCall records a single call and returns the body of its response.
func (u *scriptedUpstream) recordCall(query url.Values) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls = append(u.calls, query)
	return u.respond(query)
}

// singleCalls returns the queries of the single calls that have arrived.
func (u *scriptedUpstream) singleCalls() []url.Values {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]url.Values{}, u.calls...)
}

// sendLine sends a line as a chunk.
func (w *scriptedWatch) sendLine(text string) {
	text += "\n"
	fmt.Fprintf(w.conn, "%x\r\n%s\r\n", len(text), text)
}

// keepAlive sends heartbeats until the relay has disconnected.
func (w *scriptedWatch) keepAlive() {
	for {
		if _, err := fmt.Fprint(w.conn, "1\r\n\n\r\n"); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendPartialLine sends the first count bytes of a line, in a chunk whose announced length is that of the complete line.
func (w *scriptedWatch) sendPartialLine(text string, count int) {
	fmt.Fprintf(w.conn, "%x\r\n%s", len(text)+1, text[:count])
}

// workerJSON returns a worker in its wire form.
func workerJSON(name, health string) string {
	const format = `{"host":%q,"dial":"10.0.0.1:80","site":"a","class":"m2","block":3,` +
		`"health":%q,"share":1,"born_ms":0}`
	return fmt.Sprintf(format, name, health)
}

// changeJSON returns a snapshot or delta in its wire form.
func changeJSON(version int, isSnapshot bool, workers ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, isSnapshot, strings.Join(workers, ","))
}
