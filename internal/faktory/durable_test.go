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

// withDurableFront runs a front end with durable queues, from its start on the
// store at file to its end. options are further lines of the durable table.
func withDurableFront(t *testing.T, file, options string, run func(addr string)) {
	t.Helper()
	t.Run("", func(t *testing.T) {
		addr, _ := openFront(t, serverConfig+"[durable]\npath = \""+file+"\"\nqueues = [\"renewal\", \"status-check\"]\n"+options, func(s *decision.Settings) {
			for i := range s.Classes {
				s.Classes[i].Deadline = 2 * time.Second
			}
		})
		run(addr)
	})
}

type leasedJob struct {
	Jid    string
	Args   json.RawMessage
	Custom struct{ Fence uint64 }
}

func (p *client) lease(queues string) (l leasedJob) {
	p.t.Helper()
	got := p.fetch(queues)
	if err := json.Unmarshal([]byte(got), &l); err != nil || l.Custom.Fence == 0 {
		p.t.Fatalf("fetched %q", got)
	}
	return l
}

func (p *client) expect(command, want string) {
	p.t.Helper()
	if got := p.do(command); !strings.HasPrefix(got, want) || want == "+OK" && got != want {
		p.t.Fatalf("%.60s: %q, want %q", command, got, want)
	}
}

func stateOf(p *client, jid string) string {
	var got struct{ State string }
	json.Unmarshal([]byte(p.do("TRACK GET "+jid)), &got)
	return got.State
}

func (p *client) awaitState(jid, want string) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); stateOf(p, jid) != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%s is %q, and not %q in time", jid, stateOf(p, jid), want)
		}
	}
}

// A job is stored before it runs, survives restarts, and runs once, however often
// its producer pushes and its worker acknowledges it.
func TestDurableJobsSurviveRestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "jobs.db")
	var first leasedJob
	withDurableFront(t, file, "", func(addr string) {
		p := dial(t, addr, hello{})
		p.expect(pushCommand("keep-00001", "renewal", ""), "+OK")
		p.expect(pushCommand("keep-00001", "renewal", ""), "+OK")
		p.expect(pushCommand("keep-00002", "renewal", ""), "+OK")
		p.expect(strings.Replace(pushCommand("keep-00002", "renewal", ""), "[1]", "[2]", 1), "-ERR NOTUNIQUE")
		w := dial(t, addr, hello{Wid: "w1", Labels: []string{"fences:1"}})
		first = w.lease("renewal")
		if first.Jid != "keep-00001" || string(first.Args) != "[1]" {
			t.Fatalf("leased %+v", first)
		}
		w.expect(fmt.Sprintf(`START {"jid":"keep-00001","fence":%d}`, first.Custom.Fence), "+OK")
		w.expect(fmt.Sprintf(`START {"jid":"keep-00001","fence":%d}`, first.Custom.Fence+1), "-ERR VOID")
	})
	withDurableFront(t, file, "", func(addr string) {
		p := dial(t, addr, hello{})
		p.expect(pushCommand("keep-00001", "renewal", ""), "+OK")
		if stateOf(p, "keep-00001") != "working" || stateOf(p, "keep-00002") != "enqueued" {
			t.Fatalf("after a restart: %s, %s", stateOf(p, "keep-00001"), stateOf(p, "keep-00002"))
		}
		w2 := dial(t, addr, hello{Wid: "w2"})
		if l := w2.lease("renewal"); l.Jid != "keep-00002" || l.Custom.Fence <= first.Custom.Fence {
			t.Fatalf("leased %+v after %+v", l, first)
		}
		w2.expect(`ACK {"jid":"keep-00001"}`, "-ERR VOID") // it is w1's
		w2.expect(`ACK {"jid":"keep-00002"}`, "+OK")
		w2.expect(`ACK {"jid":"keep-00002"}`, "+OK")
		w1 := dial(t, addr, hello{Wid: "w1"})
		w1.expect(`ACK {"jid":"keep-00001"}`, "+OK")
		if stateOf(p, "keep-00001") != "success" || stateOf(p, "keep-00002") != "success" {
			t.Errorf("at the end: %s, %s", stateOf(p, "keep-00001"), stateOf(p, "keep-00002"))
		}
	})
	withDurableFront(t, file, "", func(addr string) {
		p, w := dial(t, addr, hello{}), dial(t, addr, hello{Wid: "w1"})
		p.expect(pushCommand("keep-00001", "renewal", ""), "+OK")
		if got := w.do("FETCH renewal"); got != "$-1" {
			t.Errorf("run again: %q", got)
		}
	})
}

// A worker disconnects with two leased jobs. When the leases expire, the
// non-idempotent job is in doubt and the idempotent one goes to the next worker.
// A non-idempotent job that a worker which honors fences has not started goes to
// the next worker too, and the first one's START is not granted.
func TestDurableLeaseExpires(t *testing.T) {
	withDurableFront(t, filepath.Join(t.TempDir(), "jobs.db"), "lease_s = 0.3\nbackoff_s = 0.01\n", func(addr string) {
		p, w1, w2 := dial(t, addr, hello{}), dial(t, addr, hello{Wid: "w1"}), dial(t, addr, hello{Wid: "w2", Labels: []string{"fences:1"}})
		for _, class := range []string{"renewal", "status-check"} {
			p.expect(pushCommand("lost-"+class, class, ""), "+OK")
			if l := w1.lease(class); l.Jid != "lost-"+class {
				t.Fatalf("leased %+v", l)
			}
		}
		p.expect(pushCommand("slow-00001", "renewal", `"effort_us":1`), "+OK")
		old := w2.lease("renewal")
		p.awaitState("lost-renewal", "in doubt")
		again := w1.lease("status-check")
		if again.Jid != "lost-status-check" {
			t.Fatalf("leased %+v", again)
		}
		w1.expect(`ACK {"jid":"lost-status-check"}`, "+OK")
		now := w1.lease("renewal")
		if now.Jid != "slow-00001" || now.Custom.Fence <= old.Custom.Fence {
			t.Fatalf("leased %+v after %+v", now, old)
		}
		w2.expect(fmt.Sprintf(`START {"jid":"slow-00001","fence":%d}`, old.Custom.Fence), "-ERR VOID")
		w2.expect(fmt.Sprintf(`ACK {"jid":"slow-00001","fence":%d}`, old.Custom.Fence), "-ERR VOID")
		for range 5 { // heartbeats renew the lease
			time.Sleep(100 * time.Millisecond)
			w1.expect(`BEAT {"wid":"w1"}`, "+OK")
		}
		w1.expect(`ACK {"jid":"slow-00001"}`, "+OK")
		w1.expect(`ACK {"jid":"lost-renewal"}`, "+OK") // a late ACK proves that it ran
		p.awaitState("lost-renewal", "success")
	})
}

// durableRun is a producer and a worker of a front end with durable queues.
type durableRun struct {
	t        *testing.T
	producer *client
	worker   *client
}

func newDurableRun(t *testing.T, address string) *durableRun {
	return &durableRun{
		t:        t,
		producer: dial(t, address, hello{}),
		worker:   dial(t, address, hello{Wid: "w1"}),
	}
}

// lease fetches a job, which must be that of jid.
func (r *durableRun) lease(queues, jid string) {
	r.t.Helper()
	if l := r.worker.lease(queues); l.Jid != jid {
		r.t.Fatalf("leased %s, not %s", l.Jid, jid)
	}
}

// The order of queues in FETCH holds, not the order of PUSHes.
func (r *durableRun) checkQueueOrder() {
	r.producer.expect(pushCommand("order-check", "status-check", ""), "+OK")
	r.producer.expect(pushCommand("order-renewal", "renewal", ""), "+OK")
	for _, jid := range []string{"order-renewal", "order-check"} {
		r.lease("renewal status-check", jid)
		r.worker.expect(`ACK {"jid":"`+jid+`"}`, "+OK")
	}
}

// Attempts are bounded, by the job's retry field too. A non-idempotent job that
// has run is dead after its first failure.
func (r *durableRun) checkRetries() {
	r.producer.expect(pushCommand("fails-twice", "status-check", ""), "+OK")
	for range 2 {
		r.lease("status-check", "fails-twice")
		r.worker.expect(`FAIL {"jid":"fails-twice","errtype":"Broken","message":"no till"}`, "+OK")
	}
	r.producer.awaitState("fails-twice", "dead")
	r.producer.expect(strings.Replace(pushCommand("fails-once", "status-check", ""), `"args"`, `"retry":-1,"args"`, 1), "+OK")
	r.worker.lease("status-check")
	r.worker.expect(`FAIL {"jid":"fails-once"}`, "+OK")
	r.producer.awaitState("fails-once", "discarded")
	r.producer.expect(pushCommand("fails-paid", "renewal", ""), "+OK")
	r.worker.lease("renewal")
	r.worker.expect(`FAIL {"jid":"fails-paid","started":false}`, "+OK") // it never began
	r.worker.lease("renewal")
	r.worker.expect(`FAIL {"jid":"fails-paid"}`, "+OK")
	r.producer.awaitState("fails-paid", "dead")
}

// MUTATE moves what its filter matches, but no job that might run twice.
func (r *durableRun) checkRequeue() {
	r.producer.expect(`MUTATE {"cmd":"requeue","target":"dead","filter":{"jids":["fails-paid"]}}`, "-ERR REFUSED")
	r.producer.expect(`MUTATE {"cmd":"requeue","target":"dead","filter":{"regexp":"*no such thing*"}}`, "+OK")
	r.producer.awaitState("fails-twice", "dead")
	r.producer.expect(`MUTATE {"cmd":"requeue","target":"dead","filter":{"regexp":"*fails-tw*"}}`, "+OK")
	r.lease("status-check", "fails-twice")
}

// TRACK tells the progress of a job.
func (r *durableRun) checkProgress() {
	r.worker.expect(`TRACK SET {"jid":"fails-twice","percent":40,"desc":"at the till"}`, "+OK")
	if got := r.producer.do("TRACK GET fails-twice"); !strings.Contains(got, `"percent":40`) || !strings.Contains(got, `"working"`) {
		r.t.Errorf("TRACK: %s", got)
	}
	r.worker.expect(`ACK {"jid":"fails-twice"}`, "+OK")
}

// PUSHB stores several jobs, some for later.
func (r *durableRun) checkScheduledBulk() {
	soon := time.Now().Add(300 * time.Millisecond)
	scheduled := func(jid string, at time.Time) string {
		return strings.TrimPrefix(strings.Replace(pushCommand(jid, "renewal", ""), `"args"`, `"at":"`+at.Format(time.RFC3339Nano)+`","args"`, 1), "PUSH ")
	}
	r.producer.expect("PUSHB ["+scheduled("bulk-00001", soon)+","+scheduled("bulk-00002", soon.Add(time.Hour))+`,{"jid":"x"}]`, `{"[2]":"jid:`)
	if l := r.worker.lease("renewal"); l.Jid != "bulk-00001" || time.Now().Before(soon) {
		r.t.Fatalf("leased %+v, %s early", l, time.Until(soon))
	}
	r.worker.expect(`ACK {"jid":"bulk-00001"}`, "+OK")
	r.producer.expect(`MUTATE {"cmd":"kill","target":"scheduled","filter":{"jobtype":"x"}}`, "+OK")
	r.producer.awaitState("bulk-00002", "dead")
}

// Invalid commands are rejected.
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

// checkPaused checks that a queue which was paused before a restart hands
// nothing out until it is resumed.
func (r *durableRun) checkPaused() {
	if got := r.worker.do("FETCH renewal"); got != "$-1" {
		r.t.Errorf("paused, and handed out: %q", got)
	}
	info := r.producer.do("INFO")
	for _, want := range []string{`"paused":["renewal"]`, `"renewal":1`, `"Dead":{"size":2}`, `"Done":{"size":4}`, `"total_enqueued":1`} {
		if !strings.Contains(info, want) {
			r.t.Errorf("INFO lacks %s: %s", want, info)
		}
	}
	r.producer.expect("QUEUE RESUME *", "+OK")
	r.lease("renewal", "held-00001")
}

// QUEUE REMOVE and FLUSH discard jobs that wait, and no leased one.
func (r *durableRun) checkDiscarding() {
	p := r.producer
	p.expect(pushCommand("held-00002", "renewal", ""), "+OK")
	p.expect("QUEUE REMOVE renewal", "+OK")
	if stateOf(p, "held-00002") != "discarded" || stateOf(p, "held-00001") != "working" {
		r.t.Errorf("removed: %s, %s", stateOf(p, "held-00002"), stateOf(p, "held-00001"))
	}
	p.expect("FLUSH", "+OK")
	if stateOf(p, "fails-paid") != "discarded" || stateOf(p, "held-00001") != "working" {
		r.t.Errorf("flushed: %s, %s", stateOf(p, "fails-paid"), stateOf(p, "held-00001"))
	}
}

// The commands of durable queues do what the protocol says, over a restart too.
func TestDurableCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "jobs.db")
	withDurableFront(t, file, "backoff_s = 0.05\nattempts = 2\n", func(address string) {
		r := newDurableRun(t, address)
		r.checkQueueOrder()
		r.checkRetries()
		r.checkRequeue()
		r.checkProgress()
		r.checkScheduledBulk()
		r.producer.expect("QUEUE PAUSE renewal", "+OK")
		r.producer.expect(pushCommand("held-00001", "renewal", ""), "+OK")
		r.checkRejections()
	})
	withDurableFront(t, file, "flush = true\n", func(address string) {
		r := newDurableRun(t, address)
		r.checkPaused()
		r.checkDiscarding()
	})
}
