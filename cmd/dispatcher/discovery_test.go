package main

import (
	"fmt"
	"maps"
	"net"
	"syscall"
	"testing"
	"time"
)

// Changes of the endpoint list are applied: a draining worker gets no new requests, and gets
// some again when it is ready again. A watch without heartbeats, one that ends and one that
// sends invalid lines are opened again, while the list stays in force.
func TestDiscovery(t *testing.T) {
	daemon := &testDaemon{t: t}
	draining := daemon.addWorker("s-a", respondDone)
	other := daemon.addWorker("s-b", respondDone)
	daemon.start()
	daemon.discovery.waitForWatch()
	daemon.discovery.sendChange(42, draining.listEntry("draining"))
	// The change has arrived once a request has gone to the other worker.
	daemon.postUntil(func() bool { return len(other.requests()) > 0 }, "probe-", 0)
	time.Sleep(100 * time.Millisecond)

	before := len(draining.requests())
	for i := range 20 {
		if status := daemon.postStatus("renewal", fmt.Sprint("drain-", i)); status != 200 {
			t.Errorf("%d: %d", i, status)
		}
	}
	if count := len(draining.requests()); count != before {
		t.Errorf("the draining worker got %d more", count-before)
	}
	faults := []watchEvent{watchFallsSilent, watchEnds, `{"seq":43,"hosts":[{"host":"","health":"ready"}]}`, "nonsense"}
	for i, fault := range faults {
		daemon.discovery.events <- fault
		if query := daemon.discovery.waitForWatch(); query != "watch=1&after=42" {
			t.Errorf("after %q: watch %q", fault, query)
		}
		if status := daemon.postStatus("renewal", fmt.Sprint("kept-", i)); status != 200 {
			t.Errorf("after %q: a request with the list in force: %d", fault, status)
		}
	}
	if count := len(draining.requests()); count != before {
		t.Errorf("the draining worker got %d more", count-before)
	}

	daemon.discovery.sendList(44, draining.listEntry("ready"))
	end := time.Now().Add(testTimeout)
	for i := 0; len(draining.requests()) == before; i++ {
		status := daemon.postStatus("status-check", fmt.Sprint("back-", i))
		if status != 200 || time.Now().After(end) {
			t.Fatalf("a request to the only worker listed: %d", status)
		}
	}
}

// SIGHUP reloads the configuration. The watch moves to the discovery address in the file, even
// if the environment has another one, while the list and running requests stay. An invalid
// file changes nothing. A SIGHUP right before or after SIGTERM has no effect on the shutdown.
func TestReload(t *testing.T) {
	daemon := &testDaemon{t: t}
	release := make(chan struct{})
	worker := daemon.addWorker("s-1", func(id string, conn net.Conn) bool {
		<-release
		return respondDone(id, conn)
	})
	daemon.start()
	daemon.discovery.waitForWatch()
	running := daemon.postInBackground("renewal", "held")
	for end := time.Now().Add(testTimeout); len(worker.requests()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request does not reach the worker")
		}
	}

	moved := startDiscovery(t)
	daemon.checkInvalidReloads(moved.address)
	daemon.reloadWith(map[string]any{"discovery": moved.address, "limits": map[string]any{"memory_mb": 64}})
	daemon.signal(syscall.SIGHUP)
	daemon.signal(syscall.SIGHUP)
	if query := moved.waitForWatch(); query != "watch=1&after=41" {
		t.Errorf("watch %q at the new address", query)
	}
	daemon.waitForLog("a restart is needed: limits")
	select {
	case query := <-daemon.discovery.watches:
		t.Errorf("watch %q at the old address", query)
	default:
	}
	added := daemon.addWorker("s-2", respondDone)
	moved.sendChange(42, added.listEntry("ready"))
	daemon.postUntil(func() bool { return len(added.requests()) > 0 }, "new-", 200)
	if len(added.requests()) == 0 {
		t.Error("a change from the new discovery is not applied")
	}

	daemon.signal(syscall.SIGHUP)
	daemon.signal(syscall.SIGTERM)
	daemon.signal(syscall.SIGHUP)
	close(release)
	if status := <-running; status != 200 {
		t.Errorf("the running request got %d", status)
	}
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// reloadWith makes the daemon reload its configuration with some keys changed. All other keys
// have the values from the start, also those that an earlier call has changed.
func (d *testDaemon) reloadWith(changes map[string]any) {
	d.t.Helper()
	atStart := d.config
	d.config = maps.Clone(atStart)
	maps.Copy(d.config, changes)
	d.writeConfig()
	d.config = atStart
	d.signal(syscall.SIGHUP)
}

// checkInvalidReloads reloads invalid configurations and checks that the log names the invalid
// key. Unless that key is discovery, the configuration also has another discovery address,
// which must not be used.
func (d *testDaemon) checkInvalidReloads(unusedDiscovery string) {
	d.t.Helper()
	for key, invalid := range map[string]any{"discovery": "nowhere", "settings": map[string]any{}, "known": 5} {
		changes := map[string]any{"discovery": unusedDiscovery}
		changes[key] = invalid
		d.reloadWith(changes)
		d.waitForLog("reload: config: " + key)
	}
}

// The initial endpoint list may be stale. The program accepts requests at once, since clients
// have no other dispatcher, but sends none of them to workers of that list until discovery has
// answered.
func TestStartWithStaleList(t *testing.T) {
	daemon := &testDaemon{
		t:             t,
		discovery:     &testDiscovery{t: t, firstLines: make(chan string, 1)},
		skipReadyWait: true,
	}
	stale := daemon.addWorker("s-old", respondDone)
	daemon.start()
	if status := daemon.health(); status != 503 {
		t.Errorf("before discovery has confirmed the list: healthz returns %d", status)
	}
	added := daemon.addWorker("s-new", respondDone)
	const early = 4 // requests
	statuses := make(chan int)
	for i := range early {
		go func() { statuses <- daemon.postStatus("renewal", fmt.Sprint("early-", i)) }()
	}
	time.Sleep(50 * time.Millisecond) // so that the requests are probably waiting; the test passes without it too
	daemon.discovery.firstLines <- endpointList(42, false, added.listEntry("ready"), stale.listEntry("draining"))
	for range early {
		if status := <-statuses; status != 200 {
			t.Errorf("status %d", status)
		}
	}
	toStale := len(stale.requests())
	toAdded := len(added.requests())
	if toStale != 0 || toAdded != early {
		t.Errorf("the worker of the stale list got %d requests, the added worker %d", toStale, toAdded)
	}
	if status := daemon.health(); status != 200 {
		t.Errorf("after discovery has answered: healthz returns %d", status)
	}
}
