package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// These tests cut a worker off in the middle of a request, as a network partition does:
// what the daemon wrote stays in its kernel, which goes on sending it when the partition
// ends. An attempt that was abandoned meanwhile must not arrive then.

// unreadWorker is a worker whose machine receives only the start of a request until it
// is released.
type unreadWorker struct {
	*testWorker
	release   chan struct{}
	connected chan struct{} // one value for each connection

	mu          sync.Mutex
	completeIDs []string // of the requests that arrived completely
}

// minReceiveBuffer sets the smallest receive buffer that the kernel allows.
func minReceiveBuffer(_, _ string, raw syscall.RawConn) (err error) {
	const size = 1 // the kernel raises it to its minimum
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
	if err == nil {
		err = controlErr
	}
	return err
}

func (d *testDaemon) addUnreadWorker(name string) *unreadWorker {
	d.t.Helper()
	config := net.ListenConfig{Control: minReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { listener.Close() })
	worker := &unreadWorker{
		testWorker: &testWorker{name: name, listener: listener},
		release:    make(chan struct{}),
		connected:  make(chan struct{}, 100),
	}
	d.workers = append(d.workers, worker.testWorker)
	go acceptConnections(listener, worker.serve)
	return worker
}

func (w *unreadWorker) serve(conn net.Conn) {
	defer conn.Close()
	w.connected <- struct{}{}
	<-w.release
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		w.addComplete(request.Header.Get("X-Correlation-Id"))
	}
}

func (w *unreadWorker) addComplete(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completeIDs = append(w.completeIDs, id)
}

// complete returns the ids of the requests that arrived completely.
func (w *unreadWorker) complete() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.completeIDs)
}

// stuckBody is larger than the receive window and smaller than the daemon's send buffer.
var stuckBody = strings.Repeat("x", 8<<10)

// resetTimeout is the time within which an abandoned connection has been reset: the
// poller closes it in its next turn, or a timer after 0.2 s.
const resetTimeout = 300 * time.Millisecond

// releaseAndWait releases the worker, gives the rest time to arrive, and returns the ids
// of the complete requests.
func (w *unreadWorker) releaseAndWait() []string {
	time.Sleep(resetTimeout)
	close(w.release)
	time.Sleep(time.Second) // the kernel tries a closed window again after 0.2, 0.4 and 0.8 s
	return w.complete()
}

// postStuck sends a request that the worker does not read, and returns a channel for the
// status. leftMs is as for post.
func (d *testDaemon) postStuck(worker *unreadWorker, leftMs int) (status <-chan int) {
	result := make(chan int, 1)
	go func() {
		got, _, _ := d.post("renewal", "stuck", stuckBody, leftMs)
		result <- got
	}()
	<-worker.connected
	return result
}

// abandonAtDeadline has an attempt abandoned by its deadline.
func abandonAtDeadline(daemon *testDaemon, worker *unreadWorker) {
	<-daemon.postStuck(worker, 500)
}

// abandonByClient has an attempt abandoned by its client.
func abandonByClient(daemon *testDaemon, worker *unreadWorker) {
	conn, err := net.Dial("tcp", daemon.listen)
	if err != nil {
		daemon.t.Error(err)
		return
	}
	fmt.Fprintf(conn, "POST /renewal/k HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: stuck\r\nContent-Length: %d\r\n\r\n%s", len(stuckBody), stuckBody)
	<-worker.connected
	time.Sleep(50 * time.Millisecond)
	conn.Close()
	time.Sleep(300 * time.Millisecond)
}

// abandonByRemoval has an attempt abandoned by the removal of its worker.
func abandonByRemoval(daemon *testDaemon, worker *unreadWorker) {
	status := daemon.postStuck(worker, 0)
	daemon.discovery.sendChange(42, worker.listEntry("gone"))
	select {
	case got := <-status:
		if got != 502 {
			daemon.t.Errorf("its worker is removed: the client has %d", got)
		}
	case <-time.After(drainGrace + time.Second):
		daemon.t.Error("its worker is removed: the client waits for it")
	}
}

// An attempt is abandoned at its deadline, when its client leaves, and when its worker is
// removed and the grace has passed. The partition ends later.
func TestAbandonedRequestNeverArrives(t *testing.T) {
	var scenarios sync.WaitGroup
	for _, scenario := range []struct {
		name    string
		abandon func(*testDaemon, *unreadWorker)
	}{
		{"its deadline passes", abandonAtDeadline},
		{"its client leaves", abandonByClient},
		{"its worker is removed", abandonByRemoval},
	} {
		daemon := &testDaemon{t: t}
		worker := daemon.addUnreadWorker("s-cut")
		daemon.start()
		scenarios.Go(func() {
			scenario.abandon(daemon, worker)
			if arrived := worker.releaseAndWait(); len(arrived) > 0 {
				t.Errorf("%s: %v arrived afterwards", scenario.name, arrived)
			}
		})
	}
	scenarios.Wait()
}
