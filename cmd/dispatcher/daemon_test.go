package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
	"hollyyoke.example/hollyyoke/internal/rehearsal/faultinject"
)

const testTimeout = 30 * time.Second // no test waits that long unless something is broken

const settingsText = `{"areas":["here","there"],"kinds":["m"],"my_zone":0,"peers_total":1,"tick_us":2000,
"discovery":"ask","worth_by":"work","classes":[
{"name":"status-check","repeat":"retryable","worth":3,"late_worth":0.25,"slo_us":250000,"deadline_us":5000000},
{"name":"renewal","repeat":"fragile","worth":5,"late_worth":0.5,"slo_us":200000,"deadline_us":8000000}],
"limits":{"cancel":true,"connect_timeout_us":250000,"conn_idle_us":CONN_IDLE,"max_attempts":3,"max_retry_after_us":2000000,
"second_copies":true},"rules":{"ask_within_us":10000000,"cold_from":0.33,"warm_after_us":8600000,"fall_multiple":4,
"fall_us":1000000,"drain_grace_us":500000},"domain":{"tells_start":true,"progress_us":1000000,"queue_order":"fifo",
"report_x0":"free slots"},"reporting":{"via":"answers"}}`

// testDaemon is a process of the program, with its configuration, its workers and its
// discovery, which are stand-ins.
type testDaemon struct {
	t               *testing.T
	workers         []*testWorker
	watches         chan string // the query of each watch call
	changes         chan string // lines for the open watch; "silence" ends its heartbeats, "end" the watch
	listen          string
	config          map[string]any
	configPath      string               // of the configuration file
	env             []string             // variables beside those of environment
	skipReadyWait   bool                 // start does not wait until healthz answers 200
	inheritedFiles  []*os.File           // descriptors from 3 on
	firstLine       chan string          // the first line of each watch; nil: an empty one
	answerDiscovery func(conn net.Conn)  // answers each call to discovery; nil: answerWatch does
	startProcess    func()               // starts cmd in place of its own Start
	traced          *faultinject.Process // the daemon, where its system calls fail
	program         string               // the program to start; empty: the one under test
	cmd             *exec.Cmd
	log             childprocess.Output
	client          *http.Client
}

func (d *testDaemon) addWorker(name string, act func(string, net.Conn) bool) *testWorker {
	b := &testWorker{name: name, listener: listenLocal(d.t), respond: act}
	d.workers = append(d.workers, b)
	go func() {
		for {
			conn, err := b.listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

// start starts the program, with all workers in its initial endpoint list.
func (d *testDaemon) start(args ...string) {
	t := d.t
	t.Helper()
	discovery := d.startDiscovery()
	if d.listen == "" {
		d.listen = unusedAddress(t)
	}
	var hosts []json.RawMessage
	for _, b := range d.workers {
		hosts = append(hosts, json.RawMessage(b.listEntry("ready")))
	}
	idle, _ := d.config["conn_idle_us"].(string)
	if idle == "" {
		idle = "10000000"
	}
	config := map[string]any{
		"name": "n0", "listen": d.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"seq": 41, "whole": true, "hosts": hosts}, "settings": json.RawMessage(strings.ReplaceAll(settingsText, "CONN_IDLE", idle)),
	}
	for k, v := range d.config {
		config[k] = v
	}
	d.config, d.configPath = config, filepath.Join(t.TempDir(), "config.json")
	d.writeConfig()
	d.launch(args...)
	d.client = &http.Client{Timeout: testTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	if d.skipReadyWait {
		d.waitForLog("listening on")
		return
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if resp, err := d.client.Get("http://" + d.listen + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		} else if time.Now().After(end) {
			t.Fatalf("it does not start: %v", err)
		}
	}
}

// launch starts a process of the program.
func (d *testDaemon) launch(args ...string) {
	t := d.t
	t.Helper()
	d.cmd = exec.Command(cmp.Or(d.program, builtProgram), args...)
	d.cmd.Env, d.cmd.ExtraFiles, d.cmd.Stderr = d.environment(), d.inheritedFiles, &d.log
	if d.startProcess != nil {
		d.startProcess()
		return
	}
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if d.cmd.ProcessState == nil {
			d.cmd.Process.Kill()
			d.cmd.Wait()
		}
		if t.Failed() {
			t.Logf("its log:\n%s", d.log.String())
		}
	})
}

func (d *testDaemon) environment() []string {
	discovery, _ := d.config["discovery"].(string)
	env := append(os.Environ(), "BALANCER_CONFIG="+d.configPath, "BALANCER_LISTEN=", "BALANCER_DISCOVERY="+discovery,
		"BALANCER_NAME=", "BALANCER_ADMIN_ADDR=", "BALANCER_FD=")
	return append(env, d.env...)
}

// writeConfig writes the configuration file.
func (d *testDaemon) writeConfig() {
	raw, err := json.Marshal(d.config)
	if err == nil {
		err = os.WriteFile(d.configPath, raw, 0o600)
	}
	if err != nil {
		d.t.Fatal(err)
	}
}

// startDiscovery starts a stand-in for discovery and returns its address.
func (d *testDaemon) startDiscovery() string {
	ln := listenLocal(d.t)
	d.watches, d.changes = make(chan string, 100), make(chan string, 100)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serveDiscovery(conn)
		}
	}()
	return ln.Addr().String()
}

func (d *testDaemon) serveDiscovery(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	switch {
	case err != nil:
	case d.answerDiscovery != nil:
		d.answerDiscovery(conn)
	default:
		d.answerWatch(conn, req.URL.RawQuery)
	}
}

// answerWatch answers a watch call with a query.
func (d *testDaemon) answerWatch(conn net.Conn, query string) {
	chunk := func(line string) { fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(line)+1, line) }
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	if d.firstLine != nil {
		chunk(<-d.firstLine)
	} else {
		chunk("")
	}
	d.watches <- query
	gone := make(chan struct{})
	go func() { io.Copy(io.Discard, conn); close(gone) }()
	for {
		select {
		case <-gone:
			return
		case line := <-d.changes:
			switch line {
			case "silence":
				<-gone // until the program closes the connection
				return
			case "end":
				return
			}
			chunk(line)
		case <-time.After(500 * time.Millisecond):
			chunk("")
		}
	}
}

// post sends a request and returns status, body and Retry-After.
func (d *testDaemon) post(class, id, body string, leftMs int) (int, string, string) {
	d.t.Helper()
	req, _ := http.NewRequest("POST", "http://"+d.listen+"/"+class+"/key-1?x=y", strings.NewReader(body))
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Weight-Hint", "20000")
	if leftMs > 0 {
		req.Header.Set("X-Time-Left-Ms", fmt.Sprint(leftMs))
	}
	resp, err := d.client.Do(req)
	if err != nil {
		d.t.Errorf("%s: %v", id, err)
		return 0, "", ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header.Get("Retry-After")
}

// waitForExit waits for the program's end and returns its exit code.
func (d *testDaemon) waitForExit() int {
	d.t.Helper()
	over := make(chan struct{})
	go func() { d.cmd.Wait(); close(over) }()
	select {
	case <-over:
	case <-time.After(testTimeout):
		d.cmd.Process.Signal(syscall.SIGQUIT) // the log then has all goroutines
		<-over
		d.t.Fatal("it does not end")
	}
	return d.cmd.ProcessState.ExitCode()
}

func (d *testDaemon) signal(sig os.Signal) {
	d.t.Helper()
	if err := d.cmd.Process.Signal(sig); err != nil {
		d.t.Fatal(err)
	}
}

// waitForLog waits until the program has logged a text.
func (d *testDaemon) waitForLog(text string) {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); !d.hasLogged(text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("it does not log %q", text)
		}
	}
}

func (d *testDaemon) waitForWatch() string {
	d.t.Helper()
	select {
	case q := <-d.watches:
		return q
	case <-time.After(testTimeout):
		d.t.Fatal("no watch")
		return ""
	}
}

// waitUntilUnhealthy waits until healthz answers 503: a signal is handled some time after it is sent.
func (d *testDaemon) waitUntilUnhealthy() {
	d.t.Helper()
	for begin := time.Now(); time.Since(begin) < testTimeout; time.Sleep(time.Millisecond) {
		resp, err := d.client.Get("http://" + d.listen + "/healthz")
		if err != nil {
			d.t.Fatalf("healthz after SIGTERM: %v", err)
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			return
		}
	}
	d.t.Fatal("healthz does not answer 503 after SIGTERM")
}

// unusedAddress returns an address for a daemon to listen on.
func unusedAddress(t *testing.T) string {
	t.Helper()
	address, err := childprocess.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func listenLocal(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}
