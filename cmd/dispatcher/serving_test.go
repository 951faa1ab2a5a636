package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestServesRequestUnchanged(t *testing.T) {
	daemon := &testDaemon{t: t}
	worker := daemon.addWorker("s-1", respondDone)
	daemon.start()
	if query := daemon.discovery.waitForWatch(); query != "watch=1&after=41" {
		t.Errorf("watch %q", query)
	}
	for i := range 5 {
		id := fmt.Sprintf("id-%d", i)
		status, body, _ := daemon.post("renewal", id, "pay", 0)
		if status != 200 || body != "made for "+id {
			t.Errorf("%s: %d %q", id, status, body)
		}
	}
	arrived := worker.requests()
	if len(arrived) != 5 || arrived[4] != "id-4 POST /renewal/key-1?x=y pay" {
		t.Errorf("arrived: %q", arrived)
	}
}

// A renewal that may have run is never sent again: neither after a reset, nor after a timeout,
// nor when an idle connection turns out to be closed. A status-check is sent again.
func TestRenewalIsNeverSentTwice(t *testing.T) {
	daemon := &testDaemon{t: t}
	worker := daemon.addWorker("s-1", respondDone)
	daemon.start()
	daemon.postStatus("renewal", "warm-up") // leaves a connection to the worker open

	worker.setRespond(closeUnanswered)
	if status := daemon.postStatus("renewal", "reset"); status != 502 {
		t.Errorf("after a reset: %d", status)
	}
	worker.setRespond(respondNever)
	if status, _, _ := daemon.post("renewal", "silent", "x", 1500); status != 502 {
		t.Errorf("after a timeout: %d", status)
	}
	var attempts atomic.Int32
	worker.setRespond(func(id string, conn net.Conn) bool {
		if attempts.Add(1) == 1 {
			return closeUnanswered(id, conn)
		}
		return respondDone(id, conn)
	})
	if status := daemon.postStatus("status-check", "check"); status != 200 {
		t.Errorf("a status-check after a reset: %d", status)
	}

	runs := worker.runsByID()
	if runs["reset"] != 1 || runs["silent"] != 1 || runs["check"] != 2 {
		t.Errorf("arrivals %v", runs)
	}
}

// A request that no worker accepts is rejected before its deadline, with Retry-After.
func TestRejectionHasRetryAfter(t *testing.T) {
	daemon := &testDaemon{t: t}
	daemon.addWorker("s-1", respondUnprocessed)
	daemon.start()
	for _, class := range []string{"status-check", "renewal"} {
		status, _, retryAfter := daemon.post(class, "full-"+class, "x", 1500)
		var seconds float64
		_, err := fmt.Sscan(retryAfter, &seconds)
		if status != 503 || err != nil || seconds < 0 || seconds > 2 {
			t.Errorf("%s: %d, Retry-After %q", class, status, retryAfter)
		}
	}
}

// When a client closes its connection, the attempt of its request is cancelled.
func TestCancelReachesWorker(t *testing.T) {
	daemon := &testDaemon{t: t}
	arrived := make(chan struct{})
	cancelled := make(chan struct{})
	daemon.addWorker("s-1", func(id string, conn net.Conn) bool {
		close(arrived)
		respondNever(id, conn)
		close(cancelled)
		return false
	})
	daemon.start()
	client := daemon.connect()
	client.send("gone")
	<-arrived
	client.Close()
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Error("the worker still runs the request")
	}
}

// The Faktory front end runs together with the HTTP front end, and uses the same workers.
func TestFaktoryFrontEnd(t *testing.T) {
	daemon := &testDaemon{t: t}
	worker := daemon.addWorker("s-1", respondDone)
	address := unusedAddress(t)
	operatorFile := writeFile(t, t.TempDir(), "faktory.toml", fmt.Sprintf("listen = %q\n", address))
	daemon.start("-faktory", operatorFile)

	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(conn)
	for _, exchange := range []struct{ command, reply string }{
		{"", "+HI {\"v\":2}"},
		{`HELLO {"v":2}`, "+OK"},
		{`PUSH {"jid":"pushed-01","queue":"renewal","jobtype":"x","args":[],"custom":{"key":"a b","effort_us":20000}}`, "+OK"},
		{`PUSH {"jid":"pushed-01","queue":"renewal","jobtype":"x","args":[]}`, "+OK"},
	} {
		if exchange.command != "" {
			fmt.Fprintf(conn, "%s\r\n", exchange.command)
		}
		line, err := reader.ReadString('\n')
		if err != nil || strings.TrimSpace(line) != exchange.reply {
			t.Fatalf("%s: %q, %v", exchange.command, line, err)
		}
	}

	arrived := worker.requests()
	if len(arrived) != 1 || !strings.HasPrefix(arrived[0], "pushed-01 POST /renewal/a%20b {") {
		t.Errorf("arrived: %q", arrived)
	}
	daemon.signal(syscall.SIGTERM)
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
