package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Files in the directory of a dispatcher with durable queues.
const (
	storeFileName          = "jobs.db"
	faktoryAddressFileName = "addr"  // contains the address of the Faktory front end, for dialFaktory
	adminAddressFileName   = "admin" // contains the address of the admin API
)

// writeDurableConfig writes the configuration files of a dispatcher with a durable queue. lease
// is the length of leases in seconds.
func writeDurableConfig(t *testing.T, dir string, lease float64) {
	t.Helper()
	writeFile(t, dir, "config.json", `{"admin_addr":"127.0.0.1:0","settings":`+settingsWithIdle(time.Second)+`}`)
	writeFile(t, dir, "faktory.toml", fmt.Sprintf("listen = \"127.0.0.1:0\"\n"+
		"[durable]\npath = %q\nqueues = [\"renewal\"]\nlease_s = %g\ngrace_s = %g\nbackoff_s = 0.01\n",
		filepath.Join(dir, storeFileName), lease, lease))
}

// startDurable starts a dispatcher with the files of writeDurableConfig, and writes its
// addresses to files for its clients.
func startDurable(t *testing.T, program, dir string) *exec.Cmd {
	t.Helper()
	process := exec.Command(program, "serve",
		"--config", filepath.Join(dir, "config.json"),
		"--faktory", filepath.Join(dir, "faktory.toml"))
	log, err := process.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(log)
	text := ""
	for lines.Scan() {
		line := lines.Text()
		text += line + "\n"
		if address, found := loggedAddress(line, "faktory: listening on "); found {
			publishFaktoryAddress(dir, address)
		}
		if address, found := loggedAddress(line, adminLogLine); found { // logged last during the start
			os.WriteFile(filepath.Join(dir, adminAddressFileName), []byte(address), 0o600)
			go drainLines(lines)
			return process
		}
	}
	t.Fatalf("the dispatcher did not start: %s", text)
	return nil
}

// loggedAddress returns the address that follows a text in a log line.
func loggedAddress(line, text string) (address string, found bool) {
	_, rest, found := strings.Cut(line, text)
	address, _, _ = strings.Cut(rest, `"`)
	return address, found
}

// publishFaktoryAddress replaces the file with the address atomically, since clients may read
// it at any time.
func publishFaktoryAddress(dir, address string) {
	temporary := filepath.Join(dir, faktoryAddressFileName+".new")
	os.WriteFile(temporary, []byte(address), 0o600)
	os.Rename(temporary, filepath.Join(dir, faktoryAddressFileName))
}

// drainLines reads and discards all further lines, so that their writer does not block.
func drainLines(lines *bufio.Scanner) {
	for lines.Scan() {
	}
}
