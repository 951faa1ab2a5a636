package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against a request that is closed with no answer on a new connection: a process that got no processor time from
// before the end of the window for new connections until after the time at which it stops reading closed its listener
// over connections that the kernel had accepted, and connections over requests that it had not read.
func TestRequestsBeforeStopOfStalledProcessAreAnswered(t *testing.T) {
	const (
		beforeStall  = 300 * time.Millisecond // after SIGTERM
		afterArrival = 450 * time.Millisecond // until the process continues, behind the time at which it stops reading
		clients      = 5
	)
	daemon := &testDaemon{t: t}
	daemon.addWorker("s-1", respondDone)
	daemon.start()
	kept := daemon.connect()
	fmt.Fprint(kept, requestText("renewal", "first", ""))
	if status, _ := kept.readResponse(t); status != http.StatusOK {
		t.Fatalf("the first request: %d", status)
	}

	daemon.signal(syscall.SIGTERM)
	time.Sleep(beforeStall)
	daemon.signal(syscall.SIGSTOP)
	connections := []*clientConn{kept}
	for range clients {
		connections = append(connections, daemon.connect())
	}
	for i, connection := range connections {
		fmt.Fprint(connection, requestText("renewal", fmt.Sprint("stalled-", i), ""))
	}
	time.Sleep(afterArrival)
	daemon.signal(syscall.SIGCONT)
	for i, connection := range connections {
		status, _ := connection.readResponse(t)
		if status != http.StatusOK {
			t.Errorf("request %d: status %d, want 200", i, status)
		}
	}
}
