package main

import (
	"fmt"
	"syscall"
	"testing"
)

// drainedClients are the connections that are open when a drain begins.
type drainedClients struct {
	health  *clientConn // requests only /healthz
	idle    *clientConn // has got a response
	silent  *clientConn // has sent nothing
	running *clientConn // its request is still running
}

func (d *testDaemon) connectDrainedClients() drainedClients {
	return drainedClients{health: d.connect(), idle: d.connect(), silent: d.connect(), running: d.connect()}
}

// requestHealth requests /healthz on an open connection, and returns the status.
func (c *clientConn) requestHealth(t *testing.T) int {
	t.Helper()
	fmt.Fprint(c, "GET /healthz HTTP/1.1\r\n\r\n")
	status, _ := c.readResponse(t)
	return status
}

// During a drain, /healthz responds with 503 at once, also on open connections. Requests are
// still served, and every connection is closed, including idle and silent ones; a new
// connection is closed after one response. After the drain all is as before. Repeating
// either call has no effect.
func TestDrain(t *testing.T) {
	daemon := newDaemonWithAdmin(t, nil)
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	daemon.addWorker("s-1", respondWhenReleased("long", arrived, release))
	daemon.start()

	clients := daemon.connectDrainedClients()
	clients.idle.send("idle")
	if status, ends := clients.idle.readResponse(t); status != 200 || ends || clients.health.requestHealth(t) != 200 {
		t.Errorf("in service: %d, ends: %v", status, ends)
	}
	clients.running.send("long")
	<-arrived

	for range 2 {
		if status := daemon.setOutOfService(); status != 200 {
			t.Errorf("out of service: %d", status)
		}
	}
	daemon.checkDrained(clients)
	close(release)
	if status, ends := clients.running.readResponse(t); status != 200 || !ends {
		t.Errorf("a request from before the drain: %d, ends: %v", status, ends)
	}

	for range 2 {
		if status := daemon.setInService(); status != 200 {
			t.Errorf("in service: %d", status)
		}
	}
	back := daemon.connect()
	back.send("back")
	if status, ends := back.readResponse(t); status != 200 || ends || daemon.health() != 200 {
		t.Errorf("back in service: %d, ends: %v", status, ends)
	}
	counters := daemon.counters()
	if counters.Succeeded["renewal"] != 5 || counters.Forwards != 5 || counters.Discovered != 1 || counters.Outstanding != 0 {
		t.Errorf("counters %+v", counters)
	}

	daemon.signal(syscall.SIGTERM)
	daemon.waitUntil("refusal after SIGTERM", func() bool { return daemon.setInService() == 409 })
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// checkDrained checks that a drained dispatcher ends its connections, and still serves.
func (d *testDaemon) checkDrained(clients drainedClients) {
	t := d.t
	t.Helper()
	if status := clients.health.requestHealth(t); status != 503 {
		t.Errorf("healthz of a drained dispatcher: %d", status)
	}
	fresh := d.connect()
	fresh.send("fresh")
	if status, _ := fresh.readResponse(t); status != 200 {
		t.Errorf("a request during the drain: %d", status)
	}
	ending := map[string]*clientConn{"idle": clients.idle, "silent": clients.silent, "health": clients.health, "fresh": fresh}
	for name, client := range ending {
		if !client.closed() {
			t.Errorf("the %s connection is not closed", name)
		}
	}
	late := d.connect()
	late.send("late")
	if status, ends := late.readResponse(t); status != 200 || !ends {
		t.Errorf("a new connection: %d, ends: %v", status, ends)
	}
	if !d.connect().closed() {
		t.Error("a new connection that sends nothing is not closed")
	}
}
