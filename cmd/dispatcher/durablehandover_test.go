package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// handedOverDaemon is a dispatcher with durable queues, which is replaced while jobs run.
type handedOverDaemon struct {
	*testDaemon
	worker      *testWorker
	directory   string        // contains the file with the address for dialFaktory
	newClient   *http.Client  // opens a new connection for each request
	slowArrived chan struct{} // receives a value when the held request has reached the worker
	releaseSlow func()        // makes the worker complete the held request
}

// handedOverKey is the idempotency key of the request that the HTTP worker holds during
// the handover.
const handedOverKey = "slow-2"

// startHandedOverDaemon starts the dispatcher. The HTTP worker holds the request with
// handedOverKey until releaseSlow is called or the test ends. It rejects all other requests, so that a Faktory worker
// gets them.
func startHandedOverDaemon(t *testing.T) *handedOverDaemon {
	t.Helper()
	daemon := &handedOverDaemon{
		testDaemon:  newDaemonWithAdmin(t, newPlatformListener(t)),
		directory:   t.TempDir(),
		newClient:   newConnectionClient(),
		slowArrived: make(chan struct{}, 1),
	}
	release := make(chan struct{})
	daemon.releaseSlow = sync.OnceFunc(func() { close(release) })
	t.Cleanup(daemon.releaseSlow)
	const slowID = "idem:" + handedOverKey
	respondSlow := respondWhenReleased(slowID, daemon.slowArrived, release)
	daemon.worker = daemon.addWorker("s-1", func(id string, conn net.Conn) bool {
		if id == slowID {
			return respondSlow(id, conn)
		}
		return respondUnprocessed(id, conn)
	})
	address := unusedAddress(t)
	writeFile(t, daemon.directory, faktoryAddressFileName, address)
	operatorFile := writeFile(t, daemon.directory, "faktory.toml", fmt.Sprintf("listen = %q\n"+
		"[durable]\npath = %q\nqueues = [\"renewal\", \"status-check\"]\nlease_s = 20\n", address, filepath.Join(daemon.directory, storeFileName)))
	daemon.env = append(daemon.env, "HOLLYYOKE_FAKTORY="+operatorFile)
	daemon.start()
	return daemon
}

// connectFaktory connects a worker, or a producer if workerID is empty. It retries until the
// dispatcher accepts the connection.
func (d *handedOverDaemon) connectFaktory(workerID string) (client *faktoryClient) {
	d.t.Helper()
	d.waitUntil("connected to the Faktory front end", func() bool {
		var err error
		client, err = dialFaktory(d.directory, faktoryHello(workerID))
		return err == nil
	})
	return client
}

// renewOnNewConnection sends the request with handedOverKey, and returns the status, or 0 if
// it is not answered.
func (d *handedOverDaemon) renewOnNewConnection() int {
	request, _ := http.NewRequest(http.MethodPost, "http://"+d.listen+"/renewal/m?x=y", strings.NewReader("x"))
	request.Header.Set("X-Correlation-Id", fmt.Sprint("c-", time.Now().UnixNano()))
	request.Header.Set("Idempotency-Key", handedOverKey)
	request.Header.Set("X-Time-Left-Ms", "200")
	response, err := d.newClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// pushUntilLeased pushes jobs until the Faktory worker has leased one, and returns its id. A
// job may go to a worker of either protocol: the HTTP worker rejects it, the Faktory worker
// keeps it.
func (d *handedOverDaemon) pushUntilLeased(producer, worker *faktoryClient) (id string) {
	d.t.Helper()
	producer.expect(d.t, pushRenewal("moved-001", "[1]", ""), "+OK")
	for i := 2; i < 60; i++ {
		producer.expect(d.t, pushRenewal(fmt.Sprintf("moved-%03d", i), "[1]", ""), "+OK")
		job, err := worker.do("FETCH renewal")
		if err != nil {
			d.t.Fatal(err)
		}
		if _, rest, leased := strings.Cut(job, `"jid":"moved-`); leased {
			number, _, _ := strings.Cut(rest, `"`)
			return "moved-" + number
		}
	}
	d.t.Fatal("the Faktory worker got no job")
	return ""
}

// checkBothAnswer sends the request with handedOverKey until both processes have answered it:
// the predecessor, in which it is running, with 202, and the successor, which has not opened
// the store yet, with 503.
func (d *handedOverDaemon) checkBothAnswer() {
	d.t.Helper()
	answers := map[int]int{} // by status
	sent := 0
	for end := time.Now().Add(testTimeout); (answers[202] == 0 || answers[503] == 0) && time.Now().Before(end); sent++ {
		answers[d.renewOnNewConnection()]++
	}
	if answers[202] == 0 || answers[503] == 0 || answers[202]+answers[503] != sent {
		d.t.Errorf("answers of both processes by status: %v", answers)
	}
}

// A process with durable queues is replaced while jobs run. The successor takes over the
// address of the Faktory front end, the store and the leases. Workers reconnect and can
// acknowledge the jobs that they hold, and a request with an idempotency key never runs in
// both processes.
func TestDurableJobsAreHandedOver(t *testing.T) {
	daemon := startHandedOverDaemon(t)
	if status := daemon.renewOnNewConnection(); status != 202 {
		t.Fatalf("a request that does not end in its time: %d", status)
	}
	<-daemon.slowArrived
	producer := daemon.connectFaktory("")
	worker := daemon.connectFaktory("w1")
	leased := daemon.pushUntilLeased(producer, worker)
	producer.expect(t, pushRenewal("later-009", "[1]", `,"at":"2999-01-01T00:00:00Z"`), "+OK")

	successor := daemon.startSuccessor()
	successor.waitUntil("the successor is ready", successor.ready)
	if job, _ := producer.do("TRACK GET " + leased); !strings.Contains(job, "working") {
		t.Errorf("the state of the leased job in the predecessor: %q", job)
	}
	daemon.checkBothAnswer()
	daemon.signal(syscall.SIGTERM)
	successor.waitForLog("durable jobs taken over")
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}

	producer = daemon.connectFaktory("")
	worker = daemon.connectFaktory("w1")
	producer.expect(t, "TRACK GET "+leased, `{"jid":"`+leased+`","state":"working"`)
	worker.expect(t, `ACK {"jid":"`+leased+`"}`, "+OK")
	producer.expect(t, "TRACK GET "+leased, `{"jid":"`+leased+`","state":"success"`)
	producer.expect(t, "TRACK GET later-009", `{"jid":"later-009","state":"scheduled"`)
	producer.expect(t, pushRenewal(leased, "[1]", ""), "+OK")
	if status := daemon.renewOnNewConnection(); status != 202 {
		t.Errorf("the request that is still held: %d", status)
	}
	if count := daemon.worker.runsByID()["idem:"+handedOverKey]; count != 1 {
		t.Errorf("the request ran %d times", count)
	}
	if _, scheduled := successor.callAdmin("GET", "/control/jobs?state=scheduled"); !strings.Contains(scheduled, "later-009") {
		t.Errorf("the successor's admin API: %s", scheduled)
	}
}

// A process is replaced while an HTTP worker has a job for longer than idle connections are
// kept. Faktory workers and producers must be served by the predecessor for as long as it keeps
// the store: nobody else can take their reports and jobs.
func TestFaktoryClientsAreServedWhileHTTPWorkersAreAwaited(t *testing.T) {
	daemon := startHandedOverDaemon(t)
	if status := daemon.renewOnNewConnection(); status != 202 {
		t.Fatalf("a request that does not end in its time: %d", status)
	}
	<-daemon.slowArrived
	producer := daemon.connectFaktory("")
	worker := daemon.connectFaktory("w1")
	leased := daemon.pushUntilLeased(producer, worker)
	successor := daemon.startSuccessor()
	successor.waitUntil("the successor is ready", successor.ready)
	daemon.signal(syscall.SIGTERM)
	const longerThanIdle = 1800 * time.Millisecond
	time.Sleep(longerThanIdle)
	worker.expect(t, `ACK {"jid":"`+leased+`"}`, "+OK")
	producer.expect(t, pushRenewal("meanwhile", "[1]", ""), "+OK")
	daemon.releaseSlow()
	successor.waitForLog("durable jobs taken over")
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	producer = daemon.connectFaktory("")
	producer.expect(t, "TRACK GET "+leased, `{"jid":"`+leased+`","state":"success"`)
	if status := daemon.renewOnNewConnection(); status != 200 {
		t.Errorf("the request that the HTTP worker had: %d", status)
	}
}
