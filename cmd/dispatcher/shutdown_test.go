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

// arrivalWindow is how long the program accepts new requests after SIGTERM.
const arrivalWindow = 600 * time.Millisecond

// During a graceful shutdown, requests that were accepted before are answered, and requests
// that arrive in the arrival window are served. Only then does the program exit, with code 0.
func TestGracefulShutdown(t *testing.T) {
	daemon := &testDaemon{t: t}
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	daemon.addWorker("s-1", respondWhenReleased("slow", arrived, release))
	daemon.start()
	slow := daemon.postInBackground("renewal", "slow")
	<-arrived
	daemon.signal(syscall.SIGTERM)
	daemon.signal(syscall.SIGTERM) // a second one has no effect

	withOpenConnection := daemon.client
	daemon.client = newConnectionClient()
	daemon.waitUntilUnhealthy() // the signal has been handled, so that the following requests come after it
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

	time.Sleep(arrivalWindow + 200*time.Millisecond) // past the window, while a request is still unanswered
	close(release)
	if status := <-slow; status != 200 {
		t.Errorf("the running request: %d", status)
	}
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if _, err := net.Dial("tcp", daemon.listen); err == nil {
		t.Error("the address still accepts connections")
	}
}

// SIGTERM while the program reads its configuration causes a graceful shutdown, too. The test
// passes the configuration through a pipe, and writes it only after the signal.
func TestSignalDuringStart(t *testing.T) {
	daemon := &testDaemon{t: t}
	daemon.addWorker("s-1", respondDone)
	daemon.start() // writes the configuration file
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
	pipe, err := os.OpenFile(daemon.configPath, os.O_WRONLY, 0) // blocks until the program opens the pipe for reading
	if err != nil {
		t.Fatal(err)
	}
	daemon.signal(syscall.SIGTERM)
	daemon.signal(syscall.SIGHUP)
	daemon.waitForPendingSignals()
	pipe.Write(config) // fails if the signal has killed the program
	pipe.Close()

	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d, want a graceful shutdown", code)
	}
	if !strings.Contains(daemon.log.String(), "stopped: accepted 0") {
		t.Error("the program did not log the totals of a graceful shutdown")
	}
}

// waitForPendingSignals waits until no signal is pending for the program, or it has ended.
func (d *testDaemon) waitForPendingSignals() {
	d.t.Helper()
	statusFile := fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid)
	for end := time.Now().Add(testTimeout); ; {
		status, err := os.ReadFile(statusFile)
		if err != nil || !signalPending(status) {
			return
		}
		if time.Now().After(end) {
			d.t.Fatal("the signals do not reach the program")
		}
	}
}

// signalPending reports whether a signal is pending, according to the text of
// /proc/PID/status.
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
