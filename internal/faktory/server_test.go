package faktory

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestPushIsAnsweredWhenTheJobCompletes(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	worker := dialWorker(t, address, "w1")
	for _, test := range []struct{ class, verb, want string }{
		{"status-check", "ACK", "+OK"},
		{"renewal", "ACK", "+OK"},
		{"renewal", "FAIL", "-ERR FAILED it may have run; it will not be run again under this jid"},
	} {
		jid := "job-" + test.class + test.verb
		answer := pushAsync(t, address, pushCommand(jid, test.class, ""))
		raw := worker.fetch(bothQueues)
		if jidOf(raw) != jid || !strings.Contains(raw, `"args":[1]`) {
			t.Fatalf("fetched %q, want %s", raw, jid)
		}
		if got := worker.do(test.verb + ` {"jid":"` + jid + `"}`); got != "+OK" {
			t.Fatalf("%s: %q", test.verb, got)
		}
		if got := awaitAnswer(t, answer); got != test.want {
			t.Errorf("%s after %s: %q, want %q", test.class, test.verb, got, test.want)
		}
	}
	if info := worker.do("INFO"); !strings.Contains(info, `"total_processed":2`) {
		t.Errorf("INFO %s", info)
	}
	if got := worker.do("END"); got != "+OK" {
		t.Errorf("END %q", got)
	}
	if _, err := worker.readReply(); err == nil {
		t.Error("the connection stays open after END")
	}
}

// The reply to an invalid command is an error whose text begins with the kind of the
// error, and the connection stays open.
func TestInvalidCommandIsAnswered(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	producer := dialProducer(t, address)
	for command, want := range map[string]string{
		pushCommand("job-00001", "nonsense", ""):                                           "-ERR UNKNOWN",
		`PUSH {"jid":"job-00001","queue":"renewal","jobtype":"status-check","args":[]}`:    "-ERR UNKNOWN",
		`PUSH {"jid":"short","queue":"renewal","args":[]}`:                                 "-ERR MALFORMED jid",
		`PUSH {"jid":"job-00001","queue":"renewal"}`:                                       "-ERR MALFORMED args",
		`PUSH {"jid":"job-00001","queue":"renewal","args":[],"at":"2999-01-01T00:00:00Z"}`: "-ERR MALFORMED at",
		`PUSH {`:                 "-ERR MALFORMED",
		`FETCH renewal`:          "-ERR FETCH",
		`ACK {}`:                 "-ERR MALFORMED ACK",
		`BEAT [`:                 "-ERR MALFORMED BEAT",
		`FLUSH`:                  "-ERR Unknown command",
		`HELLO {"v":2}`:          "-ERR HELLO",
		``:                       "-ERR Unknown command",
		`ACK {"jid":"nobodys"}`:  "+OK",
		`BEAT {"wid":"nobodys"}`: "+OK",
	} {
		if got := producer.do(command); !strings.HasPrefix(got, want) {
			t.Errorf("%.40s: %q, want %q", command, got, want)
		}
	}
	// A line without an end must not use unlimited memory.
	if got := producer.do(strings.Repeat("x", maxCommandBytes+100)); !strings.HasPrefix(got, "-ERR MALFORMED") {
		t.Errorf("endless line: %.60q", got)
	}
}

// The reply to an invalid first command is an error, and the connection is closed.
func TestInvalidFirstCommandClosesTheConnection(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	for _, first := range []string{`HELLO {"v":3}`, `HELLO x`, `PUSH {}`, `HELLO {"v":2,"wid":"a b"}`} {
		c := connect(t, address)
		c.readReply()
		if got := c.do(first); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("%s: %q", first, got)
		}
		if _, err := c.readReply(); err == nil {
			t.Errorf("%s: the connection stays open", first)
		}
	}
}

func TestPassword(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig+"password = \"open sesame\"\n", nil)
	for _, test := range []struct{ password, want string }{
		{"open sesame", "+OK"},
		{"", "-ERR Invalid password"},
	} {
		c := connect(t, address)
		line, _ := c.readReply()
		var message greeting
		err := json.Unmarshal([]byte(strings.TrimPrefix(line, "+HI ")), &message)
		if err != nil || message.Salt == "" || message.Iterations < 1 {
			t.Fatalf("greeting %q", line)
		}
		raw, _ := json.Marshal(hello{Version: 2, Hash: hashPassword(test.password, message.Salt, message.Iterations)})
		if got := c.do("HELLO " + string(raw)); got != test.want {
			t.Errorf("password %q: %q, want %q", test.password, got, test.want)
		}
	}
}

// Checks the example of the hash in the protocol's specification.
func TestHashPassword(t *testing.T) {
	got := hashPassword("foobar", "55104dc76695721d", 1545)
	if got != "6d877f8e5544b1f2598768f817413ab8a357afffa924dedae99eb91472d4ec30" {
		t.Errorf("hash %s, want that of the specification", got)
	}
}

// A job that no worker fetches in time is rejected, and the reply says after what
// time to retry. A job with hardly any time left is rejected at once.
func TestRejectionsAndDeadlines(t *testing.T) {
	address, rig := openFrontEnd(t, serverConfig, nil)
	producer := dialProducer(t, address)
	got := producer.do(pushCommand("late-00001", "renewal", `"time_left_ms":300`))
	if !strings.HasPrefix(got, "-ERR REFUSED pushing it again is harmless; retry after ") {
		t.Errorf("no worker: %q", got)
	}
	got = producer.do(pushCommand("late-00001", "renewal", `"time_left_ms":1`))
	if !strings.HasPrefix(got, "-ERR REFUSED") {
		t.Errorf("no time, and the same jid again after a rejection: %q", got)
	}
	// A job that was fetched and for which no ACK or FAIL arrives fails at its deadline,
	// because it may have run.
	worker := dialWorker(t, address, "w1")
	fetched := make(chan string, 1)
	go func() { fetched <- worker.fetch(bothQueues) }()
	answer := pushAsync(t, address, pushCommand("late-00002", "renewal", `"time_left_ms":1500,"effort_us":20000`))
	if jidOf(awaitAnswer(t, fetched)) != "late-00002" {
		t.Fatal("not fetched")
	}
	if got := awaitAnswer(t, answer); !strings.HasPrefix(got, "-ERR FAILED it may have run") {
		t.Errorf("after the deadline: %q", got)
	}
	dispatcher := rig.Dispatcher
	rig.Do(func() {
		counts := dispatcher.Counts()
		if dispatcher.Unanswered() != 0 || counts.Rejected != 2 || counts.Failed != 1 {
			t.Errorf("unanswered %d, counts %+v", dispatcher.Unanswered(), counts)
		}
	})
}

// A worker fetches a non-idempotent and an idempotent job on two connections, which
// close before its ACKs. The idempotent job goes to another worker. The
// non-idempotent one is not handed out again, not even when it is pushed again;
// after a late ACK, the reply to a push of it is +OK.
func TestLostAck(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	firstConn := dialWorker(t, address, "w1")
	renewal := pushAsync(t, address, pushCommand("lost-00001", "renewal", ""))
	statusCheck := pushAsync(t, address, pushCommand("lost-00002", "status-check", ""))
	first := firstConn.fetch(bothQueues)
	secondConn := dialWorker(t, address, "w1")
	second := secondConn.fetch(bothQueues)
	fetched := []string{jidOf(first), jidOf(second)}
	if !slices.Contains(fetched, "lost-00001") || !slices.Contains(fetched, "lost-00002") {
		t.Fatalf("fetched %q", fetched)
	}
	producer := dialProducer(t, address)
	pushRenewal := func() string { return producer.do(pushCommand("lost-00001", "renewal", "")) }
	if got := pushRenewal(); !strings.HasPrefix(got, "-ERR REFUSED this jid is in work") {
		t.Errorf("pushed while in progress: %q", got)
	}
	otherWorker := dialWorker(t, address, "w2")
	firstConn.conn.Close()
	secondConn.conn.Close()
	if got := otherWorker.fetch(bothQueues); jidOf(got) != "lost-00002" {
		t.Fatalf("the idempotent job is not retried: %q", got)
	}
	otherWorker.ack("lost-00002")
	if got := awaitAnswer(t, statusCheck); got != "+OK" {
		t.Errorf("status-check: %q", got)
	}
	if got := awaitAnswer(t, renewal); !strings.HasPrefix(got, "-ERR FAILED it may have run") {
		t.Errorf("renewal: %q", got)
	}
	if got := pushRenewal(); !strings.HasPrefix(got, "-ERR FAILED it may have run") {
		t.Errorf("pushed again: %q", got)
	}
	if got := otherWorker.do("FETCH " + bothQueues); got != nullBulk {
		t.Errorf("handed out again: %q", got)
	}
	returned := dialWorker(t, address, "w1") // reconnects and sends the ACK
	if got := returned.ack("lost-00001"); got != "+OK" {
		t.Errorf("late ACK: %q", got)
	}
	if got := pushRenewal(); got != "+OK" {
		t.Errorf("pushed again after the late ACK: %q", got)
	}
}

// A worker that has sent BEAT with the state quiet gets no more jobs, neither by a
// FETCH that was already waiting nor by a later one, but can finish the jobs that it
// has.
func TestQuietWorkerDrains(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	quietConn := dialWorker(t, address, "w1")
	secondQuietConn := dialWorker(t, address, "w1")
	firstAnswer := pushAsync(t, address, pushCommand("quiet-0001", "renewal", ""))
	if jidOf(quietConn.fetch(bothQueues)) != "quiet-0001" {
		t.Fatal("not fetched")
	}
	parked := make(chan string, 1)
	go func() { parked <- secondQuietConn.do("FETCH " + bothQueues) }()
	if got := quietConn.do(`BEAT {"wid":"w1","current_state":"quiet"}`); got != "+OK" {
		t.Fatalf("BEAT %q", got)
	}
	secondAnswer := pushAsync(t, address, pushCommand("quiet-0002", "status-check", ""))
	if got := awaitAnswer(t, parked); got != nullBulk {
		t.Errorf("a quiet worker was given %q", got)
	}
	if got := secondQuietConn.do("FETCH " + bothQueues); got != nullBulk {
		t.Errorf("a quiet worker was given %q", got)
	}
	quietConn.ack("quiet-0001")
	if got := awaitAnswer(t, firstAnswer); got != "+OK" {
		t.Errorf("the job that it had: %q", got)
	}
	other := dialWorker(t, address, "w2")
	if got := awaitAnswer(t, secondAnswer); !strings.HasPrefix(got, "-ERR REFUSED") { // no worker has sent a FETCH for it
		t.Errorf("with no worker but a quiet one: %q", got)
	}
	thirdAnswer := pushAsync(t, address, pushCommand("quiet-0003", "status-check", ""))
	other.expectFetch("status-check", "quiet-0003")
	other.ack("quiet-0003")
	if got := awaitAnswer(t, thirdAnswer); got != "+OK" {
		t.Errorf("the job of the other worker: %q", got)
	}
}

// A worker gets only jobs from the queues that its FETCH names.
func TestWorkerGetsOnlyItsQueues(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	workers := map[*client]string{
		dialWorker(t, address, "checks"):   "status-check",
		dialWorker(t, address, "renewals"): "renewal",
	}
	var running sync.WaitGroup
	for worker, class := range workers {
		running.Go(func() {
			for range 3 {
				var got work
				json.Unmarshal([]byte(worker.fetch(class)), &got)
				if got.Queue != class {
					t.Errorf("fetched %+v from %s", got, class)
				}
				worker.ack(got.Jid)
			}
		})
	}
	for i := range 3 {
		for _, class := range []string{"status-check", "renewal"} {
			answer := pushAsync(t, address, pushCommand(fmt.Sprintf("bind-%s%d", class, i), class, ""))
			if got := awaitAnswer(t, answer); got != "+OK" {
				t.Errorf("%s: %q", class, got)
			}
		}
	}
	running.Wait()
}

// runCounts counts the jobs that each worker has run, by wid.
type runCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newRunCounts() *runCounts { return &runCounts{counts: map[string]int{}} }

func (r *runCounts) add(wid string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[wid]++
}

// take returns the counts and resets them.
func (r *runCounts) take() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	r.counts = map[string]int{}
	return counts
}

// pushAll pushes the jobs with the numbers from first to end-1 on six connections,
// and waits for all replies, which are sent when the jobs have run.
func pushAll(t *testing.T, address string, first, end int) {
	t.Helper()
	const producers = 6
	var running sync.WaitGroup
	for number := range producers {
		producer := dialProducer(t, address)
		running.Go(func() {
			for i := first + number; i < end; i += producers {
				got := producer.do(pushCommand(fmt.Sprintf("cold-%05d", i), "status-check", `"effort_us":2000`))
				if got != "+OK" {
					t.Errorf("job %d: %q", i, got)
				}
			}
		})
	}
	running.Wait()
}

// A worker in slow start gets fewer jobs than workers that have completed their slow
// start.
func TestSlowStartSparesNewWorker(t *testing.T) {
	address, _ := openFrontEnd(t, serverConfig, nil)
	runs := newRunCounts()
	serve := func(wid string, startedAt int64) {
		worker := dialWorker(t, address, wid, fmt.Sprintf("born_ms:%d", startedAt))
		go worker.serveJobs(func(string) {
			time.Sleep(2 * time.Millisecond)
			runs.add(wid)
		})
	}
	serve("warm1", 1)
	serve("warm2", 1)
	pushAll(t, address, 0, 60)
	serve("cold", time.Now().UnixMilli())
	runs.take()
	pushAll(t, address, 60, 180)
	ran := runs.take()
	warm := ran["warm1"] + ran["warm2"]
	if total := warm + ran["cold"]; total != 120 {
		t.Errorf("ran %v, want 120 in all", ran)
	}
	if 3*ran["cold"] > warm {
		t.Errorf("the worker in slow start got its full share or more: %v", ran)
	}
}
