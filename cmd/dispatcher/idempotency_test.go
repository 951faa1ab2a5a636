package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// keyedRenewal is a request with an idempotency key.
type keyedRenewal struct {
	key, body string
	leftMs    int // time that the client has left, in milliseconds
}

// renew sends a renewal and returns status and body. It may be called from any
// goroutine.
func (d *testDaemon) renew(renewal keyedRenewal) (status int, body string) {
	d.t.Helper()
	request, _ := http.NewRequest(http.MethodPost, "http://"+d.listen+"/renewal/member-7?plan=gold", strings.NewReader(renewal.body))
	request.Header.Set("X-Correlation-Id", fmt.Sprintf("c-%x", renewal.key))
	request.Header.Set("Idempotency-Key", renewal.key)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(renewal.leftMs))
	response, err := d.client.Do(request)
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// renewInBackground sends a renewal, and returns a channel for the status.
func (d *testDaemon) renewInBackground(renewal keyedRenewal) <-chan int {
	result := make(chan int, 1)
	go func() {
		status, _ := d.renew(renewal)
		result <- status
	}()
	return result
}

// expectRenewal sends a renewal with 8 s left, and checks status and body.
func (d *testDaemon) expectRenewal(key, body string, status int, text string) {
	d.t.Helper()
	gotStatus, got := d.renew(keyedRenewal{key: key, body: body, leftMs: 8000})
	if gotStatus != status || !strings.Contains(got, text) {
		d.t.Fatalf("%s: %d %q, want %d %q", key, gotStatus, got, status, text)
	}
}

// idempotentDaemon is a daemon that stores renewals with an idempotency key. Its worker sends
// a value to arrived when it begins the slow request, and ends that request when it receives
// a value from release.
type idempotentDaemon struct {
	*testDaemon
	worker       *testWorker
	operatorFile string
	store        string
	arrived      chan struct{}
	release      chan struct{}
}

func startIdempotentDaemon(t *testing.T, slowID string) *idempotentDaemon {
	t.Helper()
	daemon := &idempotentDaemon{
		testDaemon: &testDaemon{t: t},
		store:      filepath.Join(t.TempDir(), storeFileName),
		arrived:    make(chan struct{}, 1),
		release:    make(chan struct{}),
	}
	t.Cleanup(func() { close(daemon.release) })
	daemon.worker = daemon.addWorker("s-1", respondDone)
	daemon.setSlow(slowID)
	daemon.operatorFile = writeFile(t, t.TempDir(), "faktory.toml", fmt.Sprintf("listen = \"127.0.0.1:0\"\n"+
		"[durable]\npath = %q\nqueues = [\"renewal\"]\nlease_s = 0.4\ngrace_s = 0.4\n", daemon.store))
	daemon.start("-faktory", daemon.operatorFile)
	return daemon
}

// setSlow sets the id of the slow request.
func (d *idempotentDaemon) setSlow(id string) {
	d.worker.setRespond(respondWhenReleased(id, d.arrived, d.release))
}

// restartAfterKill kills the process and starts another on the same store.
func (d *idempotentDaemon) restartAfterKill() {
	d.t.Helper()
	d.kill()
	d.launch("-faktory", d.operatorFile)
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + d.listen + "/healthz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			d.t.Fatal("the restarted program is not ready in time")
		}
	}
}

// A renewal with an idempotency key that was used before gets the result of the first run,
// also after a restart. A renewal that was running when the dispatcher was killed is in doubt
// until an operator resolves it, and a client's request never makes it run again.
func TestIdempotencyKey(t *testing.T) {
	daemon := startIdempotentDaemon(t, "idem:slow-1")
	daemon.expectRenewal("k-1", "gold", 200, "made for idem:k-1")
	daemon.expectRenewal("k-1", "gold", 200, "made for idem:k-1")
	daemon.expectRenewal("k-1", "silver", 422, "another request")
	daemon.expectRenewal("a b", "gold", 400, "Idempotency-Key")
	daemon.checkDeadlinePerRequest()

	daemon.setSlow("idem:slow-1")
	slow := daemon.renewInBackground(keyedRenewal{key: "slow-1", body: "gold", leftMs: 300})
	<-daemon.arrived
	if status := <-slow; status != 202 {
		t.Errorf("a request that does not end in its time: %d", status)
	}

	daemon.restartAfterKill()
	daemon.expectRenewal("k-1", "gold", 200, "made for idem:k-1")
	daemon.expectRenewal("slow-1", "gold", 409, "in doubt")
	daemon.expectRenewal("slow-1", "gold", 409, "in doubt")
	runs := daemon.worker.runsByID()
	if runs["idem:k-1"] != 1 || runs["idem:slow-1"] != 1 {
		t.Errorf("the worker got: %q", daemon.worker.requests())
	}

	daemon.signal(syscall.SIGTERM)
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	var output bytes.Buffer
	arguments := []string{"jobs", "--store", daemon.store, "settle", "idem:slow-1", "--ran", "--reason", "the till shows it"}
	if err := runCommand(arguments, os.Getenv, &output, &output); err != nil {
		t.Error(err)
	}
}

// checkDeadlinePerRequest checks that a request is not ended by the deadline of the previous
// request on the same connection.
func (d *idempotentDaemon) checkDeadlinePerRequest() {
	d.t.Helper()
	d.setSlow("idem:timer-1")
	if status, _ := d.renew(keyedRenewal{key: "k-1", body: "gold", leftMs: 300}); status != 200 {
		d.t.Errorf("sent again: %d", status)
	}
	waiting := d.renewInBackground(keyedRenewal{key: "timer-1", body: "gold", leftMs: 8000})
	<-d.arrived
	time.Sleep(400 * time.Millisecond)
	d.release <- struct{}{}
	if status := <-waiting; status != 200 {
		d.t.Errorf("a request that ends after the previous request's deadline: %d", status)
	}
}
