package standin

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	startTimeout       = 20 * time.Second
	startPollInterval  = 10 * time.Millisecond
	healthCheckTimeout = time.Second
	passwordBytes      = 16
	filePermissions    = 0o600
	maxOutputBytes     = 1 << 20 // that are kept of the daemon's output
)

// startDaemon starts the daemon and waits until it is ready. It inherits its listener, so that
// nothing but this child can answer at the address.
func (f *Fleet) startDaemon() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	f.Addr = listener.Addr().String()
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	defer socket.Close()
	arguments, err := f.writeDaemonFiles()
	if err != nil {
		return err
	}
	f.daemon = exec.Command(f.FleetConfig.Daemon, arguments...)
	// The environment is not passed on: it might name workers of others.
	f.daemon.Env = []string{"BALANCER_FD=3", "TMPDIR=" + f.Dir}
	f.daemon.ExtraFiles = []*os.File{socket}
	f.daemon.Stdout = &f.Log
	f.daemon.Stderr = &f.Log
	f.daemon.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.daemon.Start(); err != nil {
		f.daemon = nil
		return fmt.Errorf("the daemon: %w", err)
	}
	go func() {
		f.daemon.Wait()
		close(f.ended)
	}()
	return f.awaitReady()
}

// writeDaemonFiles writes the daemon's files and returns its arguments.
func (f *Fleet) writeDaemonFiles() (arguments []string, err error) {
	text, err := f.config(f.Addr)
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(f.Dir, "config.json")
	if err := os.WriteFile(configPath, text, filePermissions); err != nil {
		return nil, err
	}
	arguments = []string{"--config", configPath}
	if f.Faktory {
		f.Password = randomHex(passwordBytes)
		faktoryPath := filepath.Join(f.Dir, "faktory.toml")
		text := fmt.Appendf(nil, "listen = \"127.0.0.1:0\"\npassword = %q\n", f.Password)
		if err := os.WriteFile(faktoryPath, text, filePermissions); err != nil {
			return nil, err
		}
		arguments = append(arguments, "--faktory", faktoryPath)
	}
	if f.Operator != "" {
		arguments = append(arguments, "--operator", f.Operator)
	}
	return arguments, nil
}

// awaitReady waits until the daemon answers its health check and all its front ends listen.
func (f *Fleet) awaitReady() error {
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(startPollInterval) {
		select {
		case <-f.ended:
			return fmt.Errorf("the daemon has ended: %s", strings.TrimSpace(f.Log.String()))
		default:
		}
		if f.isHealthy(client) && (!f.Faktory || f.findFaktoryAddr()) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the daemon is not ready after %v", startTimeout)
		}
	}
}

func (f *Fleet) isHealthy(client *http.Client) bool {
	answer, err := client.Get("http://" + f.Addr + "/healthz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// findFaktoryAddr finds the address of the Faktory front end in the daemon's log. It reports
// false if the log does not contain it yet.
func (f *Fleet) findFaktoryAddr() bool {
	_, rest, ok := strings.Cut(f.Log.String(), "faktory: listening on ")
	if !ok {
		return false
	}
	end := strings.IndexAny(rest, "\" \n")
	if end < 0 {
		return false
	}
	f.FaktoryAddr = rest[:end]
	return true
}
