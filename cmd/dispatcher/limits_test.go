package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// Idle connections to a worker are closed before the worker may close them.
func TestIdleConnectionsCloseFirst(t *testing.T) {
	d := &testDaemon{t: t, config: map[string]any{"conn_idle_us": "3000000"}}
	closed := make(chan error, 1)
	d.addWorker("s-1", func(id string, conn net.Conn) bool {
		respondDone(id, conn)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err := conn.Read(make([]byte, 1))
		closed <- err
		return false
	})
	d.start()
	d.post("renewal", "one", "x", 0)
	if err := <-closed; err != io.EOF {
		t.Errorf("at the end of the idle time: %v", err)
	}
}

// Near the limit of descriptors idle client connections are closed for new ones.
func TestDescriptorLimit(t *testing.T) {
	d := &testDaemon{t: t, config: map[string]any{"limits": map[string]any{"sockets": 64, "memory_mb": 192}}}
	d.addWorker("s-1", respondDone)
	d.start()
	for i := range 100 {
		conn, err := net.Dial("tcp", d.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(conn, "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: fd-%d\r\nContent-Length: 1\r\n\r\nx", i)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("connection %d: %v, %v", i, resp, err)
		}
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
		if err != nil || len(fds) > 64 {
			t.Fatalf("connection %d: %d descriptors, %v", i, len(fds), err)
		}
	}
}

// More clients at once than there are descriptors wait: each gets a complete answer,
// though connections must end to free descriptors.
func TestMoreClientsThanDescriptors(t *testing.T) {
	d := &testDaemon{t: t, config: map[string]any{"limits": map[string]any{"sockets": 64, "memory_mb": 192}}}
	d.addWorker("s-1", func(id string, conn net.Conn) bool {
		time.Sleep(50 * time.Millisecond)
		return respondDone(id, conn)
	})
	d.start()
	var wg sync.WaitGroup
	for i := range 60 {
		conn, err := net.Dial("tcp", d.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(conn, "POST /status-check/k HTTP/1.1\r\nX-Correlation-Id: many-%d\r\nContent-Length: 1\r\n\r\nx", i)
		wg.Go(func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 {
				t.Errorf("client %d: %v, %v", i, resp, err)
			}
		})
	}
	wg.Wait()
}

// With all descriptors of clients in use, and more connections to the admin API that
// send nothing or half a call than it holds, a call is answered; and the limit holds.
func TestAdminAtDescriptorLimit(t *testing.T) {
	d := newDaemonWithAdmin(t, nil)
	d.config = map[string]any{"limits": map[string]any{"sockets": 80, "memory_mb": 192}}
	d.addWorker("s-1", respondDone)
	d.start()
	d.callAdmin("GET", "/control/ready")
	addr := d.adminAddress()
	for i := range 60 {
		d.connect()
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			fmt.Fprint(conn, "GET /control/cou")
		}
		if n := openDescriptors(d); n > 80 {
			t.Fatalf("%d descriptors", n)
		}
		if i%10 == 9 {
			if status, text := d.callAdmin("GET", "/control/counters"); status != 200 || !strings.Contains(text, `"discovered":1`) {
				t.Fatalf("after %d callers: %d %q", i, status, text)
			}
		}
	}
}

func openDescriptors(d *testDaemon) int {
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	return len(fds)
}
