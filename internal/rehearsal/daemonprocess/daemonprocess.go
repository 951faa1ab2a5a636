// Package daemonprocess runs the daemon as a child process of a rehearsal: it starts it, waits until it is ready and
// stops it. It writes none of the daemon's files. The kernel kills the daemon if this process ends first.
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

// ErrNotReady means that the daemon was not ready within the timeout.
var ErrNotReady = errors.New("the daemon is not ready")

// Config describes how to start a daemon.
type Config struct {
	Program     string // path of the executable
	Arguments   []string
	Environment []string             // the whole environment; this process's environment is not passed on
	Files       []*os.File           // files that the daemon inherits, as descriptors from 3 on
	Log         *childprocess.Output // receives the daemon's standard output and error
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

// PID returns the daemon's process ID.
func (p *Process) PID() int { return p.child.PID() }

// Ended returns a channel that is closed once the daemon has ended.
func (p *Process) Ended() <-chan struct{} { return p.child.Done() }

// WaitReady calls isReady at the given interval until it returns true, and returns the time since the daemon was started.
// It fails if the daemon ends first, and with ErrNotReady if the daemon is not ready within timeout of its start.
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

// LoggedAddress returns the address that follows the first occurrence of prefix in a log. It returns an empty string if
// the prefix was not logged, or the end of the address was not logged yet.
func LoggedAddress(log, prefix string) string {
	_, rest, found := strings.Cut(log, prefix)
	if !found {
		return ""
	}
	end := strings.IndexAny(rest, "\" \n")
	if end < 0 {
		return ""
	}
	return rest[:end]
}
