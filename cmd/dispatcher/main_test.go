package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/faultinject"
)

// These tests start the program and speak to it over sockets, with stand-ins
// for discovery and backends. All ports are chosen by the kernel.

const testTimeout = 30 * time.Second // no test waits that long unless something is broken

var builtProgram string

func TestMain(m *testing.M) {
	if dir := os.Getenv("KILL_WORKER"); dir != "" {
		seed, _ := strconv.ParseUint(os.Getenv("KILL_SEED"), 10, 64)
		slow, _ := strconv.ParseFloat(os.Getenv("KILL_SLOW"), 64)
		runKillWorker(dir, os.Getenv("KILL_WID"), os.Getenv("KILL_PROMISE"), seed, slow)
	}
	dir, err := os.MkdirTemp("", "hollyyoke")
	if err != nil {
		panic(err)
	}
	builtProgram = filepath.Join(dir, "dispatcher")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", dir, ".", "../dispatcher-serve").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const settingsText = `{"areas":["here","there"],"kinds":["m"],"my_zone":0,"peers_total":1,"tick_us":2000,
"discovery":"ask","worth_by":"work","classes":[
{"name":"status-check","repeat":"retryable","worth":3,"late_worth":0.25,"slo_us":250000,"deadline_us":5000000},
{"name":"renewal","repeat":"fragile","worth":5,"late_worth":0.5,"slo_us":200000,"deadline_us":8000000}],
"limits":{"cancel":true,"connect_timeout_us":250000,"conn_idle_us":CONN_IDLE,"max_attempts":3,"max_retry_after_us":2000000,
"second_copies":true},"rules":{"ask_within_us":10000000,"cold_from":0.33,"warm_after_us":8600000,"fall_multiple":4,
"fall_us":1000000,"drain_grace_us":500000},"domain":{"tells_start":true,"progress_us":1000000,"queue_order":"fifo",
"report_x0":"free slots"},"reporting":{"via":"answers"}}`

// testDaemon is what stands around the program.
type testDaemon struct {
	t               *testing.T
	workers         []*testWorker
	watches         chan string // the query of each watch
	changes         chan string // lines for the present watch; "silence" ends the lines that show its liveness, "end" the watch
	listen          string
	config          map[string]any
	configPath      string               // of the file
	env             []string             // beyond what it is told anyway
	skipReadyWait   bool                 // start does not wait until it says that it is ready
	inheritedFiles  []*os.File           // that it inherits
	firstLine       chan string          // where discovery's first word comes from; nil: it has nothing to tell
	answerDiscovery func(conn net.Conn)  // answers each call to discovery; nil: tell does
	startProcess    func()               // starts cmd in place of its own Start
	traced          *faultinject.Process // the daemon, where its system calls fail
	program         string               // that is started; empty: the one under test
	cmd             *exec.Cmd
	log             logBuffer
	client          *http.Client
}

// logBuffer is a log that may be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *logBuffer) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func (r *logBuffer) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// testWorker is a stand-in: act answers each request.
type testWorker struct {
	name     string
	listener net.Listener
	mu       sync.Mutex
	received []string // the ids that arrived
	respond  func(id string, conn net.Conn) (keep bool)
}

func respondDone(id string, conn net.Conn) bool {
	text := fmt.Sprintf(`{"id":%q,"state":"started"}`+"\n"+`{"id":%q,"state":"done","result":"made for %s"}`+"\n", id, id, id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	return true
}

// respondWhenReleased runs one job until its release, and all others at once.
func respondWhenReleased(slow string, arrived chan<- struct{}, release <-chan struct{}) func(string, net.Conn) bool {
	return func(id string, conn net.Conn) bool {
		if id != slow {
			return respondDone(id, conn)
		}
		line := func(state string) {
			text := fmt.Sprintf(`{"id":%q,"state":%q,"result":"x"}`+"\n", id, state)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		line("started") // or the backend counts as one that starts nothing
		arrived <- struct{}{}
		<-release
		line("done")
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
}

func listenLocal(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
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

func (b *testWorker) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		id := req.Header.Get("X-Correlation-Id")
		b.mu.Lock()
		b.received = append(b.received, fmt.Sprintf("%s %s %s %s", id, req.Method, req.RequestURI, body))
		act := b.respond
		b.mu.Unlock()
		if !act(id, conn) {
			return
		}
	}
}

func (b *testWorker) requests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.received...)
}

func (b *testWorker) setRespond(act func(string, net.Conn) bool) {
	b.mu.Lock()
	b.respond = act
	b.mu.Unlock()
}

func (b *testWorker) listEntry(health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"here","class":"m","health":%q,"share":1}`, b.name, b.listener.Addr(), health)
}

// start starts the program in the world; known tells it all backends.
func (d *testDaemon) start(args ...string) {
	t := d.t
	t.Helper()
	discovery := d.startDiscovery()
	if d.listen == "" {
		ln := listenLocal(t)
		d.listen = ln.Addr().String()
		ln.Close()
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
			t.Fatalf("it does not come up: %v", err)
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

// startDiscovery starts a stand-in for startDiscovery and returns its address.
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

// answerWatch answers a watch that asked for a query.
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
				<-gone // until the other side gives up
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

// post sends a job and returns status, body and Retry-After.
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
		d.cmd.Process.Signal(syscall.SIGQUIT) // its log then tells what it waits for
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

func TestServesRequestUnchanged(t *testing.T) {
	d := &testDaemon{t: t}
	b := d.addWorker("s-1", respondDone)
	d.start()
	if q := d.waitForWatch(); q != "watch=1&after=41" {
		t.Errorf("watch %q", q)
	}
	for i := range 5 {
		id := fmt.Sprintf("id-%d", i)
		if status, body, _ := d.post("renewal", id, "pay", 0); status != 200 || body != "made for "+id {
			t.Errorf("%s: %d %q", id, status, body)
		}
	}
	got := b.requests()
	if len(got) != 5 || got[4] != "id-4 POST /renewal/key-1?x=y pay" {
		t.Errorf("arrived: %q", got)
	}
}

// A renewal that may have run is never sent again: not after a reset, not
// after silence, not on a kept connection that turns out dead. A status-check is.
func TestRenewalIsNeverSentTwice(t *testing.T) {
	d := &testDaemon{t: t}
	reset := func(string, net.Conn) bool { return false }
	b := d.addWorker("s-1", respondDone)
	d.start()
	d.post("renewal", "warm-up", "x", 0)
	b.setRespond(reset)
	if status, _, _ := d.post("renewal", "reset", "x", 0); status != 502 {
		t.Errorf("after a reset: %d", status)
	}
	b.setRespond(func(_ string, conn net.Conn) bool { io.Copy(io.Discard, conn); return false })
	if status, _, _ := d.post("renewal", "silent", "x", 1500); status != 502 {
		t.Errorf("after silence: %d", status)
	}
	var before atomic.Int32
	b.setRespond(func(id string, conn net.Conn) bool {
		if before.Add(1) == 1 {
			return false
		}
		return respondDone(id, conn)
	})
	if status, _, _ := d.post("status-check", "check", "x", 0); status != 200 {
		t.Errorf("a status-check after a reset: %d", status)
	}
	count := map[string]int{}
	for _, a := range b.requests() {
		id, _, _ := strings.Cut(a, " ")
		count[id]++
	}
	if count["reset"] != 1 || count["silent"] != 1 || count["check"] != 2 {
		t.Errorf("arrivals %v", count)
	}
}

// What nobody can take is refused before the client gives up, and tells when to come back.
func TestRejectionHasRetryAfter(t *testing.T) {
	d := &testDaemon{t: t}
	d.addWorker("s-1", func(_ string, conn net.Conn) bool {
		fmt.Fprint(conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	d.start()
	for _, class := range []string{"status-check", "renewal"} {
		status, _, retry := d.post(class, "full-"+class, "x", 1500)
		var s float64
		if _, err := fmt.Sscan(retry, &s); status != 503 || err != nil || s < 0 || s > 2 {
			t.Errorf("%s: %d, Retry-After %q", class, status, retry)
		}
	}
}

// A client that hangs up has its attempt called off.
func TestCancelReachesWorker(t *testing.T) {
	d := &testDaemon{t: t}
	gone := make(chan struct{})
	arrived := make(chan struct{})
	d.addWorker("s-1", func(_ string, conn net.Conn) bool {
		close(arrived)
		io.Copy(io.Discard, conn)
		close(gone)
		return false
	})
	d.start()
	conn, err := net.Dial("tcp", d.listen)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: gone\r\nContent-Length: 1\r\n\r\nx")
	<-arrived
	conn.Close()
	select {
	case <-gone:
	case <-time.After(testTimeout):
		t.Error("the backend still has it")
	}
}

// What discovery says holds: a backend that drains gets nothing new, one that
// comes back does. A watch without lines that show liveness is given up and made anew
// with the list kept; so is one that ends or sends what makes no sense.
func TestDiscovery(t *testing.T) {
	d := &testDaemon{t: t}
	a, b := d.addWorker("s-a", respondDone), d.addWorker("s-b", respondDone)
	d.start()
	d.waitForWatch()
	d.changes <- `{"seq":42,"whole":false,"hosts":[` + a.listEntry("draining") + `]}`
	// Told are the news once an answer that needs them has been given.
	for i, end := 0, time.Now().Add(testTimeout); len(b.requests()) == 0 && time.Now().Before(end); i++ {
		d.post("status-check", fmt.Sprint("probe-", i), "x", 0)
	}
	time.Sleep(100 * time.Millisecond)
	before := len(a.requests())
	for i := range 20 {
		if status, _, _ := d.post("renewal", fmt.Sprint("drain-", i), "x", 0); status != 200 {
			t.Errorf("%d: %d", i, status)
		}
	}
	if n := len(a.requests()); n != before {
		t.Errorf("the draining backend got %d more", n-before)
	}
	for i, ill := range []string{"silence", "end", `{"seq":43,"hosts":[{"host":"","health":"ready"}]}`, "nonsense"} {
		d.changes <- ill
		if q := d.waitForWatch(); q != "watch=1&after=42" {
			t.Errorf("after %q: watch %q", ill, q)
		}
		if status, _, _ := d.post("renewal", fmt.Sprint("kept-", i), "x", 0); status != 200 {
			t.Errorf("after %q: the list is lost: %d", ill, status)
		}
	}
	if n := len(a.requests()); n != before {
		t.Errorf("the draining backend got %d more", n-before)
	}
	d.changes <- `{"seq":44,"whole":true,"hosts":[` + a.listEntry("ready") + `]}`
	for i, end := 0, time.Now().Add(testTimeout); len(a.requests()) == before; i++ {
		if status, _, _ := d.post("status-check", fmt.Sprint("back-", i), "x", 0); status != 200 || time.Now().After(end) {
			t.Fatalf("the one backend listed: %d", status)
		}
	}
}

// A SIGHUP used to end the program. It reads the file again: the watch moves to
// the discovery that it names, whatever the environment says, while the list and
// the job that is out stay; a bad file changes nothing; near SIGTERM it does no harm.
func TestReload(t *testing.T) {
	d, other := &testDaemon{t: t}, &testDaemon{t: t}
	hold := make(chan bool)
	b := d.addWorker("s-1", func(id string, conn net.Conn) bool { <-hold; return respondDone(id, conn) })
	d.start()
	d.waitForWatch()
	answer := make(chan int)
	go func() {
		status, _, _ := d.post("renewal", "held", "x", 0)
		answer <- status
	}()
	for end := time.Now().Add(testTimeout); len(b.requests()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the job does not arrive")
		}
	}
	good, addr := d.config, other.startDiscovery()
	for name, bad := range map[string]any{"discovery": "nowhere", "settings": map[string]any{}, "known": 5} {
		d.config = maps.Clone(good)
		d.config["discovery"], d.config[name] = addr, bad
		d.writeConfig()
		d.signal(syscall.SIGHUP)
		d.waitForLog("reload: config: " + name)
	}
	d.config = maps.Clone(good)
	d.config["discovery"], d.config["limits"] = addr, map[string]any{"memory_mb": 64}
	d.writeConfig()
	for range 3 {
		d.signal(syscall.SIGHUP)
	}
	if q := other.waitForWatch(); q != "watch=1&after=41" {
		t.Errorf("watch %q at the new address", q)
	}
	d.waitForLog("a restart is needed: limits")
	select {
	case q := <-d.watches:
		t.Errorf("watch %q at the old address", q)
	default:
	}
	c := d.addWorker("s-2", respondDone)
	other.changes <- `{"seq":42,"whole":false,"hosts":[` + c.listEntry("ready") + `]}`
	for i, end := 0, time.Now().Add(testTimeout); len(c.requests()) == 0 && time.Now().Before(end); i++ {
		d.post("status-check", fmt.Sprint("new-", i), "x", 200)
	}
	if len(c.requests()) == 0 {
		t.Error("the new discovery is not heard")
	}
	d.signal(syscall.SIGHUP)
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGHUP)
	close(hold)
	if status := <-answer; status != 200 {
		t.Errorf("the job that was out got %d", status)
	}
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// The list known at a start may be old. The program takes jobs at once, since a
// client kept out has nobody else to go to, but sends none by that list until
// discovery has told what has changed.
func TestStartWithStaleList(t *testing.T) {
	d := &testDaemon{t: t, firstLine: make(chan string, 1), skipReadyWait: true}
	old := d.addWorker("s-old", respondDone)
	d.start()
	if status := d.health(); status != 503 {
		t.Errorf("before the list is known to be good: healthz says %d", status)
	}
	fresh := d.addWorker("s-new", respondDone)
	answer := make(chan int)
	for i := range 4 {
		go func() {
			status, _, _ := d.post("renewal", fmt.Sprint("early-", i), "x", 0)
			answer <- status
		}()
	}
	time.Sleep(50 * time.Millisecond) // they should be waiting by now; the test holds without it too
	d.firstLine <- `{"seq":42,"whole":false,"hosts":[` + fresh.listEntry("ready") + `,` + old.listEntry("draining") + `]}`
	for range 4 {
		if status := <-answer; status != 200 {
			t.Errorf("status %d", status)
		}
	}
	if n, m := len(old.requests()), len(fresh.requests()); n != 0 || m != 4 {
		t.Errorf("the old list's backend got %d, the new one %d", n, m)
	}
	if status := d.health(); status != 200 {
		t.Errorf("afterwards: healthz says %d", status)
	}
}

// Idle connections to a backend are closed before it may close them.
func TestIdleConnectionsCloseFirst(t *testing.T) {
	d := &testDaemon{t: t, config: map[string]any{"conn_idle_us": "3000000"}}
	closed := make(chan error, 1)
	d.addWorker("s-1", func(id string, conn net.Conn) bool {
		respondDone(id, conn)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err := conn.Read(make([]byte, 1))
		closed <- err
		return false
	})
	d.start()
	d.post("renewal", "one", "x", 0)
	if err := <-closed; err != io.EOF {
		t.Errorf("at the end of the idle time: %v", err)
	}
}

// Near the limit of descriptors idle sessions make room for new ones.
func TestDescriptorLimit(t *testing.T) {
	d := &testDaemon{t: t, config: map[string]any{"limits": map[string]any{"sockets": 64, "memory_mb": 192}}}
	d.addWorker("s-1", respondDone)
	d.start()
	for i := range 100 {
		conn, err := net.Dial("tcp", d.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(conn, "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: fd-%d\r\nContent-Length: 1\r\n\r\nx", i)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("session %d: %v, %v", i, resp, err)
		}
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
		if err != nil || len(fds) > 64 {
			t.Fatalf("session %d: %d descriptors, %v", i, len(fds), err)
		}
	}
}

// More clients at once than there are descriptors wait their turn: each gets a
// whole answer, though sessions must end to make room.
func TestMoreClientsThanDescriptors(t *testing.T) {
	d := &testDaemon{t: t, config: map[string]any{"limits": map[string]any{"sockets": 64, "memory_mb": 192}}}
	d.addWorker("s-1", func(id string, conn net.Conn) bool {
		time.Sleep(50 * time.Millisecond)
		return respondDone(id, conn)
	})
	d.start()
	var wg sync.WaitGroup
	for i := range 60 {
		conn, err := net.Dial("tcp", d.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(conn, "POST /status-check/k HTTP/1.1\r\nX-Correlation-Id: many-%d\r\nContent-Length: 1\r\n\r\nx", i)
		wg.Go(func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 {
				t.Errorf("client %d: %v, %v", i, resp, err)
			}
		})
	}
	wg.Wait()
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

// At a planned restart what has been taken is answered, what comes in the
// window is served, and the program ends with 0 only after that.
func TestGracefulShutdown(t *testing.T) {
	d := &testDaemon{t: t}
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	d.addWorker("s-1", respondWhenReleased("slow", arrived, release))
	d.start()
	slow := make(chan int, 1)
	go func() {
		status, _, _ := d.post("renewal", "slow", "x", 0)
		slow <- status
	}()
	<-arrived
	d.cmd.Process.Signal(syscall.SIGTERM)
	d.cmd.Process.Signal(syscall.SIGTERM) // said twice, it means no more
	fresh := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	d.client, fresh = fresh, d.client
	d.waitUntilUnhealthy() // the signal has been handled, so that what follows comes after it
	if status, _, _ := d.post("status-check", "new", "x", 0); status != 200 {
		t.Errorf("a new connection after SIGTERM: %d", status)
	}
	d.client = fresh
	if status, _, _ := d.post("status-check", "kept", "x", 0); status != 200 {
		t.Errorf("a kept connection after SIGTERM: %d", status)
	}
	if resp, err := d.client.Get("http://" + d.listen + "/healthz"); err != nil || resp.StatusCode != 503 {
		t.Errorf("healthz after SIGTERM: %v, %v", resp, err)
	}
	time.Sleep(600*time.Millisecond + 200*time.Millisecond) // past the window, a job is still owed
	close(release)
	if status := <-slow; status != 200 {
		t.Errorf("what was in work: %d", status)
	}
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if _, err := net.Dial("tcp", d.listen); err == nil {
		t.Error("it still listens")
	}
}

// SIGTERM while the program still reads what it is told is a planned end too: the
// configuration comes through a pipe here, and only after the signal.
func TestSignalDuringStart(t *testing.T) {
	d := &testDaemon{t: t}
	d.addWorker("s-1", respondDone)
	d.start() // for a whole configuration
	d.cmd.Process.Kill()
	d.cmd.Wait()
	raw, err := os.ReadFile(d.configPath)
	if err != nil {
		t.Fatal(err)
	}
	d.configPath = filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(d.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	d.launch()
	in, err := os.OpenFile(d.configPath, os.O_WRONLY, 0) // goes on once the program reads
	if err != nil {
		t.Fatal(err)
	}
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGHUP)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for end := time.Now().Add(testTimeout); err == nil && signalPending(status); status, err = os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid)) {
		if time.Now().After(end) {
			t.Fatal("the signals do not reach it")
		}
	}
	in.Write(raw) // fails where the signal has ended the program
	in.Close()
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d, want a planned end", code)
	}
	if !strings.Contains(d.log.String(), "stopped: accepted 0") {
		t.Error("it did not end as planned")
	}
}

// signalPending tells whether signals wait to be taken, by the words of /proc.
func signalPending(status []byte) bool {
	for line := range strings.Lines(string(status)) {
		if name, bits, _ := strings.Cut(line, ":"); name == "ShdPnd" || name == "SigPnd" {
			if strings.Trim(bits, " \t\n0") != "" {
				return true
			}
		}
	}
	return false
}

// At a planned end an answer that is owed reaches a client that goes on sending,
// and one that reads it late; a client that rests until the end hears of it in
// order; nothing that comes after the window reaches a backend.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	d := &testDaemon{t: t}
	release, arrived := make(chan struct{}), make(chan struct{}, 2)
	big := strings.Repeat("made ", 12<<10)
	slow := func(id string, conn net.Conn) bool {
		if !strings.HasPrefix(id, "slow") {
			return respondDone(id, conn)
		}
		arrived <- struct{}{}
		<-release
		text := fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`+"\n", id, big)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
		return true
	}
	a, b := d.addWorker("s-1", slow), d.addWorker("s-2", slow)
	d.start()
	dial := func(text string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", d.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(conn, text)
		return conn, bufio.NewReader(conn)
	}
	job := func(id string) string {
		return "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nContent-Length: 4\r\n\r\nbody"
	}
	_, resting := dial(job("usual"))
	if resp, err := http.ReadResponse(resting, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%+v, %v", resp, err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
	late, lateIn := dial(job("slow-1"))
	sending, sendingIn := dial(job("slow-2"))
	<-arrived
	<-arrived
	go func() {
		for junk := make([]byte, 4<<10); ; {
			if _, err := sending.Write(junk); err != nil {
				return
			}
		}
	}()
	_, halfIn := dial(strings.TrimSuffix(job("half"), "dy"))
	d.signal(syscall.SIGTERM)
	if resp, err := http.ReadResponse(halfIn, nil); err != nil || resp.StatusCode != 503 { // not 408, which comes 2 s after it began
		t.Errorf("half a request: %+v, %v", resp, err)
	}
	if _, err := resting.ReadByte(); err != io.EOF { // the window is over
		t.Errorf("a resting session ends with %v", err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", d.listen)
		if err != nil {
			break
		}
		conn.Close()
		if time.Now().After(end) {
			t.Fatal("it goes on listening")
		}
	}
	io.WriteString(late, job("after-the-end"))
	close(release)
	for name, in := range map[string]*bufio.Reader{"that reads late": lateIn, "that goes on sending": sendingIn} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("a client %s: %v", name, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || string(body) != big || err != nil {
			t.Errorf("a client %s: %d, %d bytes, %v", name, resp.StatusCode, len(body), err)
		}
	}
	if _, err := lateIn.ReadByte(); err != io.EOF {
		t.Errorf("behind the last answer: %v", err)
	}
	answered := time.Now() // the client has not closed, and is waited for
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if span := time.Since(answered); span < 200*time.Millisecond {
		t.Errorf("it ended %v after an answer of which it could not know that it was read", span)
	}
	for _, got := range append(a.requests(), b.requests()...) {
		if strings.HasPrefix(got, "after") {
			t.Errorf("sent on after the end: %s", got)
		}
	}
}

// The Faktory front runs beside the platform's, on the same backends.
func TestFaktoryFrontEnd(t *testing.T) {
	d := &testDaemon{t: t}
	b := d.addWorker("s-1", respondDone)
	ln := listenLocal(t)
	addr := ln.Addr().String()
	ln.Close()
	path := filepath.Join(t.TempDir(), "faktory.toml")
	os.WriteFile(path, []byte(fmt.Sprintf("listen = %q\n", addr)), 0o600)
	d.start("-faktory", path)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	in := bufio.NewReader(conn)
	for _, x := range []struct{ command, want string }{
		{"", "+HI {\"v\":2}"},
		{`HELLO {"v":2}`, "+OK"},
		{`PUSH {"jid":"pushed-01","queue":"renewal","jobtype":"x","args":[],"custom":{"key":"a b","effort_us":20000}}`, "+OK"},
		{`PUSH {"jid":"pushed-01","queue":"renewal","jobtype":"x","args":[]}`, "+OK"},
	} {
		if x.command != "" {
			fmt.Fprintf(conn, "%s\r\n", x.command)
		}
		if line, err := in.ReadString('\n'); err != nil || strings.TrimSpace(line) != x.want {
			t.Fatalf("%s: %q, %v", x.command, line, err)
		}
	}
	if got := b.requests(); len(got) != 1 || !strings.HasPrefix(got[0], "pushed-01 POST /renewal/a%20b {") {
		t.Errorf("arrived: %q", got)
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// A bad start says in one line which field is wrong.
func TestBadStart(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		os.WriteFile(path, []byte(text), 0o600)
		return path
	}
	good := strings.ReplaceAll(settingsText, "CONN_IDLE", "1")
	for name, test := range map[string]struct{ config, faktory, want string }{
		"no settings":  {`{"listen":"127.0.0.1:0"}`, "", "settings: missing"},
		"not JSON":     {`{`, "", "config:"},
		"wrong type":   {`{"listen":5}`, "", "listen"},
		"deep type":    {`{"listen":"127.0.0.1:0","settings":{"rules":{"cold_from":"x"}}}`, "", "rules.cold_from"},
		"no class":     {`{"listen":"127.0.0.1:0","settings":{}}`, "", "Classes is empty"},
		"no name":      {`{"listen":"127.0.0.1:0","settings":{"classes":[{"repeat":"fragile","deadline_us":5}]}}`, "", "classes[0].name"},
		"bad repeat":   {`{"listen":"127.0.0.1:0","settings":{"classes":[{"name":"q","repeat":"x"}]}}`, "", "classes[0].repeat"},
		"no listen":    {`{"settings":` + good + `}`, "", "listen: missing"},
		"bad listen":   {`{"listen":"nowhere","settings":` + good + `}`, "", "listen:"},
		"bad known":    {`{"listen":"127.0.0.1:0","known":{"hosts":[{"host":"h","health":"odd"}]},"settings":` + good + `}`, "", "hosts[0].health"},
		"faktory key":  {`{"settings":` + good + `}`, "lisen = \"127.0.0.1:0\"", "lisen: unknown key"},
		"faktory text": {`{"settings":` + good + `}`, "listen = ", "faktory.toml"},
	} {
		args := []string{"-config", write("config.json", test.config)}
		if test.faktory != "" {
			args = append(args, "-faktory", write("faktory.toml", test.faktory))
		}
		cmd := exec.Command(builtProgram, args...)
		cmd.Env = append(os.Environ(), "BALANCER_LISTEN=", "BALANCER_CONFIG=", "BALANCER_DISCOVERY=")
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), test.want) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: %v, %q; want one line with %q", name, err, out, test.want)
		}
	}
}
