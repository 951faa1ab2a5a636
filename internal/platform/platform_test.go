package platform

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
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

const patience = 20 * time.Second // no test waits that long unless something is broken

// rig is a core on a loop of its own, with the engine beside it.
type rig struct {
	core   *dispatch.Dispatcher
	engine *transport.Engine
}

func newRig(t testing.TB, changes ...func(*decision.Settings)) *rig {
	t.Helper()
	s := decision.Settings{
		Classes: []decision.Class{
			{Name: "status-check", PriorityWeight: 3, LateWeight: 0.25, LatencyObjective: 200 * time.Millisecond, Deadline: 5 * time.Second},
			{Name: "renewal", PriorityWeight: 5, LateWeight: 0.5, LatencyObjective: 200 * time.Millisecond, Deadline: 8 * time.Second, Idempotency: decision.NonIdempotent},
		},
		Tick: time.Millisecond, MaxAttempts: 1, Cancellation: true, StartNotices: true, HealthChecks: true, MaxRetryAfter: time.Second,
		ConnectTimeout: 2 * time.Second, ConnectionIdleTimeout: 10 * time.Second, FreeSlots: "x0", ZoneNames: []string{"here"},
	}
	for _, change := range changes {
		change(&s)
	}
	c, err := dispatch.New(eventloop.New(), s, 1)
	if err != nil {
		t.Fatal(err)
	}
	e, err := transport.NewEngine(c.Loop, 900)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { c.Loop.Run(); close(done) }()
	t.Cleanup(func() { c.Loop.Stop(); <-done; e.StopListening() })
	return &rig{c, e}
}

// workerClient returns a worker client with a registry that follows discovery at addr.
func (r *rig) workerClient(addr string) *Backends {
	return NewBackends(r.core, r.engine, NewRegistry(r.core, r.engine, addr))
}

// do runs f on the loop's goroutine.
func (r *rig) do(f func()) {
	done := make(chan struct{})
	r.core.Loop.Post(func() { f(); close(done) })
	<-done
}

// echo is a carrier whose backend does at once what a job's body says.
type echo struct{ core *dispatch.Dispatcher }

func (e echo) Start(f dispatch.Attempt) {
	word, _, _ := bytes.Cut(f.Request.Body, []byte(" "))
	if string(word) == "hold" {
		return
	}
	o := map[string]decision.AttemptOutcome{
		"done": decision.Completed, "failed": decision.Failed, "returned": decision.Saturated,
	}[string(word)]
	e.core.AttemptEnded(f.Handle, o, decision.LoadReport{}, append([]byte("made "), f.Request.Body...))
}
func (echo) Cancel(uint64) bool { return false }
func (echo) CloseIdle(string)   {}
func (echo) CheckHealth(string) {}
func (echo) Subscribe()         {}

// A request, what must come back, and whether the session ends with it.
var exchanges = []struct {
	request string
	status  int
	ends    bool
}{
	{"POST /status-check/k HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 6\r\n\r\ndone 1", 200, false},
	{"POST /renewal/k?q=1 HTTP/1.1\r\nx-correlation-id: IDENTITY\r\nContent-Length: 6\r\n\r\nfailed", 502, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 8\r\n\r\nreturned", 503, false},
	{"GET /healthz HTTP/1.1\r\n\r\n", 200, false},
	{"POST /nonsense/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 1\r\n\r\nx", 404, false},
	{"GET /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\n\r\n", 405, false},
	{"POST /healthz HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405, false},
	{"POST /renewal/k HTTP/1.1\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nX-Time-Left-Ms: soon\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\ndon\r\n3\r\ne 2\r\n0\r\n\r\n", 200, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone", 200, true},
	{"POST /status-check/k HTTP/1.0\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 6\r\n\r\nfailed", 503, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: former\r\nContent-Length: 4\r\n\r\ndone", 409, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: open\r\nContent-Length: 4\r\n\r\ndone", 409, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: a b\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nX-Time-Left-Ms:\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nX-Time-Left-Ms: -5\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"nonsense\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\nX-Correlation-Id: IDENTITY\nContent-Length: 4\n\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Note: a\rb\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1 x\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/\x01 HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id : IDENTITY\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nx-correlation-id: other\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Time-Left-Ms: 9\r\nX-Time-Left-Ms: 9\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: -4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: +4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 9999999999999999999999\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n+4\r\ndone\r\n0\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n4;\n\r\ndone\r\n0\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndoneXX0\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 65537\r\n\r\n", 413, true},
	{"POST /renewal/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 65537), 413, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Long: " + strings.Repeat("x", MaxHead) + "\r\n\r\n", 431, true},
}

// FuzzSession checks a client session against a model: whatever the requests,
// and wherever their bytes are cut apart, each gets its one answer, in order,
// until one ends the session. Two bytes are a step: the request, and where to cut.
func FuzzSession(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0, 3, 0, 4, 0, 5, 0, 6, 0, 7, 0, 8, 0, 9, 0, 0, 0})
	f.Add([]byte{9, 90, 9, 3, 10, 7, 0, 0})
	for i := range exchanges {
		f.Add([]byte{0, 1, byte(i), 20, 3, 0})
	}
	r := newRig(f)
	var addr string
	r.do(func() {
		r.core.AddSource(echo{r.core})
		r.core.UpdateWorkers(echo{r.core}, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		var err error
		if addr, err = NewFront(r.core, r.engine, 64<<20, func() bool { return true }).Listen("127.0.0.1:0", 200); err != nil {
			f.Error(err)
		}
		r.core.Accept(make(judge, 1), 0, dispatch.Request{ID: "former", Body: []byte("done")})
		r.core.Accept(make(judge, 1), 0, dispatch.Request{ID: "open", Body: []byte("hold")})
	})
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(patience))
		in, sent, want, ended := bufio.NewReader(conn), 0, []int{}, false
		for i := 0; i+1 < len(steps) && i < 40 && !ended; i += 2 {
			x := exchanges[int(steps[i])%len(exchanges)]
			number++
			text := strings.ReplaceAll(x.request, "IDENTITY", fmt.Sprintf("id%06d", number))
			cut := int(steps[i+1]) * len(text) / 256
			conn.Write([]byte(text[:cut]))
			if steps[i+1]%16 == 15 {
				time.Sleep(time.Millisecond)
			}
			conn.Write([]byte(text[cut:])) // may fail where the session has ended already
			sent += len(text)
			want, ended = append(want, x.status), x.ends
		}
		for i, status := range want {
			got, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("answer %d of %v: %v", i, want, err)
			}
			body, err := io.ReadAll(got.Body)
			if got.StatusCode != status || err != nil {
				t.Fatalf("answer %d: %d %q, %v; want %v", i, got.StatusCode, body, err, want)
			}
			if status == 200 && !strings.HasPrefix(string(body), "made done") && string(body) != "ready\n" {
				t.Fatalf("answer %d: body %q", i, body)
			}
		}
		if ended {
			if rest, _ := io.ReadAll(in); len(rest) > 0 {
				t.Fatalf("after the last answer: %q", rest)
			}
		}
	})
}

// The name of a req that is open, or was lately, is nobody else's: a request
// that used it went to backend after backend, which turned it away, and cost
// them their trust and the first req its own attempts.
func TestNameInUse(t *testing.T) {
	r := newRig(t)
	held := holder{echo{r.core}, make(chan dispatch.Attempt, 10)}
	var addr string
	r.do(func() {
		r.core.AddSource(held)
		r.core.UpdateWorkers(held, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		addr, _ = NewFront(r.core, r.engine, 64<<20, func() bool { return true }).Listen("127.0.0.1:0", 20)
	})
	post := func() chan int {
		got := make(chan int, 1)
		go func() {
			req, _ := http.NewRequest("POST", "http://"+addr+"/renewal/k", strings.NewReader("x"))
			req.Header.Set("X-Correlation-Id", "one")
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
				got <- resp.StatusCode
			}
			close(got)
		}()
		return got
	}
	first := post()
	attempt := <-held.started
	if status := <-post(); status != 409 {
		t.Errorf("the name of an open req: %d", status)
	}
	r.do(func() { r.core.AttemptEnded(attempt.Handle, decision.Completed, decision.LoadReport{}, []byte("made")) })
	if status := <-first; status != 200 {
		t.Errorf("the open req: %d", status)
	}
	if status := <-post(); status != 409 {
		t.Errorf("the name of a req that is over: %d", status)
	}
	if n := len(held.started); n != 0 {
		t.Errorf("%d more attempts", n)
	}
}

// bad opens a session and sends a text; the rest of the test reads what comes.
func bad(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, text)
	return conn, bufio.NewReader(conn)
}

// status reads an answer; 0: the session has ended without.
func status(in *bufio.Reader) int {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// front starts a front before an echo.
func front(t *testing.T, memory, most int) string {
	r := newRig(t)
	var addr string
	r.do(func() {
		r.core.AddSource(echo{r.core})
		r.core.UpdateWorkers(echo{r.core}, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		addr, _ = NewFront(r.core, r.engine, memory, func() bool { return true }).Listen("127.0.0.1:0", most)
	})
	return addr
}

func job(id string) string {
	return "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nContent-Length: 4\r\n\r\ndone"
}

// A request that does not arrive whole is answered, however its bytes trickle:
// each once gave it ten seconds more.
func TestTrickle(t *testing.T) {
	addr := front(t, 64<<20, 20)
	for _, text := range []string{"POST /renewal/k HTTP/1.1\r\nX-Note: ", "POST /renewal/k HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"} {
		conn, in := bad(t, addr, text)
		answer := make(chan int, 1)
		go func() { answer <- status(in) }()
		for code := -1; code < 0; {
			select {
			case code = <-answer:
				if code != 408 {
					t.Errorf("%q: %d", text, code)
				}
			case <-time.After(20 * time.Millisecond):
				io.WriteString(conn, "x")
			}
		}
	}
}

// Hundreds of requests at once are answered in order; the others' turns come between.
func TestPipeline(t *testing.T) {
	addr := front(t, 64<<20, 20)
	const many = 500
	conn, in := bad(t, addr, "")
	go func() {
		for i := range many {
			io.WriteString(conn, strings.Replace(job(fmt.Sprint("many-", i)), "4\r\n\r\ndone", "2000\r\n\r\ndone"+strings.Repeat(" ", 1996), 1))
		}
	}()
	for i := range many {
		if code := status(in); code != 200 {
			t.Fatalf("answer %d: %d", i, code)
		}
		if i == 100 {
			if _, other := bad(t, addr, job("other")); status(other) != 200 {
				t.Error("another client gets no answer")
			}
		}
	}
}

// Half-sent requests cannot fill the memory: the oldest are given up with an
// answer, and usual clients are served meanwhile.
func TestHalfSentRequests(t *testing.T) {
	const room = 8
	addr := front(t, room*transport.BufferSize, 100)
	half := "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: half\r\nContent-Length: 65000\r\n\r\n" + strings.Repeat("x", 64000)
	var first *bufio.Reader
	for i := range 3 * room {
		_, in := bad(t, addr, half)
		if i == 0 {
			first = in
		}
		if _, usual := bad(t, addr, job(fmt.Sprint("usual-", i))); status(usual) != 200 {
			t.Fatalf("beside %d half-sent requests a usual one gets no answer", i)
		}
	}
	if code := status(first); code != 503 {
		t.Errorf("the oldest got %d", code)
	}
}

// Sessions that only talk go first when room is needed, and one that has proven
// itself stays: age alone once closed it before them.
func TestShedSparesTheProven(t *testing.T) {
	addr := front(t, 64<<20, 4)
	proven, in := bad(t, addr, job("first"))
	if status(in) != 200 {
		t.Fatal("no answer")
	}
	const health = "GET /healthz HTTP/1.1\r\n\r\n"
	for range 3 {
		if _, talk := bad(t, addr, health); status(talk) != 200 {
			t.Fatal("no answer")
		}
	}
	for i := range 8 { // each needs the room of one that talks
		if _, talk := bad(t, addr, health); status(talk) != 200 {
			t.Fatalf("%d: no answer", i)
		}
	}
	if io.WriteString(proven, job("second")); status(in) != 200 {
		t.Error("the proven session was closed")
	}
	// One that says nothing is closed when room is needed, but not at once.
	for range 6 {
		bad(t, addr, "")
	}
	if _, talk := bad(t, addr, health); status(talk) != 200 {
		t.Error("silent sessions keep all others out")
	}
}

// holder is a carrier whose attempts end when the test says so.
type holder struct {
	echo
	started chan dispatch.Attempt
}

func (h holder) Start(f dispatch.Attempt) { h.started <- f }

// stand is a stand-in backend: the n-th request gets the n-th script.
type stand struct {
	mu       sync.Mutex
	ln       net.Listener
	scripts  []string
	cut      int
	arrivals map[string]int
	conns    []net.Conn
}

func newStand(t testing.TB) *stand {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stand{ln: ln, arrivals: map[string]int{}}
	t.Cleanup(func() { ln.Close(); s.hangUp() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

func (s *stand) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Correlation-Id")
		s.mu.Lock()
		s.arrivals[id]++
		if len(s.scripts) == 0 {
			s.mu.Unlock()
			return
		}
		text, cut := strings.ReplaceAll(s.scripts[0], "IDENTITY", id), s.cut
		s.scripts = s.scripts[1:]
		s.mu.Unlock()
		cut = cut * len(text) / 256
		conn.Write([]byte(text[:cut]))
		if cut%2 == 1 {
			time.Sleep(time.Millisecond)
		}
		conn.Write([]byte(text[cut:]))
		if strings.Contains(text, "HANG UP") || !strings.Contains(text, "\r\n\r\n") {
			return
		}
	}
}

// hangUp closes all connections, as a backend does with idle ones.
func (s *stand) hangUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// chunked words lines as the chunked answer of a backend.
func chunked(lines ...string) string {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, l := range lines {
		text += fmt.Sprintf("%x\r\n%s\n\r\n", len(l)+1, l)
	}
	return text + "0\r\n\r\n"
}

const (
	done     = `{"id":"IDENTITY","from":"s","state":"done","result":"made","load":{"x0":1.5,"backlog":2}}`
	plain    = "HTTP/1.1 200 OK\r\n"
	hangUp   = "X-Note: HANG UP\r\n"
	doneText = `{"id":"IDENTITY","state":"done","result":"made"}`
)

// What a backend may answer, and what becomes of a fragile req: the protocol's table.
var answers = []struct {
	script string
	want   dispatch.Outcome
}{
	{chunked(done), dispatch.Served},
	{chunked(`{"id":"IDENTITY","state":"started"}`, `{"id":"IDENTITY","state":"running","share":0.5}`, "", done), dispatch.Served},
	{strings.Replace(chunked(done), "0\r\n\r\n", "0\r\nX-Trailer: 1\r\n\r\n", 1), dispatch.Served},
	{chunked(`{"id":"IDENTITY","state":"failed"}`), dispatch.Failed},
	{chunked(`{"id":"IDENTITY","state":"started"}`, `{"id":"IDENTITY","state":"returned"}`), dispatch.Rejected},
	{chunked(`{"id":"IDENTITY","state":"lost"}`), dispatch.Failed},
	{"HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\nbad", dispatch.Failed},
	{"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nX-Backend-Load: {\"x0\":0}\r\nContent-Length: 0\r\n\r\n", dispatch.Rejected},
	{"HTTP/1.1 504 Full\r\nX-Unprocessed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", dispatch.Rejected},
	{"HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno", dispatch.Failed},
	{"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
	{"HTTP/1.1 400 Bad\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
	{"", dispatch.Failed},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + hangUp + "\r\n1e\r\n{\"id\":\"IDENTITY\",\"state\":\"started\"}\r\n", dispatch.Failed},
	{chunked(strings.Replace(done, "IDENTITY", "another1", 1)), dispatch.Failed},
	{chunked(`{"id":"IDENTITY","state":`), dispatch.Failed},
	{chunked(`{"id":"IDENTITY","state":"dreaming"}`), dispatch.Failed},
	{chunked(), dispatch.Failed},
	{"nonsense\r\n\r\n", dispatch.Failed},
	{plain + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", dispatch.Failed},
	{plain + hangUp + "\r\n" + doneText, dispatch.Served},
	{"HTTP/1.1 100 Continue\r\n\r\n" + plain + "Connection: close\r\n" + hangUp + "\r\n" + doneText + "\n", dispatch.Served},
}

// judge is a front that keeps what it is told.
type judge chan dispatch.Response

func (j judge) Respond(_ uint64, a dispatch.Response) {
	a.Body = slices.Clone(a.Body)
	j <- a
}

// FuzzFetch checks a connection to a backend against a model: whatever the
// backend answers, and wherever the bytes are cut apart, the req ends as the
// protocol's table says, and its request arrives once at most, also where the
// connection kept from the last one has just been closed.
func FuzzFetch(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 255, 1, 33, 2, 90})
	f.Add([]byte{0, 0, 64, 0, 64, 0, 64, 255})
	for i := range answers {
		f.Add([]byte{0, 0, byte(i), 101, 0, 3, byte(i), 254, 0, 0})
	}
	r, s := newRig(f), newStand(f)
	r.do(func() {
		b := r.workerClient("")
		b.calm = 0 // a connection is used again at once
		known := fmt.Sprintf(`{"hosts":[{"host":"s","dial":%q,"site":"here","health":"ready"}]}`, s.ln.Addr())
		if err := b.registry.Known([]byte(known)); err != nil {
			f.Error(err)
		}
	})
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		for i := 0; i+1 < len(steps) && i < 20; i += 2 {
			x := answers[int(steps[i])%64%len(answers)]
			closed := steps[i]&64 != 0
			if closed {
				s.hangUp()
			}
			number++
			id := fmt.Sprintf("id%06d", number) // as long as what it replaces
			s.mu.Lock()
			s.scripts, s.cut = []string{x.script}, int(steps[i+1])
			s.mu.Unlock()
			got := make(judge, 2)
			r.do(func() {
				r.core.Accept(got, 0, dispatch.Request{ID: id, Class: 1, Target: "/renewal/k", Body: []byte("b"), Work: 1e6})
			})
			var a dispatch.Response
			select {
			case a = <-got:
			case <-time.After(patience):
				t.Fatalf("no answer to %q", x.script)
			}
			s.mu.Lock()
			n := s.arrivals[id]
			s.mu.Unlock()
			// A kept connection that has just been closed may cost the req; never a second run.
			if a.Outcome != x.want && !(closed && a.Outcome == dispatch.Failed && n <= 1) || n > 1 {
				t.Fatalf("%q: %v, want %v; arrived %d times", x.script, a.Outcome, x.want, n)
			}
			if a.Outcome == dispatch.Served && string(a.Body) != "made" {
				t.Fatalf("%q: result %q", x.script, a.Body)
			}
		}
	})
}

// A connection that turns out dead on a request costs nothing, even a fragile
// one: its last byte stays back until the connection has shown that it lives. A
// backend that answers before that byte never gets it.
func TestLastByteStaysBack(t *testing.T) {
	r := newRig(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var b *Backends
	r.do(func() {
		b = r.workerClient("")
		b.hold = 400 * time.Millisecond // this end must act within it, however busy the machine is
		b.calm = 0                      // a connection is used again at once
		if err := b.registry.Known(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"health":"ready"}]}`, ln.Addr())); err != nil {
			t.Error(err)
		}
	})
	take := func(id string) judge {
		got := make(judge, 1)
		r.do(func() {
			r.core.Accept(got, 0, dispatch.Request{ID: id, Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6})
		})
		return got
	}
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	next := func() (net.Conn, *bufio.Reader) {
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		return conn, bufio.NewReader(conn)
	}
	serve := func(conn net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(req.Body); string(body) != "body" {
			t.Fatalf("%q, %v", body, err)
		}
		io.WriteString(conn, strings.ReplaceAll(chunked(done), "IDENTITY", req.Header.Get("X-Correlation-Id")))
	}
	first := take("id000001")
	conn, in := next()
	serve(conn, in)
	if a := <-first; a.Outcome != dispatch.Served {
		t.Fatalf("the first: %v", a.Outcome)
	}
	conn.Close() // before its time: from now on they are not trusted
	for wary, end := false, time.Now().Add(patience); !wary; time.Sleep(time.Millisecond) {
		if r.do(func() { wary = b.wary > 0 }); time.Now().After(end) {
			t.Fatal("a connection closed before its time goes unnoticed")
		}
	}
	again := take("id000012")
	conn, in = next()
	serve(conn, in)
	if a := <-again; a.Outcome != dispatch.Served {
		t.Fatalf("the next: %v", a.Outcome)
	}
	second := take("id000002")
	if _, err := in.ReadByte(); err != nil { // on the kept connection
		t.Fatal(err)
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	conn, in = next()
	serve(conn, in)
	if a := <-second; a.Outcome != dispatch.Served {
		t.Errorf("after a reset on its first byte: %v", a.Outcome)
	}
	third := take("id000003")
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	if a := <-third; a.Outcome != dispatch.Rejected {
		t.Errorf("turned away early: %v", a.Outcome)
	}
	text, err := io.ReadAll(in)
	if err != nil || !bytes.HasSuffix(text, []byte("\r\n\r\nbod")) {
		t.Errorf("it went on to send %q, %v", text, err)
	}
}

// A probe that is not answered ends, also on a connection of its own: it once
// had no deadline there. One that is answered leaves its connection to an attempt.
func TestProbes(t *testing.T) {
	r, s := newRig(t), newStand(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var b *Backends
	r.do(func() {
		b = r.workerClient("")
		b.calm = 0 // a connection is used again at once
		known := `{"hosts":[{"host":"s","dial":%q,"health":"ready"},{"host":"silent","dial":%q,"health":"draining"}]}`
		if err := b.registry.Known(fmt.Appendf(nil, known, s.ln.Addr(), silent.Addr())); err != nil {
			t.Error(err)
		}
		b.CheckHealth("silent")
		b.CheckHealth("nobody")
	})
	conn, err := silent.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(patience))
	if text, err := io.ReadAll(conn); err != nil || !bytes.HasPrefix(text, []byte("GET /load HTTP/1.1\r\n")) {
		t.Errorf("probed by %q, %v", text, err)
	}
	s.mu.Lock()
	s.scripts = []string{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"x0\":1.5}", chunked(done)}
	s.mu.Unlock()
	r.do(func() { b.CheckHealth("s") })
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		idle := 0
		r.do(func() { idle = len(b.idle[b.registry.hosts["s"]]) })
		if idle == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the probe's connection does not come to rest")
		}
	}
	got := make(judge, 1)
	r.do(func() {
		r.core.Accept(got, 0, dispatch.Request{ID: "id000001", Class: 1, Target: "/renewal/k", Work: 1e6})
	})
	select {
	case a := <-got:
		if a.Outcome != dispatch.Served {
			t.Errorf("after the probe: %v", a.Outcome)
		}
	case <-time.After(patience):
		t.Fatal("no answer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) != 1 {
		t.Errorf("%d connections", len(s.conns))
	}
}

// FuzzParse: no input makes the parsers panic, and a body never grows.
func FuzzParse(f *testing.F) {
	for _, x := range exchanges {
		f.Add([]byte(x.request))
	}
	for _, x := range answers {
		f.Add([]byte(x.script))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > transport.BufferSize {
			return
		}
		var m Message
		ok, _, err := ParseRequest(slices.Clone(b), &m, new(ScanState))
		if ok && (err != nil || m.Size > len(b) || len(m.Body) > m.Size || len(m.Body) > MaxBody) {
			t.Fatalf("size %d, body %d of %d bytes, %v", m.Size, len(m.Body), len(b), err)
		}
		// In pieces it is the same as at once, and what has been looked at stays so.
		var sc ScanState
		for n := 1; n <= min(len(b), 700); n++ {
			var whole, piece Message
			seen, at := sc.headScanned, sc.bodyScanned
			ok1, _, err1 := ParseRequest(slices.Clone(b[:n]), &whole, new(ScanState))
			ok2, _, err2 := ParseRequest(slices.Clone(b[:n]), &piece, &sc)
			if ok1 != ok2 || err1 != err2 || !bytes.Equal(whole.Body, piece.Body) || whole.Size != piece.Size && ok1 {
				t.Fatalf("%d bytes of %q: at once %v, %v; in pieces %v, %v", n, b, ok1, err1, ok2, err2)
			}
			if ok1 || err1 != nil {
				break
			}
			if sc.needed == 0 && !sc.chunked && sc.headScanned != n || sc.headScanned < seen-1 || sc.bodyScanned < at {
				t.Fatalf("%d bytes of %q: looked at %d, then %d; body %d, then %d", n, b, seen, sc.headScanned, at, sc.bodyScanned)
			}
		}
		var h Head
		if ok, _ := ParseHead(b, &h, new(int)); ok {
			h.Framing()
			h.HasToken("Connection", "close")
		}
	})
}

// FuzzDrain checks client sessions against a model of a drain. A byte is a step
// on one of four sessions: open it, ask for health, send half a request or the
// rest of one; or on the front: withdraw it, let its time pass, let the time for
// resting pass, bring it back. Each whole request has its one answer, which ends
// the session where the model says so; healthz says no while the front is away;
// and only a session that rests may end without an answer, after its time.
func FuzzDrain(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 1, 3, 5, 1, 8, 10, 11, 16, 17})
	f.Add([]byte{0, 2, 8, 9, 16, 18, 4, 5, 6, 3, 9, 19, 7, 24, 25, 26, 27})
	f.Add([]byte{4, 5, 0, 2, 6, 3, 8, 9, 7, 16, 17, 4, 6, 17, 7, 4, 4, 7, 7, 16, 17})
	r := newRig(f)
	var addr string
	var front *Front
	r.do(func() {
		r.core.AddSource(echo{r.core})
		r.core.UpdateWorkers(echo{r.core}, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		front = NewFront(r.core, r.engine, 64<<20, func() bool { return true })
		addr, _ = front.Listen("127.0.0.1:0", 200)
	})
	type peer struct {
		net.Conn
		in   *bufio.Reader
		half string // what is left to send of the request at hand
	}
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		var peers [4]*peer
		away, closing, resting := false, false, false
		defer r.do(front.Return)
		for i, b := range steps[:min(len(steps), 60)] {
			p := peers[b/8%4]
			ask := func(text string, status int) {
				fmt.Fprint(p, text) // may fail where a resting session has ended
				got, err := http.ReadResponse(p.in, nil)
				if err != nil {
					if !resting {
						t.Fatalf("step %d of %v: no answer: %v", i, steps, err)
					}
					peers[b/8%4] = nil
					return
				}
				io.Copy(io.Discard, got.Body)
				if got.StatusCode != status || got.Close != closing {
					t.Fatalf("step %d of %v: %d, ends: %v; want %d, %v", i, steps, got.StatusCode, got.Close, status, closing)
				}
				if closing {
					if _, err := p.in.ReadByte(); err != io.EOF {
						t.Fatalf("step %d of %v: behind the last answer: %v", i, steps, err)
					}
					peers[b/8%4] = nil
				}
			}
			switch op := b % 8; {
			case op == 0 && p == nil:
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(patience))
				peers[b/8%4] = &peer{Conn: conn, in: bufio.NewReader(conn)}
			case op == 1 && p != nil && p.half == "":
				status := 200
				if away {
					status = 503
				}
				ask("GET /healthz HTTP/1.1\r\n\r\n", status)
			case op == 2 && p != nil && p.half == "":
				number++
				text := fmt.Sprintf("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: drain%d\r\nContent-Length: 4\r\n\r\ndone", number)
				cut := 1 + number%(len(text)-1)
				fmt.Fprint(p, text[:cut])
				p.half = text[cut:]
			case op == 3 && p != nil && p.half != "":
				text := p.half
				p.half = ""
				ask(text, 200)
			case op == 4:
				r.do(func() { front.Withdraw(); r.core.Loop.Clear(&front.drain) }) // its time passes when a step says so
				away = true
			case op == 5 && away:
				r.do(func() { front.drainOn(); r.core.Loop.Clear(&front.drain) })
				closing = true
			case op == 6 && away:
				r.do(func() { front.awayAt -= restTime; front.drainOn(); r.core.Loop.Clear(&front.drain) })
				closing, resting = true, true
			case op == 7:
				r.do(front.Return)
				away, closing = false, false // one that has ended in the meantime stays ended
			}
		}
	})
}

// A backend holds only so many connections for all dispatchers together: the
// more dispatchers there are, the fewer rest here, the one used last among them.
func TestRestingConnectionsScaleDown(t *testing.T) {
	for _, x := range []struct{ peers, rest int }{{idleInAll / 3, 3}, {48 * idleInAll, 1}} {
		r, s := newRig(t), newStand(t)
		r.core.Settings.Peers = x.peers
		const load = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"x0\":1.5}"
		s.mu.Lock()
		s.scripts = []string{load, load, load, load, load}
		s.mu.Unlock()
		var b *Backends
		r.do(func() {
			b = r.workerClient("")
			if err := b.registry.Known(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"health":"ready"}]}`, s.ln.Addr())); err != nil {
				t.Error(err)
			}
			for range 5 {
				b.CheckHealth("s")
			}
		})
		for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
			idle, open := 0, 0
			r.do(func() { idle, open = len(b.idle[b.registry.hosts["s"]]), r.engine.OpenConnections() })
			s.mu.Lock()
			came := len(s.conns)
			s.mu.Unlock()
			if idle > x.rest {
				t.Fatalf("%d dispatchers: %d connections rest, %d at the most", x.peers, idle, x.rest)
			}
			if came == 5 && idle == x.rest && open == x.rest {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%d dispatchers: %d connections came, %d rest, %d are open", x.peers, came, idle, open)
			}
		}
	}
}
