package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
	release     chan struct{}
	mu          sync.Mutex
	completeIDs []string // of the requests that arrived completely
	completedAt []time.Time
	connected   chan struct{} // one value for each connection
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

func newUnreadWorker(d *testDaemon, name string) *unreadWorker {
	ln, err := (&net.ListenConfig{Control: minReceiveBuffer}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { ln.Close() })
	c := &unreadWorker{testWorker: &testWorker{name: name, listener: ln}, release: make(chan struct{}), connected: make(chan struct{}, 100)}
	d.workers = append(d.workers, c.testWorker)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (c *unreadWorker) serve(conn net.Conn) {
	defer conn.Close()
	c.connected <- struct{}{}
	<-c.release
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		c.mu.Lock()
		c.completeIDs, c.completedAt = append(c.completeIDs, req.Header.Get("X-Correlation-Id")), append(c.completedAt, time.Now())
		c.mu.Unlock()
	}
}

func (c *unreadWorker) complete() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeIDs
}

// stuckBody is larger than the receive window and smaller than the daemon's send buffer.
var stuckBody = strings.Repeat("x", 8<<10)

// resetTimeout is the time within which an abandoned connection has been reset: the
// poller closes it in its next turn, or a timer after 0.2 s.
const resetTimeout = 300 * time.Millisecond

// releaseAndWait releases the worker, gives the rest time to arrive, and returns the ids
// of the complete requests.
func (c *unreadWorker) releaseAndWait() []string {
	time.Sleep(resetTimeout)
	close(c.release)
	time.Sleep(time.Second) // the kernel tries a closed window again after 0.2, 0.4 and 0.8 s
	return c.complete()
}

// An attempt is abandoned at its deadline, when its client leaves, and when its worker is
// removed and the grace has passed. The partition ends later.
func TestAbandonedRequestNeverArrives(t *testing.T) {
	type scenario struct {
		name   string
		giveUp func(d *testDaemon, c *unreadWorker)
	}
	send := func(d *testDaemon, c *unreadWorker, left int) (status chan int) {
		status = make(chan int, 1)
		go func() {
			got, _, _ := d.post("renewal", "stuck", stuckBody, left)
			status <- got
		}()
		<-c.connected
		return status
	}
	scenarios := []scenario{
		{"its deadline passes", func(d *testDaemon, c *unreadWorker) { <-send(d, c, 500) }},
		{"its client leaves", func(d *testDaemon, c *unreadWorker) {
			conn, err := net.Dial("tcp", d.listen)
			if err != nil {
				d.t.Error(err)
				return
			}
			io.WriteString(conn, "POST /renewal/k HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: stuck\r\nContent-Length: 8192\r\n\r\n"+stuckBody)
			<-c.connected
			time.Sleep(50 * time.Millisecond)
			conn.Close()
			time.Sleep(300 * time.Millisecond)
		}},
		{"its worker is removed", func(d *testDaemon, c *unreadWorker) {
			status := send(d, c, 0)
			d.changes <- `{"seq":42,"whole":false,"hosts":[` + c.listEntry("gone") + `]}`
			select {
			case got := <-status:
				if got != 502 {
					d.t.Errorf("its worker is removed: the client has %d", got)
				}
			case <-time.After(drainGrace + time.Second):
				d.t.Error("its worker is removed: the client waits for it")
			}
		}},
	}
	var all sync.WaitGroup
	for _, s := range scenarios {
		d := &testDaemon{t: t}
		c := newUnreadWorker(d, "s-cut")
		d.start()
		all.Add(1)
		go func() {
			defer all.Done()
			s.giveUp(d, c)
			if got := c.releaseAndWait(); len(got) > 0 {
				t.Errorf("%s: %v arrived afterwards", s.name, got)
			}
		}()
	}
	all.Wait()
}
