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

func TestMain(m *testing.M) {
	if os.Getenv(runAsRelayVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testTimeout is how long a condition may take. It is generous, since the machine may be loaded.
const testTimeout = 60 * time.Second

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// relayProcess is a relay in a process of its own.
type relayProcess struct {
	t       testing.TB
	command *exec.Cmd
	options string // path of its options file
	address string
	admin   string
	log     childprocess.Output
}

func optionsText(upstreams ...string) string {
	list, _ := json.Marshal(upstreams)
	return fmt.Sprintf("[relay]\nname = \"relay-a\"\nlisten = \"127.0.0.1:0\"\nadmin_addr = \"127.0.0.1:0\"\nupstreams = %s\n", list)
}

// startRelay starts a relay and waits until it listens.
func startRelay(t testing.TB, text string) *relayProcess {
	t.Helper()
	p := &relayProcess{t: t, options: filepath.Join(t.TempDir(), "relay.toml")}
	p.writeOptions(text)
	p.command = exec.Command(os.Args[0], "--operator", p.options)
	p.command.Env = append(os.Environ(), runAsRelayVariable+"=1")
	p.command.Stderr = &p.log
	out, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.command.Process.Kill(); p.command.Wait() })
	lines := bufio.NewScanner(out)
	for _, field := range []struct {
		prefix string
		into   *string
	}{{"listening on ", &p.address}, {"admin API on ", &p.admin}} {
		if !lines.Scan() {
			t.Fatalf("no line %q: %s", field.prefix, &p.log)
		}
		*field.into = strings.TrimPrefix(lines.Text(), field.prefix)
	}
	return p
}

func (p *relayProcess) writeOptions(text string) {
	if err := os.WriteFile(p.options, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// status returns the status from the admin API.
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

func startDiscovery(t testing.TB, workers ...string) *standin.Discovery {
	t.Helper()
	d, err := standin.StartDiscovery(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	for _, host := range workers {
		d.Set(standin.Host{Host: host, Dial: "10.0.0.1:80", Site: "a", Class: "m2", Health: "ready"})
	}
	return d
}

// SIGTERM ends watches with a complete response, and the process with exit code 0.
func TestTerminateEndsWatchesCompletely(t *testing.T) {
	p := startRelay(t, optionsText(startDiscovery(t, "x").Addr))
	eventually(t, "snapshot", func() bool { return p.status().Version == 1 })
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

// SIGHUP reloads the upstreams; an invalid file changes nothing.
func TestHangupReloadsUpstreams(t *testing.T) {
	a, b := startDiscovery(t, "x"), startDiscovery(t, "x", "y")
	p := startRelay(t, optionsText(a.Addr))
	eventually(t, "first upstream", func() bool { return p.status().Upstream == a.Addr })
	p.writeOptions(optionsText(b.Addr) + "batch = 3\n")
	p.command.Process.Signal(syscall.SIGHUP)
	eventually(t, "line in the log", func() bool { return strings.Contains(p.log.String(), "relay.batch: unknown key") })
	if status := p.status(); status.Upstream != a.Addr || status.Version != 1 {
		t.Errorf("after an invalid file: %+v", status)
	}
	p.writeOptions(optionsText(b.Addr))
	p.command.Process.Signal(syscall.SIGHUP)
	eventually(t, "other upstream", func() bool {
		status := p.status()
		return status.Upstream == b.Addr && status.Version == 2
	})
}

// An invalid options file prints one line and exits with code 1, for check and serve.
func TestInvalidOptions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.toml")
	if err := os.WriteFile(path, []byte(optionsText("127.0.0.1:1")+"bytes_per_s = 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check", "--operator", path}, {"--operator", path}} {
		run := exec.Command(os.Args[0], args...)
		run.Env = append(os.Environ(), runAsRelayVariable+"=1")
		out, err := run.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%v: %v", args, err)
		}
		if text := string(out); strings.Count(text, "\n") != 1 || !strings.Contains(text, "relay.bytes_per_s: ") {
			t.Errorf("%v: %q", args, text)
		}
	}
}

func TestCheckPrintsOptions(t *testing.T) {
	var out, errs bytes.Buffer
	if err := runCommand([]string{"check", "--operator", "../../deploy/relay.toml"}, nil, &out, &errs); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "relay.batch_ms = 1000  # ") {
		t.Errorf("%s", &out)
	}
}
