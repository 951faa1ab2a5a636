package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// responder answers the request with an id on a connection, and returns whether the
// connection stays open.
type responder func(id string, conn net.Conn) (keepOpen bool)

// testWorker is a stand-in for a worker.
type testWorker struct {
	name     string
	listener net.Listener

	mu       sync.Mutex
	received []string // as requests returns them
	respond  responder
}

// addWorker starts a worker, and adds it to the daemon's workers.
func (d *testDaemon) addWorker(name string, respond responder) *testWorker {
	d.t.Helper()
	worker := &testWorker{name: name, listener: listenLocal(d.t), respond: respond}
	d.workers = append(d.workers, worker)
	go acceptConnections(worker.listener, worker.serve)
	return worker
}

func (w *testWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		id := request.Header.Get("X-Correlation-Id")
		respond := w.receive(id, fmt.Sprintf("%s %s %s %s", id, request.Method, request.RequestURI, body))
		if !respond(id, conn) {
			return
		}
	}
}

// receive records a request, and returns the responder that answers it.
func (w *testWorker) receive(id, request string) responder {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = append(w.received, request)
	return w.respond
}

// requests returns the requests received so far: id, method, URI and body of each.
func (w *testWorker) requests() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.received)
}

// runsByID returns how often each request has been received, by id.
func (w *testWorker) runsByID() map[string]int {
	runs := map[string]int{}
	for _, request := range w.requests() {
		id, _, _ := strings.Cut(request, " ")
		runs[id]++
	}
	return runs
}

func (w *testWorker) setRespond(respond responder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.respond = respond
}

// listEntry returns the worker's entry in the endpoint list.
func (w *testWorker) listEntry(health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":"m","health":%q,"share":1}`, w.name, w.listener.Addr(), health)
}

func respondDone(id string, conn net.Conn) bool {
	writeDone(id, conn, "")
	return true
}

// respondDoneAndClose answers a request and announces that it closes the connection, so that the next request needs a
// new one. Without the announcement, a request could be in transit when the connection is closed, and then it would be
// unknown whether it has run.
func respondDoneAndClose(id string, conn net.Conn) bool {
	writeDone(id, conn, "Connection: close\r\n")
	return false
}

// respondUnprocessed answers that the worker has no free slot and has not begun the request.
func respondUnprocessed(_ string, conn net.Conn) bool {
	io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// respondNever sends no answer, and waits until the daemon closes the connection.
func respondNever(_ string, conn net.Conn) bool {
	io.Copy(io.Discard, conn)
	return false
}

// closeUnanswered closes the connection without an answer.
func closeUnanswered(string, net.Conn) bool { return false }

func writeDone(id string, conn net.Conn, headers string) {
	text := fmt.Sprintf(`{"id":%q,"state":"started"}`+"\n"+`{"id":%q,"state":"done","result":"made for %s"}`+"\n", id, id, id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", headers, len(text), text)
}

// respondWhenReleased returns a responder that answers the request with slowID once it
// receives from release, and all others at once. It sends a value to arrived when it has begun
// the request with slowID.
func respondWhenReleased(slowID string, arrived chan<- struct{}, release <-chan struct{}) responder {
	return func(id string, conn net.Conn) bool {
		if id != slowID {
			return respondDone(id, conn)
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeState(id, conn, "started") // otherwise the daemon takes the worker for one that does not start requests
		arrived <- struct{}{}
		<-release
		writeState(id, conn, "done")
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
}

// writeState writes a chunk with the state of a request.
func writeState(id string, conn net.Conn, state string) {
	text := fmt.Sprintf(`{"id":%q,"state":%q,"result":"x"}`+"\n", id, state)
	fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
}
