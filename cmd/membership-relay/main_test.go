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
	"sync"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
	"hollyyoke.example/hollyyoke/internal/relay"
)

// asRelay makes this test's program act as the relay.
const asRelay = "HOLLYYOKE_TEST_AS_RELAY"

func TestMain(m *testing.M) {
	if os.Getenv(asRelay) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// generous is how long a condition may take; no verdict depends on less.
const generous = 60 * time.Second

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(generous); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// process is a relay in a process of its own.
type process struct {
	t       testing.TB
	command *exec.Cmd
	options string // path of its options file
	address string
	admin   string
	log     lockedText
}

type lockedText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func options(upstreams ...string) string {
	list, _ := json.Marshal(upstreams)
	return fmt.Sprintf("[relay]\nname = \"relay-a\"\nlisten = \"127.0.0.1:0\"\nadmin_addr = \"127.0.0.1:0\"\nupstreams = %s\n", list)
}

// start runs one and waits until it listens.
func start(t testing.TB, text string) *process {
	t.Helper()
	p := &process{t: t, options: filepath.Join(t.TempDir(), "relay.toml")}
	p.write(text)
	p.command = exec.Command(os.Args[0], "--operator", p.options)
	p.command.Env = append(os.Environ(), asRelay+"=1")
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

func (p *process) write(text string) {
	if err := os.WriteFile(p.options, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// status asks the admin API.
func (p *process) status() (status relay.Status) {
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

func discovery(t testing.TB, hosts ...string) *standin.Discovery {
	t.Helper()
	d, err := standin.StartDiscovery(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	for _, host := range hosts {
		d.Set(standin.Host{Host: host, Dial: "10.0.0.1:80", Site: "a", Class: "m2", Health: "ready"})
	}
	return d
}

// SIGTERM ends watches in order, and the process with exit code 0.
func TestTermEndsWatchesInOrder(t *testing.T) {
	p := start(t, options(discovery(t, "x").Addr))
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
		t.Errorf("the watch was cut: %v", err)
	}
	if err := p.command.Wait(); err != nil {
		t.Errorf("%v: %s", err, &p.log)
	}
}

// SIGHUP reads the upstreams again; a wrong file changes nothing.
func TestHangupReadsUpstreams(t *testing.T) {
	a, b := discovery(t, "x"), discovery(t, "x", "y")
	p := start(t, options(a.Addr))
	eventually(t, "first upstream", func() bool { return p.status().Upstream == a.Addr })
	p.write(options(b.Addr) + "batch = 3\n")
	p.command.Process.Signal(syscall.SIGHUP)
	eventually(t, "line in the log", func() bool { return strings.Contains(p.log.String(), "relay.batch: unknown key") })
	if status := p.status(); status.Upstream != a.Addr || status.Version != 1 {
		t.Errorf("after a wrong file: %+v", status)
	}
	p.write(options(b.Addr))
	p.command.Process.Signal(syscall.SIGHUP)
	eventually(t, "other upstream", func() bool {
		status := p.status()
		return status.Upstream == b.Addr && status.Version == 2
	})
}

// A wrong options file is one line and exit code 1, for check and for a start.
func TestWrongOptions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.toml")
	if err := os.WriteFile(path, []byte(options("127.0.0.1:1")+"bytes_per_s = 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check", "--operator", path}, {"--operator", path}} {
		run := exec.Command(os.Args[0], args...)
		run.Env = append(os.Environ(), asRelay+"=1")
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
	if err := command([]string{"check", "--operator", "../../deploy/relay.toml"}, nil, &out, &errs); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "relay.batch_ms = 1000  # ") {
		t.Errorf("%s", &out)
	}
}
