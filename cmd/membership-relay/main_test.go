package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
	"hollyyoke.example/hollyyoke/internal/relay"
)

// runAsRelayVariable is the environment variable that makes the test binary run as the relay.
const runAsRelayVariable = "HOLLYYOKE_TEST_AS_RELAY"

// TestMain runs the tests, or the relay if runAsRelayVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(runAsRelayVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testTimeout is how long a test waits for a condition. It is long, since the machine may be loaded.
const testTimeout = 60 * time.Second

// waitUntil waits until a condition holds, and fails the test after testTimeout.
func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("timeout: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// relayProcess is a relay that runs in its own process.
type relayProcess struct {
	t       testing.TB
	command *exec.Cmd
	options string // path of the options file
	address string
	admin   string // address of the admin API
	log     childprocess.Output
}

// optionsText returns the text of an options file with the given upstreams. The relay listens on ports that the kernel
// chooses.
func optionsText(upstreams ...string) string {
	list, _ := json.Marshal(upstreams) // strings always marshal
	return fmt.Sprintf(`[relay]
name = "relay-a"
listen = "127.0.0.1:0"
admin_addr = "127.0.0.1:0"
upstreams = %s
`, list)
}

// startRelay starts a relay with the text of an options file, and waits until it listens.
func startRelay(t testing.TB, options string) *relayProcess {
	t.Helper()
	p := &relayProcess{t: t, options: filepath.Join(t.TempDir(), "relay.toml")}
	p.writeOptions(options)
	p.command = relayCommand("--operator", p.options)
	p.command.Stderr = &p.log
	out, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.command.Process.Kill()
		p.command.Wait()
	})
	lines := bufio.NewScanner(out)
	p.address = p.readAddress(lines, "listening on ")
	p.admin = p.readAddress(lines, "admin API on ")
	return p
}

// relayCommand returns a command that runs the test binary as the relay.
func relayCommand(args ...string) *exec.Cmd {
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), runAsRelayVariable+"=1")
	return command
}

// readAddress reads the next line of the relay's output, and returns the address that follows a prefix.
func (p *relayProcess) readAddress(lines *bufio.Scanner, prefix string) string {
	p.t.Helper()
	if !lines.Scan() {
		p.t.Fatalf("the relay did not print %q: %s", prefix, &p.log)
	}
	return strings.TrimPrefix(lines.Text(), prefix)
}

// writeOptions replaces the options file.
func (p *relayProcess) writeOptions(text string) {
	if err := os.WriteFile(p.options, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// status returns the relay's status, as reported by its admin API.
func (p *relayProcess) status() (status relay.Status) {
	p.t.Helper()
	response, err := http.Get("http://" + p.admin + "/control/membership")
	if err != nil {
		p.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		p.t.Fatal(err)
	}
	return status
}

// startDiscovery starts a stand-in for discovery. Each worker is added by a change of its own, so that the version of
// the list is the number of workers.
func startDiscovery(t testing.TB, workers ...string) *standin.Discovery {
	t.Helper()
	discovery, err := standin.StartDiscovery(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discovery.Close() })
	for _, name := range workers {
		discovery.Set(standin.Host{Host: name, Dial: "10.0.0.1:80", Site: "a", Class: "m2", Health: "ready"})
	}
	return discovery
}

// SIGTERM completes the responses of open watches and ends the process with exit code 0.
func TestTerminateEndsWatchesCompletely(t *testing.T) {
	p := startRelay(t, optionsText(startDiscovery(t, "x").Addr))
	waitUntil(t, "snapshot", func() bool { return p.status().Version == 1 })
	response, err := http.Get("http://" + p.address + "/v1/servers?watch=1&after=0&name=d1")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	in := bufio.NewReader(response.Body)
	if _, err := in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	p.command.Process.Signal(syscall.SIGTERM)
	if _, err := io.ReadAll(in); err != nil {
		t.Errorf("the watch was aborted: %v", err)
	}
	if err := p.command.Wait(); err != nil {
		t.Errorf("%v: %s", err, &p.log)
	}
}

// SIGHUP reloads the upstreams. If the options file is invalid, nothing changes.
func TestHangupReloadsUpstreams(t *testing.T) {
	first := startDiscovery(t, "x")
	second := startDiscovery(t, "x", "y")
	p := startRelay(t, optionsText(first.Addr))
	waitUntil(t, "first upstream", func() bool { return p.status().Upstream == first.Addr })
	p.writeOptions(optionsText(second.Addr) + "batch = 3\n")
	p.command.Process.Signal(syscall.SIGHUP)
	waitUntil(t, "the error is in the log", func() bool {
		return strings.Contains(p.log.String(), "relay.batch: unknown key")
	})
	if status := p.status(); status.Upstream != first.Addr || status.Version != 1 {
		t.Errorf("after an invalid file: %+v", status)
	}
	p.writeOptions(optionsText(second.Addr))
	p.command.Process.Signal(syscall.SIGHUP)
	waitUntil(t, "second upstream", func() bool {
		status := p.status()
		return status.Upstream == second.Addr && status.Version == 2
	})
}

// With an invalid options file, check and serve print one line and exit with code 1.
func TestInvalidOptions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.toml")
	if err := os.WriteFile(path, []byte(optionsText("127.0.0.1:1")+"bytes_per_s = 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check", "--operator", path}, {"--operator", path}} {
		out, err := relayCommand(args...).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%v: %v, want exit code 1", args, err)
		}
		text := string(out)
		if strings.Count(text, "\n") != 1 || !strings.Contains(text, "relay.bytes_per_s: ") {
			t.Errorf("%v: %q, want one line that names the key", args, text)
		}
	}
}

// The subcommand check prints every option with its description.
func TestCheckPrintsOptions(t *testing.T) {
	var out, errorOutput bytes.Buffer
	args := []string{"check", "--operator", "../../deploy/relay.toml"}
	if err := runCommand(args, nil, &out, &errorOutput); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "relay.batch_ms = 1000  # ") {
		t.Errorf("%s", &out)
	}
}
