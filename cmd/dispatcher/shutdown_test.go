package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// arrivalWindow is how long the program serves new requests after SIGTERM.
const arrivalWindow = 600 * time.Millisecond

// At a graceful shutdown what has been accepted is answered, what arrives in the window
// is served, and the program exits with 0 only after that.
func TestGracefulShutdown(t *testing.T) {
	daemon := &testDaemon{t: t}
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	daemon.addWorker("s-1", respondWhenReleased("slow", arrived, release))
	daemon.start()
	slow := daemon.postInBackground("renewal", "slow")
	<-arrived
	daemon.signal(syscall.SIGTERM)
	daemon.signal(syscall.SIGTERM) // a second one changes nothing

	withOpenConnection := daemon.client
	daemon.client = newConnectionClient()
	daemon.waitUntilUnhealthy() // the signal has been handled, so that what follows comes after it
	if status := daemon.postStatus("status-check", "new"); status != 200 {
		t.Errorf("a new connection after SIGTERM: %d", status)
	}
	daemon.client = withOpenConnection
	if status := daemon.postStatus("status-check", "kept"); status != 200 {
		t.Errorf("an open connection after SIGTERM: %d", status)
	}
	if status := daemon.health(); status != 503 {
		t.Errorf("healthz after SIGTERM: %d", status)
	}

	time.Sleep(arrivalWindow + 200*time.Millisecond) // past the window, an answer is still owed
	close(release)
	if status := <-slow; status != 200 {
		t.Errorf("the running request: %d", status)
	}
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if _, err := net.Dial("tcp", daemon.listen); err == nil {
		t.Error("it still listens")
	}
}

// SIGTERM while the program still reads its configuration is a graceful shutdown too: the
// configuration comes through a pipe here, and only after the signal.
func TestSignalDuringStart(t *testing.T) {
	daemon := &testDaemon{t: t}
	daemon.addWorker("s-1", respondDone)
	daemon.start() // writes a complete configuration
	daemon.kill()
	config, err := os.ReadFile(daemon.configPath)
	if err != nil {
		t.Fatal(err)
	}

	daemon.configPath = filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(daemon.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	daemon.launch()
	pipe, err := os.OpenFile(daemon.configPath, os.O_WRONLY, 0) // goes on once the program reads
	if err != nil {
		t.Fatal(err)
	}
	daemon.signal(syscall.SIGTERM)
	daemon.signal(syscall.SIGHUP)
	daemon.waitForPendingSignals()
	pipe.Write(config) // fails where the signal has ended the program
	pipe.Close()

	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d, want a graceful shutdown", code)
	}
	if !strings.Contains(daemon.log.String(), "stopped: accepted 0") {
		t.Error("it did not shut down gracefully")
	}
}

// waitForPendingSignals waits until the program has received all signals, or has ended.
func (d *testDaemon) waitForPendingSignals() {
	d.t.Helper()
	statusFile := fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid)
	for end := time.Now().Add(testTimeout); ; {
		status, err := os.ReadFile(statusFile)
		if err != nil || !signalPending(status) {
			return
		}
		if time.Now().After(end) {
			d.t.Fatal("the signals do not reach it")
		}
	}
}

// signalPending reports whether a signal is pending, by the text of /proc/PID/status.
func signalPending(status []byte) bool {
	for line := range strings.Lines(string(status)) {
		name, bits, _ := strings.Cut(line, ":")
		if name != "ShdPnd" && name != "SigPnd" {
			continue
		}
		if strings.Trim(bits, " \t\n0") != "" {
			return true
		}
	}
	return false
}
