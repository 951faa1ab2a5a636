package main

import (
	"bufio"
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
)

// These tests start the program as operators run it: with the door, drained, and
// replaced by a second process on a listener that the test keeps as the platform does.

// platformListener is the platform's side: a listening socket that every process inherits.
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
	folder, err := os.MkdirTemp("", "y")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	return &platformListener{file, folder}
}

// newDaemonWithAdmin makes a world that has a door, and inherits a listener where there is one.
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

// startSuccessor is a second process of the same dispatcher, in the same world.
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

// callAdmin calls the callAdmin API; 0 where nobody answers.
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

// waitUntil waits for something to hold.
func (d *testDaemon) waitUntil(what string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("in vain: %s", what)
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

// counters reads what the door tells.
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

// clientConn is a client's connection that the test holds.
type clientConn struct {
	net.Conn
	in *bufio.Reader
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

func (s *clientConn) send(id string) {
	fmt.Fprintf(s, "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: %s\r\nContent-Length: 1\r\n\r\nx", id)
}

// readResponse reads an readResponse and tells whether the session ends with it.
func (s *clientConn) readResponse(t *testing.T) (status int, ends bool) {
	t.Helper()
	resp, err := http.ReadResponse(s.in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

func (s *clientConn) closed() bool {
	_, err := s.in.ReadByte()
	return err == io.EOF
}

// A drain: healthz says no at once, on a kept session too; jobs are served all
// the same; sessions end, idle and silent ones too; a late comer is served once.
// Back in service all is as before. Said twice, each means no more.
func TestDrain(t *testing.T) {
	d := newDaemonWithAdmin(t, nil)
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	d.addWorker("s-1", respondWhenReleased("long", arrived, release))
	d.start()
	health, idle, silent, long := d.connect(), d.connect(), d.connect(), d.connect()
	ask := func() int {
		fmt.Fprint(health, "GET /healthz HTTP/1.1\r\n\r\n")
		status, _ := health.readResponse(t)
		return status
	}
	idle.send("idle")
	if status, ends := idle.readResponse(t); status != 200 || ends || ask() != 200 {
		t.Errorf("in service: %d, ends: %v", status, ends)
	}
	long.send("long")
	<-arrived
	for range 2 {
		if status, _ := d.callAdmin("PUT", "/control/out-of-service"); status != 200 {
			t.Errorf("out of service: %d", status)
		}
	}
	if status := ask(); status != 503 {
		t.Errorf("healthz of a drained dispatcher: %d", status)
	}
	fresh := d.connect()
	fresh.send("fresh")
	if status, _ := fresh.readResponse(t); status != 200 {
		t.Errorf("while the front still sends: %d", status)
	}
	for name, s := range map[string]*clientConn{"idle": idle, "silent": silent, "health": health, "fresh": fresh} {
		if !s.closed() {
			t.Errorf("the %s session does not end by itself", name)
		}
	}
	late := d.connect()
	late.send("late")
	if status, ends := late.readResponse(t); status != 200 || !ends {
		t.Errorf("a late comer: %d, ends: %v", status, ends)
	}
	if !d.connect().closed() {
		t.Error("a late comer that says nothing stays")
	}
	close(release)
	if status, ends := long.readResponse(t); status != 200 || !ends {
		t.Errorf("a job from before: %d, ends: %v", status, ends)
	}
	for range 2 {
		if status, _ := d.callAdmin("PUT", "/control/in-service"); status != 200 {
			t.Errorf("in service: %d", status)
		}
	}
	back := d.connect()
	back.send("back")
	if status, ends := back.readResponse(t); status != 200 || ends || d.health() != 200 {
		t.Errorf("back in service: %d, ends: %v", status, ends)
	}
	if f := d.counters(); f.Succeeded["renewal"] != 5 || f.Forwards != 5 || f.Discovered != 1 || f.Outstanding != 0 {
		t.Errorf("figures %+v", f)
	}
	d.signal(syscall.SIGTERM)
	d.waitUntil("no after SIGTERM", func() bool { status, _ := d.callAdmin("PUT", "/control/in-service"); return status == 409 })
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// A process is replaced while clients send without a pause: none of them sees a
// refused or an unread connection, each job has one answer, and none runs twice.
// The successor follows discovery to where the first one was moved, is out of
// service if the first one is, lets no name in that the first one took, and is
// replaced in its turn; both keep to the descriptors of one.
func TestReplacement(t *testing.T) {
	k := newPlatformListener(t)
	first, other := newDaemonWithAdmin(t, k), &testDaemon{t: t}
	b := first.addWorker("s-1", respondDone)
	first.config = map[string]any{"limits": map[string]any{"sockets": 256, "memory_mb": 192}}
	first.start()
	first.waitForWatch()
	moved := other.startDiscovery()
	first.config["discovery"] = moved
	first.writeConfig()
	first.signal(syscall.SIGHUP)
	other.waitForWatch()
	first.config["discovery"] = "127.0.0.1:1" // what the file says to the next one is old news by then
	first.writeConfig()
	stop, sent, failed := make(chan bool), make(chan int), make(chan string, 1000)
	for c := range 4 {
		go func() {
			n := 0
			defer func() { sent <- n }()
			client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", c, n)
				req, _ := http.NewRequest("POST", "http://"+first.listen+"/renewal/k", strings.NewReader("x"))
				req.Header.Set("X-Correlation-Id", id)
				resp, err := client.Do(req)
				n++
				if err != nil {
					failed <- err.Error()
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 {
					failed <- fmt.Sprint(id, " ", resp.StatusCode)
				}
				if n%20 == 0 {
					client.CloseIdleConnections()
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	predecessor := first
	for round := range 2 {
		successor := predecessor.startSuccessor()
		successor.waitUntil("the successor is ready", successor.ready)
		if q := other.waitForWatch(); !strings.HasPrefix(q, "watch=1") {
			t.Errorf("watch %q where discovery has moved", q)
		}
		successor.waitForLog("accepting clients")
		if fds := openDescriptors(predecessor) + openDescriptors(successor); fds > 256 {
			t.Errorf("round %d: %d descriptors", round, fds)
		}
		predecessor.waitForLog("successor is accepting clients")
		predecessor.signal(syscall.SIGTERM)
		if code := predecessor.waitForExit(); code != 0 {
			t.Errorf("round %d: exit code %d", round, code)
		}
		successor.waitForLog("predecessor has ended")
		predecessor = successor
	}
	close(stop)
	total := 0
	for range 4 {
		total += <-sent
	}
	for len(failed) > 0 {
		t.Errorf("a client: %s", <-failed)
	}
	got := map[string]int{}
	for _, a := range b.requests() {
		id, _, _ := strings.Cut(a, " ")
		if got[id]++; got[id] > 1 {
			t.Errorf("%s ran twice", id)
		}
	}
	if len(got) != total || total < 20 {
		t.Errorf("%d jobs ran of %d", len(got), total)
	}
	if status, _, _ := predecessor.post("renewal", "c0-0", "x", 0); status != 409 {
		t.Errorf("a name that the first process took: %d", status)
	}
	if status, _ := predecessor.callAdmin("PUT", "/control/out-of-service"); status != 200 {
		t.Errorf("out of service: %d", status)
	}
	successor := predecessor.startSuccessor()
	successor.waitUntil("the drained dispatcher's successor is ready", successor.ready)
	if successor.health() != 503 || predecessor.health() != 503 {
		t.Error("the successor of a drained process says it is healthy")
	}
	if status, _ := successor.callAdmin("PUT", "/control/in-service"); status != 200 {
		t.Errorf("in service: %d", status)
	}
	predecessor.waitForLog(`"in service"`) // the two are one dispatcher
	successor.cmd.Process.Kill()           // and if the successor dies, the first one goes on
	predecessor.waitForLog("successor has ended")
	predecessor.waitUntil("health", func() bool { return predecessor.health() == 200 })
	if status, _, _ := predecessor.post("renewal", "after", "x", 0); status != 200 {
		t.Errorf("after the successor's end: %d", status)
	}
}

func openDescriptors(d *testDaemon) int {
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	return len(fds)
}

// Where the two cannot meet each is right by itself: without a folder, with a
// path longer than the system takes, with a file that a dead process left, and
// with a predecessor that dies before it is asked to go. Discovery that says
// nothing does not keep a successor from its predecessor's list.
func TestHandoverSocket(t *testing.T) {
	k := newPlatformListener(t)
	long := filepath.Join(k.directory, strings.Repeat("long-", 25))
	if err := os.Mkdir(long, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, folder := range map[string]string{"no folder": "", "long": long, "absent": k.directory + "/absent"} {
		t.Run(name, func(t *testing.T) {
			d := newDaemonWithAdmin(t, newPlatformListener(t))
			d.env = append(d.env, "TMPDIR="+folder)
			d.addWorker("s-1", respondDone)
			d.start()
			successor := d.startSuccessor()
			successor.waitUntil("the successor is ready", successor.ready)
			if name == "long" {
				d.waitForLog("successor is accepting clients")
			}
			d.signal(syscall.SIGTERM)
			if code := d.waitForExit(); code != 0 {
				t.Errorf("exit code %d", code)
			}
			if status, _, _ := successor.post("renewal", "after", "x", 0); status != 200 {
				t.Errorf("the second process: %d", status)
			}
		})
	}
	d := newDaemonWithAdmin(t, k)
	a := d.addWorker("s-1", respondDone)
	d.start()
	d.waitForWatch()
	a2 := d.addWorker("s-2", respondDone)
	d.changes <- `{"seq":42,"whole":true,"hosts":[` + a2.listEntry("ready") + `]}`
	for i, end := 0, time.Now().Add(testTimeout); len(a2.requests()) == 0 && time.Now().Before(end); i++ {
		d.post("status-check", fmt.Sprint("new-", i), "x", 200)
	}
	before := len(a.requests())
	silent := listenLocal(t) // accepts, by the kernel's hand, and says nothing
	d.config["discovery"] = silent.Addr().String()
	d.writeConfig()
	d.signal(syscall.SIGHUP)
	d.waitForLog("discovery moves to")
	successor := d.startSuccessor()
	successor.waitUntil("ready by the list handed over", successor.ready)
	d.cmd.Process.Kill()
	d.waitForExit()
	successor.waitForLog("predecessor has ended")
	for i := range 10 {
		if status, _, _ := successor.post("renewal", fmt.Sprint("list-", i), "x", 0); status != 200 {
			t.Errorf("by the list handed over: %d", status)
		}
	}
	if len(a.requests()) != before {
		t.Error("the configuration's old list was used")
	}
	successor.cmd.Process.Kill() // it leaves its file
	successor.waitForExit()
	last := d.startSuccessor()
	last.waitUntil("ready beside a dead process's file", last.ready)
}

// The Faktory front with a direct queue cannot be handed over: a successor with
// one says so and ends, and the first goes on.
func TestDirectFaktoryQueueIsNotHandedOver(t *testing.T) {
	d := newDaemonWithAdmin(t, newPlatformListener(t))
	d.addWorker("s-1", respondDone)
	d.start()
	path := filepath.Join(t.TempDir(), "faktory.toml")
	os.WriteFile(path, []byte("listen = \"127.0.0.1:0\"\n"), 0o600)
	cmd := exec.Command(builtProgram, "-faktory", path)
	cmd.Env, cmd.ExtraFiles = d.environment(), d.inheritedFiles
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "the Faktory front end cannot be handed over") {
		t.Errorf("%v, %q", err, out)
	}
	if status, _, _ := d.post("renewal", "after", "x", 0); status != 200 {
		t.Errorf("the first process: %d", status)
	}
}

// A BALANCER_FD that is no listener ends the start with a line that names it.
func TestBadInheritedListener(t *testing.T) {
	d := newDaemonWithAdmin(t, nil)
	d.env = append(d.env, "BALANCER_FD=77")
	dir := t.TempDir()
	d.configPath = filepath.Join(dir, "config.json")
	os.WriteFile(d.configPath, []byte(`{"listen":"127.0.0.1:0","settings":`+strings.ReplaceAll(settingsText, "CONN_IDLE", "1")+`}`), 0o600)
	cmd := exec.Command(builtProgram)
	cmd.Env = d.environment()
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), `BALANCER_FD: "77"`) {
		t.Errorf("%v, %q", err, out)
	}
}

// With all descriptors of clients taken, and more callers at the door that say
// nothing or half a call than it holds, a call is answered; and the limit holds.
func TestAdminAtDescriptorLimit(t *testing.T) {
	d := newDaemonWithAdmin(t, nil)
	d.config = map[string]any{"limits": map[string]any{"sockets": 80, "memory_mb": 192}}
	d.addWorker("s-1", respondDone)
	d.start()
	d.callAdmin("GET", "/control/ready")
	addr := d.adminAddress()
	for i := range 60 {
		d.connect()
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			fmt.Fprint(conn, "GET /control/cou")
		}
		if n := openDescriptors(d); n > 80 {
			t.Fatalf("%d descriptors", n)
		}
		if i%10 == 9 {
			if status, text := d.callAdmin("GET", "/control/counters"); status != 200 || !strings.Contains(text, `"discovered":1`) {
				t.Fatalf("after %d callers: %d %q", i, status, text)
			}
		}
	}
}
