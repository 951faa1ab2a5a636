package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"
)

// scriptedUpstream is an upstream that a test moves step by step, on raw
// sockets. It shares no code with the relay.
type scriptedUpstream struct {
	t        testing.TB
	listener net.Listener
	watches  chan *scriptedWatch // each watch that is opened
	via      string              // header of its watches; set before the first call

	mu     sync.Mutex
	answer func(url.Values) string // a plain call's body; empty: 503
	calls  []url.Values            // plain calls
	conns  map[net.Conn]bool
}

// scriptedWatch is a watch that a relay has opened.
type scriptedWatch struct {
	conn  net.Conn
	query url.Values
}

// startScripted starts one at an address; a body answers all plain calls.
func startScripted(t testing.TB, address, body string) *scriptedUpstream {
	t.Helper()
	return startScriptedVia(t, address, body, "1.1 another")
}

// startScriptedVia starts one whose changes come by the relays that via names.
func startScriptedVia(t testing.TB, address, body, via string) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	u := &scriptedUpstream{t: t, listener: listener, via: via, watches: make(chan *scriptedWatch, 100), conns: map[net.Conn]bool{}}
	u.answers(func(url.Values) string { return body })
	go u.accept()
	t.Cleanup(u.stop)
	return u
}

// watch waits for a relay to open a watch.
func (u *scriptedUpstream) watch() *scriptedWatch {
	u.t.Helper()
	select {
	case w := <-u.watches:
		return w
	case <-time.After(generous):
		u.t.Fatal("no watch is opened")
		return nil
	}
}

func (u *scriptedUpstream) address() string { return u.listener.Addr().String() }

// answers sets what plain calls are answered with.
func (u *scriptedUpstream) answers(answer func(url.Values) string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answer = answer
}

// stop closes it and resets its connections.
func (u *scriptedUpstream) stop() {
	u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

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
		u.mu.Lock()
		u.calls = append(u.calls, query)
		body := u.answer(query)
		u.mu.Unlock()
		status := "200 OK"
		if body == "" {
			status = "503 Service Unavailable"
		}
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
}

// plainCalls are the plain calls that have come.
func (u *scriptedUpstream) plainCalls() []url.Values {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]url.Values{}, u.calls...)
}

// line sends a line as a chunk.
func (w *scriptedWatch) line(text string) {
	text += "\n"
	fmt.Fprintf(w.conn, "%x\r\n%s\r\n", len(text), text)
}

// keepAlive sends blank lines until the relay has left.
func (w *scriptedWatch) keepAlive() {
	for {
		if _, err := fmt.Fprint(w.conn, "1\r\n\n\r\n"); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// half sends the first bytes of a line, in a chunk that is announced whole.
func (w *scriptedWatch) half(text string, bytes int) {
	fmt.Fprintf(w.conn, "%x\r\n%s", len(text)+1, text[:bytes])
}

// hostJSON is a listed worker.
func hostJSON(name, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"10.0.0.1:80","site":"a","class":"m2","block":3,"health":%q,"share":1,"born_ms":0}`, name, health)
}

// listJSON is a snapshot or delta.
func listJSON(seq int, whole bool, hosts ...string) string {
	text := `{"seq":` + strconv.Itoa(seq) + `,"whole":` + strconv.FormatBool(whole) + `,"hosts":[`
	for i, host := range hosts {
		if i > 0 {
			text += ","
		}
		text += host
	}
	return text + "]}"
}

// A relay that starts learns what had changed before its first snapshot: those
// who followed another relay until then resume by a delta.
func TestStartTakesInEarlierChanges(t *testing.T) {
	asked := make(chan string, 10)
	origin := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		query := in.URL.Query()
		switch {
		case query.Get("watch") == "1":
			io.WriteString(out, listJSON(3002, false)+"\n")
			out.(http.Flusher).Flush()
			<-in.Context().Done()
		case query.Get("after") == "0":
			asked <- "snapshot"
			io.WriteString(out, listJSON(3000, true, hostJSON("a", "ready"), hostJSON("b", "ready")))
		default:
			asked <- query.Get("after")
			io.WriteString(out, listJSON(3002, false, hostJSON("b", "draining"), hostJSON("c", "gone")))
		}
	}))
	t.Cleanup(origin.Close)
	r, _ := startRelay(t, testConfig(origin.Listener.Addr().String()))
	eventually(t, "the newest version", r.has(3002))
	if first, second := <-asked, <-asked; first != "snapshot" || second != "1000" {
		t.Errorf("asked %s, then after %s", first, second)
	}
	line := getLine(t, r.Addr().String(), "after=1500&name=d1")
	if line.Whole || line.Seq != 3002 || len(line.Hosts) != 2 || line.Hosts[0].Health != "draining" {
		t.Errorf("since 1500: %+v", line)
	}
	if line := getLine(t, r.Addr().String(), "after=999&name=d2"); !line.Whole || len(line.Hosts) != 2 {
		t.Errorf("since 999: %+v", line)
	}
}
