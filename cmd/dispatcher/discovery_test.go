package main

import (
	"fmt"
	"maps"
	"net"
	"syscall"
	"testing"
	"time"
)

// Endpoint changes apply: a draining worker gets nothing new, one that is back does. A
// watch without heartbeats is closed and opened again while the list stays; so is one
// that ends or sends invalid lines.
func TestDiscovery(t *testing.T) {
	d := &testDaemon{t: t}
	a, b := d.addWorker("s-a", respondDone), d.addWorker("s-b", respondDone)
	d.start()
	d.waitForWatch()
	d.changes <- `{"seq":42,"whole":false,"hosts":[` + a.listEntry("draining") + `]}`
	// The changes have arrived once an answer that needs them has been given.
	for i, end := 0, time.Now().Add(testTimeout); len(b.requests()) == 0 && time.Now().Before(end); i++ {
		d.post("status-check", fmt.Sprint("probe-", i), "x", 0)
	}
	time.Sleep(100 * time.Millisecond)
	before := len(a.requests())
	for i := range 20 {
		if status, _, _ := d.post("renewal", fmt.Sprint("drain-", i), "x", 0); status != 200 {
			t.Errorf("%d: %d", i, status)
		}
	}
	if n := len(a.requests()); n != before {
		t.Errorf("the draining worker got %d more", n-before)
	}
	for i, fault := range []string{"silence", "end", `{"seq":43,"hosts":[{"host":"","health":"ready"}]}`, "nonsense"} {
		d.changes <- fault
		if q := d.waitForWatch(); q != "watch=1&after=42" {
			t.Errorf("after %q: watch %q", fault, q)
		}
		if status, _, _ := d.post("renewal", fmt.Sprint("kept-", i), "x", 0); status != 200 {
			t.Errorf("after %q: the list is lost: %d", fault, status)
		}
	}
	if n := len(a.requests()); n != before {
		t.Errorf("the draining worker got %d more", n-before)
	}
	d.changes <- `{"seq":44,"whole":true,"hosts":[` + a.listEntry("ready") + `]}`
	for i, end := 0, time.Now().Add(testTimeout); len(a.requests()) == before; i++ {
		if status, _, _ := d.post("status-check", fmt.Sprint("back-", i), "x", 0); status != 200 || time.Now().After(end) {
			t.Fatalf("the one worker listed: %d", status)
		}
	}
}

// SIGHUP reloads the configuration: the watch moves to the discovery that the file names,
// whatever the environment says, while the list and the running request stay; an
// invalid file changes nothing; close to SIGTERM it does no harm.
func TestReload(t *testing.T) {
	d, other := &testDaemon{t: t}, &testDaemon{t: t}
	hold := make(chan bool)
	b := d.addWorker("s-1", func(id string, conn net.Conn) bool { <-hold; return respondDone(id, conn) })
	d.start()
	d.waitForWatch()
	answer := make(chan int)
	go func() {
		status, _, _ := d.post("renewal", "held", "x", 0)
		answer <- status
	}()
	for end := time.Now().Add(testTimeout); len(b.requests()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request does not arrive")
		}
	}
	good, addr := d.config, other.startDiscovery()
	for name, bad := range map[string]any{"discovery": "nowhere", "settings": map[string]any{}, "known": 5} {
		d.config = maps.Clone(good)
		d.config["discovery"], d.config[name] = addr, bad
		d.writeConfig()
		d.signal(syscall.SIGHUP)
		d.waitForLog("reload: config: " + name)
	}
	d.config = maps.Clone(good)
	d.config["discovery"], d.config["limits"] = addr, map[string]any{"memory_mb": 64}
	d.writeConfig()
	for range 3 {
		d.signal(syscall.SIGHUP)
	}
	if q := other.waitForWatch(); q != "watch=1&after=41" {
		t.Errorf("watch %q at the new address", q)
	}
	d.waitForLog("a restart is needed: limits")
	select {
	case q := <-d.watches:
		t.Errorf("watch %q at the old address", q)
	default:
	}
	c := d.addWorker("s-2", respondDone)
	other.changes <- `{"seq":42,"whole":false,"hosts":[` + c.listEntry("ready") + `]}`
	for i, end := 0, time.Now().Add(testTimeout); len(c.requests()) == 0 && time.Now().Before(end); i++ {
		d.post("status-check", fmt.Sprint("new-", i), "x", 200)
	}
	if len(c.requests()) == 0 {
		t.Error("the new discovery is not used")
	}
	d.signal(syscall.SIGHUP)
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGHUP)
	close(hold)
	if status := <-answer; status != 200 {
		t.Errorf("the running request got %d", status)
	}
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// The initial endpoint list may be stale. The program accepts requests at once, since
// clients have no other dispatcher, but sends none by that list until discovery has
// answered.
func TestStartWithStaleList(t *testing.T) {
	d := &testDaemon{t: t, firstLine: make(chan string, 1), skipReadyWait: true}
	old := d.addWorker("s-old", respondDone)
	d.start()
	if status := d.health(); status != 503 {
		t.Errorf("before the list is known to be good: healthz says %d", status)
	}
	fresh := d.addWorker("s-new", respondDone)
	answer := make(chan int)
	for i := range 4 {
		go func() {
			status, _, _ := d.post("renewal", fmt.Sprint("early-", i), "x", 0)
			answer <- status
		}()
	}
	time.Sleep(50 * time.Millisecond) // for the requests to wait; the test holds without it too
	d.firstLine <- `{"seq":42,"whole":false,"hosts":[` + fresh.listEntry("ready") + `,` + old.listEntry("draining") + `]}`
	for range 4 {
		if status := <-answer; status != 200 {
			t.Errorf("status %d", status)
		}
	}
	if n, m := len(old.requests()), len(fresh.requests()); n != 0 || m != 4 {
		t.Errorf("the stale list's worker got %d, the new one %d", n, m)
	}
	if status := d.health(); status != 200 {
		t.Errorf("afterwards: healthz says %d", status)
	}
}
