package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// startOrigin starts a source of versioned changes. It makes versionsAhead empty changes, and
// then one change for each worker, which adds it to the list.
func startOrigin(t *testing.T, workers ...*testWorker) *standin.Discovery {
	t.Helper()
	const versionsAhead = 50 // so that its version is higher than that of the initial endpoint list
	origin, err := standin.StartDiscovery(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { origin.Close() })
	for range versionsAhead {
		origin.Set()
	}
	for _, worker := range workers {
		origin.Set(worker.host(t))
	}
	return origin
}

// host returns a worker's entry in the endpoint list.
func (w *testWorker) host(t *testing.T) (host standin.Host) {
	t.Helper()
	if err := json.Unmarshal([]byte(w.listEntry("ready")), &host); err != nil {
		t.Fatal(err)
	}
	return host
}

// followTable returns the keys of the operator's table [membership] for following one origin.
func followTable(origin *standin.Discovery) string {
	return fmt.Sprintf("on = true\n[[membership.servers]]\naddress = %q\n", origin.Addr)
}

// follows reports whether a version of an origin is in force.
func (d *testDaemon) follows(origin *standin.Discovery, version int) bool {
	var stats struct {
		Version int
		Server  string
	}
	_, text := d.callAdmin("GET", "/control/membership")
	return json.Unmarshal([]byte(text), &stats) == nil && stats.Version == version && stats.Server == origin.Addr
}

// waitUntilFollows waits until a version of an origin is in force.
func (d *testDaemon) waitUntilFollows(origin *standin.Discovery, version int) {
	d.t.Helper()
	d.waitUntil(fmt.Sprintf("version %d of %s is in force", version, origin.Addr), func() bool { return d.follows(origin, version) })
}

// A dispatcher with membership servers in its operator's file applies their versioned
// changes, and does not watch discovery. SIGHUP changes the servers; an invalid table changes
// nothing. The admin API reports the version in force.
func TestFollowsVersionedChanges(t *testing.T) {
	daemon := newDaemonWithAdmin(t, newPlatformListener(t))
	removed := daemon.addWorker("s-1", respondDone)
	remaining := daemon.addWorker("s-2", respondDone)
	first := startOrigin(t, removed)
	second := startOrigin(t, removed, remaining)
	directory := t.TempDir()
	writeTable := func(keys string) {
		t.Helper()
		writeFile(t, directory, "operator.toml", "[membership]\n"+keys)
	}
	writeTable(followTable(first))
	daemon.start("-operator", filepath.Join(directory, "operator.toml"))
	daemon.waitUntilFollows(first, 51)

	for keys, want := range map[string]string{
		"on = false": "membership.on: only a restart",
		"on = true":  "membership.servers: none",
		followTable(second) + "zone = \"nowhere\"\n": "membership.servers[0].zone",
	} {
		writeTable(keys)
		daemon.signal(syscall.SIGHUP)
		daemon.waitForLog(want)
	}
	if !daemon.follows(first, 51) {
		t.Error("after invalid tables the first origin is not followed any more")
	}
	writeTable(followTable(second))
	daemon.signal(syscall.SIGHUP)
	daemon.waitUntilFollows(second, 52)

	second.Set(standin.Host{Host: "s-1", Dial: "127.0.0.1:9", Health: "gone"})
	daemon.waitUntilFollows(second, 53)
	before := len(removed.requests())
	for i := range 10 {
		if status := daemon.postStatus("renewal", fmt.Sprint("job-", i)); status != 200 {
			t.Errorf("request %d: %d", i, status)
		}
	}
	if len(removed.requests()) != before || len(remaining.requests()) != 10 {
		t.Errorf("%d requests went to the removed worker, %d to the other", len(removed.requests())-before, len(remaining.requests()))
	}
	select {
	case query := <-daemon.discovery.watches:
		t.Error("the discovery watch is open too: ", query)
	default:
	}
	daemon.signal(syscall.SIGTERM)
	if code := daemon.waitForExit(); code != 0 || strings.Contains(daemon.log.String(), "panic") {
		t.Errorf("exit code %d", code)
	}
}
