package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
	"hollyyoke.example/hollyyoke/internal/rehearsal/daemonprocess"
	"hollyyoke.example/hollyyoke/internal/rehearsal/processusage"
)

// daemon is a running dispatcher-serve, whose processor time and memory are measured from outside.
type daemon struct {
	process     *daemonprocess.Process
	timeToReady time.Duration // from its start until it reported that it is ready
	log         childprocess.Output
}

const (
	readyTimeout       = 30 * time.Second
	readyPollInterval  = 2 * time.Millisecond
	healthCheckTimeout = time.Second
	filePermissions    = 0o600

	daemonPeers       = 300 // number of dispatchers in the daemon's settings
	daemonTeams       = 150 // number of teams, each with a quota, in the daemon's settings
	daemonMemoryMB    = 128 // the target's memory limit of a dispatcher
	daemonDescriptors = 4096
)

// startDaemon starts program, with its files in dir and with the address of its discovery, and waits until it is ready.
func startDaemon(program, dir, discovery string) (*daemon, error) {
	settings, err := settingsJSON(daemonPeers, daemonTeams)
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(daemonConfig{
		Name:      "slopes",
		Listen:    "127.0.0.1:0",
		Discovery: discovery,
		Seed:      "0000000000000001",
		AdminAddr: "127.0.0.1:0",
		Limits:    resourceLimits{MemoryMB: daemonMemoryMB, Descriptors: daemonDescriptors},
		Settings:  settings,
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config, filePermissions); err != nil {
		return nil, err
	}
	started := &daemon{}
	started.process, err = daemonprocess.Start(daemonprocess.Config{
		Program:     program,
		Arguments:   []string{"--config", path},
		Environment: []string{"TMPDIR=" + dir},
		Log:         &started.log,
	})
	if err != nil {
		return nil, err
	}
	if err := started.waitReady(); err != nil {
		started.stop()
		return nil, err
	}
	return started, nil
}

// waitReady polls the daemon's health check until it is ready, and records how long that took.
func (d *daemon) waitReady() error {
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	isReady := func() bool {
		address := daemonprocess.LoggedAddress(d.log.String(), "listening on ")
		return address != "" && daemonprocess.IsHealthy(client, address)
	}
	var err error
	d.timeToReady, err = d.process.WaitReady(isReady, readyPollInterval, readyTimeout)
	if errors.Is(err, daemonprocess.ErrNotReady) {
		return fmt.Errorf("%w: %s", err, strings.TrimSpace(d.log.String()))
	}
	return err
}

// stop shuts the daemon down gracefully, or kills it if that takes too long.
func (d *daemon) stop() { d.process.Stop() }

// cpu returns the processor time that the daemon has used since its start.
func (d *daemon) cpu() (time.Duration, error) { return processusage.CPU(d.process.PID()) }

// peakResident returns the peak resident memory of the daemon since its start, in bytes.
func (d *daemon) peakResident() (float64, error) {
	memory, err := processusage.ReadMemory(d.process.PID())
	if err != nil {
		return 0, err
	}
	if memory.PeakResident == 0 {
		return 0, fmt.Errorf("process %d: the kernel reports no peak of resident memory", d.process.PID())
	}
	return float64(memory.PeakResident), nil
}
