//go:build review

package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Worker is a stand-in for a worker that speaks HTTP. It has slots, and a queue that it serves
// in order.
type Worker struct {
	Name, Address string

	// Time returns how long a job runs.
	Time func(id, key string) time.Duration
	// DropCancelled says whether a running job stops when the dispatcher closes its connection.
	// A waiting one is always dropped.
	DropCancelled bool

	run   *Run
	slots chan struct{}
	mu    sync.Mutex
	runs  []JobRun
}

// JobRun is a job that a worker has started.
type JobRun struct {
	ID, Key, Path, Worker string
	Started, Ended        time.Time // Ended is zero while it runs
	Completed             bool
}

// StartWorker starts a worker with a number of slots.
func (r *Run) StartWorker(name string, slots int, runTime time.Duration) *Worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	w := &Worker{Name: name, Address: listener.Addr().String(), run: r, slots: make(chan struct{}, slots),
		Time: func(string, string) time.Duration { return runTime }}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w
}

// Host returns the worker's entry of discovery's list.
func (w *Worker) Host(health string) Host {
	return Host{Host: w.Name, Dial: w.Address, Site: "zarqa-east", Class: "standard", Health: health, Share: 1}
}

// Runs returns the jobs that have started here.
func (w *Worker) Runs() []JobRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]JobRun{}, w.runs...)
}

// workerConn is a connection of a dispatcher. One goroutine reads all requests, and so notices
// the dispatcher's close while a job runs.
type workerConn struct {
	net.Conn
	requests chan *http.Request
	closed   chan struct{}
}

func (c *workerConn) read() {
	defer close(c.closed)
	reader := bufio.NewReader(c.Conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		c.requests <- request
	}
}

func (w *Worker) serve(socket net.Conn) {
	conn := &workerConn{Conn: socket, requests: make(chan *http.Request, 16), closed: make(chan struct{})}
	defer conn.Close()
	go conn.read()
	for {
		var request *http.Request
		select {
		case request = <-conn.requests:
		default:
			select {
			case request = <-conn.requests:
			case <-conn.closed:
				return
			}
		}
		if request.Method == http.MethodGet {
			w.run.Log("worker %s: %s, answered 200", w.Name, request.URL)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !w.job(conn, request) {
			return
		}
	}
}

// job runs a job and reports whether the connection may be used again.
func (w *Worker) job(conn *workerConn, request *http.Request) bool {
	id := request.Header.Get("X-Correlation-Id")
	key := request.Header.Get("Idempotency-Key")
	w.run.Log("worker %s: received %s %s key=%q time-left=%s", w.Name, id, request.URL, key, request.Header.Get("X-Time-Left-Ms"))
	closed := conn.closed
	select {
	case w.slots <- struct{}{}:
	case <-closed:
		w.run.Log("worker %s: %s was given up while it waited, and is dropped", w.Name, id)
		return false
	}
	defer func() { <-w.slots }()
	w.mu.Lock()
	index := len(w.runs)
	w.runs = append(w.runs, JobRun{ID: id, Key: key, Path: request.URL.String(), Worker: w.Name, Started: time.Now()})
	w.mu.Unlock()
	runTime := w.Time(id, key)
	w.run.Log("worker %s: %s starts, for %v", w.Name, id, runTime)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	w.line(conn, map[string]any{"id": id, "from": w.Name, "state": "started"})
	end := time.After(runTime)
	progress := time.NewTicker(time.Second)
	defer progress.Stop()
	stopped := closed
	for began := time.Now(); ; {
		select {
		case <-progress.C:
			w.line(conn, map[string]any{"id": id, "from": w.Name, "state": "running",
				"share": min(0.99, time.Since(began).Seconds()/runTime.Seconds())})
			continue
		case <-stopped:
			if w.DropCancelled {
				w.run.Log("worker %s: %s was given up while it ran, and stops", w.Name, id)
				w.ended(index, false)
				return false
			}
			w.run.Log("worker %s: %s was given up while it ran, and goes on", w.Name, id)
			stopped = nil
			continue
		case <-end:
		}
		break
	}
	w.ended(index, true)
	w.run.Log("worker %s: %s is done", w.Name, id)
	w.line(conn, map[string]any{"id": id, "from": w.Name, "state": "done", "result": "result-of-" + id,
		"load": map[string]any{"eps": 0, "queue": 0, "x0": cap(w.slots) - len(w.slots) + 1, "x1": cap(w.slots)}})
	io.WriteString(conn, "0\r\n\r\n")
	return stopped != nil
}

func (w *Worker) ended(index int, completed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[index].Ended = time.Now()
	w.runs[index].Completed = completed
}

func (w *Worker) line(conn net.Conn, object map[string]any) {
	raw, _ := json.Marshal(object)
	fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(raw)+1, raw)
}
