package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// splitSteps is the number of places at which a response can be split.
const splitSteps = 256

// ScriptedWorker is a worker that responds to its n-th request with its n-th script, whatever the request is. It is for
// tests in which the order of events does not matter; tests in which it does use a Listener. Its methods may be called
// from any goroutine.
type ScriptedWorker struct {
	listener net.Listener

	mutex       sync.Mutex
	scripts     []string
	split       int
	arrivals    map[string]int // number of requests by correlation ID
	connections []net.Conn     // accepted since the latest CloseConnections
}

// NewScriptedWorker starts a worker, which is stopped at the end of the test. It has no scripts yet.
func NewScriptedWorker(t testing.TB) *ScriptedWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	worker := &ScriptedWorker{listener: listener, arrivals: map[string]int{}}
	t.Cleanup(func() {
		listener.Close()
		worker.CloseConnections()
	})
	go worker.acceptConnections()
	return worker
}

// Addr returns the address at which the worker accepts connections.
func (w *ScriptedWorker) Addr() string { return w.listener.Addr().String() }

// SetScripts sets the responses to the next requests. IDENTITY in them is replaced by the request's correlation ID. The
// worker closes the connection after a response that has no complete head or that contains CloseConnectionField, and
// when a request arrives for which no script is left.
func (w *ScriptedWorker) SetScripts(scripts ...string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.scripts = scripts
}

// SplitResponses makes the worker write each response in two parts, of which the first has split/256 of the bytes, so
// that tests can cut a response anywhere.
func (w *ScriptedWorker) SplitResponses(split int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.split = split
}

// Arrivals returns how many requests with a correlation ID have arrived. Tests use it to check that none is sent twice.
func (w *ScriptedWorker) Arrivals(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.arrivals[id]
}

// ConnectionsAccepted returns how many connections have been accepted since the latest CloseConnections. Tests use it
// to check whether a connection was reused.
func (w *ScriptedWorker) ConnectionsAccepted() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.connections)
}

// CloseConnections closes all connections, as a worker does with idle ones.
func (w *ScriptedWorker) CloseConnections() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, conn := range w.connections {
		conn.Close()
	}
	w.connections = nil
}

// acceptConnections serves connections until the listener is closed.
func (w *ScriptedWorker) acceptConnections() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mutex.Lock()
		w.connections = append(w.connections, conn)
		w.mutex.Unlock()
		go w.serve(conn)
	}
}

// serve responds to the requests of a connection.
func (w *ScriptedWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		response, split, found := w.nextScript(request.Header.Get("X-Correlation-Id"))
		if !found {
			return
		}
		conn.Write([]byte(response[:split]))
		if split%2 == 1 {
			time.Sleep(time.Millisecond) // for every other split, so that the parts arrive separately
		}
		conn.Write([]byte(response[split:]))
		if strings.Contains(response, CloseConnectionField) || !strings.Contains(response, "\r\n\r\n") {
			return
		}
	}
}

// nextScript counts a request and returns the response to it, with the length of its first part.
func (w *ScriptedWorker) nextScript(id string) (response string, split int, found bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.arrivals[id]++
	if len(w.scripts) == 0 {
		return "", 0, false
	}
	response = WithID(w.scripts[0], id)
	w.scripts = w.scripts[1:]
	return response, w.split * len(response) / splitSteps, true
}
