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

// Jobs are fetched from an upstream server and run by workers of this front end. One
// ACK is lost before it arrives upstream, and the reply to another one is lost. Each
// job must run exactly once and be reported upstream exactly once.
func TestSourceClosesEveryJobOnce(t *testing.T) {
	upstream := startUpstream(t)
	const jobCount = 24
	for i := range jobCount {
		class := []string{"status-check", "renewal"}[i%2]
		upstream.push(upstreamJob(fmt.Sprintf("up-%06d", i), class))
	}
	upstream.push(upstreamJob("up-nobody", "nonsense"))
	upstream.loseReportOf = "up-000003"
	upstream.loseReplyTo = "up-000005"
	address, _ := openFrontEnd(t, upstream.sourceConfig(3), nil)
	runs := newRunCounts()
	for i := range 2 {
		worker := dialWorker(t, address, fmt.Sprintf("w%d", i))
		go worker.serveJobs(runs.add)
	}
	for end := time.Now().Add(testTimeout); !upstream.isIdle(jobCount + 1); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("reported %v, reserved %v, ran %v", upstream.reports, upstream.reserved, runs.take())
		}
	}
	ran := runs.take()
	for i := range jobCount {
		jid := fmt.Sprintf("up-%06d", i)
		reports, verb := upstream.reportsOf(jid)
		if reports != 1 || verb != "ACK" || ran[jid] != 1 {
			t.Errorf("%s: reported %d times, last by %s, ran %d times", jid, reports, verb, ran[jid])
		}
	}
	reports, verb := upstream.reportsOf("up-nobody")
	if reports != 1 || verb != "FAIL" || ran["up-nobody"] != 0 {
		t.Errorf("a job of no class: reported %d times, last by %s, ran %d times", reports, verb, ran["up-nobody"])
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if upstream.unmatchedReports != 0 || upstream.heartbeats == 0 {
		t.Errorf("%d reports without a reservation, %d heartbeats", upstream.unmatchedReports, upstream.heartbeats)
	}
}

// awaitFailures waits until a job has been reported the given number of times, the
// last time by FAIL. It fails the test if the job is reported more often.
func (u *upstreamServer) awaitFailures(t *testing.T, jid string, want int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		reports, verb := u.reportsOf(jid)
		if reports == want && verb == "FAIL" {
			return
		}
		if reports > want || time.Now().After(end) {
			t.Fatalf("reported %d times, last by %q, want %d times by FAIL", reports, verb, want)
		}
	}
}

// A non-idempotent job that may have run is reported by FAIL. If upstream delivers it
// again, it is reported by FAIL without being run.
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
