package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// platformListener is a listening socket that every process inherits, as the platform
// keeps one, and the directory of the handover socket.
type platformListener struct {
	file      *os.File
	directory string
}

func newPlatformListener(t *testing.T) *platformListener {
	t.Helper()
	ln := listenLocal(t).(*net.TCPListener)
	file, err := ln.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	directory, err := os.MkdirTemp("", "y")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(directory) })
	return &platformListener{file, directory}
}

// newDaemonWithAdmin returns a daemon with an admin API, which inherits the listener k
// if it is not nil.
func newDaemonWithAdmin(t *testing.T, k *platformListener) *testDaemon {
	d := &testDaemon{t: t, env: []string{"BALANCER_ADMIN_ADDR=127.0.0.1:0"}}
	if k != nil {
		d.inheritedFiles, d.listen = []*os.File{k.file}, listenAddress(t, k)
		d.env = append(d.env, "BALANCER_FD=3", "TMPDIR="+k.directory)
	}
	return d
}

func listenAddress(t *testing.T, k *platformListener) string {
	ln, err := net.FileListener(k.file)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startSuccessor starts a second process of the same dispatcher, with the same stand-ins.
func (d *testDaemon) startSuccessor(env ...string) *testDaemon {
	successor := &testDaemon{t: d.t, env: append(append([]string{}, d.env...), env...), inheritedFiles: d.inheritedFiles, listen: d.listen, program: d.program,
		workers: d.workers, config: d.config, configPath: d.configPath, client: d.client, watches: d.watches, changes: d.changes}
	successor.launch()
	return successor
}

// adminLogLine is what the log has before the address of the admin API.
const adminLogLine = "admin API at "

// adminAddress returns the address of the admin API, once the program has logged it.
func (d *testDaemon) adminAddress() string {
	d.t.Helper()
	d.waitForLog(adminLogLine)
	log := d.log.String()
	_, rest, found := strings.Cut(log, adminLogLine)
	if !found {
		_, rest, _ = strings.Cut(log, earlierLogLines[adminLogLine])
	}
	addr, _, _ := strings.Cut(rest, `"`)
	return addr
}

// callAdmin makes a call to the admin API, and returns status 0 where it is not answered.
func (d *testDaemon) callAdmin(method, path string) (int, string) {
	req, _ := http.NewRequest(method, "http://"+d.adminAddress()+path, nil)
	resp, err := (&http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// waitUntil waits until a condition holds.
func (d *testDaemon) waitUntil(what string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("timeout: %s", what)
		}
	}
}

func (d *testDaemon) ready() bool {
	status, _ := d.callAdmin("GET", "/control/ready")
	return status == 200
}

func (d *testDaemon) health() int {
	resp, err := d.client.Get("http://" + d.listen + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// counters returns the counters of the admin API.
func (d *testDaemon) counters() (f struct {
	Succeeded, Declined, Aborted               map[string]int
	Forwards, Outstanding, Discovered, Ejected int
}) {
	d.t.Helper()
	_, text := d.callAdmin("GET", "/control/counters")
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		d.t.Fatalf("%q: %v", text, err)
	}
	return f
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func (s *clientConn) send(id string) {
	fmt.Fprintf(s, "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: %s\r\nContent-Length: 1\r\n\r\nx", id)
}

// readResponse reads a response, and returns whether the connection ends with it.
func (s *clientConn) readResponse(t *testing.T) (status int, ends bool) {
	t.Helper()
	resp, err := http.ReadResponse(s.in, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

func (s *clientConn) closed() bool {
	_, err := s.in.ReadByte()
	return err == io.EOF
}

func (d *testDaemon) connect() *clientConn {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.listen)
	if err != nil {
		d.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	d.t.Cleanup(func() { conn.Close() })
	return &clientConn{conn, bufio.NewReader(conn)}
}
