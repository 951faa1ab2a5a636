package workerclient

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// testStack is a dispatcher with an HTTP front end and a worker client. The test plays the clients and the workers.
type testStack struct {
	*testkit.Rig
	t            *testing.T
	addr         string // address of the front end
	workerClient *Client
	workers      []*testkit.Listener
}

// newStack starts a stack with a number of workers. change modifies the default settings of the rig.
func newStack(t *testing.T, workers int, change func(*decision.Settings)) *testStack {
	t.Helper()
	stack := &testStack{Rig: testkit.NewRig(t, change), t: t}
	var listed []listedWorker
	for i := range workers {
		worker := testkit.Listen(t)
		stack.workers = append(stack.workers, worker)
		listed = append(listed, listedWorker{Name: fmt.Sprint("s", i), Address: worker.Addr(), Health: "ready"})
	}
	stack.Do(func() { stack.workerClient = newWorkerClient(t, stack.Rig, listed...) })
	stack.addr = startFrontEnd(t, stack.Rig, 50)
	return stack
}

// withRetries allows three attempts per request.
func withRetries(settings *decision.Settings) { settings.MaxAttempts = 3 }

// blockLoop blocks the event loop until release is called, or until the test ends.
func (s *testStack) blockLoop() (release func()) {
	release = sync.OnceFunc(s.BlockLoop())
	s.t.Cleanup(release)
	return release
}

// connectClient connects a client that sends a status check, followed by trailingBytes bytes that are no request.
func (s *testStack) connectClient(id string, trailingBytes int) net.Conn {
	s.t.Helper()
	request := "POST /status-check/k HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Weight-Hint: 1000\r\nContent-Length: 4\r\n\r\nbody"
	conn, _ := testkit.Connect(s.t, s.addr, request+strings.Repeat("x", trailingBytes))
	return conn
}

// closeClient closes a client's connection, and waits until the close has arrived at the front end's socket.
func (s *testStack) closeClient(conn net.Conn) {
	s.t.Helper()
	clientAddr := conn.LocalAddr().String()
	conn.Close()
	testkit.Until(s.t, "the client's close arrives", func() bool { return !isEstablished(s.t, s.addr, clientAddr) })
}

// awaitCancelled waits until a client's request has been cancelled, and returns how many attempts were sent completely.
func (s *testStack) awaitCancelled() (sent uint64) {
	s.t.Helper()
	testkit.Until(s.t, "the request is cancelled", func() (cancelled bool) {
		s.Do(func() {
			counts := s.Dispatcher.Counts()
			cancelled = counts.Cancelled == 1
			sent = counts.Sent
		})
		return cancelled
	})
	return sent
}

// isEstablished reports whether the socket at localAddr is in the state ESTABLISHED according to the kernel.
func isEstablished(t *testing.T, localAddr, remoteAddr string) bool {
	t.Helper()
	const (
		localColumn  = 1
		remoteColumn = 2
		stateColumn  = 3
		established  = "01"
	)
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) > stateColumn &&
			strings.HasSuffix(columns[localColumn], hexPort(localAddr)) &&
			strings.HasSuffix(columns[remoteColumn], hexPort(remoteAddr)) &&
			columns[stateColumn] == established {
			return true
		}
	}
	return false
}

// hexPort returns the port of an address in the format of /proc/net/tcp, in hexadecimal after a colon.
func hexPort(addr string) string {
	_, port, _ := net.SplitHostPort(addr)
	number, _ := strconv.Atoi(port)
	return fmt.Sprintf(":%04X", number)
}
