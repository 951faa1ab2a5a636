package faktory

import (
	"fmt"
	"testing"
	"time"
)

// upstreamJob returns the JSON of a job as an upstream server delivers it.
func upstreamJob(jid, class string) string {
	return fmt.Sprintf(`{"jid":%q,"queue":%q,"jobtype":"x","args":[]}`, jid, class)
}

// Jobs are fetched from an upstream server and run by workers that connect here.
// One ACK is lost before it arrives, and later the answer to another one. Each job
// must be closed exactly once and run exactly once.
func TestSourceClosesEveryJobOnce(t *testing.T) {
	upstream := startUpstream(t)
	const jobCount = 24
	for i := range jobCount {
		class := []string{"status-check", "renewal"}[i%2]
		upstream.push(upstreamJob(fmt.Sprintf("up-%06d", i), class))
	}
	upstream.push(upstreamJob("up-nobody", "nonsense"))
	upstream.loseCloseOf = "up-000003"
	upstream.loseAnswerTo = "up-000005"
	address, _ := openFrontEnd(t, upstream.sourceConfig(3), nil)
	runs := newRunCounts()
	for i := range 2 {
		worker := dialWorker(t, address, fmt.Sprintf("w%d", i))
		go worker.serveJobs(runs.add)
	}
	for end := time.Now().Add(testTimeout); !upstream.isIdle(jobCount + 1); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("closed %v, reserved %v, ran %v", upstream.closed, upstream.reserved, runs.take())
		}
	}
	ran := runs.take()
	for i := range jobCount {
		jid := fmt.Sprintf("up-%06d", i)
		closes, verb := upstream.closesOf(jid)
		if closes != 1 || verb != "ACK" || ran[jid] != 1 {
			t.Errorf("%s: closed %d times, last by %s, ran %d times", jid, closes, verb, ran[jid])
		}
	}
	closes, verb := upstream.closesOf("up-nobody")
	if closes != 1 || verb != "FAIL" || ran["up-nobody"] != 0 {
		t.Errorf("a job of no class: closed %d times by %s, ran %d times", closes, verb, ran["up-nobody"])
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if upstream.unmatchedCloses != 0 || upstream.heartbeats == 0 {
		t.Errorf("%d closes without a reservation, %d heartbeats", upstream.unmatchedCloses, upstream.heartbeats)
	}
}

// awaitFailures waits until a job has been closed the given number of times, the
// last time by FAIL. It fails the test if the job is closed more often.
func (u *upstreamServer) awaitFailures(t *testing.T, jid string, want int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		closes, verb := u.closesOf(jid)
		if closes == want && verb == "FAIL" {
			return
		}
		if closes > want || time.Now().After(end) {
			t.Fatalf("closed %d times by %q, want %d by FAIL", closes, verb, want)
		}
	}
}

// A non-idempotent job that may have run fails, and its redelivery is closed
// without running.
func TestSourceDoesNotRunRedeliveredJob(t *testing.T) {
	upstream := startUpstream(t)
	raw := upstreamJob("up-redone", "renewal")
	upstream.push(raw)
	address, _ := openFrontEnd(t, upstream.sourceConfig(1), nil)
	first := dialWorker(t, address, "w1")
	first.expectFetch(bothQueues, "up-redone")
	first.conn.Close() // before its ACK
	upstream.awaitFailures(t, "up-redone", 1)
	second := dialWorker(t, address, "w2")
	upstream.push(raw)
	if got := second.do("FETCH " + bothQueues); got != nullBulk {
		t.Errorf("handed out again: %q", got)
	}
	upstream.awaitFailures(t, "up-redone", 2)
}
