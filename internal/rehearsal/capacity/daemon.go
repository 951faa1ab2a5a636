package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

// daemon is a running dispatcher-serve.
type daemon struct {
	Process
	Ready time.Duration // from its start until it reported itself as ready

	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	log     childprocess.Output
}

const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 2 * time.Millisecond
	stopTimeout       = 10 * time.Second

	daemonPeers    = 300 // dispatchers, by the settings of the daemon
	daemonTeams    = 150
	daemonMemoryMB = 128 // the target's
	daemonSockets  = 4096
)

// startDaemon starts program with its files in dir and discovery at an address, and waits until it is ready.
func startDaemon(program, dir, discovery string) (*daemon, error) {
	settings, err := settingsJSON(daemonPeers, daemonTeams)
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(daemonConfig{Name: "slopes", Listen: "127.0.0.1:0", Discovery: discovery, Seed: "0000000000000001",
		AdminAddr: "127.0.0.1:0", Limits: processLimits{MemoryMB: daemonMemoryMB, Sockets: daemonSockets}, Settings: settings})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	started := &daemon{exited: make(chan struct{})}
	started.command = exec.Command(program, "--config", path)
	started.command.Env = []string{"TMPDIR=" + dir}
	started.command.Stdout = &started.log
	started.command.Stderr = &started.log
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	startedAt := time.Now()
	if err := started.command.Start(); err != nil {
		return nil, fmt.Errorf("the daemon: %w", err)
	}
	started.PID = started.command.Process.Pid
	go func() {
		started.command.Wait()
		close(started.exited)
	}()
	if err := started.waitReady(startedAt); err != nil {
		started.stop()
		return nil, err
	}
	return started, nil
}

var errNotReady = errors.New("the daemon is not ready in time")

// waitReady polls the daemon's health until it is ready.
func (d *daemon) waitReady(startedAt time.Time) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ; ; time.Sleep(readyPollInterval) {
		select {
		case <-d.exited:
			return fmt.Errorf("the daemon has ended: %s", strings.TrimSpace(d.log.String()))
		default:
		}
		if time.Since(startedAt) > readyTimeout {
			return fmt.Errorf("%w: %s", errNotReady, strings.TrimSpace(d.log.String()))
		}
		addr := d.address()
		if addr == "" {
			continue
		}
		response, err := client.Get("http://" + addr + "/healthz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.Ready = time.Since(startedAt)
			return nil
		}
	}
}

// address is where the daemon listens, by its log; empty if it does not yet.
func (d *daemon) address() string {
	_, rest, found := strings.Cut(d.log.String(), "listening on ")
	if !found {
		return ""
	}
	end := strings.IndexAny(rest, "\" \n")
	if end < 0 {
		return ""
	}
	return rest[:end]
}

// stop shuts the daemon down gracefully, or kills it if that takes too long.
func (d *daemon) stop() {
	d.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(stopTimeout):
		d.command.Process.Kill()
		<-d.exited
	}
}
