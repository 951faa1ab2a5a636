package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestServesRequestUnchanged(t *testing.T) {
	d := &testDaemon{t: t}
	b := d.addWorker("s-1", respondDone)
	d.start()
	if q := d.waitForWatch(); q != "watch=1&after=41" {
		t.Errorf("watch %q", q)
	}
	for i := range 5 {
		id := fmt.Sprintf("id-%d", i)
		if status, body, _ := d.post("renewal", id, "pay", 0); status != 200 || body != "made for "+id {
			t.Errorf("%s: %d %q", id, status, body)
		}
	}
	got := b.requests()
	if len(got) != 5 || got[4] != "id-4 POST /renewal/key-1?x=y pay" {
		t.Errorf("arrived: %q", got)
	}
}

// A renewal that may have run is never sent again: not after a reset, not after a
// timeout, not on an idle connection that turns out to be closed. A status-check is.
func TestRenewalIsNeverSentTwice(t *testing.T) {
	d := &testDaemon{t: t}
	reset := func(string, net.Conn) bool { return false }
	b := d.addWorker("s-1", respondDone)
	d.start()
	d.post("renewal", "warm-up", "x", 0)
	b.setRespond(reset)
	if status, _, _ := d.post("renewal", "reset", "x", 0); status != 502 {
		t.Errorf("after a reset: %d", status)
	}
	b.setRespond(func(_ string, conn net.Conn) bool { io.Copy(io.Discard, conn); return false })
	if status, _, _ := d.post("renewal", "silent", "x", 1500); status != 502 {
		t.Errorf("after silence: %d", status)
	}
	var before atomic.Int32
	b.setRespond(func(id string, conn net.Conn) bool {
		if before.Add(1) == 1 {
			return false
		}
		return respondDone(id, conn)
	})
	if status, _, _ := d.post("status-check", "check", "x", 0); status != 200 {
		t.Errorf("a status-check after a reset: %d", status)
	}
	count := map[string]int{}
	for _, a := range b.requests() {
		id, _, _ := strings.Cut(a, " ")
		count[id]++
	}
	if count["reset"] != 1 || count["silent"] != 1 || count["check"] != 2 {
		t.Errorf("arrivals %v", count)
	}
}

// A request that no worker can take is rejected before its deadline, with Retry-After.
func TestRejectionHasRetryAfter(t *testing.T) {
	d := &testDaemon{t: t}
	d.addWorker("s-1", func(_ string, conn net.Conn) bool {
		fmt.Fprint(conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	d.start()
	for _, class := range []string{"status-check", "renewal"} {
		status, _, retry := d.post(class, "full-"+class, "x", 1500)
		var s float64
		if _, err := fmt.Sscan(retry, &s); status != 503 || err != nil || s < 0 || s > 2 {
			t.Errorf("%s: %d, Retry-After %q", class, status, retry)
		}
	}
}

// The attempt of a client that closes its connection is cancelled.
func TestCancelReachesWorker(t *testing.T) {
	d := &testDaemon{t: t}
	gone := make(chan struct{})
	arrived := make(chan struct{})
	d.addWorker("s-1", func(_ string, conn net.Conn) bool {
		close(arrived)
		io.Copy(io.Discard, conn)
		close(gone)
		return false
	})
	d.start()
	conn, err := net.Dial("tcp", d.listen)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: gone\r\nContent-Length: 1\r\n\r\nx")
	<-arrived
	conn.Close()
	select {
	case <-gone:
	case <-time.After(testTimeout):
		t.Error("the worker still has it")
	}
}

// The Faktory front end runs beside the HTTP front end, on the same workers.
func TestFaktoryFrontEnd(t *testing.T) {
	d := &testDaemon{t: t}
	b := d.addWorker("s-1", respondDone)
	addr := unusedAddress(t)
	path := filepath.Join(t.TempDir(), "faktory.toml")
	os.WriteFile(path, []byte(fmt.Sprintf("listen = %q\n", addr)), 0o600)
	d.start("-faktory", path)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	in := bufio.NewReader(conn)
	for _, x := range []struct{ command, want string }{
		{"", "+HI {\"v\":2}"},
		{`HELLO {"v":2}`, "+OK"},
		{`PUSH {"jid":"pushed-01","queue":"renewal","jobtype":"x","args":[],"custom":{"key":"a b","effort_us":20000}}`, "+OK"},
		{`PUSH {"jid":"pushed-01","queue":"renewal","jobtype":"x","args":[]}`, "+OK"},
	} {
		if x.command != "" {
			fmt.Fprintf(conn, "%s\r\n", x.command)
		}
		if line, err := in.ReadString('\n'); err != nil || strings.TrimSpace(line) != x.want {
			t.Fatalf("%s: %q, %v", x.command, line, err)
		}
	}
	if got := b.requests(); len(got) != 1 || !strings.HasPrefix(got[0], "pushed-01 POST /renewal/a%20b {") {
		t.Errorf("arrived: %q", got)
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
