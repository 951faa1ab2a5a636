package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// lateJobID is the id of the only job in TestLateStart.
const lateJobID = "late-0001"

// leaseHistory is a dispatcher, and the history of its clients' calls on one job.
type leaseHistory struct {
	t     *testing.T
	dir   string
	calls []historyCall
	ran   int // number of starts that were granted
}

// startLeaseHistory starts a dispatcher whose leases expire after one second.
func startLeaseHistory(t *testing.T, program string) *leaseHistory {
	t.Helper()
	history := &leaseHistory{t: t, dir: t.TempDir()}
	writeDurableConfig(t, history.dir, 1)
	dispatcher := startDurable(t, program, history.dir)
	t.Cleanup(func() {
		dispatcher.Process.Kill()
		dispatcher.Wait()
	})
	return history
}

// connect connects a worker that reports its starts, or a producer if workerID is empty.
func (h *leaseHistory) connect(workerID string) *faktoryClient {
	h.t.Helper()
	client, err := dialFaktory(h.dir, faktoryHello(workerID, guaranteeFences))
	if err != nil {
		h.t.Fatal(err)
	}
	return client
}

// do sends a command, and returns its reply.
func (h *leaseHistory) do(client *faktoryClient, command string) string {
	h.t.Helper()
	reply, err := client.do(command)
	if err != nil {
		h.t.Fatal(err)
	}
	return reply
}

// call sends a command, records it, and returns whether it was granted.
func (h *leaseHistory) call(client *faktoryClient, kind callKind, fence uint64, command string) (granted bool) {
	h.t.Helper()
	call := historyCall{Kind: kind, Jid: lateJobID, Fence: fence, Began: time.Now().UnixNano()}
	reply := h.do(client, command)
	call.Ended = time.Now().UnixNano()
	call.OK = reply == "+OK"
	h.calls = append(h.calls, call)
	return call.OK
}

// push pushes the job.
func (h *leaseHistory) push(producer *faktoryClient) {
	h.t.Helper()
	h.call(producer, callPush, 0, pushRenewal(lateJobID, "[]", ""))
}

// lease sends FETCH until the worker gets the job, and returns the fence of the lease.
func (h *leaseHistory) lease(worker *faktoryClient) (fence uint64) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		call := historyCall{Kind: callLease, Jid: lateJobID, OK: true, Began: time.Now().UnixNano()}
		reply := h.do(worker, "FETCH renewal")
		var job struct{ Custom struct{ Fence uint64 } }
		if json.Unmarshal([]byte(reply), &job) != nil || job.Custom.Fence == 0 {
			continue
		}
		call.Fence = job.Custom.Fence
		call.Ended = time.Now().UnixNano()
		h.calls = append(h.calls, call)
		return call.Fence
	}
	h.t.Fatal("no job")
	return 0
}

// start reports the start of the job under a lease, and counts a run if the start is granted.
func (h *leaseHistory) start(worker *faktoryClient, fence uint64) {
	h.t.Helper()
	if h.call(worker, callStart, fence, fmt.Sprintf(`START {"jid":%q,"fence":%d}`, lateJobID, fence)) {
		h.ran++
	}
}

// acknowledge reports the end of the job.
func (h *leaseHistory) acknowledge(worker *faktoryClient, fence uint64) {
	h.t.Helper()
	h.call(worker, callAck, fence, fmt.Sprintf(`ACK {"jid":%q,"fence":%d}`, lateJobID, fence))
}

// buildWithoutFences builds a dispatcher that does not check fences.
func buildWithoutFences(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "dispatcher")
	output, err := exec.Command("go", "build", "-tags", "nofence", "-o", program, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%s%v", output, err)
	}
	return program
}

// A start is refused if the worker's lease has expired and the job is leased to another
// worker. A build without the check of fences lets both workers run the job, and its history
// is not linearizable.
func TestLateStart(t *testing.T) {
	for _, test := range []struct {
		name    string
		program string
		ran     int
		legal   bool
	}{
		{"fences are checked", builtProgram, 1, true},
		{"fences are not checked", buildWithoutFences(t), 2, false},
	} {
		history := startLeaseHistory(t, test.program)
		late := history.connect("a")
		prompt := history.connect("b")
		history.push(history.connect(""))
		lateFence := history.lease(late)
		promptFence := history.lease(prompt) // the first lease has expired
		history.do(prompt, `BEAT {"wid":"b"}`)
		history.start(late, lateFence)
		history.start(prompt, promptFence)
		history.acknowledge(prompt, promptFence)
		legal := linearizable(guaranteeFences, history.calls)
		if history.ran != test.ran || legal != test.legal {
			t.Errorf("%s: %d ran, want %d; history legal %v, want %v: %+v",
				test.name, history.ran, test.ran, legal, test.legal, history.calls)
		}
	}
}
