package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// These tests replace a process by one of another build. Environment variables name the two
// programs; if a variable is not set, it is the program under test:
//
//	HOLLYYOKE_TEST_PREDECESSOR=/path/to/older/hollyyoke go test -run AcrossVersions ./cmd/dispatcher
//	HOLLYYOKE_TEST_SUCCESSOR=/path/to/newer/hollyyoke go test -run AcrossVersions ./cmd/dispatcher
//
// dispatcher-serve of the same build must be in the same directory as each program. If it is
// missing, the program serves in its own process.

const (
	predecessorVariable = "HOLLYYOKE_TEST_PREDECESSOR"
	successorVariable   = "HOLLYYOKE_TEST_SUCCESSOR"
)

// earlierLogLines are the texts of log lines in builds from before they were reworded, by
// their present texts.
var earlierLogLines = map[string]string{
	adminLogLine:                     "operators' door at ",
	"successor has connected":        "a successor has started",
	"successor is accepting clients": "the successor takes clients",
	"predecessor has ended":          "the former process has gone",
	"durable jobs taken over":        "has the durable jobs",
}

// hasLogged reports whether the program has logged a text. A program of another build may have
// logged the text that earlierLogLines has for it.
func (d *testDaemon) hasLogged(text string) bool {
	log := d.log.String()
	if strings.Contains(log, text) {
		return true
	}
	earlier := earlierLogLines[text]
	return d.program != "" && earlier != "" && strings.Contains(log, earlier)
}

// newPredecessor returns a daemon of the build that is to be replaced. It is not started.
func newPredecessor(t *testing.T) *testDaemon {
	t.Helper()
	predecessor := newDaemonWithAdmin(t, newPlatformListener(t))
	predecessor.program = os.Getenv(predecessorVariable)
	return predecessor
}

// startReadySuccessor starts a successor of the other build, and waits until it is ready.
func (d *testDaemon) startReadySuccessor() *testDaemon {
	d.t.Helper()
	successor := d.startSuccessorProgram(os.Getenv(successorVariable))
	successor.waitUntil("the successor is ready", successor.ready)
	return successor
}

// waitForMore waits until more than the given number of further requests have ended.
func (l *clientLoad) waitForMore(d *testDaemon, when string, more int) {
	d.t.Helper()
	before := l.sentSoFar()
	d.waitUntil("requests "+when, func() bool { return l.sentSoFar() > before+more })
}

// A process is replaced by one of another build while clients send requests. No request is
// lost, rejected or run twice. The successor rejects the ids that its predecessor accepted,
// and uses its predecessor's address of discovery.
func TestReplacementAcrossVersions(t *testing.T) {
	predecessor := newPredecessor(t)
	worker := predecessor.addWorker("s-1", respondDone)
	predecessor.start()
	moved := predecessor.moveDiscovery()
	load := startLoad(predecessor.listen, 4)
	load.waitForMore(predecessor, "before the replacement", 50)

	successor := predecessor.startReadySuccessor()
	moved.waitForWatch()
	predecessor.waitForLog("successor has connected")
	predecessor.waitForLog("successor is accepting clients")
	load.waitForMore(predecessor, "while both accept clients", 50)
	predecessor.signal(syscall.SIGTERM)
	if code := predecessor.waitForExit(); code != 0 {
		t.Errorf("the predecessor's exit code: %d", code)
	}
	successor.waitForLog("predecessor has ended")
	load.waitForMore(successor, "after the replacement", 50)

	sent, failed := load.stopAndReport()
	for _, failure := range failed {
		t.Error(failure)
	}
	runs := worker.runsByID()
	for id, count := range runs {
		if count != 1 {
			t.Errorf("%s ran %d times", id, count)
		}
	}
	if len(runs) != sent {
		t.Errorf("%d requests ran of %d sent", len(runs), sent)
	}
	if status, _ := sendRenewal(successor.client, successor.listen, "load-0-0", ""); status != 409 {
		t.Errorf("an id that the predecessor accepted: %d", status)
	}
	t.Logf("%d requests, none lost", sent)
}

// A drained process is replaced by one of another build, which is drained too. A drain that
// begins or ends in one process begins or ends in the other.
func TestDrainAcrossVersions(t *testing.T) {
	predecessor := newPredecessor(t)
	predecessor.addWorker("s-1", respondDone)
	predecessor.start()
	if status := predecessor.setOutOfService(); status != 200 {
		t.Fatalf("out of service: %d", status)
	}
	successor := predecessor.startReadySuccessor()
	if predecessor.health() != 503 || successor.health() != 503 {
		t.Error("a process is healthy during a drain")
	}
	if status := successor.setInService(); status != 200 {
		t.Errorf("in service: %d", status)
	}
	predecessor.waitForLog(`"in service"`)
	if status := predecessor.setOutOfService(); status != 200 {
		t.Errorf("out of service: %d", status)
	}
	successor.waitForLog(`"out of service"`)
	successor.waitUntil("both are drained", func() bool { return predecessor.health() == 503 && successor.health() == 503 })
}

// A process of another build takes over the store of durable jobs. A request that was done is
// not run again, and a scheduled job is listed as before, with its payload.
func TestDurableJobsAcrossVersions(t *testing.T) {
	predecessor := newPredecessor(t)
	worker := predecessor.addWorker("s-1", respondDone)
	directory := t.TempDir()
	address := unusedAddress(t)
	writeFile(t, directory, faktoryAddressFileName, address)
	operatorFile := writeFile(t, directory, "faktory.toml", fmt.Sprintf("listen = %q\n"+
		"[durable]\npath = %q\nqueues = [\"renewal\", \"status-check\"]\n", address, filepath.Join(directory, storeFileName)))
	predecessor.env = append(predecessor.env, "HOLLYYOKE_FAKTORY="+operatorFile)
	predecessor.start()
	if status, err := sendRenewal(predecessor.client, predecessor.listen, "before", "paid-1"); status != 200 {
		t.Fatalf("a request with an idempotency key: %d, %v", status, err)
	}
	producer, err := dialFaktory(directory, faktoryHello(""))
	if err != nil {
		t.Fatal(err)
	}
	producer.expect(t, pushRenewal("later-001", `["member 7"]`, `,"at":"2999-01-01T00:00:00Z"`), "+OK")
	const jobsPath = "/control/jobs?full=true"
	_, jobsBefore := predecessor.callAdmin("GET", jobsPath)

	successor := predecessor.startReadySuccessor()
	predecessor.signal(syscall.SIGTERM)
	successor.waitForLog("durable jobs taken over")
	if code := predecessor.waitForExit(); code != 0 {
		t.Errorf("the predecessor's exit code: %d", code)
	}
	_, jobsAfter := successor.callAdmin("GET", jobsPath)
	if jobsAfter != jobsBefore || !strings.Contains(jobsAfter, "later-001") || !strings.Contains(jobsAfter, "idem:paid-1") {
		t.Errorf("the successor's jobs:\n%s\nthe predecessor's:\n%s", jobsAfter, jobsBefore)
	}
	if status, err := sendRenewal(successor.client, successor.listen, "after", "paid-1"); status != 200 {
		t.Errorf("another request with the key: %d, %v", status, err)
	}
	if count := worker.runsByID()["idem:paid-1"]; count != 1 {
		t.Errorf("the request ran %d times", count)
	}
}
