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

// These tests play the servers of changes on sockets of their own, request by
// request and where it matters byte by byte.

// testServer is a testServer of changes that answers nothing by itself.
type testServer struct {
	t        *testing.T
	addr     string
	ln       net.Listener
	requests chan request

	mu    sync.Mutex
	conns []net.Conn
}

// request is one call that has come.
type request struct {
	net.Conn
	query string
	gzip  bool
}

// loopbackHost is an address of the loopback network that this process has to
// itself: a port of a server that is down must be free when it comes back.
var loopbackHost = fmt.Sprintf("127.88.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)

func newServer(t *testing.T) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", loopbackHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, addr: ln.Addr().String(), ln: ln, requests: make(chan request, 1000)}
	t.Cleanup(s.stop)
	go s.accept(ln)
	return s
}

func (s *testServer) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

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
	s.ln.Close()
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
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.ln = ln
	go s.accept(ln)
}

// expectRequest waits for a call with that query.
func (s *testServer) expectRequest(query string) request {
	s.t.Helper()
	r := testkit.Receive(s.t, s.requests)
	if r.query != query {
		s.t.Fatalf("the call is %q, not %q", r.query, query)
	}
	if r.gzip == strings.HasPrefix(query, "watch") {
		s.t.Errorf("%q asks for gzip: %v", query, r.gzip)
	}
	return r
}

// answer answers a call with a body.
func (r request) answer(text string) {
	fmt.Fprintf(r, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// answerCompressed answers a call with a gzip body.
func (r request) answerCompressed(text string) {
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	io.WriteString(w, text)
	w.Close()
	fmt.Fprintf(r, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", body.Len(), body.Bytes())
}

func (r request) answerUnavailable() {
	io.WriteString(r, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// openWatch begins the answer to a watch.
func (r request) openWatch() { io.WriteString(r, testkit.WatchHead) }

// sendLine sends a line of a watch.
func (r request) sendLine(text string) { io.WriteString(r, testkit.Chunk(text+"\n")) }

// encodeChange is an object of a server: hosts as name=health.
func encodeChange(version int, whole bool, hosts ...string) string {
	var list []string
	for _, text := range hosts {
		name, health, _ := strings.Cut(text, "=")
		list = append(list, fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:9","health":%q}`, name, health))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, whole, strings.Join(list, ","))
}

const (
	pollQuery  = "after=%d&name=d+1"
	watchQuery = "watch=1&after=%d&name=d+1"
)

// serveFirstPoll answers the first call and opens the watch.
func (s *testServer) serveFirstPoll(from int, object string, version int) request {
	s.t.Helper()
	s.expectRequest(fmt.Sprintf(pollQuery, from)).answer(object)
	watch := s.expectRequest(fmt.Sprintf(watchQuery, version))
	watch.openWatch()
	return watch
}
