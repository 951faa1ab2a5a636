package faktory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// directTranscript is a transcript of connections to a front end whose queues are
// direct, that is, not durable. Connections p and q are producers, w is a worker, and
// n0, n1, ... are those of firstCommands.
type directTranscript struct{ *transcript }

// firstCommands sends each command as the first one of a new connection, and
// records the reply and what follows it: another reply or the end of the
// connection.
func (s directTranscript) firstCommands(commands ...string) {
	s.t.Helper()
	for i, command := range commands {
		name := fmt.Sprint("n", i)
		s.open(name)
		s.do(name, command)
		s.answer(name)
	}
}

// completeJob pushes a job, and lets the worker fetch it and report it by ACK or
// FAIL.
func (s directTranscript) completeJob(jid, class, verb string) {
	s.t.Helper()
	s.send("p", fmt.Sprintf(`PUSH {"jid":%q,"queue":%q,"jobtype":"x","args":[1,"a"],"custom":{"k":2}}`, jid, class))
	s.fetch("w", "renewal status-check")
	s.do("w", verb+` {"jid":"`+jid+`","errtype":"Broken","message":"no till","backtrace":[]}`)
	s.answer("p")
}

// invalidCommands sends commands on the connection of a producer. Most of them are
// invalid, and all are answered at once.
func (s directTranscript) invalidCommands() {
	s.t.Helper()
	s.doAll("p",
		`HELLO {"v":2}`,
		`INFO`,
		`FETCH renewal`,
		`NONSENSE and more`,
		`push {}`,
		strings.Repeat("y", 60),
		`PUSH {`,
		`PUSH`,
		`PUSH {"jid":"short","queue":"renewal","args":[]}`,
		`PUSH {"queue":"renewal","args":[]}`,
		`PUSH {"jid":"job-00001","queue":"renewal"}`,
		`PUSH {"jid":"job-00001","queue":"renewal","args":{}}`,
		`PUSH {"jid":"job-00001","queue":"nonsense","args":[]}`,
		`PUSH {"jid":"job-00001","queue":"renewal","jobtype":"status-check","args":[]}`,
		`PUSH {"jid":"job-00001","queue":"renewal","args":[],"at":"2999-01-01T00:00:00Z"}`,
		`PUSH {"jid":"job-00001","queue":"renewal","args":[],"at":"soon"}`,
		`PUSHB []`,
		`START {}`,
		`QUEUE PAUSE *`,
		`MUTATE {}`,
		`FLUSH`,
		`TRACK GET x`,
		`ACK`,
		`ACK {}`,
		`ACK {"jid":"nobodys"}`,
		`FAIL x`,
		`FAIL {"jid":"nobodys"}`,
		`BEAT [`,
		`BEAT {"wid":1}`,
		`BEAT {"wid":"nobodys"}`,
		`BEAT {}`,
	)
}

// pushNewAndKnownJids pushes jobs with new jids, which run, and jids of jobs that have
// run before or are in progress.
func (s directTranscript) pushNewAndKnownJids() {
	s.t.Helper()
	s.completeJob("direct-01", "renewal", "ACK")
	s.completeJob("direct-02", "status-check", "ACK")
	s.completeJob("direct-03", "renewal", "FAIL")
	s.do("p", `PUSH {"jid":"direct-01","queue":"renewal","args":[1]}`)
	s.do("p", `PUSH {"jid":"direct-03","queue":"renewal","args":[1]}`)
	s.send("p", `PUSH {"jid":"direct-04","queue":"renewal","args":[1]}`)
	s.fetch("w", "renewal")
	s.hello("q", "")
	s.do("q", `PUSH {"jid":"direct-04","queue":"renewal","args":[1]}`) // in progress
	s.do("q", `INFO`)
	s.do("w", `ACK {"jid":"direct-04"}`)
	s.answer("p")
}

// drainWorker lets the worker fetch before and after it reports that it is quiet, and
// then send END.
func (s directTranscript) drainWorker() {
	s.t.Helper()
	s.do("w", `FETCH renewal`) // there is no job
	s.do("w", `BEAT {"wid":"w1","current_state":"quiet","rss_kb":1}`)
	s.do("w", `FETCH renewal`)
	s.do("w", `END`)
	s.answer("w")
}

// Covers each command before HELLO and each command for direct queues, with every
// reply that can be caused without a fault.
func TestGoldenDirect(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	s := directTranscript{newTranscript(t, address)}
	s.firstCommands(
		`HELLO {"v":3}`,
		`HELLO x`,
		`HELLO`,
		`HELLO {"v":"2"}`,
		`PUSH {}`,
		`FETCH renewal`,
		`INFO`,
		``,
		`HELLO {"v":2,"wid":"a b"}`,
		`END`,
		strings.Repeat("x", 40),
	)
	s.hello("p", "")
	s.invalidCommands()
	s.hello("w", `,"wid":"w1","hostname":"h","pid":7,"labels":["zone:here"]`)
	s.pushNewAndKnownJids()
	s.drainWorker()
	tooLong := strings.Repeat("z", maxCommandBytes+10)
	s.do("p", tooLong)
	goldentest.Compare(t, "direct.golden", strings.ReplaceAll(s.text.String(), tooLong, "(too long a line)"))
}

// With a password, the greeting contains a salt and HELLO must contain a hash.
func TestGoldenPassword(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig+"password = \"open sesame\"\n", nil)
	s := newTranscript(t, address)
	s.hello("p", `,"pwdhash":"00"`)
	s.answer("p")
	s.hello("q", "")
	s.answer("q")
	goldentest.Compare(t, "password.golden", s.text.String()+hashPassword("open sesame", "0123456789abcdef", hashIterations)+"\n")
}

// Covers the replies to a PUSH whose job is rejected or fails, or whose jid is
// already known.
func TestGoldenOutcomes(t *testing.T) {
	var text strings.Builder
	for _, retryAfter := range []time.Duration{0, 1500 * time.Millisecond} {
		text.WriteString(rejectionLine(retryAfter) + "\n")
	}
	for _, mayHaveRun := range []bool{false, true} {
		for _, idempotent := range []bool{false, true} {
			text.WriteString(failureLine(mayHaveRun, idempotent) + "\n")
		}
	}
	for _, status := range []jidStatus{jidServed, jidMayHaveRun, jidInProgress} {
		text.WriteString(knownJidLine(status) + "\n")
	}
	goldentest.Compare(t, "outcomes.golden", text.String())
}

// durableTranscript is a transcript of connections to a front end whose queues are
// durable. Connection p is a producer, and w is a worker.
type durableTranscript struct{ *transcript }

// durablePush returns a PUSH command. more contains further JSON fields of the job,
// each after a comma.
func durablePush(jid, class, more string) string {
	return fmt.Sprintf(`PUSH {"jid":%q,"queue":%q,"jobtype":"x","args":[1]%s}`, jid, class, more)
}

// pushValidAndInvalid sends PUSHes that are accepted and that are rejected.
func (s durableTranscript) pushValidAndInvalid() {
	s.t.Helper()
	s.doAll("p",
		durablePush("kept-00001", "renewal", ""),
		durablePush("kept-00001", "renewal", ""),
		durablePush("kept-00001", "status-check", ""),
		durablePush("short", "renewal", ""),
		durablePush("kept-00002", "renewal", `,"at":"2099-01-01T00:00:00Z"`),
		durablePush("kept-00003", "nonsense", ""),
	)
}

// completeJob lets the worker fetch a job, report its progress, start it and
// acknowledge it.
func (s durableTranscript) completeJob() {
	s.t.Helper()
	s.fetch("w", "renewal")
	s.doAll("w",
		`TRACK GET kept-00001`,
		`TRACK SET {"jid":"kept-00001","percent":40,"desc":"at the till"}`,
		`TRACK GET kept-00001`,
		`START {"jid":"kept-00001","fence":9}`,
		`START {"jid":"kept-00001"}`,
		`START {"jid":"nobodys"}`,
		`START x`,
		`ACK {"jid":"kept-00001","fence":9}`,
		`ACK {"jid":"kept-00001"}`,
		`ACK {"jid":"kept-00001"}`,
		`TRACK GET kept-00001`,
		`TRACK GET nobodys`,
		`TRACK GET kept-00002`,
		`TRACK SET {"jid":"nobodys"}`,
		`TRACK SET x`,
		`TRACK SET {"jid":1}`,
		`TRACK x`,
		`TRACK`,
		`BEAT {"wid":"w1"}`,
	)
}

// failJob pushes a job and lets the worker fail it, after which the job is dead.
func (s durableTranscript) failJob(jid, class, custom, failure string) {
	s.t.Helper()
	s.do("p", durablePush(jid, class, custom))
	s.fetch("w", class)
	s.do("w", `FAIL {"jid":"`+jid+`"`+failure+`}`)
	s.awaitState(jid, "dead")
}

// manageJobsAndQueues sends the commands with which clients change jobs and queues.
func (s durableTranscript) manageJobsAndQueues() {
	s.t.Helper()
	s.doAll("p",
		`TRACK GET dead-00001`,
		`TRACK GET dead-00002`,
		`MUTATE {"cmd":"requeue","target":"dead","filter":{"jids":["dead-00001"]}}`,
		`MUTATE {"cmd":"kill","target":"scheduled","filter":{"jids":["kept-00002"]}}`,
		`TRACK GET kept-00002`,
		`MUTATE {"cmd":"discard","target":"dead","filter":{"regexp":"*dead-00002*"}}`,
		`TRACK GET dead-00002`,
		`MUTATE {"cmd":"clear","target":"retries"}`,
		`MUTATE x`,
		`MUTATE {"cmd":1}`,
		`MUTATE {"filter":1}`,
		`MUTATE {"cmd":"x","target":"dead"}`,
		`MUTATE {"cmd":"kill","target":"ready"}`,
		`PUSHB x`,
		`PUSHB {}`,
		`PUSHB []`,
		`PUSHB [{"jid":"bulk-00001","queue":"renewal","args":[]},{"jid":"x"},{"queue":"renewal"},{"jid":"kept-00002","queue":"renewal","args":[9]}]`,
		`QUEUE`,
		`QUEUE PAUSE`,
		`QUEUE STOP *`,
		`QUEUE PAUSE nothing`,
		`QUEUE PAUSE renewal`,
		`INFO`,
		`QUEUE RESUME *`,
		`QUEUE REMOVE renewal`,
		`TRACK GET bulk-00001`,
		`FLUSH`,
		`INFO`,
		`END`,
	)
}

// Covers each command for durable queues.
func TestGoldenDurable(t *testing.T) {
	file := newStorePath(t)
	withDurableFrontEnd(t, file, "backoff_s = 0.05\nattempts = 1\n", func(address string) {
		s := durableTranscript{newTranscript(t, address)}
		s.hello("p", "")
		s.hello("w", `,"wid":"w1","labels":["fences:1"]`)
		s.pushValidAndInvalid()
		s.completeJob()
		s.failJob("dead-00001", "renewal", `,"custom":{"a":1}`, `,"errtype":"Broken","message":"no till"`)
		s.failJob("dead-00002", "status-check", "", "")
		s.manageJobsAndQueues()
		goldentest.Compare(t, "durable.golden", s.text.String())
	})
	withDurableFrontEnd(t, file, "flush = true\n", func(address string) {
		s := newTranscript(t, address)
		s.hello("p", "")
		s.do("p", "FLUSH")
		s.do("p", "TRACK GET dead-00001")
		goldentest.Compare(t, "flush.golden", s.text.String())
	})
}
