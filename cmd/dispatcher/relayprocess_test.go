package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/relay"
)

// relayProcess is a relay that runs in its own process.
type relayProcess struct {
	t       *testing.T
	process *exec.Cmd
	address string
	admin   string // address of the admin API
}

// startRelay builds the program of the relay and starts it.
func startRelay(t *testing.T, upstream string) *relayProcess {
	t.Helper()
	directory := t.TempDir()
	program := filepath.Join(directory, "relay")
	build := exec.Command("go", "build", "-o", program, "../membership-relay")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s%v", output, err)
	}
	operatorFile := writeFile(t, directory, "relay.toml", fmt.Sprintf("[relay]\nname = \"relay-here\"\nzone = \"here\"\n"+
		"listen = \"127.0.0.1:0\"\nadmin_addr = \"127.0.0.1:0\"\nupstreams = [%q]\n", upstream))
	started := &relayProcess{t: t, process: exec.Command(program, "--operator", operatorFile)}
	output, err := started.process.StdoutPipe()
	if err == nil {
		err = started.process.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		started.process.Process.Kill()
		started.process.Wait()
	})
	lines := bufio.NewScanner(output)
	started.address = started.readAddress(lines, "listening on ")
	started.admin = started.readAddress(lines, "admin API on ")
	return started
}

// readAddress reads a line, and returns the address that follows a prefix. It fails the test
// if the line does not begin with the prefix.
func (r *relayProcess) readAddress(lines *bufio.Scanner, prefix string) (address string) {
	r.t.Helper()
	if !lines.Scan() || !strings.HasPrefix(lines.Text(), prefix) {
		r.t.Fatalf("the relay printed %q, want a line that begins with %q", lines.Text(), prefix)
	}
	return strings.TrimPrefix(lines.Text(), prefix)
}

// waitForStatus waits until reached returns true for the relay's status.
func (r *relayProcess) waitForStatus(what string, reached func(relay.Status) bool) {
	r.t.Helper()
	var status relay.Status
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		status = r.status()
		if reached(status) {
			return
		}
	}
	r.t.Fatalf("timeout: %s: %+v", what, status)
}

func (r *relayProcess) status() (status relay.Status) {
	r.t.Helper()
	response, err := http.Get("http://" + r.admin + "/control/membership")
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		r.t.Fatal(err)
	}
	return status
}

// acknowledged returns a function that reports whether the relay has a version and its only
// dispatcher has acknowledged it.
func acknowledged(version int64) func(relay.Status) bool {
	return func(status relay.Status) bool {
		return status.Subscribers == 1 && int64(status.LowestAcknowledged) == version && int64(status.Version) == version
	}
}
