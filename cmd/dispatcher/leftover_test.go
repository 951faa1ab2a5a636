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

// These tests cut off a worker in the middle of a request, as a network partition does. What
// the daemon has written stays in the send buffer of its kernel, which sends it when the
// partition ends. If the attempt has been abandoned meanwhile, it must not arrive then.

// blockedWorker is a worker whose machine receives only the beginning of a request until the
// worker is released.
type blockedWorker struct {
	*testWorker
	release   chan struct{}
	connected chan struct{} // receives a value for each connection

	mu          sync.Mutex
	completeIDs []string // ids of the requests that have arrived completely
}

// minReceiveBuffer sets the receive buffer of a socket to the kernel's minimum.
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

func (d *testDaemon) addBlockedWorker(name string) *blockedWorker {
	d.t.Helper()
	config := net.ListenConfig{Control: minReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { listener.Close() })
	worker := &blockedWorker{
		testWorker: &testWorker{name: name, listener: listener},
		release:    make(chan struct{}),
		connected:  make(chan struct{}, 100),
	}
	d.workers = append(d.workers, worker.testWorker)
	go acceptConnections(listener, worker.serve)
	return worker
}

func (w *blockedWorker) serve(conn net.Conn) {
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

func (w *blockedWorker) addComplete(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completeIDs = append(w.completeIDs, id)
}

// complete returns the ids of the requests that have arrived completely.
func (w *blockedWorker) complete() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.completeIDs)
}

// stuckBody is larger than the receive window and smaller than the daemon's send buffer.
var stuckBody = strings.Repeat("x", 8<<10)

// resetTimeout is the time within which the daemon resets an abandoned connection: the poller
// closes it in its next turn, or else a timer does so after 0.2 s.
const resetTimeout = 300 * time.Millisecond

// releaseAndWait releases the worker, waits until the rest of its requests would have
// arrived, and returns the ids of the complete requests.
func (w *blockedWorker) releaseAndWait() []string {
	time.Sleep(resetTimeout)
	close(w.release)
	time.Sleep(time.Second) // the kernel probes a closed TCP window after 0.2, 0.4 and 0.8 s
	return w.complete()
}

// postStuck sends a request of which the worker receives only the beginning, and returns a
// channel for the status. leftMs is as for post.
func (d *testDaemon) postStuck(worker *blockedWorker, leftMs int) (status <-chan int) {
	result := make(chan int, 1)
	go func() {
		got, _, _ := d.post("renewal", "stuck", stuckBody, leftMs)
		result <- got
	}()
	<-worker.connected
	return result
}

// abandonAtDeadline makes the daemon abandon an attempt at its deadline.
func abandonAtDeadline(daemon *testDaemon, worker *blockedWorker) {
	<-daemon.postStuck(worker, 500)
}

// abandonByClient makes the daemon abandon an attempt by closing the client's connection.
func abandonByClient(daemon *testDaemon, worker *blockedWorker) {
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

// abandonByRemoval makes the daemon abandon an attempt by removing its worker from the
// endpoint list.
func abandonByRemoval(daemon *testDaemon, worker *blockedWorker) {
	status := daemon.postStuck(worker, 0)
	daemon.discovery.sendChange(42, worker.listEntry("gone"))
	select {
	case got := <-status:
		if got != 502 {
			daemon.t.Errorf("the worker is removed: the client gets %d", got)
		}
	case <-time.After(drainGrace + time.Second):
		daemon.t.Error("the worker is removed: the client gets no answer")
	}
}

// A request whose attempt was abandoned does not reach the worker when the partition ends. An
// attempt is abandoned at its deadline, when its client disconnects, and when its worker has
// been removed for longer than the drain grace.
func TestAbandonedRequestNeverArrives(t *testing.T) {
	var scenarios sync.WaitGroup
	for _, scenario := range []struct {
		name    string
		abandon func(*testDaemon, *blockedWorker)
	}{
		{"its deadline passes", abandonAtDeadline},
		{"its client leaves", abandonByClient},
		{"its worker is removed", abandonByRemoval},
	} {
		daemon := &testDaemon{t: t}
		worker := daemon.addBlockedWorker("s-cut")
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
