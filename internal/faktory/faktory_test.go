package faktory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// The stand-ins here are written from the public specification of the
// protocol: a producer, a worker, and a server with reservations.

const patience = 20 * time.Second // no test waits that long unless something is broken

// front runs the front with an operator's file and returns its address.
func front(t testing.TB, toml string, tune func(*decision.Settings)) (addr string, c *dispatch.Dispatcher) {
	t.Helper()
	s := decision.Settings{
		Classes: []decision.Class{
			{Name: "status-check", PriorityWeight: 3, LateWeight: 0.25, LatencyObjective: 4 * time.Second, Deadline: 5 * time.Second},
			{Name: "renewal", PriorityWeight: 5, LateWeight: 0.5, LatencyObjective: 4 * time.Second, Deadline: 8 * time.Second, Idempotency: decision.NonIdempotent},
		},
		Tick: time.Millisecond, MaxAttempts: 3, Cancellation: true, StartNotices: true, MaxRetryAfter: 2 * time.Second,
		SlowStartFloor: 0.33, SlowStartDuration: 8600 * time.Millisecond, OverloadMultiple: 4, OverloadWindow: time.Second,
		FreeSlots: "x0", DrainGrace: 500 * time.Millisecond,
	}
	if tune != nil {
		tune(&s)
	}
	path := filepath.Join(t.TempDir(), "faktory.toml")
	if err := os.WriteFile(path, []byte(toml), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := ReadConfig(path, &s)
	if err != nil {
		t.Fatal(err)
	}
	if err := Prepare(&s); err != nil {
		t.Fatal(err)
	}
	loop := eventloop.New()
	if c, err = dispatch.New(loop, s, 1); err != nil {
		t.Fatal(err)
	}
	engine, err := transport.NewEngine(loop, 512)
	if err != nil {
		t.Fatal(err)
	}
	c.Log = func(text string) {
		if a, ok := strings.CutPrefix(text, "faktory: listening on "); ok {
			addr = a
		}
	}
	f, err := Open(c, engine, config, 200, nil)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	t.Cleanup(func() { loop.Stop(); <-done; f.End(); engine.StopListening() })
	return addr, c
}

const serverOnly = "listen = \"127.0.0.1:0\"\n"

// peer is a client of the protocol.
type peer struct {
	t    testing.TB
	conn net.Conn
	r    *bufio.Reader
}

func dial(t testing.TB, addr string, h hello) *peer {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * patience))
	p := &peer{t, conn, bufio.NewReader(conn)}
	if hi, _ := p.reply(); !strings.HasPrefix(hi, "+HI {") {
		t.Fatalf("greeting %q", hi)
	}
	h.V = 2
	raw, _ := json.Marshal(h)
	if got := p.do("HELLO " + string(raw)); got != "+OK" {
		t.Fatalf("HELLO: %q", got)
	}
	return p
}

// reply reads one reply: its line, or the text of a bulk string.
func (p *peer) reply() (string, error) {
	line, err := p.r.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	var n int
	if _, bulk := fmt.Sscanf(line, "$%d", &n); err != nil || bulk != nil || n < 0 {
		return line, err
	}
	text := make([]byte, n+2)
	_, err = io.ReadFull(p.r, text)
	return string(text[:n]), err
}

func (p *peer) do(command string) string {
	p.conn.Write([]byte(command + "\r\n"))
	got, err := p.reply()
	if err != nil {
		return "broken: " + err.Error()
	}
	return got
}

func job(jid, class, custom string) string {
	if custom == "" {
		custom = `"effort_us":20000`
	}
	return fmt.Sprintf(`PUSH {"jid":%q,"queue":%q,"jobtype":"x","args":[1],"custom":{%s}}`, jid, class, custom)
}

func jidOf(text string) string {
	var w work
	json.Unmarshal([]byte(text), &w)
	return w.Jid
}

// push pushes on a connection of its own and returns where the answer comes.
func push(t *testing.T, addr, command string) chan string {
	got := make(chan string, 1)
	p := dial(t, addr, hello{})
	go func() { got <- p.do(command) }()
	return got
}

func await(t *testing.T, got chan string) string {
	t.Helper()
	select {
	case s := <-got:
		return s
	case <-time.After(patience):
		t.Fatal("no answer")
		return ""
	}
}

// fetch fetches until there is a job.
func (p *peer) fetch(queues string) string {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if got := p.do("FETCH " + queues); got != "$-1" {
			return got
		}
	}
	p.t.Fatal("no job")
	return ""
}

const bothQueues = "status-check renewal"

func TestPushIsAnsweredWhenTheJobIsOver(t *testing.T) {
	addr, _ := front(t, serverOnly, nil)
	w := dial(t, addr, hello{Wid: "w1"})
	for _, test := range []struct{ class, verb, want string }{
		{"status-check", "ACK", "+OK"},
		{"renewal", "ACK", "+OK"},
		{"renewal", "FAIL", "-ERR FAILED it may have run; it will not be run again under this jid"},
	} {
		jid := "job-" + test.class + test.verb
		got := push(t, addr, job(jid, test.class, ""))
		if raw := w.fetch(bothQueues); jidOf(raw) != jid || !strings.Contains(raw, `"args":[1]`) {
			t.Fatalf("fetched %q", raw)
		}
		if r := w.do(test.verb + ` {"jid":"` + jid + `"}`); r != "+OK" {
			t.Fatalf("%s: %q", test.verb, r)
		}
		if a := await(t, got); a != test.want {
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
		t.Error("the session goes on after END")
	}
}

func TestBadInputIsAnswered(t *testing.T) {
	addr, _ := front(t, serverOnly, nil)
	p := dial(t, addr, hello{})
	for command, want := range map[string]string{
		job("job-00001", "nonsense", ""):                                                   "-ERR UNKNOWN",
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
	// Guards against memory without bound: a line without an end is cut off.
	if got := p.do(strings.Repeat("x", maxCommandBytes+100)); !strings.HasPrefix(got, "-ERR MALFORMED") {
		t.Errorf("endless line: %.60q", got)
	}
	for _, first := range []string{`HELLO {"v":3}`, `HELLO x`, `PUSH {}`, `HELLO {"v":2,"wid":"a b"}`} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		q := &peer{t, conn, bufio.NewReader(conn)}
		q.reply()
		if got := q.do(first); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("%s: %q", first, got)
		}
		if _, err := q.reply(); err == nil {
			t.Errorf("%s: the session goes on", first)
		}
		conn.Close()
	}
}

func TestPassword(t *testing.T) {
	addr, _ := front(t, serverOnly+"password = \"open sesame\"\n", nil)
	for _, test := range []struct{ password, want string }{{"open sesame", "+OK"}, {"", "-ERR Invalid password"}} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		p := &peer{t, conn, bufio.NewReader(conn)}
		hi, _ := p.reply()
		var g greeting
		if err := json.Unmarshal([]byte(strings.TrimPrefix(hi, "+HI ")), &g); err != nil || g.Salt == "" || g.Iterations < 1 {
			t.Fatalf("greeting %q", hi)
		}
		raw, _ := json.Marshal(hello{V: 2, Hash: hashPassword(test.password, g.Salt, g.Iterations)})
		if got := p.do("HELLO " + string(raw)); got != test.want {
			t.Errorf("password %q: %q, want %q", test.password, got, test.want)
		}
	}
	// The specification's own example of the hash.
	if got := hashPassword("foobar", "55104dc76695721d", 1545); got != "6d877f8e5544b1f2598768f817413ab8a357afffa924dedae99eb91472d4ec30" {
		t.Errorf("hash %s", got)
	}
}

// A job that no worker takes in time is refused, with the time to come back;
// one whose client has no time left is refused at once.
func TestRefusalsAndDeadlines(t *testing.T) {
	addr, c := front(t, serverOnly, nil)
	p := dial(t, addr, hello{})
	if got := p.do(job("late-00001", "renewal", `"time_left_ms":300`)); !strings.HasPrefix(got, "-ERR REFUSED pushing it again is harmless; retry after ") {
		t.Errorf("no worker: %q", got)
	}
	if got := p.do(job("late-00001", "renewal", `"time_left_ms":1`)); !strings.HasPrefix(got, "-ERR REFUSED") {
		t.Errorf("no time, and the same jid again after a refusal: %q", got)
	}
	// Given out, and never closed: at the deadline it has failed, for it may run yet.
	w := dial(t, addr, hello{Wid: "w1"})
	fetched := make(chan string, 1)
	go func() { fetched <- w.fetch(bothQueues) }()
	got := push(t, addr, job("late-00002", "renewal", `"time_left_ms":1500,"effort_us":20000`))
	if jidOf(await(t, fetched)) != "late-00002" {
		t.Fatal("not fetched")
	}
	if a := await(t, got); !strings.HasPrefix(a, "-ERR FAILED it may have run") {
		t.Errorf("overdue: %q", a)
	}
	onLoop(t, c, func() {
		if c.Unanswered() != 0 || c.Counts().Rejected != 2 || c.Counts().Failed != 1 {
			t.Errorf("owed %d, counts %+v", c.Unanswered(), c.Counts())
		}
	})
}

func onLoop(t *testing.T, c *dispatch.Dispatcher, f func()) {
	t.Helper()
	done := make(chan struct{})
	c.Loop.Post(func() { f(); close(done) })
	<-done
}

// The hard case: a worker fetches a renewal and goes; its ACK never comes. The
// job is not handed out again, not even when it is pushed again; a late ACK
// makes it served. A status-check in its place goes to another worker.
func TestLostAck(t *testing.T) {
	addr, _ := front(t, serverOnly, nil)
	w1 := dial(t, addr, hello{Wid: "w1"})
	lost, other := push(t, addr, job("lost-00001", "renewal", "")), push(t, addr, job("lost-00002", "status-check", ""))
	first, second := w1.fetch(bothQueues), ""
	w1b := dial(t, addr, hello{Wid: "w1"})
	second = w1b.fetch(bothQueues)
	if got := []string{jidOf(first), jidOf(second)}; !slices.Contains(got, "lost-00001") || !slices.Contains(got, "lost-00002") {
		t.Fatalf("fetched %q", got)
	}
	again := dial(t, addr, hello{})
	if got := again.do(job("lost-00001", "renewal", "")); !strings.HasPrefix(got, "-ERR REFUSED this jid is in work") {
		t.Errorf("pushed while in work: %q", got)
	}
	w2 := dial(t, addr, hello{Wid: "w2"})
	w1.conn.Close()
	w1b.conn.Close()
	if got := w2.fetch(bothQueues); jidOf(got) != "lost-00002" {
		t.Fatalf("the repeatable job is not handed on: %q", got)
	}
	w2.do(`ACK {"jid":"lost-00002"}`)
	if a := await(t, other); a != "+OK" {
		t.Errorf("status-check: %q", a)
	}
	if a := await(t, lost); !strings.HasPrefix(a, "-ERR FAILED it may have run") {
		t.Errorf("renewal: %q", a)
	}
	if got := again.do(job("lost-00001", "renewal", "")); !strings.HasPrefix(got, "-ERR FAILED it may have run") {
		t.Errorf("pushed again: %q", got)
	}
	if got := w2.do("FETCH " + bothQueues); got != "$-1" {
		t.Errorf("handed out again: %q", got)
	}
	w3 := dial(t, addr, hello{Wid: "w1"}) // back, with the ACK that was lost
	if got := w3.do(`ACK {"jid":"lost-00001"}`); got != "+OK" {
		t.Errorf("late ACK: %q", got)
	}
	if got := again.do(job("lost-00001", "renewal", "")); got != "+OK" {
		t.Errorf("pushed again after the late ACK: %q", got)
	}
}

// A worker that has said quiet gets nothing new, neither on the FETCH that is
// parked nor on its next one; what it has, it finishes.
func TestQuietWorkerDrains(t *testing.T) {
	addr, _ := front(t, serverOnly, nil)
	w1, w1b := dial(t, addr, hello{Wid: "w1"}), dial(t, addr, hello{Wid: "w1"})
	had := push(t, addr, job("quiet-0001", "renewal", ""))
	if jidOf(w1.fetch(bothQueues)) != "quiet-0001" {
		t.Fatal("not fetched")
	}
	parked := make(chan string, 1)
	go func() { parked <- w1b.do("FETCH " + bothQueues) }()
	if got := w1.do(`BEAT {"wid":"w1","current_state":"quiet"}`); got != "+OK" {
		t.Fatalf("BEAT %q", got)
	}
	late := push(t, addr, job("quiet-0002", "status-check", ""))
	if got := await(t, parked); got != "$-1" {
		t.Errorf("a quiet worker was given %q", got)
	}
	if got := w1b.do("FETCH " + bothQueues); got != "$-1" {
		t.Errorf("a quiet worker was given %q", got)
	}
	w1.do(`ACK {"jid":"quiet-0001"}`)
	if a := await(t, had); a != "+OK" {
		t.Errorf("what it had: %q", a)
	}
	w2 := dial(t, addr, hello{Wid: "w2"})
	if a := await(t, late); !strings.HasPrefix(a, "-ERR REFUSED") { // held in vain for its time
		t.Errorf("with no worker but a quiet one: %q", a)
	}
	next := push(t, addr, job("quiet-0003", "status-check", ""))
	if got := w2.fetch("status-check"); jidOf(got) != "quiet-0003" {
		t.Fatalf("the other worker got %q", got)
	}
	w2.do(`ACK {"jid":"quiet-0003"}`)
	if a := await(t, next); a != "+OK" {
		t.Errorf("next: %q", a)
	}
}

// A worker gets only what its queues name.
func TestQueuesBind(t *testing.T) {
	addr, _ := front(t, serverOnly, nil)
	checks, renewals := dial(t, addr, hello{Wid: "checks"}), dial(t, addr, hello{Wid: "renewals"})
	var wg sync.WaitGroup
	for w, class := range map[*peer]string{checks: "status-check", renewals: "renewal"} {
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
			if a := await(t, push(t, addr, job(fmt.Sprintf("bind-%s%d", class, i), class, ""))); a != "+OK" {
				t.Errorf("%s: %q", class, a)
			}
		}
	}
	wg.Wait()
}

// A worker that has just started gets less than the warm ones beside it.
func TestColdWorkerIsSpared(t *testing.T) {
	addr, _ := front(t, serverOnly, nil)
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
					if a := p.do(job(fmt.Sprintf("cold-%05d", i), "status-check", `"effort_us":2000`)); a != "+OK" {
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
		t.Errorf("the cold worker got its full share or more: %v", ran)
	}
}

// ---- The source role, against a stand-in server.

// upstream is a server with reservations, after the specification.
type upstream struct {
	mu       sync.Mutex
	ln       net.Listener
	queue    []string          // raw jobs
	reserved map[string]string // raw jobs by jid
	closed   map[string]int    // ACKs and FAILs that found a reservation
	stray    int               // those that found none
	verdict  map[string]string
	loseJid  string // the ACK of this jid is taken and its answer lost, once
	dropJid  string // the ACK of this jid is lost on the way, once
	beats    int
}

func newUpstream(t *testing.T) *upstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{ln: ln, reserved: map[string]string{}, closed: map[string]int{}, verdict: map[string]string{}}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	fmt.Fprint(conn, "+HI {\"v\":2,\"s\":\"55104dc76695721d\",\"i\":1545}\r\n")
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch verb {
		case "HELLO":
			var h hello
			if json.Unmarshal([]byte(rest), &h) != nil || h.Wid == "" || h.Hash != hashPassword("password", "55104dc76695721d", 1545) {
				fmt.Fprint(conn, "-ERR Invalid password\r\n")
				return
			}
			fmt.Fprint(conn, "+OK\r\n")
		case "FETCH":
			raw, ok := u.take()
			if !ok {
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(conn, "$-1\r\n")
				continue
			}
			fmt.Fprintf(conn, "$%d\r\n%s\r\n", len(raw), raw)
		case "ACK", "FAIL":
			if !u.close(verb, jidOf(rest)) {
				return
			}
			fmt.Fprint(conn, "+OK\r\n")
		case "BEAT":
			u.mu.Lock()
			u.beats++
			u.mu.Unlock()
			fmt.Fprint(conn, "+OK\r\n")
		case "END":
			return
		default:
			fmt.Fprint(conn, "-ERR Unknown command\r\n")
		}
	}
}

func (u *upstream) take() (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.queue) == 0 {
		return "", false
	}
	raw := u.queue[0]
	u.queue = u.queue[1:]
	u.reserved[jidOf(raw)] = raw
	return raw, true
}

// close takes a closing; false: the connection breaks instead of an answer.
func (u *upstream) close(verb, jid string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if jid == u.dropJid {
		u.dropJid = ""
		u.queue = append(u.queue, u.reserved[jid]) // its reservation runs out
		return false
	}
	if u.reserved[jid] == "" {
		u.stray++
	} else {
		u.closed[jid]++
		u.verdict[jid] = verb
		delete(u.reserved, jid)
	}
	if jid == u.loseJid {
		u.loseJid = ""
		return false
	}
	return true
}

// The loopback run: jobs come from an upstream server and go to workers that
// fetch here; one ACK is lost before it arrives, the answer to another after.
// Every job is closed exactly once, and every renewal runs exactly once.
func TestSourceClosesEveryJobOnce(t *testing.T) {
	u := newUpstream(t)
	const jobs = 24
	for i := range jobs {
		class := []string{"status-check", "renewal"}[i%2]
		u.queue = append(u.queue, fmt.Sprintf(`{"jid":"up-%06d","queue":%q,"jobtype":"x","args":[]}`, i, class))
	}
	u.queue = append(u.queue, `{"jid":"up-nobody","queue":"nonsense","jobtype":"x","args":[]}`)
	u.dropJid, u.loseJid = "up-000003", "up-000005"
	addr, _ := front(t, serverOnly+fmt.Sprintf("[source]\naddress = %q\npassword = \"password\"\nlanes = 3\n", u.ln.Addr()), nil)
	var mu sync.Mutex
	ran := map[string]int{}
	for i := range 2 {
		w := dial(t, addr, hello{Wid: fmt.Sprintf("w%d", i)})
		go func() {
			for {
				raw := w.do("FETCH " + bothQueues)
				if strings.HasPrefix(raw, "broken") {
					return
				}
				if raw == "$-1" {
					continue
				}
				mu.Lock()
				ran[jidOf(raw)]++
				mu.Unlock()
				w.do(`ACK {"jid":"` + jidOf(raw) + `"}`)
			}
		}()
	}
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		u.mu.Lock()
		over := len(u.closed) == jobs+1 && len(u.queue) == 0 && len(u.reserved) == 0
		u.mu.Unlock()
		if over {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("closed %v, reserved %v, ran %v", u.closed, u.reserved, ran)
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	for i := range jobs {
		jid := fmt.Sprintf("up-%06d", i)
		if u.closed[jid] != 1 || u.verdict[jid] != "ACK" || ran[jid] != 1 {
			t.Errorf("%s: closed %d times, last by %s, ran %d times", jid, u.closed[jid], u.verdict[jid], ran[jid])
		}
	}
	if u.closed["up-nobody"] != 1 || u.verdict["up-nobody"] != "FAIL" || ran["up-nobody"] != 0 {
		t.Errorf("a job of no class: closed %d by %s", u.closed["up-nobody"], u.verdict["up-nobody"])
	}
	if u.stray != 0 || u.beats == 0 {
		t.Errorf("%d closings of nothing, %d beats", u.stray, u.beats)
	}
}

// A renewal that may have run is failed, and its redelivery is closed without running.
func TestSourceDoesNotRunARedeliveryAgain(t *testing.T) {
	u := newUpstream(t)
	raw := `{"jid":"up-redone","queue":"renewal","jobtype":"x","args":[]}`
	u.queue = []string{raw}
	addr, _ := front(t, serverOnly+fmt.Sprintf("[source]\naddress = %q\npassword = \"password\"\nlanes = 1\n", u.ln.Addr()), nil)
	w := dial(t, addr, hello{Wid: "w1"})
	if got := jidOf(w.fetch(bothQueues)); got != "up-redone" {
		t.Fatalf("fetched %q", got)
	}
	w.conn.Close() // its ACK is lost with it
	closings := func(n int) {
		for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
			u.mu.Lock()
			got, verdict := u.closed["up-redone"], u.verdict["up-redone"]
			u.mu.Unlock()
			if got == n && verdict == "FAIL" {
				return
			}
			if got > n || time.Now().After(end) {
				t.Fatalf("closed %d times by %q, want %d by FAIL", got, verdict, n)
			}
		}
	}
	closings(1)
	w2 := dial(t, addr, hello{Wid: "w2"})
	u.mu.Lock()
	u.queue = append(u.queue, raw)
	u.mu.Unlock()
	if got := w2.do("FETCH " + bothQueues); got != "$-1" {
		t.Errorf("handed out again: %q", got)
	}
	closings(2)
}

// A job that came by another wire reaches a worker whole, text or not.
func TestJobsOfAnotherWire(t *testing.T) {
	for body, want := range map[string]string{
		"pay \"now\"": `"args":["k 1","pay \"now\""]}`, "\xff\x00": `"args":["k 1","/wA="],"custom":{"encoding":"base64"}}`,
	} {
		raw := string(encodeJob(&dispatch.Request{ID: "id-1", Key: "k 1", Body: []byte(body)}, "renewal"))
		if !strings.HasSuffix(raw, want) || jidOf(raw) != "id-1" {
			t.Errorf("%q: %s", body, raw)
		}
	}
}

// echo is a carrier whose one worker does at once what a job's key says.
type echo struct{ core *dispatch.Dispatcher }

func (e echo) Start(f dispatch.Attempt) {
	o := map[string]decision.AttemptOutcome{
		"done": decision.Completed, "failed": decision.Failed, "full": decision.Saturated,
	}[f.Request.Key]
	e.core.AttemptEnded(f.Handle, o, decision.LoadReport{}, nil)
}
func (echo) Cancel(uint64) bool { return false }
func (echo) CloseIdle(string)   {}
func (echo) CheckHealth(string) {}
func (echo) Subscribe()         {}

// A command, how its answer begins, and whether the session ends with it. JID
// is a new jid for each run of a step.
var commands = []struct {
	text, want string
	ends       bool
}{
	{`HELLO {"v":2}`, "+OK", false},
	{`PUSH {"jid":"JID","queue":"renewal","jobtype":"x","args":[],"custom":{"key":"done"}}`, "+OK", false},
	{`push {"jid":"JID","queue":"x","jobtype":"renewal","args":[],"custom":{"key":"failed"}}`, "-ERR FAILED", false},
	{`PUSH {"jid":"JID","queue":"renewal","jobtype":"x","args":[],"custom":{"key":"full"}}`, "-ERR REFUSED", false},
	{`PUSH {"jid":"JID","queue":"x","jobtype":"x","args":[]}`, "-ERR UNKNOWN", false},
	{`PUSH {"jid":"JID"`, "-ERR MALFORMED", false},
	{`ACK {"jid":"JID"}`, "+OK", false},
	{`FAIL {"jid":"JID"}`, "+OK", false},
	{`BEAT {"wid":"nobodys","current_state":"quiet"}`, "+OK", false},
	{`FETCH renewal`, "-ERR FETCH", false},
	{`INFO`, "{", false},
	{"\x00\xff", "-ERR Unknown", false},
	{`END`, "+OK", true},
}

// FuzzSession checks a producer's session against a model: each command gets
// its one answer, in order, wherever the bytes are cut apart; before HELLO
// there is none but HELLO and END, and HELLO comes once.
func FuzzSession(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0, 3, 0, 4, 0, 5, 0, 6, 0, 7, 0, 8, 0, 9, 0, 10, 0, 11, 0, 12, 0})
	f.Add([]byte{0, 9, 1, 200, 0, 3, 12, 12, 1, 1})
	f.Add([]byte{1, 0, 0, 0})
	f.Add([]byte{12, 90})
	addr, c := front(f, serverOnly, func(s *decision.Settings) { s.MaxAttempts = 1 })
	c.Loop.Post(func() {
		c.UpdateWorkers(echo{c}, decision.ListDelta, []decision.Endpoint{{Name: "w", Kind: 3}})
	})
	jids := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(patience))
		p := &peer{t, conn, bufio.NewReader(conn)}
		want, greeted, ended := []string{"+HI"}, false, false
		for i := 0; i+1 < len(steps) && i < 60 && !ended; i += 2 {
			x := commands[int(steps[i])%len(commands)]
			jids++
			text := strings.ReplaceAll(x.text, "JID", fmt.Sprintf("fuzz-%09d", jids)) + "\r\n"
			cut := int(steps[i+1]) * len(text) / 256
			conn.Write([]byte(text[:cut]))
			if steps[i+1]%16 == 15 {
				time.Sleep(time.Millisecond)
			}
			conn.Write([]byte(text[cut:]))
			answer := x.want
			switch hello := strings.HasPrefix(x.text, "HELLO"); {
			case hello && greeted:
				answer = "-ERR HELLO"
			case !hello && !greeted && !x.ends:
				answer, ended = "-ERR HELLO", true
			}
			greeted = true
			want, ended = append(want, answer), ended || x.ends
		}
		for i, w := range want {
			if got, err := p.reply(); err != nil || !strings.HasPrefix(got, w) {
				t.Fatalf("answer %d: %q, %v; want %q of %q", i, got, err, w, want)
			}
		}
		if ended {
			if rest, _ := io.ReadAll(p.r); len(rest) > 0 {
				t.Fatalf("after the last answer: %q", rest)
			}
		}
	})
}

// FuzzParse: no input makes the parsers panic, and none claims more than there is.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"+HI {\"v\":2}\r\n", "$5\r\nhello\r\n", "$-1\r\n", "$99999999\r\n", ":1\n", "-ERR x\r\n", "$3\r\nabcde", ""} {
		f.Add([]byte(s))
	}
	f.Add([]byte(`{"jid":"12345678","queue":"a","args":[],"at":"2026-12-01T00:00:00Z","custom":{"time_left_ms":1e300,"effort_us":-1}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, used, err := parseReply(b); used > len(b) || used > 0 && len(r.text) > used || err != nil && used != 0 {
			t.Fatalf("%+v, used %d of %d, %v", r, used, len(b), err)
		}
		parseCommand(b)
		if j, _, err := parseJob(b, map[string]int{"a": 0}, time.Hour); err == nil && (len(j.ID) < 8 || j.TimeLeft < 0 || j.Work < 0) {
			t.Fatalf("%+v", j)
		}
	})
}

func TestReadConfigNamesTheField(t *testing.T) {
	s := decision.Settings{Classes: []decision.Class{{Name: "renewal"}}}
	for text, want := range map[string]string{
		"":                     "listen: missing",
		"listen = \"nowhere\"": "listen:",
		"listen = 5":           "listen",
		"listen = \"127.0.0.1:0\"\nlisten_on = 1":            "listen_on: unknown key",
		"[source]\naddress = \"127.0.0.1:1\"\nlanes = 0":     "source.lanes:",
		"[source]\naddress = \"127.0.0.1:1\"\nqueues=[\"\"]": "source.queues[0]:",
		"[source]\naddr = \"127.0.0.1:1\"":                   "source.addr: unknown key",
	} {
		path := filepath.Join(t.TempDir(), "f.toml")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := ReadConfig(path, &s); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line with %q", text, err, want)
		}
	}
	if c, err := ReadConfig("../../deploy/faktory.toml", &s); err != nil || c.Listen == "" {
		t.Errorf("the file shipped: %+v, %v", c, err)
	}
}

// The memory is bounded by number and by age, and keeps what is in work.
func TestMemoryIsBounded(t *testing.T) {
	m := newJidMemory()
	m.begin("in-work", 0)
	done := dispatch.Response{Outcome: dispatch.Served, MayHaveRun: true}
	for i := range maxCompletedJids + 10 {
		id := fmt.Sprint(i)
		m.begin(id, time.Second)
		m.finish(id, done, decision.NonIdempotent, time.Second)
	}
	if len(m.entries) != maxCompletedJids+1 || m.status("9") != jidUnknown || m.status("10") != jidServed || m.status("in-work") != jidInProgress {
		t.Errorf("%d jids, fates %v %v %v", len(m.entries), m.status("9"), m.status("10"), m.status("in-work"))
	}
	m.begin("new", time.Second+jidRetention)
	if len(m.entries) != 2 || len(m.completed) != 0 {
		t.Errorf("%d jids after their age", len(m.entries))
	}
}
