package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// These tests replace a process by one of another build. The programs are taken
// from the environment; where a variable is unset it is the program under test:
//
//	HOLLYYOKE_TEST_PREDECESSOR=/path/to/older/hollyyoke go test -run AcrossVersions ./cmd/dispatcher
//	HOLLYYOKE_TEST_SUCCESSOR=/path/to/newer/hollyyoke go test -run AcrossVersions ./cmd/dispatcher
//
// dispatcher-serve of the same build must lie beside each, or it serves itself.

const (
	predecessorVariable = "HOLLYYOKE_TEST_PREDECESSOR"
	successorVariable   = "HOLLYYOKE_TEST_SUCCESSOR"
)

// earlierLogLines are log lines as builds from before their rename have them.
var earlierLogLines = map[string]string{
	adminLogLine:                     "operators' door at ",
	"successor has connected":        "a successor has started",
	"successor is accepting clients": "the successor takes clients",
	"predecessor has ended":          "the former process has gone",
	"durable jobs taken over":        "has the durable jobs",
}

// hasLogged reports whether the program has logged a text; a program of another build
// may have the earlier one.
func (d *testDaemon) hasLogged(text string) bool {
	log := d.log.String()
	if strings.Contains(log, text) {
		return true
	}
	earlier := earlierLogLines[text]
	return d.program != "" && earlier != "" && strings.Contains(log, earlier)
}

// clientLoad is clients that send without a pause.
type clientLoad struct {
	address string
	stop    chan struct{}
	clients sync.WaitGroup

	mu     sync.Mutex
	sent   int
	failed []string
}

func startLoad(address string, clients int) *clientLoad {
	l := &clientLoad{address: address, stop: make(chan struct{})}
	for c := range clients {
		l.clients.Add(1)
		go func() {
			defer l.clients.Done()
			l.client(c)
		}()
	}
	return l
}

// client sends until the load is stopped, at times on a new connection.
func (l *clientLoad) client(number int) {
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Millisecond):
		}
		id := fmt.Sprintf("load-%d-%d", number, n)
		status, err := send(client, l.address, id, "")
		l.mu.Lock()
		l.sent++
		if err != nil || status != 200 {
			l.failed = append(l.failed, fmt.Sprintf("%s: %d, %v", id, status, err))
		}
		l.mu.Unlock()
		if n%20 == 19 {
			client.CloseIdleConnections()
		}
	}
}

// sentSoFar is how many requests have been answered, or have failed.
func (l *clientLoad) sentSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// stopAndReport stops the clients, and returns how many requests were sent and which
// failed.
func (l *clientLoad) stopAndReport() (sent int, failed []string) {
	close(l.stop)
	l.clients.Wait()
	return l.sent, l.failed
}

// send sends a renewal, under an idempotency key where there is one.
func send(client *http.Client, address, id, key string) (status int, err error) {
	request, err := http.NewRequest("POST", "http://"+address+"/renewal/k", strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Correlation-Id", id)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// runsByID returns how often each request has run.
func runsByID(b *testWorker) map[string]int {
	runs := map[string]int{}
	for _, arrival := range b.requests() {
		id, _, _ := strings.Cut(arrival, " ")
		runs[id]++
	}
	return runs
}

// A process is replaced by one of another build while clients send without a
// pause: none of their requests is lost, rejected or run twice, the successor rejects
// the ids that its predecessor accepted, and has the address of discovery from it.
func TestReplacementAcrossVersions(t *testing.T) {
	predecessor := newDaemonWithAdmin(t, newPlatformListener(t))
	predecessor.program = os.Getenv(predecessorVariable)
	b := predecessor.addWorker("s-1", respondDone)
	predecessor.start()
	predecessor.waitForWatch()
	moved := &testDaemon{t: t}
	address := moved.startDiscovery()
	predecessor.config["discovery"] = address
	predecessor.writeConfig()
	predecessor.signal(syscall.SIGHUP)
	moved.waitForWatch()
	predecessor.config["discovery"] = "127.0.0.1:1" // the successor gets the right one from its predecessor
	predecessor.writeConfig()
	l := startLoad(predecessor.listen, 4)
	predecessor.waitUntil("requests before the replacement", func() bool { return l.sentSoFar() > 50 })
	successor := predecessor.startSuccessorProgram(os.Getenv(successorVariable))
	successor.waitUntil("the successor is ready", successor.ready)
	moved.waitForWatch()
	predecessor.waitForLog("successor has connected")
	predecessor.waitForLog("successor is accepting clients")
	before := l.sentSoFar()
	predecessor.waitUntil("requests beside each other", func() bool { return l.sentSoFar() > before+50 })
	predecessor.signal(syscall.SIGTERM)
	if code := predecessor.waitForExit(); code != 0 {
		t.Errorf("the predecessor's exit code: %d", code)
	}
	successor.waitForLog("predecessor has ended")
	before = l.sentSoFar()
	successor.waitUntil("requests after the replacement", func() bool { return l.sentSoFar() > before+50 })
	sent, failed := l.stopAndReport()
	for _, text := range failed {
		t.Error(text)
	}
	runs := runsByID(b)
	for id, n := range runs {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if len(runs) != sent {
		t.Errorf("%d requests ran of %d sent", len(runs), sent)
	}
	if status, _ := send(successor.client, successor.listen, "load-0-0", ""); status != 409 {
		t.Errorf("an id that the predecessor accepted: %d", status)
	}
	t.Logf("%d requests, none lost", sent)
}

// startSuccessorProgram starts a second process of the same dispatcher, of a program.
func (d *testDaemon) startSuccessorProgram(program string) *testDaemon {
	former := d.program
	d.program = program
	defer func() { d.program = former }()
	return d.startSuccessor()
}

// A drained process is replaced by one of another build, which is drained too;
// and a drain that ends on either side ends on the other.
func TestDrainAcrossVersions(t *testing.T) {
	predecessor := newDaemonWithAdmin(t, newPlatformListener(t))
	predecessor.program = os.Getenv(predecessorVariable)
	predecessor.addWorker("s-1", respondDone)
	predecessor.start()
	if status, _ := predecessor.callAdmin("PUT", "/control/out-of-service"); status != 200 {
		t.Fatalf("out of service: %d", status)
	}
	successor := predecessor.startSuccessorProgram(os.Getenv(successorVariable))
	successor.waitUntil("the successor is ready", successor.ready)
	if predecessor.health() != 503 || successor.health() != 503 {
		t.Error("the successor of a drained process is healthy")
	}
	if status, _ := successor.callAdmin("PUT", "/control/in-service"); status != 200 {
		t.Errorf("in service: %d", status)
	}
	predecessor.waitForLog(`"in service"`)
	if status, _ := predecessor.callAdmin("PUT", "/control/out-of-service"); status != 200 {
		t.Errorf("out of service: %d", status)
	}
	successor.waitForLog(`"out of service"`)
	successor.waitUntil("both are drained", func() bool { return predecessor.health() == 503 && successor.health() == 503 })
}

// The store of durable jobs goes from a process to one of another build: what was
// done is known to be done, and a job for later is there with its payload.
func TestDurableJobsAcrossVersions(t *testing.T) {
	predecessor := newDaemonWithAdmin(t, newPlatformListener(t))
	predecessor.program = os.Getenv(predecessorVariable)
	b := predecessor.addWorker("s-1", respondDone)
	faktory := unusedAddress(t)
	dir := t.TempDir()
	operator := fmt.Sprintf("listen = %q\n[durable]\npath = %q\nqueues = [\"renewal\", \"status-check\"]\n", faktory, filepath.Join(dir, "jobs.db"))
	for name, text := range map[string]string{"addr": faktory, "faktory.toml": operator} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	predecessor.env = append(predecessor.env, "HOLLYYOKE_FAKTORY="+filepath.Join(dir, "faktory.toml"))
	predecessor.start()
	if status, err := send(predecessor.client, predecessor.listen, "before", "paid-1"); status != 200 {
		t.Fatalf("a request under an idempotency key: %d, %v", status, err)
	}
	producer, err := dialFaktory(dir, map[string]any{"labels": []string{"born_ms:1"}})
	if err != nil {
		t.Fatal(err)
	}
	push := `PUSH {"jid":"later-001","queue":"renewal","jobtype":"renewal","args":["member 7"],"at":"2999-01-01T00:00:00Z"}`
	if got, err := producer.do(push); err != nil || !strings.HasPrefix(got, "+OK") {
		t.Fatalf("%q, %v", got, err)
	}
	query := "/control/jobs?full=true"
	_, list := predecessor.callAdmin("GET", query)
	successor := predecessor.startSuccessorProgram(os.Getenv(successorVariable))
	successor.waitUntil("the successor is ready", successor.ready)
	predecessor.signal(syscall.SIGTERM)
	successor.waitForLog("durable jobs taken over")
	if code := predecessor.waitForExit(); code != 0 {
		t.Errorf("the predecessor's exit code: %d", code)
	}
	if _, now := successor.callAdmin("GET", query); now != list || !strings.Contains(now, "later-001") || !strings.Contains(now, "idem:paid-1") {
		t.Errorf("the successor's jobs:\n%s\nthe predecessor's:\n%s", now, list)
	}
	if status, err := send(successor.client, successor.listen, "after", "paid-1"); status != 200 {
		t.Errorf("sent again under the key: %d, %v", status, err)
	}
	if n := runsByID(b)["idem:paid-1"]; n != 1 {
		t.Errorf("the request ran %d times", n)
	}
}
