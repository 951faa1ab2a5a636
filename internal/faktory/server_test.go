package faktory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestPushIsAnsweredWhenTheJobCompletes(t *testing.T) {
	addr, _ := openFront(t, serverConfig, nil)
	w := dial(t, addr, hello{Wid: "w1"})
	for _, test := range []struct{ class, verb, want string }{
		{"status-check", "ACK", "+OK"},
		{"renewal", "ACK", "+OK"},
		{"renewal", "FAIL", "-ERR FAILED it may have run; it will not be run again under this jid"},
	} {
		jid := "job-" + test.class + test.verb
		got := pushAsync(t, addr, pushCommand(jid, test.class, ""))
		if raw := w.fetch(bothQueues); jidOf(raw) != jid || !strings.Contains(raw, `"args":[1]`) {
			t.Fatalf("fetched %q", raw)
		}
		if r := w.do(test.verb + ` {"jid":"` + jid + `"}`); r != "+OK" {
			t.Fatalf("%s: %q", test.verb, r)
		}
		if a := awaitAnswer(t, got); a != test.want {
			t.Errorf("%s after %s: %q, want %q", test.class, test.verb, a, test.want)
		}
	}
	info := w.do("INFO")
	if !strings.Contains(info, `"total_processed":2`) {
		t.Errorf("INFO %s", info)
	}
	if r := w.do("END"); r != "+OK" {
		t.Errorf("END %q", r)
	}
	if _, err := w.reply(); err == nil {
		t.Error("the connection stays open after END")
	}
}

func TestBadInputIsAnswered(t *testing.T) {
	addr, _ := openFront(t, serverConfig, nil)
	p := dial(t, addr, hello{})
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
		if got := p.do(command); !strings.HasPrefix(got, want) {
			t.Errorf("%.40s: %q, want %q", command, got, want)
		}
	}
	// A line without an end must not take up memory without bound.
	if got := p.do(strings.Repeat("x", maxCommandBytes+100)); !strings.HasPrefix(got, "-ERR MALFORMED") {
		t.Errorf("endless line: %.60q", got)
	}
	for _, first := range []string{`HELLO {"v":3}`, `HELLO x`, `PUSH {}`, `HELLO {"v":2,"wid":"a b"}`} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		q := &client{t, conn, bufio.NewReader(conn)}
		q.reply()
		if got := q.do(first); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("%s: %q", first, got)
		}
		if _, err := q.reply(); err == nil {
			t.Errorf("%s: the connection stays open", first)
		}
		conn.Close()
	}
}

func TestPassword(t *testing.T) {
	addr, _ := openFront(t, serverConfig+"password = \"open sesame\"\n", nil)
	for _, test := range []struct{ password, want string }{{"open sesame", "+OK"}, {"", "-ERR Invalid password"}} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		p := &client{t, conn, bufio.NewReader(conn)}
		hi, _ := p.reply()
		var g greeting
		if err := json.Unmarshal([]byte(strings.TrimPrefix(hi, "+HI ")), &g); err != nil || g.Salt == "" || g.Iterations < 1 {
			t.Fatalf("greeting %q", hi)
		}
		raw, _ := json.Marshal(hello{Version: 2, Hash: hashPassword(test.password, g.Salt, g.Iterations)})
		if got := p.do("HELLO " + string(raw)); got != test.want {
			t.Errorf("password %q: %q, want %q", test.password, got, test.want)
		}
	}
	// The specification's own example of the hash.
	if got := hashPassword("foobar", "55104dc76695721d", 1545); got != "6d877f8e5544b1f2598768f817413ab8a357afffa924dedae99eb91472d4ec30" {
		t.Errorf("hash %s", got)
	}
}

// A job that no worker fetches in time is rejected with a Retry-After; one whose
// client has no time left is rejected at once.
func TestRejectionsAndDeadlines(t *testing.T) {
	addr, c := openFront(t, serverConfig, nil)
	p := dial(t, addr, hello{})
	if got := p.do(pushCommand("late-00001", "renewal", `"time_left_ms":300`)); !strings.HasPrefix(got, "-ERR REFUSED pushing it again is harmless; retry after ") {
		t.Errorf("no worker: %q", got)
	}
	if got := p.do(pushCommand("late-00001", "renewal", `"time_left_ms":1`)); !strings.HasPrefix(got, "-ERR REFUSED") {
		t.Errorf("no time, and the same jid again after a rejection: %q", got)
	}
	// Handed out, and never closed: at the deadline it fails, for it may have run.
	w := dial(t, addr, hello{Wid: "w1"})
	fetched := make(chan string, 1)
	go func() { fetched <- w.fetch(bothQueues) }()
	got := pushAsync(t, addr, pushCommand("late-00002", "renewal", `"time_left_ms":1500,"effort_us":20000`))
	if jidOf(awaitAnswer(t, fetched)) != "late-00002" {
		t.Fatal("not fetched")
	}
	if a := awaitAnswer(t, got); !strings.HasPrefix(a, "-ERR FAILED it may have run") {
		t.Errorf("overdue: %q", a)
	}
	onLoop(t, c, func() {
		if c.Unanswered() != 0 || c.Counts().Rejected != 2 || c.Counts().Failed != 1 {
			t.Errorf("unanswered %d, counts %+v", c.Unanswered(), c.Counts())
		}
	})
}

// A worker fetches a non-idempotent job and disconnects before its ACK. The job
// is not handed out again, not even when it is pushed again; a late ACK makes it
// served. An idempotent job goes to another worker.
func TestLostAck(t *testing.T) {
	addr, _ := openFront(t, serverConfig, nil)
	w1 := dial(t, addr, hello{Wid: "w1"})
	lost, other := pushAsync(t, addr, pushCommand("lost-00001", "renewal", "")), pushAsync(t, addr, pushCommand("lost-00002", "status-check", ""))
	first, second := w1.fetch(bothQueues), ""
	w1b := dial(t, addr, hello{Wid: "w1"})
	second = w1b.fetch(bothQueues)
	if got := []string{jidOf(first), jidOf(second)}; !slices.Contains(got, "lost-00001") || !slices.Contains(got, "lost-00002") {
		t.Fatalf("fetched %q", got)
	}
	again := dial(t, addr, hello{})
	if got := again.do(pushCommand("lost-00001", "renewal", "")); !strings.HasPrefix(got, "-ERR REFUSED this jid is in work") {
		t.Errorf("pushed while in progress: %q", got)
	}
	w2 := dial(t, addr, hello{Wid: "w2"})
	w1.conn.Close()
	w1b.conn.Close()
	if got := w2.fetch(bothQueues); jidOf(got) != "lost-00002" {
		t.Fatalf("the idempotent job is not retried: %q", got)
	}
	w2.do(`ACK {"jid":"lost-00002"}`)
	if a := awaitAnswer(t, other); a != "+OK" {
		t.Errorf("status-check: %q", a)
	}
	if a := awaitAnswer(t, lost); !strings.HasPrefix(a, "-ERR FAILED it may have run") {
		t.Errorf("renewal: %q", a)
	}
	if got := again.do(pushCommand("lost-00001", "renewal", "")); !strings.HasPrefix(got, "-ERR FAILED it may have run") {
		t.Errorf("pushed again: %q", got)
	}
	if got := w2.do("FETCH " + bothQueues); got != "$-1" {
		t.Errorf("handed out again: %q", got)
	}
	w3 := dial(t, addr, hello{Wid: "w1"}) // back, with the ACK that was lost
	if got := w3.do(`ACK {"jid":"lost-00001"}`); got != "+OK" {
		t.Errorf("late ACK: %q", got)
	}
	if got := again.do(pushCommand("lost-00001", "renewal", "")); got != "+OK" {
		t.Errorf("pushed again after the late ACK: %q", got)
	}
}

// A worker that has said quiet gets no job, neither on the FETCH that is parked
// nor on its next one; it finishes the jobs that it has.
func TestQuietWorkerDrains(t *testing.T) {
	addr, _ := openFront(t, serverConfig, nil)
	w1, w1b := dial(t, addr, hello{Wid: "w1"}), dial(t, addr, hello{Wid: "w1"})
	had := pushAsync(t, addr, pushCommand("quiet-0001", "renewal", ""))
	if jidOf(w1.fetch(bothQueues)) != "quiet-0001" {
		t.Fatal("not fetched")
	}
	parked := make(chan string, 1)
	go func() { parked <- w1b.do("FETCH " + bothQueues) }()
	if got := w1.do(`BEAT {"wid":"w1","current_state":"quiet"}`); got != "+OK" {
		t.Fatalf("BEAT %q", got)
	}
	late := pushAsync(t, addr, pushCommand("quiet-0002", "status-check", ""))
	if got := awaitAnswer(t, parked); got != "$-1" {
		t.Errorf("a quiet worker was given %q", got)
	}
	if got := w1b.do("FETCH " + bothQueues); got != "$-1" {
		t.Errorf("a quiet worker was given %q", got)
	}
	w1.do(`ACK {"jid":"quiet-0001"}`)
	if a := awaitAnswer(t, had); a != "+OK" {
		t.Errorf("what it had: %q", a)
	}
	w2 := dial(t, addr, hello{Wid: "w2"})
	if a := awaitAnswer(t, late); !strings.HasPrefix(a, "-ERR REFUSED") { // it waited for the next FETCH without success
		t.Errorf("with no worker but a quiet one: %q", a)
	}
	next := pushAsync(t, addr, pushCommand("quiet-0003", "status-check", ""))
	if got := w2.fetch("status-check"); jidOf(got) != "quiet-0003" {
		t.Fatalf("the other worker got %q", got)
	}
	w2.do(`ACK {"jid":"quiet-0003"}`)
	if a := awaitAnswer(t, next); a != "+OK" {
		t.Errorf("next: %q", a)
	}
}

// A worker gets only jobs of the queues that it names.
func TestWorkerGetsOnlyItsQueues(t *testing.T) {
	addr, _ := openFront(t, serverConfig, nil)
	checks, renewals := dial(t, addr, hello{Wid: "checks"}), dial(t, addr, hello{Wid: "renewals"})
	var wg sync.WaitGroup
	for w, class := range map[*client]string{checks: "status-check", renewals: "renewal"} {
		wg.Go(func() {
			for range 3 {
				var got work
				json.Unmarshal([]byte(w.fetch(class)), &got)
				if got.Queue != class {
					t.Errorf("fetched %+v from %s", got, class)
				}
				w.do(`ACK {"jid":"` + got.Jid + `"}`)
			}
		})
	}
	for i := range 3 {
		for _, class := range []string{"status-check", "renewal"} {
			if a := awaitAnswer(t, pushAsync(t, addr, pushCommand(fmt.Sprintf("bind-%s%d", class, i), class, ""))); a != "+OK" {
				t.Errorf("%s: %q", class, a)
			}
		}
	}
	wg.Wait()
}

// A worker in slow start gets fewer jobs than the warmed-up ones.
func TestSlowStartSparesNewWorker(t *testing.T) {
	addr, _ := openFront(t, serverConfig, nil)
	var mu sync.Mutex
	ran := map[string]int{}
	serve := func(wid string, born int64) {
		w := dial(t, addr, hello{Wid: wid, Labels: []string{fmt.Sprintf("born_ms:%d", born)}})
		go func() {
			for {
				raw := w.do("FETCH " + bothQueues)
				if strings.HasPrefix(raw, "broken") {
					return
				}
				if raw == "$-1" {
					continue
				}
				time.Sleep(2 * time.Millisecond)
				mu.Lock()
				ran[wid]++
				mu.Unlock()
				w.do(`ACK {"jid":"` + jidOf(raw) + `"}`)
			}
		}()
	}
	serve("warm1", 1)
	serve("warm2", 1)
	load := func(from, to int) {
		var wg sync.WaitGroup
		for lane := range 6 {
			p := dial(t, addr, hello{})
			wg.Go(func() {
				for i := from + lane; i < to; i += 6 {
					if a := p.do(pushCommand(fmt.Sprintf("cold-%05d", i), "status-check", `"effort_us":2000`)); a != "+OK" {
						t.Errorf("job %d: %q", i, a)
					}
				}
			})
		}
		wg.Wait()
	}
	load(0, 60)
	serve("cold", time.Now().UnixMilli())
	mu.Lock()
	clear(ran)
	mu.Unlock()
	load(60, 180)
	mu.Lock()
	defer mu.Unlock()
	if total := ran["warm1"] + ran["warm2"] + ran["cold"]; total != 120 {
		t.Errorf("ran %v, want 120 in all", ran)
	}
	if 3*ran["cold"] > ran["warm1"]+ran["warm2"] {
		t.Errorf("the worker in slow start got its full share or more: %v", ran)
	}
}
