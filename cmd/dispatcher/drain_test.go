package main

import (
	"fmt"
	"syscall"
	"testing"
)

// A drain: healthz answers 503 at once, on open connections too; requests are still
// served; connections end, idle and silent ones too; a new one is served once. Back in
// service all is as before. To repeat either call changes nothing.
func TestDrain(t *testing.T) {
	d := newDaemonWithAdmin(t, nil)
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	d.addWorker("s-1", respondWhenReleased("long", arrived, release))
	d.start()
	health, idle, silent, long := d.connect(), d.connect(), d.connect(), d.connect()
	ask := func() int {
		fmt.Fprint(health, "GET /healthz HTTP/1.1\r\n\r\n")
		status, _ := health.readResponse(t)
		return status
	}
	idle.send("idle")
	if status, ends := idle.readResponse(t); status != 200 || ends || ask() != 200 {
		t.Errorf("in service: %d, ends: %v", status, ends)
	}
	long.send("long")
	<-arrived
	for range 2 {
		if status, _ := d.callAdmin("PUT", "/control/out-of-service"); status != 200 {
			t.Errorf("out of service: %d", status)
		}
	}
	if status := ask(); status != 503 {
		t.Errorf("healthz of a drained dispatcher: %d", status)
	}
	fresh := d.connect()
	fresh.send("fresh")
	if status, _ := fresh.readResponse(t); status != 200 {
		t.Errorf("while the platform still sends: %d", status)
	}
	for name, s := range map[string]*clientConn{"idle": idle, "silent": silent, "health": health, "fresh": fresh} {
		if !s.closed() {
			t.Errorf("the %s connection does not end by itself", name)
		}
	}
	late := d.connect()
	late.send("late")
	if status, ends := late.readResponse(t); status != 200 || !ends {
		t.Errorf("a new connection: %d, ends: %v", status, ends)
	}
	if !d.connect().closed() {
		t.Error("a new connection that sends nothing stays")
	}
	close(release)
	if status, ends := long.readResponse(t); status != 200 || !ends {
		t.Errorf("a request from before: %d, ends: %v", status, ends)
	}
	for range 2 {
		if status, _ := d.callAdmin("PUT", "/control/in-service"); status != 200 {
			t.Errorf("in service: %d", status)
		}
	}
	back := d.connect()
	back.send("back")
	if status, ends := back.readResponse(t); status != 200 || ends || d.health() != 200 {
		t.Errorf("back in service: %d, ends: %v", status, ends)
	}
	if f := d.counters(); f.Succeeded["renewal"] != 5 || f.Forwards != 5 || f.Discovered != 1 || f.Outstanding != 0 {
		t.Errorf("counters %+v", f)
	}
	d.signal(syscall.SIGTERM)
	d.waitUntil("refusal after SIGTERM", func() bool { status, _ := d.callAdmin("PUT", "/control/in-service"); return status == 409 })
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
