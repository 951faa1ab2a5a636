package discovery

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// testServer is a membership server that answers nothing by itself. Tests receive its requests and write each response,
// some of them byte by byte.
type testServer struct {
	t        *testing.T
	zone     string
	addr     string
	listener net.Listener
	requests chan request

	mu    sync.Mutex
	conns []net.Conn
}

// request is one request that a testServer has received.
type request struct {
	net.Conn
	query string
	gzip  bool
}

// loopbackHost is a loopback address that this process has to itself, so that the port of a stopped server stays free
// until it is restarted.
var loopbackHost = fmt.Sprintf("127.88.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)

// localZone is the zone of the dispatchers under test.
const localZone = "near"

// newServer starts a server in the dispatcher's zone.
func newServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", loopbackHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		t:        t,
		zone:     localZone,
		addr:     listener.Addr().String(),
		listener: listener,
		requests: make(chan request, 1000),
	}
	t.Cleanup(s.stop)
	go s.accept(listener)
	return s
}

// newRemoteServer starts a server in a zone of its own.
func newRemoteServer(t *testing.T) *testServer {
	t.Helper()
	s := newServer(t)
	s.zone = "far " + s.addr
	return s
}

// accept serves the connections of a listener until it is closed.
func (s *testServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve passes the requests of a connection on to the test.
func (s *testServer) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.requests <- request{conn, r.URL.RawQuery, r.Header.Get("Accept-Encoding") == "gzip"}
	}
}

// stop resets all connections and refuses new ones.
func (s *testServer) stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// restart listens again on the same address.
func (s *testServer) restart() {
	s.t.Helper()
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.listener = listener
	go s.accept(listener)
}

// expectRequest waits for the next request and checks its query, and that polls accept gzip and watches do not.
func (s *testServer) expectRequest(query string) request {
	s.t.Helper()
	r := testkit.Receive(s.t, s.requests)
	if r.query != query {
		s.t.Fatalf("the request is %q, want %q", r.query, query)
	}
	if r.gzip == strings.HasPrefix(query, "watch") {
		s.t.Errorf("%q asks for gzip: %v", query, r.gzip)
	}
	return r
}

// answer answers a poll with an uncompressed body.
func (r request) answer(text string) {
	fmt.Fprintf(r, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// answerCompressed answers a poll with a gzip body.
func (r request) answerCompressed(text string) {
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	io.WriteString(w, text)
	w.Close()
	fmt.Fprintf(r, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", body.Len(), body.Bytes())
}

// answerUnavailable answers a poll with status 503.
func (r request) answerUnavailable() {
	io.WriteString(r, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// openWatch begins the response to a watch.
func (r request) openWatch() { io.WriteString(r, testkit.WatchHead) }

// sendLine sends one line of a watch.
func (r request) sendLine(text string) { io.WriteString(r, testkit.Chunk(text+"\n")) }

// encodeChange returns a snapshot or delta in its wire form, with workers given as name=health.
func encodeChange(version int, snapshot bool, workers ...string) string {
	var list []string
	for _, text := range workers {
		name, health, _ := strings.Cut(text, "=")
		list = append(list, fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:9","health":%q}`, name, health))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, snapshot, strings.Join(list, ","))
}

// pollQuery is the query of a poll that continues from a version.
func pollQuery(after int) string { return fmt.Sprintf("after=%d&name=d+1", after) }

// watchQuery is the query of a watch that continues from a version.
func watchQuery(after int) string { return fmt.Sprintf("watch=1&after=%d&name=d+1", after) }

// serveFirstPoll answers the poll that catches up, which must continue from version from, with object. It then opens the
// watch, which must continue from version.
func (s *testServer) serveFirstPoll(from int, object string, version int) request {
	s.t.Helper()
	s.expectRequest(pollQuery(from)).answer(object)
	watch := s.expectRequest(watchQuery(version))
	watch.openWatch()
	return watch
}
