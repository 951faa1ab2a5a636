package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is the stand-in for a worker. It executes every request, also while it is listed as
// draining or gone: whether that was allowed is checked from the records. It is safe for
// concurrent use.
type worker struct {
	claim
	name     string
	addr     string
	listener net.Listener
	records  *records

	mu         sync.Mutex
	conns      map[net.Conn]bool
	draining   bool
	hangsUntil time.Time // it does not answer before
}

func startWorker(name string, records *records) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, addr: listener.Addr().String(), listener: listener, records: records, conns: map[net.Conn]bool{}}
	go serveAll(listener, w.serve)
	return w, nil
}

func (w *worker) close() {
	w.listener.Close()
	w.reset()
}

// reset resets all connections.
func (w *worker) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// drain makes health checks answer that the worker is draining, or no longer.
func (w *worker) drain(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
}

// hang delays all answers for a time.
func (w *worker) hang(duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangsUntil = time.Now().Add(duration)
}

func (w *worker) state() (draining bool, hang time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining, time.Until(w.hangsUntil)
}

func (w *worker) addConn(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[conn] = true
}

func (w *worker) removeConn(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, conn)
}

// serve answers the requests of a connection one after the other.
func (w *worker) serve(conn net.Conn) {
	w.addConn(conn)
	defer conn.Close()
	defer w.removeConn(conn)
	input := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(input)
		if err != nil {
			return
		}
		arrived := time.Now()
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			w.records.addIncomplete() // the attempt has never arrived
			return
		}
		draining, hang := w.state()
		time.Sleep(hang)
		if request.Method == http.MethodGet {
			w.answerHealthCheck(conn, draining)
			continue
		}
		w.execute(conn, request, arrived)
	}
}

func (w *worker) answerHealthCheck(conn net.Conn, draining bool) {
	status := "200 OK"
	if draining {
		status = "503 Draining"
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 3\r\n\r\n{}\n", status)
}

const jobDuration = 10 * time.Millisecond

// execute records an attempt and answers it.
func (w *worker) execute(conn net.Conn, request *http.Request, arrived time.Time) {
	id := request.Header.Get("X-Correlation-Id")
	timeLeftMs, _ := strconv.Atoi(request.Header.Get("X-Time-Left-Ms"))
	class, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	w.records.addAttempt(attempt{
		id: id, class: class, worker: w.name, arrived: arrived, timeLeft: time.Duration(timeLeftMs) * time.Millisecond,
	})
	update := func(state string) string {
		return chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"result":"r"}`+"\n", id, w.name, state))
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+update("started"))
	time.Sleep(jobDuration)
	io.WriteString(conn, update("done")+"0\r\n\r\n")
}
