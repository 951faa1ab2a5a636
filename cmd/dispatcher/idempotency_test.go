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
	leftMs    int // the time that the client has left, in milliseconds
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

// expectRenewal sends a renewal with time enough, and checks status and body.
func (d *testDaemon) expectRenewal(key, body string, status int, text string) {
	d.t.Helper()
	gotStatus, got := d.renew(keyedRenewal{key: key, body: body, leftMs: 8000})
	if gotStatus != status || !strings.Contains(got, text) {
		d.t.Fatalf("%s: %d %q, want %d %q", key, gotStatus, got, status, text)
	}
}

// idempotentDaemon is a daemon whose renewals with an idempotency key are stored. The
// worker begins a slow request when it writes to arrived, and ends it when release is
// read.
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

// setSlow makes the request with an id the slow one.
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
			d.t.Fatal("not ready again")
		}
	}
}

// A renewal with an idempotency key: the same key gets the first run's result, after a
// restart too; one that ran when the dispatcher was killed is in doubt until an
// operator resolves it, and is never run again for a client.
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
		t.Errorf("not over in time: %d", status)
	}

	daemon.restartAfterKill()
	daemon.expectRenewal("k-1", "gold", 200, "made for idem:k-1")
	daemon.expectRenewal("slow-1", "gold", 409, "in doubt")
	daemon.expectRenewal("slow-1", "gold", 409, "in doubt")
	runs := daemon.worker.runsByID()
	if runs["idem:k-1"] != 1 || runs["idem:slow-1"] != 1 {
		t.Errorf("ran: %q", daemon.worker.requests())
	}

	daemon.signal(syscall.SIGTERM)
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	var output bytes.Buffer
	arguments := []string{"jobs", "--store", daemon.store, "settle", "idem:slow-1", "--ran", "--reason", "the till shows it"}
	if err := command(arguments, os.Getenv, &output, &output); err != nil {
		t.Error(err)
	}
}

// checkDeadlinePerRequest checks that a request goes on waiting when the deadline of the
// one before it on its connection passes.
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
		d.t.Errorf("it waited until its own deadline: %d", status)
	}
}
