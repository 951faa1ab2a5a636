package main

import (
	"cmp"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
	"hollyyoke.example/hollyyoke/internal/rehearsal/faultinject"
)

const testTimeout = 30 * time.Second // reached only if a test fails

// settingsText is the value of the key settings in the tests. CONN_IDLE is a placeholder for
// how long a connection to a worker may be idle, in microseconds. Some tests replace other
// parts of the text.
const settingsText = `{
	"areas":["here","there"],
	"kinds":["m"],
	"my_zone":0,
	"peers_total":1,
	"tick_us":2000,
	"discovery":"ask",
	"worth_by":"work",
	"classes":[
		{
			"name":"status-check",
			"repeat":"retryable",
			"worth":3,
			"late_worth":0.25,
			"slo_us":250000,
			"deadline_us":5000000
		},
		{
			"name":"renewal",
			"repeat":"fragile",
			"worth":5,
			"late_worth":0.5,
			"slo_us":200000,
			"deadline_us":8000000
		}
	],
	"limits":{
		"cancel":true,
		"connect_timeout_us":250000,
		"conn_idle_us":CONN_IDLE,
		"max_attempts":3,
		"max_retry_after_us":2000000,
		"second_copies":true
	},
	"rules":{
		"ask_within_us":10000000,
		"cold_from":0.33,
		"warm_after_us":8600000,
		"fall_multiple":4,
		"fall_us":1000000,
		"drain_grace_us":500000
	},
	"domain":{
		"tells_start":true,
		"progress_us":1000000,
		"queue_order":"fifo",
		"report_x0":"free slots"
	},
	"reporting":{"via":"answers"}
}`

// defaultConnectionIdle is longer than any test leaves a connection to a worker idle.
const defaultConnectionIdle = 10 * time.Second

// settingsWithIdle returns the settings with a limit on how long a connection to a
// worker may be idle.
func settingsWithIdle(limit time.Duration) string {
	return strings.ReplaceAll(settingsText, "CONN_IDLE", strconv.FormatInt(limit.Microseconds(), 10))
}

// testDaemon runs the program, with its configuration, stand-ins for the workers and the
// discovery service, and an HTTP client.
type testDaemon struct {
	t         *testing.T
	workers   []*testWorker  // those added before start are in the initial endpoint list
	discovery *testDiscovery // if nil, start creates one

	// How the process is started.
	program        string         // path of the program; if empty, builtProgram
	listen         string         // address for clients; if empty, start chooses one
	config         map[string]any // before start, the keys that override defaultConfig; after start, the whole configuration
	configPath     string         // path of the configuration file
	env            []string       // variables in addition to those of environment
	inheritedFiles []*os.File     // inherited descriptors, from number 3 on
	skipReadyWait  bool           // start does not wait until /healthz responds with 200
	startProcess   func()         // if not nil, starts cmd in place of cmd.Start

	// The latest process.
	cmd    *exec.Cmd
	traced *faultinject.Process // the latest process if faults are injected into its system calls, otherwise nil
	log    childprocess.Output
	client *http.Client
}

// start writes the configuration, starts the program and waits until it is ready.
func (d *testDaemon) start(args ...string) {
	d.t.Helper()
	if d.discovery == nil {
		d.discovery = &testDiscovery{t: d.t}
	}
	if d.discovery.address == "" {
		d.discovery.start()
	}
	if d.listen == "" {
		d.listen = unusedAddress(d.t)
	}
	config := d.defaultConfig()
	maps.Copy(config, d.config)
	d.config = config
	d.configPath = filepath.Join(d.t.TempDir(), "config.json")
	d.writeConfig()
	d.launch(args...)
	d.client = &http.Client{Timeout: testTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	if d.skipReadyWait {
		d.waitForLog("listening on")
		return
	}
	d.waitUntilHealthy()
}

// defaultConfig returns the configuration of a daemon with all its workers in the
// initial endpoint list.
func (d *testDaemon) defaultConfig() map[string]any {
	var hosts []json.RawMessage
	for _, worker := range d.workers {
		hosts = append(hosts, json.RawMessage(worker.listEntry("ready")))
	}
	return map[string]any{
		"name":      "n0",
		"listen":    d.listen,
		"discovery": d.discovery.address,
		"seed":      "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":     map[string]any{"seq": 41, "whole": true, "hosts": hosts},
		"settings":  json.RawMessage(settingsWithIdle(defaultConnectionIdle)),
	}
}

// waitUntilHealthy waits until /healthz responds with 200.
func (d *testDaemon) waitUntilHealthy() {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		response, err := d.client.Get("http://" + d.listen + "/healthz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			d.t.Fatalf("the program did not become healthy in time: response %v, error %v", response, err)
		}
	}
}

// launch starts a process of the program.
func (d *testDaemon) launch(args ...string) {
	d.t.Helper()
	d.cmd = exec.Command(cmp.Or(d.program, builtProgram), args...)
	d.cmd.Env = d.environment()
	d.cmd.ExtraFiles = d.inheritedFiles
	d.cmd.Stderr = &d.log
	if d.startProcess != nil {
		d.startProcess()
		return
	}
	if err := d.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		if d.cmd.ProcessState == nil {
			d.cmd.Process.Kill()
			d.cmd.Wait()
		}
		if d.t.Failed() {
			d.t.Logf("the program's log:\n%s", d.log.String())
		}
	})
}

func (d *testDaemon) environment() []string {
	discovery, _ := d.config["discovery"].(string)
	env := append(os.Environ(),
		"BALANCER_CONFIG="+d.configPath,
		"BALANCER_LISTEN=",
		"BALANCER_DISCOVERY="+discovery,
		"BALANCER_NAME=",
		"BALANCER_ADMIN_ADDR=",
		"BALANCER_FD=",
	)
	return append(env, d.env...)
}

// writeConfig writes the configuration file.
func (d *testDaemon) writeConfig() {
	d.t.Helper()
	text, err := json.Marshal(d.config)
	if err == nil {
		err = os.WriteFile(d.configPath, text, 0o600)
	}
	if err != nil {
		d.t.Fatal(err)
	}
}

func (d *testDaemon) signal(sig os.Signal) {
	d.t.Helper()
	if err := d.cmd.Process.Signal(sig); err != nil {
		d.t.Fatal(err)
	}
}

// kill sends SIGKILL to the process, and waits until it has ended.
func (d *testDaemon) kill() {
	d.cmd.Process.Kill()
	d.cmd.Wait()
}

// waitForExit waits until the program has ended, and returns its exit code.
func (d *testDaemon) waitForExit() int {
	d.t.Helper()
	ended := make(chan struct{})
	go func() {
		d.cmd.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		d.cmd.Process.Signal(syscall.SIGQUIT) // makes the program log the stacks of all goroutines
		<-ended
		d.t.Fatal("the program did not end in time")
	}
	return d.cmd.ProcessState.ExitCode()
}

// waitForLog waits until the program has logged a text.
func (d *testDaemon) waitForLog(text string) {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); !d.hasLogged(text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("the program did not log %q in time", text)
		}
	}
}

// waitUntil waits until a condition holds. what describes the condition for the failure text.
func (d *testDaemon) waitUntil(what string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("timeout: %s", what)
		}
	}
}

// openDescriptors returns how many descriptors the process has open.
func (d *testDaemon) openDescriptors() int {
	d.t.Helper()
	descriptors, err := os.ReadDir("/proc/" + strconv.Itoa(d.cmd.Process.Pid) + "/fd")
	if err != nil {
		d.t.Fatal(err)
	}
	return len(descriptors)
}

// unusedAddress returns an address that no process listens on.
func unusedAddress(t *testing.T) string {
	t.Helper()
	address, err := childprocess.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// acceptConnections serves each connection of a listener in its own goroutine, until the
// listener is closed.
func acceptConnections(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// writeFile writes text to a file in a directory, and returns the path of the file.
func writeFile(t *testing.T, directory, name, text string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
