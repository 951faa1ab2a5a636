package faktory

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// These tests guard against a report that takes effect although its connection's worker does not hold the job. They
// send every kind of report from such connections: the job must not change, and must still run once. Three faults are
// covered:
//   - An ACK without a fence, from any connection, finishes a stored job that was never leased (TRACK GET goes from
//     "enqueued" to "success"), so the job is lost without having run: the report's missing fence is 0, like that of a
//     job without a lease.
//   - The worker of the connection is checked only for reports without a fence.
//   - It is not checked at all for BEAT and for reports about direct jobs.

// foreignReports returns all kinds of reports about a job, each without a fence and with the given one.
func foreignReports(jid string, fence uint64) (commands []string) {
	for _, more := range []string{"", fmt.Sprintf(`,"fence":%d`, fence)} {
		commands = append(commands,
			fmt.Sprintf(`ACK {"jid":%q%s}`, jid, more),
			fmt.Sprintf(`START {"jid":%q%s}`, jid, more),
			fmt.Sprintf(`TRACK SET {"jid":%q%s,"percent":99,"desc":"not mine","reserve_until":"2999-01-01T00:00:00Z"}`, jid, more),
			fmt.Sprintf(`FAIL {"jid":%q%s,"started":false}`, jid, more),
			fmt.Sprintf(`FAIL {"jid":%q%s}`, jid, more),
		)
	}
	return commands
}

// reportFromOthers sends all foreignReports about a job from a producer and from workers that do not hold the job. Each
// must be rejected and must not change the job.
func reportFromOthers(t *testing.T, address, jid string, fence uint64) {
	t.Helper()
	producer := dialProducer(t, address)
	before := producer.do("TRACK GET " + jid)
	for name, reporter := range map[string]*client{
		"a producer":                        producer,
		"another worker":                    dialWorker(t, address, "never-had-it"),
		"another worker that honors fences": dialWorker(t, address, "never-had-it-either", labelFences),
	} {
		for _, command := range foreignReports(jid, fence) {
			if got := reporter.do(command); !strings.HasPrefix(got, "-ERR") {
				t.Errorf("%s sends %s: %q", name, command, got)
			}
			if after := producer.do("TRACK GET " + jid); after != before {
				t.Fatalf("%s sends %s: the job was %s, now %s", name, command, before, after)
			}
		}
	}
}

// A stored job that was never leased is not changed by any report, before and after a restart, and then runs.
func TestNeverLeasedJobRejectsEveryReport(t *testing.T) {
	file := newStorePath(t)
	const jid = "unleased-1"
	withDurableFrontEnd(t, file, "", func(address string) {
		dialProducer(t, address).expect(pushCommand(jid, "renewal", ""), "+OK")
		reportFromOthers(t, address, jid, 1)
	})
	withDurableFrontEnd(t, file, "", func(address string) {
		reportFromOthers(t, address, jid, 1)
		worker := dialWorker(t, address, "w1")
		worker.expectLease("renewal", jid)
		worker.expectAck(jid, "+OK")
		worker.expectState("after its worker's ACK", jid, "success")
	})
}

// Reports about a leased job are accepted only from its worker, even if others send the right fence, before and after a
// restart. The worker can also report on a new connection.
func TestLeasedJobAcceptsReportsOnlyFromItsWorker(t *testing.T) {
	file := newStorePath(t)
	const jid = "leased-001"
	var leased leasedJob
	withDurableFrontEnd(t, file, "", func(address string) {
		dialProducer(t, address).expect(pushCommand(jid, "renewal", ""), "+OK")
		worker := dialWorker(t, address, "w1", labelFences)
		leased = worker.expectLease("renewal", jid)
		reportFromOthers(t, address, jid, leased.Custom.Fence)
		worker.expect(`TRACK SET {"jid":"`+jid+`","percent":40}`, "+OK")
		worker.expect("START "+leased.leaseArgument(), "+OK")
		reportFromOthers(t, address, jid, leased.Custom.Fence)
	})
	withDurableFrontEnd(t, file, "", func(address string) {
		reportFromOthers(t, address, jid, leased.Custom.Fence)
		worker := dialWorker(t, address, "w1", labelFences)
		worker.expect("ACK "+leased.leaseArgument(), "+OK")
		worker.expectState("after its worker's ACK", jid, "success")
	})
}

// A heartbeat renews only the leases of the worker whose connection sends it: a lease expires if its worker sends none,
// even if other connections send heartbeats with that worker's wid.
func TestForeignBeatRenewsNothing(t *testing.T) {
	withDurableFrontEnd(t, newStorePath(t), "lease_s = 0.3\n", func(address string) {
		producer := dialProducer(t, address)
		producer.expect(pushCommand("silent-001", "renewal", ""), "+OK")
		dialWorker(t, address, "w1").expectLease("renewal", "silent-001")
		other := dialWorker(t, address, "w2")
		for end := time.Now().Add(2 * time.Second); producer.stateOf("silent-001") != "in doubt"; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("heartbeats of other connections renewed a lease of 0.3 s for 2 s")
			}
			producer.expect(`BEAT {"wid":"w1"}`, "+OK")
			other.expect(`BEAT {"wid":"w1"}`, "+OK")
		}
	})
}

// A BEAT on another connection does not drain a worker, even with that worker's wid.
func TestForeignBeatDrainsNoWorker(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	worker := dialWorker(t, address, "w1")
	for _, other := range []*client{dialProducer(t, address), dialWorker(t, address, "w2")} {
		other.expect(`BEAT {"wid":"w1","current_state":"quiet"}`, "+OK")
		other.expect(`BEAT {"wid":"nobodys","current_state":"quiet"}`, "+OK")
	}
	answer := pushAsync(t, address, pushCommand("drain-0001", "renewal", ""))
	worker.expectFetch("renewal", "drain-0001")
	worker.ack("drain-0001")
	if got := awaitAnswer(t, answer); got != "+OK" {
		t.Errorf("reply to the PUSH: %q", got)
	}
}

// Only a report of the worker that holds a direct job ends the job and answers its producer.
func TestDirectJobAcceptsReportsOnlyFromItsWorker(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	worker := dialWorker(t, address, "w1")
	answer := pushAsync(t, address, pushCommand("direct-001", "renewal", ""))
	worker.expectFetch("renewal", "direct-001")
	for _, other := range []*client{dialProducer(t, address), dialWorker(t, address, "w2")} {
		other.expectAck("direct-001", "+OK")
		other.expect(`FAIL {"jid":"direct-001"}`, "+OK")
	}
	select {
	case got := <-answer:
		t.Fatalf("the job is in progress, and its producer was answered %q", got)
	case <-time.After(100 * time.Millisecond):
	}
	worker.ack("direct-001")
	if got := awaitAnswer(t, answer); got != "+OK" {
		t.Errorf("after its worker's ACK: %q", got)
	}
}

// A late ACK marks a job that may have run as served only if it comes from the worker that held the job.
func TestLateAckCountsOnlyFromItsWorker(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	worker := dialWorker(t, address, "w1")
	answer := pushAsync(t, address, pushCommand("late-00001", "renewal", ""))
	worker.expectFetch("renewal", "late-00001")
	worker.conn.Close()
	if got := awaitAnswer(t, answer); !strings.HasPrefix(got, "-ERR FAILED it may have run") {
		t.Fatalf("after its worker has disconnected: %q", got)
	}
	producer := dialProducer(t, address)
	push := pushCommand("late-00001", "renewal", "")
	for _, other := range []*client{producer, dialWorker(t, address, "w2")} {
		other.expectAck("late-00001", "+OK")
		producer.expect(push, "-ERR FAILED it may have run")
	}
	dialWorker(t, address, "w1").expectAck("late-00001", "+OK")
	producer.expect(push, "+OK")
}
