package faktory

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A paid renewal was lost without having run: an ACK from any connection, the producer's own or that of a worker that
// never fetched it, ended a stored job that no worker had been given, and a FETCH afterwards found nothing. These tests
// send every report from connections that do not have the job: nothing of it may change, and it must still run once.
// The cause of the first: fence 0 of a report that has none was the fence 0 of a job without a lease (TRACK GET went
// from "enqueued" to "success"). Of the others: the session of a report was asked for only where it named no fence, and
// not at all by BEAT and by direct jobs.

// foreignReports are reports about a job by a connection that has no lease of it, without a fence and under one.
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

// reportFromOthers sends every report about a job from a producer and from a worker that do not have it. Each must be
// rejected, and the job must stay as it is.
func reportFromOthers(t *testing.T, address, jid string, fence uint64) {
	t.Helper()
	producer := dialProducer(t, address)
	before := producer.do("TRACK GET " + jid)
	for name, reporter := range map[string]*client{
		"a producer":       producer,
		"another worker":   dialWorker(t, address, "never-had-it"),
		"a worker, fences": dialWorker(t, address, "never-had-it-either", labelFences),
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

// A stored job that was never leased outlives every report, before and after a restart, and runs.
func TestNeverLeasedJobOutlivesEveryReport(t *testing.T) {
	file := newStorePath(t)
	const jid = "unleased-1"
	withDurableFront(t, file, "", func(address string) {
		dialProducer(t, address).expect(pushCommand(jid, "renewal", ""), "+OK")
		reportFromOthers(t, address, jid, 1)
	})
	withDurableFront(t, file, "", func(address string) {
		reportFromOthers(t, address, jid, 1)
		worker := dialWorker(t, address, "w1")
		worker.expectLease("renewal", jid)
		worker.expectAck(jid, "+OK")
		worker.expectState("after its worker's ACK", jid, "success")
	})
}

// Nobody but its worker reports a leased job, whether or not the fence is known, before and after a restart. The worker
// itself is understood in a new session too.
func TestLeasedJobIsReportedByItsWorkerAlone(t *testing.T) {
	file := newStorePath(t)
	const jid = "leased-001"
	var leased leasedJob
	withDurableFront(t, file, "", func(address string) {
		dialProducer(t, address).expect(pushCommand(jid, "renewal", ""), "+OK")
		worker := dialWorker(t, address, "w1", labelFences)
		leased = worker.expectLease("renewal", jid)
		reportFromOthers(t, address, jid, leased.Custom.Fence)
		worker.expect(`TRACK SET {"jid":"`+jid+`","percent":40}`, "+OK")
		worker.expect("START "+leased.message(), "+OK")
		reportFromOthers(t, address, jid, leased.Custom.Fence)
	})
	withDurableFront(t, file, "", func(address string) {
		reportFromOthers(t, address, jid, leased.Custom.Fence)
		worker := dialWorker(t, address, "w1", labelFences)
		worker.expect("ACK "+leased.message(), "+OK")
		worker.expectState("after its worker's ACK", jid, "success")
	})
}

// A heartbeat renews the leases of the worker whose session sends it, and drains that worker alone: a lease whose worker
// is silent expires, whatever others send under its wid.
func TestForeignBeatRenewsNothing(t *testing.T) {
	withDurableFront(t, newStorePath(t), "lease_s = 0.3\n", func(address string) {
		producer := dialProducer(t, address)
		producer.expect(pushCommand("silent-001", "renewal", ""), "+OK")
		dialWorker(t, address, "w1").expectLease("renewal", "silent-001")
		other := dialWorker(t, address, "w2")
		for end := time.Now().Add(2 * time.Second); producer.stateOf("silent-001") != "in doubt"; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("a lease of 0.3 s was renewed for 2 s by others")
			}
			producer.expect(`BEAT {"wid":"w1"}`, "+OK")
			other.expect(`BEAT {"wid":"w1"}`, "+OK")
		}
	})
}

// No other connection's BEAT drains a worker.
func TestForeignBeatDrainsNobody(t *testing.T) {
	address, _ := openFront(t, serverConfig, nil)
	worker := dialWorker(t, address, "w1")
	for _, other := range []*client{dialProducer(t, address), dialWorker(t, address, "w2")} {
		other.expect(`BEAT {"wid":"w1","current_state":"quiet"}`, "+OK")
		other.expect(`BEAT {"wid":"nobodys","current_state":"quiet"}`, "+OK")
	}
	answer := pushAsync(t, address, pushCommand("drain-0001", "renewal", ""))
	worker.expectFetch("renewal", "drain-0001")
	worker.ack("drain-0001")
	if got := awaitAnswer(t, answer); got != "+OK" {
		t.Errorf("the job: %q", got)
	}
}

// The producer of a direct job hears of the report of the worker that has it, and of no other.
func TestDirectJobIsReportedByItsWorkerAlone(t *testing.T) {
	address, _ := openFront(t, serverConfig, nil)
	worker := dialWorker(t, address, "w1")
	answer := pushAsync(t, address, pushCommand("direct-001", "renewal", ""))
	worker.expectFetch("renewal", "direct-001")
	for _, other := range []*client{dialProducer(t, address), dialWorker(t, address, "w2")} {
		other.expectAck("direct-001", "+OK")
		other.expect(`FAIL {"jid":"direct-001"}`, "+OK")
	}
	select {
	case got := <-answer:
		t.Fatalf("the job is in work, and its producer heard %q", got)
	case <-time.After(100 * time.Millisecond):
	}
	worker.ack("direct-001")
	if got := awaitAnswer(t, answer); got != "+OK" {
		t.Errorf("after its worker's ACK: %q", got)
	}
}

// A job that may have run becomes served by the late ACK of the worker that had it, and by nobody else's.
func TestLateAckIsItsWorkersAlone(t *testing.T) {
	address, _ := openFront(t, serverConfig, nil)
	worker := dialWorker(t, address, "w1")
	answer := pushAsync(t, address, pushCommand("late-00001", "renewal", ""))
	worker.expectFetch("renewal", "late-00001")
	worker.conn.Close()
	if got := awaitAnswer(t, answer); !strings.HasPrefix(got, "-ERR FAILED it may have run") {
		t.Fatalf("its worker has gone: %q", got)
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
