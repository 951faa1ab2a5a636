package daemonprocess

import (
	"errors"
	"os/exec"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

const pollInterval = time.Millisecond

// startShell starts a shell that runs script instead of a daemon, and stops it when the test ends.
func startShell(t *testing.T, script string) *Process {
	t.Helper()
	shell, err := exec.LookPath("sh")
	if err != nil {
		t.Fatal(err)
	}
	process, err := Start(Config{
		Program:     shell,
		Arguments:   []string{"-c", script},
		Environment: []string{"PATH=/usr/bin:/bin"},
		Log:         &childprocess.Output{},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Stop)
	return process
}

// WaitReady returns once the process is ready, and Stop ends the process.
func TestStartAndStop(t *testing.T) {
	process := startShell(t, "echo 'listening on 127.0.0.1:1234'; exec sleep 60")
	isReady := func() bool { return LoggedAddress(process.log.String(), "listening on ") == "127.0.0.1:1234" }
	startTime, err := process.WaitReady(isReady, pollInterval, 10*time.Second)
	if err != nil || startTime <= 0 {
		t.Fatalf("ready after %v: %v", startTime, err)
	}
	process.Stop()
	select {
	case <-process.Ended():
	default:
		t.Error("a stopped process has not ended")
	}
}

// WaitReady returns an error with the process's output if the process ends before it is ready.
func TestWaitReadyOfEndedProcess(t *testing.T) {
	process := startShell(t, "echo 'no such file'; exit 1")
	<-process.Ended()
	_, err := process.WaitReady(func() bool { return false }, pollInterval, 10*time.Second)
	if err == nil || !strings.Contains(err.Error(), "the daemon has ended: no such file") {
		t.Errorf("error %v, want one with the output", err)
	}
}

// WaitReady returns ErrNotReady if the process is not ready within the timeout.
func TestWaitReadyTimesOut(t *testing.T) {
	process := startShell(t, "exec sleep 60")
	_, err := process.WaitReady(func() bool { return false }, pollInterval, 10*time.Millisecond)
	if !errors.Is(err, ErrNotReady) {
		t.Errorf("error %v, want %v", err, ErrNotReady)
	}
}

// Start fails if the program does not exist.
func TestStartOfMissingProgram(t *testing.T) {
	if _, err := Start(Config{Program: "/does/not/exist", Log: &childprocess.Output{}}); err == nil {
		t.Error("a program that does not exist was started")
	}
}

// An address is found once a character that ends it has been logged.
func TestLoggedAddress(t *testing.T) {
	for log, want := range map[string]string{
		"":                                    "",
		"listening on 127.0.0.1:80":           "",
		"listening on 127.0.0.1:80\nmore":     "127.0.0.1:80",
		`{"msg":"listening on 127.0.0.1:80"}`: "127.0.0.1:80",
		"faktory: listening on 127.0.0.1:90 \nhttp: listening on 127.0.0.1:8": "127.0.0.1:90",
	} {
		if got := LoggedAddress(log, "listening on "); got != want {
			t.Errorf("%q: %q, want %q", log, got, want)
		}
	}
}
