package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A process is replaced while clients send without a pause: none of them sees a
// refused or an unread connection, each request has one answer, and none runs twice.
// The successor uses the discovery to which the predecessor was moved, is drained if
// the predecessor is, rejects ids that the predecessor accepted, and is replaced in its
// turn; both together keep to the limit of descriptors.
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
	first.config["discovery"] = "127.0.0.1:1" // stale in the file by the time the successor reads it
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
		t.Errorf("%d requests ran of %d", len(got), total)
	}
	if status, _, _ := predecessor.post("renewal", "c0-0", "x", 0); status != 409 {
		t.Errorf("an id that the predecessor accepted: %d", status)
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
	predecessor.waitForLog(`"in service"`) // both processes are one dispatcher
	successor.cmd.Process.Kill()           // and if the successor dies, the predecessor goes on
	predecessor.waitForLog("successor has ended")
	predecessor.waitUntil("health", func() bool { return predecessor.health() == 200 })
	if status, _, _ := predecessor.post("renewal", "after", "x", 0); status != 200 {
		t.Errorf("after the successor's end: %d", status)
	}
}

// Processes that cannot connect work each for itself: without a directory, with a path
// longer than a socket's may be, with a file that a dead process left, and with a
// predecessor that dies before its shutdown. A successor has its predecessor's list
// where discovery does not answer.
func TestHandoverSocket(t *testing.T) {
	k := newPlatformListener(t)
	long := filepath.Join(k.directory, strings.Repeat("long-", 25))
	if err := os.Mkdir(long, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, directory := range map[string]string{"no directory": "", "long": long, "absent": k.directory + "/absent"} {
		t.Run(name, func(t *testing.T) {
			d := newDaemonWithAdmin(t, newPlatformListener(t))
			d.env = append(d.env, "TMPDIR="+directory)
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
	silent := listenLocal(t) // the kernel accepts connections, and nothing answers
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
		t.Error("the configuration's stale list was used")
	}
	successor.cmd.Process.Kill() // it leaves its file
	successor.waitForExit()
	last := d.startSuccessor()
	last.waitUntil("ready beside a dead process's file", last.ready)
}

// A Faktory front end with a direct queue cannot be handed over: a successor with one
// ends with an error, and the predecessor goes on.
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
