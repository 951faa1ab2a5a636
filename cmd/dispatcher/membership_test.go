package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
	"hollyyoke.example/hollyyoke/internal/relay"
)

// relayProcess is a relay in a process of its own.
type relayProcess struct {
	t       *testing.T
	command *exec.Cmd
	address string
	admin   string
}

// startRelay builds and starts a relay.
func startRelay(t *testing.T, upstream string) *relayProcess {
	t.Helper()
	dir := t.TempDir()
	program, options := filepath.Join(dir, "relay"), filepath.Join(dir, "relay.toml")
	if out, err := exec.Command("go", "build", "-o", program, "../membership-relay").CombinedOutput(); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	text := fmt.Sprintf("[relay]\nname = \"relay-here\"\nzone = \"here\"\nlisten = \"127.0.0.1:0\"\n"+
		"admin_addr = \"127.0.0.1:0\"\nupstreams = [%q]\n", upstream)
	if err := os.WriteFile(options, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r := &relayProcess{t: t, command: exec.Command(program, "--operator", options)}
	out, err := r.command.StdoutPipe()
	if err == nil {
		err = r.command.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.command.Process.Kill(); r.command.Wait() })
	lines := bufio.NewScanner(out)
	for _, line := range []struct {
		prefix string
		into   *string
	}{{"listening on ", &r.address}, {"admin API on ", &r.admin}} {
		if !lines.Scan() || !strings.HasPrefix(lines.Text(), line.prefix) {
			t.Fatalf("%q in place of %q", lines.Text(), line.prefix)
		}
		*line.into = strings.TrimPrefix(lines.Text(), line.prefix)
	}
	return r
}

// await waits until the relay's status is as asked for.
func (r *relayProcess) await(what string, reached func(relay.Status) bool) {
	r.t.Helper()
	var status relay.Status
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		response, err := http.Get("http://" + r.admin + "/control/membership")
		if err != nil {
			r.t.Fatal(err)
		}
		err = json.NewDecoder(response.Body).Decode(&status)
		response.Body.Close()
		if err != nil {
			r.t.Fatal(err)
		}
		if reached(status) {
			return
		}
	}
	r.t.Fatalf("not in time: %s: %+v", what, status)
}

// acknowledged returns whether the one dispatcher has a version in force.
func acknowledged(version int64) func(relay.Status) bool {
	return func(status relay.Status) bool {
		return status.Subscribers == 1 && int64(status.LowestAcknowledged) == version && int64(status.Version) == version
	}
}

// Changes go from the origin through a relay to a dispatcher: once the dispatcher has
// acknowledged a drain, the draining worker gets no more requests, and the end of the
// relay leaves the list in force.
func TestDrainThroughARelay(t *testing.T) {
	d := &testDaemon{t: t}
	a, b := d.addWorker("s-a", respondDone), d.addWorker("s-b", respondDone)
	host := func(b *testWorker, health string) standin.Host {
		return standin.Host{Host: b.name, Dial: b.listener.Addr().String(), Site: "here", Class: "m", Health: health, Share: 1}
	}
	origin, err := standin.StartDiscovery(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer origin.Close()
	origin.Set(host(a, "ready"), host(b, "ready"))
	r := startRelay(t, origin.Addr)
	operator := filepath.Join(t.TempDir(), "operator.toml")
	text := fmt.Sprintf("[membership]\non = true\nzone = \"here\"\n[[membership.servers]]\nzone = \"here\"\naddress = %q\n", r.address)
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d.config = map[string]any{"known": map[string]any{"seq": 0, "whole": true, "hosts": []any{}}}
	d.start("--operator", operator)
	r.await("the snapshot is in force", acknowledged(1))

	for i := 0; len(a.requests()) == 0; i++ { // both are used
		if status, _, _ := d.post("status-check", fmt.Sprint("before-", i), "x", 0); status != 200 || i > 10_000 {
			t.Fatalf("%d: %d", i, status)
		}
	}
	origin.Set(host(a, "draining"))
	r.await("the drain is in force", acknowledged(2))
	before := len(a.requests())
	for i := range 20 {
		if status, _, _ := d.post("renewal", fmt.Sprint("drain-", i), "x", 0); status != 200 {
			t.Errorf("%d: %d", i, status)
		}
	}
	if n := len(a.requests()); n != before {
		t.Errorf("the draining worker got %d more", n-before)
	}

	r.command.Process.Signal(syscall.SIGTERM)
	if err := r.command.Wait(); err != nil {
		t.Errorf("the relay's end: %v", err)
	}
	for i := range 20 {
		if status, _, _ := d.post("renewal", fmt.Sprint("alone-", i), "x", 0); status != 200 {
			t.Errorf("%d without a relay: %d", i, status)
		}
	}
	if n := len(a.requests()); n != before {
		t.Errorf("without a relay the draining worker got %d more", n-before)
	}
}
