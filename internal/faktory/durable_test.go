package faktory

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// withDurableFrontEnd opens a front end with durable queues on the store at file,
// calls run, and closes the front end. options contains further lines of the
// [durable] table of the configuration.
func withDurableFrontEnd(t *testing.T, file, options string, run func(address string)) {
	t.Helper()
	t.Run("", func(t *testing.T) {
		table := "[durable]\npath = \"" + file + "\"\nqueues = [\"renewal\", \"status-check\"]\n" + options
		address, _ := openFrontEnd(t, serverConfig+table, func(settings *decision.Settings) {
			for i := range settings.Classes {
				settings.Classes[i].Deadline = 2 * time.Second
			}
		})
		run(address)
	})
}

// newStorePath returns the path for a store in a new directory.
func newStorePath(t *testing.T) string {
	t.Helper()
	return filepath.Join(t.TempDir(), "jobs.db")
}

// leasedJob holds the fields that these tests use of a durable job that a worker
// has fetched.
type leasedJob struct {
	Jid    string
	Args   json.RawMessage
	Custom struct{ Fence uint64 }
}

// leaseArgument returns the argument of START, ACK or FAIL for the job under its
// lease.
func (l leasedJob) leaseArgument() string { return leaseArgumentFor(l.Jid, l.Custom.Fence) }

// leaseArgumentFor returns the argument of START, ACK or FAIL for a job under the
// lease with the given fence.
func leaseArgumentFor(jid string, fence uint64) string {
	return fmt.Sprintf(`{"jid":%q,"fence":%d}`, jid, fence)
}

// lease fetches a durable job and checks that it has a fence.
func (c *client) lease(queues string) (job leasedJob) {
	c.t.Helper()
	got := c.fetch(queues)
	err := json.Unmarshal([]byte(got), &job)
	if err != nil || job.Custom.Fence == 0 {
		c.t.Fatalf("fetched %q", got)
	}
	return job
}

// expectLease fetches a durable job and checks its jid.
func (c *client) expectLease(queues, jid string) leasedJob {
	c.t.Helper()
	job := c.lease(queues)
	if job.Jid != jid {
		c.t.Fatalf("leased %+v, want %s", job, jid)
	}
	return job
}

// expectAck acknowledges a job and checks that the reply begins with want.
func (c *client) expectAck(jid, want string) {
	c.t.Helper()
	c.expect(`ACK {"jid":"`+jid+`"}`, want)
}

// stateOf returns the state of a job as TRACK GET reports it.
func (c *client) stateOf(jid string) string {
	var got struct{ State string }
	json.Unmarshal([]byte(c.do("TRACK GET "+jid)), &got)
	return got.State
}

// expectState checks the state of a job.
func (c *client) expectState(when, jid, want string) {
	c.t.Helper()
	if got := c.stateOf(jid); got != want {
		c.t.Errorf("%s: %s is %q, want %q", when, jid, got, want)
	}
}

// awaitState waits until a job is in a state.
func (c *client) awaitState(jid, want string) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); c.stateOf(jid) != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("%s is %q, and not %q in time", jid, c.stateOf(jid), want)
		}
	}
}

// A durable job is stored before it runs and survives restarts. It runs once,
// however often its producer pushes it and its worker acknowledges it.
func TestDurableJobsSurviveRestart(t *testing.T) {
	file := newStorePath(t)
	var first leasedJob
	withDurableFrontEnd(t, file, "", func(address string) { first = pushTwoAndStartOne(t, address) })
	withDurableFrontEnd(t, file, "", func(address string) { finishBoth(t, address, first) })
	withDurableFrontEnd(t, file, "", func(address string) {
		producer := dialProducer(t, address)
		worker := dialWorker(t, address, "w1")
		producer.expect(pushCommand("keep-00001", "renewal", ""), "+OK")
		if got := worker.do("FETCH renewal"); got != nullBulk {
			t.Errorf("handed out again: %q", got)
		}
	})
}

// pushTwoAndStartOne pushes two jobs, each more than once, and lets worker w1 start
// the first.
func pushTwoAndStartOne(t *testing.T, address string) (started leasedJob) {
	t.Helper()
	producer := dialProducer(t, address)
	producer.expect(pushCommand("keep-00001", "renewal", ""), "+OK")
	producer.expect(pushCommand("keep-00001", "renewal", ""), "+OK")
	producer.expect(pushCommand("keep-00002", "renewal", ""), "+OK")
	otherArgs := strings.Replace(pushCommand("keep-00002", "renewal", ""), "[1]", "[2]", 1)
	producer.expect(otherArgs, "-ERR NOTUNIQUE")
	worker := dialWorker(t, address, "w1", "fences:1")
	started = worker.expectLease("renewal", "keep-00001")
	if string(started.Args) != "[1]" {
		t.Fatalf("leased %+v", started)
	}
	worker.expect("START "+started.leaseArgument(), "+OK")
	worker.expect("START "+leaseArgumentFor(started.Jid, started.Custom.Fence+1), "-ERR VOID")
	return started
}

// finishBoth lets w2 run the second job, and lets w1 and w2 acknowledge their jobs.
func finishBoth(t *testing.T, address string, first leasedJob) {
	t.Helper()
	producer := dialProducer(t, address)
	producer.expect(pushCommand("keep-00001", "renewal", ""), "+OK")
	producer.expectState("after a restart", "keep-00001", "working")
	producer.expectState("after a restart", "keep-00002", "enqueued")
	other := dialWorker(t, address, "w2")
	second := other.expectLease("renewal", "keep-00002")
	if second.Custom.Fence <= first.Custom.Fence {
		t.Fatalf("leased %+v after %+v", second, first)
	}
	other.expectAck("keep-00001", "-ERR VOID") // w1 holds its lease
	other.expectAck("keep-00002", "+OK")
	other.expectAck("keep-00002", "+OK")
	worker := dialWorker(t, address, "w1")
	worker.expectAck("keep-00001", "+OK")
	producer.expectState("at the end", "keep-00001", "success")
	producer.expectState("at the end", "keep-00002", "success")
}

// A worker lets the leases of two jobs expire. The non-idempotent job is then in
// doubt, and the idempotent one can be leased again. A non-idempotent job can also
// be leased to another worker if its first worker honors fences and has not started
// it; the first worker's START is then rejected.
func TestDurableLeaseExpires(t *testing.T) {
	withDurableFrontEnd(t, newStorePath(t), "lease_s = 0.3\nbackoff_s = 0.01\n", func(address string) {
		producer := dialProducer(t, address)
		worker := dialWorker(t, address, "w1")
		fenced := dialWorker(t, address, "w2", "fences:1")
		for _, class := range []string{"renewal", "status-check"} {
			producer.expect(pushCommand("lost-"+class, class, ""), "+OK")
			worker.expectLease(class, "lost-"+class)
		}
		producer.expect(pushCommand("slow-00001", "renewal", `"effort_us":1`), "+OK")
		expired := fenced.lease("renewal")
		producer.awaitState("lost-renewal", "in doubt")
		worker.expectLease("status-check", "lost-status-check")
		worker.expectAck("lost-status-check", "+OK")
		renewed := worker.expectLease("renewal", "slow-00001")
		if renewed.Custom.Fence <= expired.Custom.Fence {
			t.Fatalf("leased %+v after %+v", renewed, expired)
		}
		fenced.expect("START "+leaseArgumentFor("slow-00001", expired.Custom.Fence), "-ERR VOID")
		fenced.expect("ACK "+leaseArgumentFor("slow-00001", expired.Custom.Fence), "-ERR VOID")
		for range 5 { // heartbeats renew the lease
			time.Sleep(100 * time.Millisecond)
			worker.expect(`BEAT {"wid":"w1"}`, "+OK")
		}
		worker.expectAck("slow-00001", "+OK")
		worker.expectAck("lost-renewal", "+OK") // a late ACK proves that the job ran
		producer.awaitState("lost-renewal", "success")
	})
}

// durableRun is a test with one producer and one worker, which are connected to a
// front end with durable queues.
type durableRun struct {
	t        *testing.T
	producer *client
	worker   *client
}

func newDurableRun(t *testing.T, address string) *durableRun {
	return &durableRun{
		t:        t,
		producer: dialProducer(t, address),
		worker:   dialWorker(t, address, "w1"),
	}
}

// checkQueueOrder checks that jobs are handed out in the order of the queues in
// FETCH, not in the order of the PUSHes.
func (r *durableRun) checkQueueOrder() {
	r.producer.expect(pushCommand("order-check", "status-check", ""), "+OK")
	r.producer.expect(pushCommand("order-renewal", "renewal", ""), "+OK")
	for _, jid := range []string{"order-renewal", "order-check"} {
		r.worker.expectLease("renewal status-check", jid)
		r.worker.expectAck(jid, "+OK")
	}
}

// checkRetries checks that the number of attempts of a job is limited by the
// configuration and by the job's retry field, and that a non-idempotent job that has
// been started is dead after its first failure.
func (r *durableRun) checkRetries() {
	r.producer.expect(pushCommand("fails-twice", "status-check", ""), "+OK")
	for range 2 {
		r.worker.expectLease("status-check", "fails-twice")
		r.worker.expect(`FAIL {"jid":"fails-twice","errtype":"Broken","message":"card declined"}`, "+OK")
	}
	r.producer.awaitState("fails-twice", "dead")
	r.producer.expect(strings.Replace(pushCommand("fails-once", "status-check", ""), `"args"`, `"retry":-1,"args"`, 1), "+OK")
	r.worker.lease("status-check")
	r.worker.expect(`FAIL {"jid":"fails-once"}`, "+OK")
	r.producer.awaitState("fails-once", "discarded")
	r.producer.expect(pushCommand("fails-paid", "renewal", ""), "+OK")
	r.worker.lease("renewal")
	r.worker.expect(`FAIL {"jid":"fails-paid","started":false}`, "+OK") // it was not started
	r.worker.lease("renewal")
	r.worker.expect(`FAIL {"jid":"fails-paid"}`, "+OK")
	r.producer.awaitState("fails-paid", "dead")
}

// checkRequeue checks that MUTATE requeues the dead jobs that match its filter, and
// rejects this for a non-idempotent job, which must not run twice.
func (r *durableRun) checkRequeue() {
	r.producer.expect(`MUTATE {"cmd":"requeue","target":"dead","filter":{"jids":["fails-paid"]}}`, "-ERR REFUSED")
	r.producer.expect(`MUTATE {"cmd":"requeue","target":"dead","filter":{"regexp":"*no such thing*"}}`, "+OK")
	r.producer.awaitState("fails-twice", "dead")
	r.producer.expect(`MUTATE {"cmd":"requeue","target":"dead","filter":{"regexp":"*fails-tw*"}}`, "+OK")
	r.worker.expectLease("status-check", "fails-twice")
}

// checkProgress checks that TRACK GET reports the progress of a job.
func (r *durableRun) checkProgress() {
	r.worker.expect(`TRACK SET {"jid":"fails-twice","percent":40,"desc":"charging"}`, "+OK")
	got := r.producer.do("TRACK GET fails-twice")
	if !strings.Contains(got, `"percent":40`) || !strings.Contains(got, `"working"`) {
		r.t.Errorf("TRACK GET: %s", got)
	}
	r.worker.expectAck("fails-twice", "+OK")
}

// scheduledJob returns the JSON of a renewal that is scheduled to run at a time.
func scheduledJob(jid string, at time.Time) string {
	job := strings.TrimPrefix(pushCommand(jid, "renewal", ""), "PUSH ")
	return strings.Replace(job, `"args"`, `"at":"`+at.Format(time.RFC3339Nano)+`","args"`, 1)
}

// checkScheduledBulk checks that PUSHB stores the valid jobs of a list and names the
// invalid one, and that a scheduled job is not handed out before its time.
func (r *durableRun) checkScheduledBulk() {
	soon := time.Now().Add(300 * time.Millisecond)
	first := scheduledJob("bulk-00001", soon)
	second := scheduledJob("bulk-00002", soon.Add(time.Hour))
	r.producer.expect("PUSHB ["+first+","+second+`,{"jid":"x"}]`, `{"[2]":"jid:`)
	leased := r.worker.expectLease("renewal", "bulk-00001")
	if time.Now().Before(soon) {
		r.t.Fatalf("leased %+v, %s early", leased, time.Until(soon))
	}
	r.worker.expectAck("bulk-00001", "+OK")
	r.producer.expect(`MUTATE {"cmd":"kill","target":"scheduled","filter":{"jobtype":"x"}}`, "+OK")
	r.producer.awaitState("bulk-00002", "dead")
}

// checkRejections checks the replies to commands that are invalid or not permitted.
func (r *durableRun) checkRejections() {
	for command, want := range map[string]string{
		"QUEUE PAUSE":                            "-ERR MALFORMED",
		"QUEUE STOP *":                           "-ERR MALFORMED",
		"QUEUE PAUSE nothing":                    "-ERR UNKNOWN",
		"MUTATE x":                               "-ERR MALFORMED",
		`MUTATE {"cmd":"kill","target":"ready"}`: "-ERR MALFORMED",
		"FLUSH":                                  "-ERR REFUSED",
		"TRACK x":                                "-ERR MALFORMED",
		`TRACK SET {"jid":"x"}`:                  "-ERR UNKNOWN",
		"TRACK GET nobodys":                      `{"jid":"nobodys","state":"unknown"`,
		"START x":                                "-ERR MALFORMED",
		`START {"jid":"nobodys"}`:                "-ERR VOID",
		"PUSHB x":                                "-ERR MALFORMED",
	} {
		r.producer.expect(command, want)
	}
}

// checkPaused checks that no job of a queue that was paused before a restart is
// handed out until the queue is resumed.
func (r *durableRun) checkPaused() {
	if got := r.worker.do("FETCH renewal"); got != nullBulk {
		r.t.Errorf("handed out although the queue is paused: %q", got)
	}
	info := r.producer.do("INFO")
	for _, want := range []string{`"paused":["renewal"]`, `"renewal":1`, `"Dead":{"size":2}`, `"Done":{"size":4}`, `"total_enqueued":1`} {
		if !strings.Contains(info, want) {
			r.t.Errorf("INFO lacks %s: %s", want, info)
		}
	}
	r.producer.expect("QUEUE RESUME *", "+OK")
	r.worker.expectLease("renewal", "held-00001")
}

// checkDiscarding checks that QUEUE REMOVE discards waiting jobs, that FLUSH discards
// dead ones too, and that neither discards a leased one.
func (r *durableRun) checkDiscarding() {
	producer := r.producer
	producer.expect(pushCommand("held-00002", "renewal", ""), "+OK")
	producer.expect("QUEUE REMOVE renewal", "+OK")
	producer.expectState("removed", "held-00002", "discarded")
	producer.expectState("removed", "held-00001", "working")
	producer.expect("FLUSH", "+OK")
	producer.expectState("flushed", "fails-paid", "discarded")
	producer.expectState("flushed", "held-00001", "working")
}

// The commands for durable queues have the effects that the protocol describes, also
// after a restart.
func TestDurableCommands(t *testing.T) {
	file := newStorePath(t)
	withDurableFrontEnd(t, file, "backoff_s = 0.05\nattempts = 2\n", func(address string) {
		run := newDurableRun(t, address)
		run.checkQueueOrder()
		run.checkRetries()
		run.checkRequeue()
		run.checkProgress()
		run.checkScheduledBulk()
		run.producer.expect("QUEUE PAUSE renewal", "+OK")
		run.producer.expect(pushCommand("held-00001", "renewal", ""), "+OK")
		run.checkRejections()
	})
	withDurableFrontEnd(t, file, "flush = true\n", func(address string) {
		run := newDurableRun(t, address)
		run.checkPaused()
		run.checkDiscarding()
	})
}
