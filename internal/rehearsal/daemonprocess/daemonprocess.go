// Package daemonprocess runs the daemon as a child process of a rehearsal: it starts it, waits until it is ready and
// stops it. It writes none of the daemon's files. The kernel kills the daemon if this process is killed.
package daemonprocess

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

// shutdownTimeout is how long a graceful shutdown may take before the daemon is killed.
const shutdownTimeout = 10 * time.Second

// ErrNotReady says that the daemon was not ready in time.
var ErrNotReady = errors.New("the daemon is not ready")

// Config says how to start a daemon.
type Config struct {
	Program     string // path
	Arguments   []string
	Environment []string             // complete: this process's environment is not passed on
	Files       []*os.File           // inherited, from descriptor 3 on
	Log         *childprocess.Output // gets the daemon's output
}

// Process is a daemon that was started. Its methods are safe for concurrent use.
type Process struct {
	child     *childprocess.Process
	log       *childprocess.Output
	startedAt time.Time
}

// Start starts a daemon. It does not wait until the daemon is ready. The caller must call Stop.
func Start(config Config) (*Process, error) {
	command := exec.Command(config.Program, config.Arguments...)
	command.Env = config.Environment
	command.ExtraFiles = config.Files
	command.Stdout = config.Log
	command.Stderr = config.Log
	startedAt := time.Now()
	child, err := childprocess.Start(command)
	if err != nil {
		return nil, fmt.Errorf("the daemon: %w", err)
	}
	return &Process{child: child, log: config.Log, startedAt: startedAt}, nil
}

// PID is the process id.
func (p *Process) PID() int { return p.child.PID() }

// Ended returns a channel that is closed when the daemon has ended.
func (p *Process) Ended() <-chan struct{} { return p.child.Done() }

// WaitReady polls isReady until it reports true, and returns the time since the start. It fails if the daemon ends
// before, or with ErrNotReady after the timeout, which counts from the start.
func (p *Process) WaitReady(isReady func() bool, interval, timeout time.Duration) (time.Duration, error) {
	for ; ; time.Sleep(interval) {
		select {
		case <-p.Ended():
			return 0, fmt.Errorf("the daemon has ended: %s", strings.TrimSpace(p.log.String()))
		default:
		}
		if isReady() {
			return time.Since(p.startedAt), nil
		}
		if time.Since(p.startedAt) > timeout {
			return 0, fmt.Errorf("%w after %v", ErrNotReady, timeout)
		}
	}
}

// Stop shuts the daemon down gracefully, or kills it if that takes too long, and waits for its end.
func (p *Process) Stop() { childprocess.Stop(p.child, syscall.SIGTERM, shutdownTimeout) }

// IsHealthy reports whether the health check at an address of the daemon succeeds.
func IsHealthy(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// LoggedAddress returns the address that a log line has behind the given text; empty: no complete line has it yet.
func LoggedAddress(log, before string) string {
	_, rest, found := strings.Cut(log, before)
	if !found {
		return ""
	}
	end := strings.IndexAny(rest, "\" \n")
	if end < 0 {
		return ""
	}
	return rest[:end]
}
