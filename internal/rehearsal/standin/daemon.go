package standin

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/daemonprocess"
)

const (
	startTimeout       = 20 * time.Second
	startPollInterval  = 10 * time.Millisecond
	healthCheckTimeout = time.Second
	passwordBytes      = 16
	filePermissions    = 0o600
	maxOutputBytes     = 1 << 20 // the daemon's output is kept up to this size
)

// startDaemon starts the daemon and waits until it is ready. The daemon inherits its listener from
// this process, so that no other process can answer at the address.
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
	f.daemon, err = daemonprocess.Start(daemonprocess.Config{
		Program:   f.FleetConfig.DaemonPath,
		Arguments: arguments,
		// This process's environment is not passed on: it might name workers that are no stand-ins.
		Environment: []string{"BALANCER_FD=3", "TMPDIR=" + f.Dir},
		Files:       []*os.File{socket},
		Log:         &f.Log,
	})
	if err != nil {
		return err
	}
	return f.awaitReady()
}

// writeDaemonFiles writes the daemon's configuration files and returns its command-line arguments.
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
	isReady := func() bool {
		if !daemonprocess.IsHealthy(client, f.Addr) {
			return false
		}
		if !f.Faktory {
			return true
		}
		f.FaktoryAddr = daemonprocess.LoggedAddress(f.Log.String(), "faktory: listening on ")
		return f.FaktoryAddr != ""
	}
	_, err := f.daemon.WaitReady(isReady, startPollInterval, startTimeout)
	return err
}
