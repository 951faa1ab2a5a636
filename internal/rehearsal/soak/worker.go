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

// jobDuration is how long a worker takes to execute a request.
const jobDuration = 10 * time.Millisecond

// worker is the stand-in for a worker. It executes every request, also while it is listed as
// draining or gone: whether that was allowed is checked from the records. It is safe for
// concurrent use.
type worker struct {
	claim
	name     string
	address  string
	listener net.Listener
	records  *records

	mutex       sync.Mutex
	connections map[net.Conn]bool
	draining    bool
	hangsUntil  time.Time // it does not answer before
}

func startWorker(name string, records *records) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		name:        name,
		address:     listener.Addr().String(),
		listener:    listener,
		records:     records,
		connections: map[net.Conn]bool{},
	}
	go serveConnections(listener, w.serve)
	return w, nil
}

func (w *worker) close() {
	w.listener.Close()
	w.reset()
}

// reset resets all connections.
func (w *worker) reset() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for conn := range w.connections {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// setDraining sets whether health checks find the worker draining.
func (w *worker) setDraining(draining bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.draining = draining
}

// hang delays all answers for a time.
func (w *worker) hang(duration time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hangsUntil = time.Now().Add(duration)
}

// state returns whether the worker is draining and how long it still hangs.
func (w *worker) state() (draining bool, hang time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.draining, time.Until(w.hangsUntil)
}

func (w *worker) addConnection(conn net.Conn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.connections[conn] = true
}

func (w *worker) removeConnection(conn net.Conn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.connections, conn)
}

// serve answers the requests of a connection one after the other.
func (w *worker) serve(conn net.Conn) {
	w.addConnection(conn)
	defer conn.Close()
	defer w.removeConnection(conn)
	input := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(input)
		if err != nil {
			return
		}
		arrivedAt := time.Now()
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
		w.execute(conn, request, arrivedAt)
	}
}

func (w *worker) answerHealthCheck(conn net.Conn, draining bool) {
	status := "200 OK"
	if draining {
		status = "503 Draining"
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 3\r\n\r\n{}\n", status)
}

// execute records an attempt and answers it.
func (w *worker) execute(conn net.Conn, request *http.Request, arrivedAt time.Time) {
	id := request.Header.Get(correlationHeader)
	timeLeftMs, _ := strconv.Atoi(request.Header.Get(timeLeftHeader))
	class, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	w.records.addAttempt(attempt{
		id:        id,
		class:     class,
		worker:    w.name,
		from:      conn.RemoteAddr().String(),
		arrivedAt: arrivedAt,
		timeLeft:  time.Duration(timeLeftMs) * time.Millisecond,
	})
	io.WriteString(conn, chunkedResponseHead+w.progressChunk(id, "started"))
	time.Sleep(jobDuration)
	io.WriteString(conn, w.progressChunk(id, "done")+lastChunk)
}

// progressChunk is the chunk of a response that says which state a job has reached.
func (w *worker) progressChunk(id, state string) string {
	return encodeChunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"result":"r"}`+"\n", id, w.name, state))
}
