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
	"sync/atomic"
	"time"
)

// worker is the stand-in for a membership worker. It runs what comes, also while it
// is listed as draining or gone: whether that may come is judged elsewhere.
type worker struct {
	name, addr string
	ln         net.Listener
	records    *records

	mu       sync.Mutex
	conns    map[net.Conn]bool
	draining bool
	hangs    time.Time // it says nothing before

	claimed atomic.Bool
}

func startWorker(name string, records *records) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, addr: ln.Addr().String(), ln: ln, records: records, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w, nil
}

func (w *worker) close() {
	w.ln.Close()
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

func (w *worker) drain(draining bool) {
	w.mu.Lock()
	w.draining = draining
	w.mu.Unlock()
}

func (w *worker) hang(span time.Duration) {
	w.mu.Lock()
	w.hangs = time.Now().Add(span)
	w.mu.Unlock()
}

func (w *worker) state() (draining bool, hangs time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining, time.Until(w.hangs)
}

func (w *worker) serve(conn net.Conn) {
	w.mu.Lock()
	w.conns[conn] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		came := time.Now()
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			w.records.brokeOff() // before its last byte, so it has never been there
			return
		}
		draining, hangs := w.state()
		time.Sleep(hangs)
		if req.Method == http.MethodGet {
			w.answerProbe(conn, draining)
			continue
		}
		w.run(conn, req, came)
	}
}

func (w *worker) answerProbe(conn net.Conn, draining bool) {
	status := "200 OK"
	if draining {
		status = "503 Draining"
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 3\r\n\r\n{}\n", status)
}

const jobTakes = 10 * time.Millisecond

func (w *worker) run(conn net.Conn, req *http.Request, came time.Time) {
	id := req.Header.Get("X-Correlation-Id")
	left, _ := strconv.Atoi(req.Header.Get("X-Time-Left-Ms"))
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	w.records.arrived(arrival{id: id, class: class, worker: w.name, at: came, left: time.Duration(left) * time.Millisecond})
	line := func(state string) string {
		return chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"result":"r"}`+"\n", id, w.name, state))
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+line("started"))
	time.Sleep(jobTakes)
	io.WriteString(conn, line("done")+"0\r\n\r\n")
}
