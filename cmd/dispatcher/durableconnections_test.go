package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// answerLimit is how long a request on an open connection may take to be answered once the
// store is another process's. It is less than the time until idle connections are closed.
const answerLimit = time.Second

// sendDurable sends a renewal with an idempotency key, whose client waits for the given time.
func (c *clientConn) sendDurable(key string, timeLeft time.Duration) {
	fmt.Fprintf(c, "POST /renewal/m HTTP/1.1\r\nX-Correlation-Id: c-%s-%d\r\nIdempotency-Key: %s\r\n"+
		"X-Time-Left-Ms: %d\r\nContent-Length: 1\r\n\r\nx", key, time.Now().UnixNano(), key, timeLeft.Milliseconds())
}

// renewUntilDone sends a renewal with a key on new connections until it is answered with
// another status than 202 and 503, and returns that status.
func (d *testDaemon) renewUntilDone(key string) (status int) {
	d.t.Helper()
	d.waitUntil("an answer to "+key, func() bool {
		connection := d.connect()
		defer connection.Close()
		connection.sendDurable(key, 2*time.Second)
		response, err := http.ReadResponse(connection.reader, nil)
		if err != nil {
			return false
		}
		status = response.StatusCode
		return status != http.StatusAccepted && status != http.StatusServiceUnavailable
	})
	return status
}

// connectServed opens connections on each of which a renewal has been served.
func (d *testDaemon) connectServed(count int) (connections []*clientConn) {
	d.t.Helper()
	for i := range count {
		connection := d.connect()
		connection.sendDurable(fmt.Sprint("before-", i), testTimeout)
		if status, ends := connection.readResponse(d.t); status != http.StatusOK || ends {
			d.t.Fatalf("a renewal before the replacement: status %d, the connection ends: %v", status, ends)
		}
		connections = append(connections, connection)
	}
	return connections
}

// checkJobsElsewhere checks that the admin API of a process says that the other process has
// the durable jobs.
func checkJobsElsewhere(t *testing.T, what string, daemon *testDaemon) {
	t.Helper()
	status, text := daemon.callAdmin(http.MethodGet, "/control/jobs")
	if status != http.StatusServiceUnavailable {
		t.Errorf("the list of jobs of %s: status %d, %q", what, status, text)
	}
}

// A process gives its store to a successor while clients keep their connections and send
// renewals on them. Each must be answered at once, and truly: one that is not stored must not
// be answered with 202, or left without an answer when the process exits. One that is asked
// again with its key runs once, in the successor.
func TestDurableRequestsOnOpenConnectionsAfterStoreIsReleased(t *testing.T) {
	daemon := startHandedOverDaemon(t)
	daemon.worker.setRespond(respondDone)
	timesLeft := []time.Duration{8 * time.Second, 600 * time.Millisecond, 30 * time.Millisecond}
	connections := daemon.connectServed(2 * len(timesLeft))
	successor := daemon.startSuccessor()
	successor.waitUntil("the successor is ready", successor.ready)
	checkJobsElsewhere(t, "a successor that has not got the store", successor)
	daemon.signal(syscall.SIGTERM)
	successor.waitForLog("durable jobs taken over")
	checkJobsElsewhere(t, "a predecessor that has given up the store", daemon.testDaemon)
	for i, connection := range connections {
		key := fmt.Sprint("after-", i)
		sentAt := time.Now()
		connection.sendDurable(key, timesLeft[i%len(timesLeft)])
		status, ends := connection.readResponse(t)
		if status != http.StatusServiceUnavailable || !ends || time.Since(sentAt) > answerLimit {
			t.Errorf("%s, %v left: status %d after %v, the connection ends: %v",
				key, timesLeft[i%len(timesLeft)], status, time.Since(sentAt), ends)
		}
	}
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for i := range connections {
		if status := daemon.renewUntilDone(fmt.Sprint("after-", i)); status != http.StatusOK {
			t.Errorf("after-%d, asked again: status %d", i, status)
		}
	}
	for id, runs := range daemon.worker.runsByID() {
		if runs != 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
	}
}

// A process gives its store to a successor while renewals are open that no worker has taken.
// Each is answered with 202 when the store is closed, whatever time its client has left, and
// is in the successor's store.
func TestOpenDurableRequestsAreAnsweredWhenStoreIsReleased(t *testing.T) {
	daemon := startHandedOverDaemon(t)
	daemon.worker.setRespond(respondUnprocessed)
	var connections []*clientConn
	for i := range 6 {
		connection := daemon.connect()
		connection.sendDurable(fmt.Sprint("open-", i), 8*time.Second)
		connections = append(connections, connection)
	}
	daemon.waitUntil("all renewals are stored", func() bool {
		_, list := daemon.callAdmin("GET", "/control/jobs")
		return strings.Count(list, `"idem:open-`) == len(connections)
	})
	successor := daemon.startSuccessor()
	successor.waitUntil("the successor is ready", successor.ready)
	signalledAt := time.Now()
	daemon.signal(syscall.SIGTERM)
	for i, connection := range connections {
		response, err := http.ReadResponse(connection.reader, nil)
		if err != nil {
			t.Errorf("open-%d: closed without a response %v after SIGTERM: %v", i, time.Since(signalledAt), err)
			continue
		}
		io.Copy(io.Discard, response.Body)
		if response.StatusCode != http.StatusAccepted || !response.Close {
			t.Errorf("open-%d: status %d, the connection ends: %v", i, response.StatusCode, response.Close)
		}
	}
	if took := time.Since(signalledAt); took > answerLimit {
		t.Errorf("the last open request was answered %v after SIGTERM", took)
	}
	successor.waitForLog("durable jobs taken over")
	daemon.worker.setRespond(respondDone)
	for i := range connections {
		if status := daemon.renewUntilDone(fmt.Sprint("open-", i)); status != http.StatusOK {
			t.Errorf("open-%d, asked again: status %d", i, status)
		}
	}
}

// respondOneAtATime returns a responder that runs requests one after the other. It sends a
// value to started when it has received one, as long as there is space.
func respondOneAtATime(runTime time.Duration, started chan<- struct{}) responder {
	var running sync.Mutex
	return func(id string, conn net.Conn) bool {
		select {
		case started <- struct{}{}:
		default:
		}
		running.Lock()
		defer running.Unlock()
		time.Sleep(runTime)
		return respondDone(id, conn)
	}
}

// A successor is ended before its predecessor gives up the store, and the predecessor right
// after it. The successor must not take the store over: it would go on running the jobs that
// wait in it until it is killed, which leaves those at workers in doubt.
func TestEndingSuccessorDoesNotTakeOverStore(t *testing.T) {
	const (
		waitingJobs = 16
		runTime     = 300 * time.Millisecond
		killTime    = 3700 * time.Millisecond
	)
	daemon := startHandedOverDaemon(t)
	daemon.worker.setRespond(respondUnprocessed)
	for i := range waitingJobs {
		daemon.connect().sendDurable(fmt.Sprint("waiting-", i), 8*time.Second)
	}
	daemon.waitUntil("all renewals are stored", func() bool {
		_, list := daemon.callAdmin(http.MethodGet, "/control/jobs")
		return strings.Count(list, `"idem:`) == waitingJobs
	})
	successor := daemon.startSuccessor()
	successor.waitUntil("the successor is ready", successor.ready)
	daemon.worker.setRespond(respondOneAtATime(runTime, make(chan struct{}, waitingJobs)))
	signalledAt := time.Now()
	successor.signal(syscall.SIGTERM)
	successor.waitUntil("the successor ends", func() bool { return !successor.ready() })
	daemon.signal(syscall.SIGTERM)
	if code := successor.waitForExit(); code != 0 || time.Since(signalledAt) > killTime {
		t.Errorf("the successor exited with %d, %v after SIGTERM", code, time.Since(signalledAt))
	}
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("the predecessor's exit code: %d", code)
	}
	if successor.hasLogged("durable jobs taken over") {
		t.Error("the successor took the store over after its own SIGTERM")
	}
}

// A process is replaced while HTTP workers run renewals, one at a time, so that others wait
// at the worker. The workers can report only to the process that sent them the renewals: it
// must keep the store until they have, or the renewals are in doubt although nothing failed.
func TestReplacementAwaitsRenewalsOfHTTPWorkers(t *testing.T) {
	const runTime = 300 * time.Millisecond
	daemon := startHandedOverDaemon(t)
	daemon.worker.setRespond(respondDone)
	started := make(chan struct{}, 100)
	connections := daemon.connectServed(4) // the predecessor accepts no others once the successor serves
	successor := daemon.startSuccessor()
	successor.waitUntil("the successor is ready", successor.ready)
	daemon.worker.setRespond(respondOneAtATime(runTime, started))
	var keys []string
	for i, connection := range connections {
		key := fmt.Sprint("running-", i)
		keys = append(keys, key)
		connection.sendDurable(key, 8*time.Second)
	}
	<-started
	daemon.signal(syscall.SIGTERM)
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	successor.waitForLog("durable jobs taken over")
	for _, key := range keys {
		if status := daemon.renewUntilDone(key); status != http.StatusOK {
			t.Errorf("%s, asked again: status %d", key, status)
		}
	}
	for id, runs := range daemon.worker.runsByID() {
		if runs != 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
	}
}
