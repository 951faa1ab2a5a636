//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// httpWorker is a membership worker that runs each job for a fixed time. While it drains it turns new jobs away, and its
// health check says that it serves no requests.
type httpWorker struct {
	run      *testCase
	name     string
	address  string
	listener net.Listener
	runTime  time.Duration

	mutex    sync.Mutex
	draining bool
	arrivals []time.Time // of requests for jobs
}

// startWorker starts a worker on a loopback address.
func (c *testCase) startWorker(name string, runTime time.Duration) *httpWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.cannotRun("%v", err)
	}
	worker := &httpWorker{run: c, name: name, address: listener.Addr().String(), listener: listener, runTime: runTime}
	server := &http.Server{Handler: worker, ErrorLog: log.New(io.Discard, "", 0)}
	go server.Serve(listener)
	return worker
}

// drain makes the worker turn new jobs away.
func (w *httpWorker) drain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.draining = true
}

// arrivedAfter returns the arrivals of jobs after a time.
func (w *httpWorker) arrivedAfter(moment time.Time) (late []time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, arrival := range w.arrivals {
		if arrival.After(moment) {
			late = append(late, arrival)
		}
	}
	return late
}

// ServeHTTP runs a job, or answers a health check.
func (w *httpWorker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	arrival := time.Now()
	w.mutex.Lock()
	draining := w.draining
	w.mutex.Unlock()
	if request.Method == http.MethodGet {
		if draining {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	io.Copy(io.Discard, request.Body)
	id := request.Header.Get("X-Correlation-Id")
	w.mutex.Lock()
	w.arrivals = append(w.arrivals, arrival)
	w.mutex.Unlock()
	if draining {
		w.run.record("%s, which drains: turns %s away", w.name, id)
		out.Header().Set("X-Unprocessed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.run.record("%s: runs %s", w.name, id)
	w.line(out, id, "started", "")
	time.Sleep(w.runTime)
	w.line(out, id, "done", "result of "+id)
}

// line writes one line of the response to a job.
func (w *httpWorker) line(out http.ResponseWriter, id, state, result string) {
	update := map[string]any{"id": id, "from": w.name, "state": state}
	if result != "" {
		update["result"] = result
	}
	text, _ := json.Marshal(update)
	fmt.Fprintf(out, "%s\n", text)
	http.NewResponseController(out).Flush()
}
