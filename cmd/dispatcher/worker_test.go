package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// testWorker is a stand-in for a worker: respond answers each request, and returns
// whether the connection stays open.
type testWorker struct {
	name     string
	listener net.Listener
	mu       sync.Mutex
	received []string // id, method, URI and body of each request
	respond  func(id string, conn net.Conn) (keep bool)
}

func (b *testWorker) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		id := req.Header.Get("X-Correlation-Id")
		b.mu.Lock()
		b.received = append(b.received, fmt.Sprintf("%s %s %s %s", id, req.Method, req.RequestURI, body))
		act := b.respond
		b.mu.Unlock()
		if !act(id, conn) {
			return
		}
	}
}

func (b *testWorker) requests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.received...)
}

func (b *testWorker) setRespond(act func(string, net.Conn) bool) {
	b.mu.Lock()
	b.respond = act
	b.mu.Unlock()
}

func (b *testWorker) listEntry(health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":"m","health":%q,"share":1}`, b.name, b.listener.Addr(), health)
}

func respondDone(id string, conn net.Conn) bool {
	writeDone(id, conn, "")
	return true
}

// respondDoneAndClose answers a request and announces that it closes the connection, so that the next request needs a
// new one. A close that is not announced may cross a request, which then may have run.
func respondDoneAndClose(id string, conn net.Conn) bool {
	writeDone(id, conn, "Connection: close\r\n")
	return false
}

func writeDone(id string, conn net.Conn, fields string) {
	text := fmt.Sprintf(`{"id":%q,"state":"started"}`+"\n"+`{"id":%q,"state":"done","result":"made for %s"}`+"\n", id, id, id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(text), text)
}

// respondWhenReleased answers one request once it is released, and all others at once.
func respondWhenReleased(slow string, arrived chan<- struct{}, release <-chan struct{}) func(string, net.Conn) bool {
	return func(id string, conn net.Conn) bool {
		if id != slow {
			return respondDone(id, conn)
		}
		line := func(state string) {
			text := fmt.Sprintf(`{"id":%q,"state":%q,"result":"x"}`+"\n", id, state)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		line("started") // or the worker counts as one that starts nothing
		arrived <- struct{}{}
		<-release
		line("done")
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
}
