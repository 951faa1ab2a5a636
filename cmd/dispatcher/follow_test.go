package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// A dispatcher with membership servers in its operator's file follows their versioned
// changes. SIGHUP changes the servers; an invalid table changes nothing; and the admin
// API has the version in force.
func TestFollowsVersionedChanges(t *testing.T) {
	d := newDaemonWithAdmin(t, newPlatformListener(t))
	a, b := d.addWorker("s-1", respondDone), d.addWorker("s-2", respondDone)
	origin := func(hosts ...*testWorker) *standin.Discovery {
		source, err := standin.StartDiscovery(nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { source.Close() })
		for range 50 { // ahead of the initial endpoint list
			source.Set()
		}
		for _, h := range hosts {
			source.Set(listedHost(t, h))
		}
		return source
	}
	first, second := origin(a), origin(a, b)
	path := filepath.Join(t.TempDir(), "operator.toml")
	table := func(text string) {
		if err := os.WriteFile(path, []byte("[membership]\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	server := func(source *standin.Discovery) string {
		return fmt.Sprintf("on = true\n[[membership.servers]]\naddress = %q\n", source.Addr)
	}
	table(server(first))
	d.start("-operator", path)
	follows := func(source *standin.Discovery, version int) func() bool {
		return func() bool {
			var stats struct {
				Version int
				Server  string
			}
			_, text := d.callAdmin("GET", "/control/membership")
			return json.Unmarshal([]byte(text), &stats) == nil && stats.Version == version && stats.Server == source.Addr
		}
	}
	d.waitUntil("the first server is followed", follows(first, 51))
	for text, want := range map[string]string{
		"on = false": "membership.on: only a restart", "on = true": "membership.servers: none",
		server(second) + "zone = \"nowhere\"\n": "membership.servers[0].zone",
	} {
		table(text)
		d.signal(syscall.SIGHUP)
		d.waitForLog(want)
	}
	if !follows(first, 51)() {
		t.Error("an invalid table has changed something")
	}
	table(server(second))
	d.signal(syscall.SIGHUP)
	d.waitUntil("the second server is followed", follows(second, 52))
	second.Set(standin.Host{Host: "s-1", Dial: "127.0.0.1:9", Health: "gone"})
	d.waitUntil("its change is in force", follows(second, 53))
	before := len(a.requests())
	for i := range 10 {
		if status, _, _ := d.post("renewal", fmt.Sprint("job-", i), "x", 0); status != 200 {
			t.Errorf("request %d: %d", i, status)
		}
	}
	if len(a.requests()) != before || len(b.requests()) != 10 {
		t.Errorf("%d requests went to the removed worker, %d to the other", len(a.requests())-before, len(b.requests()))
	}
	select {
	case q := <-d.watches:
		t.Error("the discovery watch is open too: ", q)
	default:
	}
	d.signal(syscall.SIGTERM)
	if code := d.waitForExit(); code != 0 || strings.Contains(d.log.String(), "panic") {
		t.Errorf("exit code %d", code)
	}
}

// listedHost returns a worker's entry in the endpoint list.
func listedHost(t *testing.T, b *testWorker) (h standin.Host) {
	t.Helper()
	if err := json.Unmarshal([]byte(b.listEntry("ready")), &h); err != nil {
		t.Fatal(err)
	}
	return h
}
