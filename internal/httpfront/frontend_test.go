package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// FuzzSession checks a client session against a model: whatever the requests,
// and wherever their bytes are cut apart, each gets its one answer, in order,
// until one ends the session. Two bytes are a step: the request, and where to cut.
func FuzzSession(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0, 3, 0, 4, 0, 5, 0, 6, 0, 7, 0, 8, 0, 9, 0, 0, 0})
	f.Add([]byte{9, 90, 9, 3, 10, 7, 0, 0})
	for i := range testkit.Exchanges {
		f.Add([]byte{0, 1, byte(i), 20, 3, 0})
	}
	r := testkit.NewRig(f)
	var addr string
	r.Do(func() {
		r.Dispatcher.AddSource(testkit.EchoClient{Dispatcher: r.Dispatcher})
		r.Dispatcher.UpdateWorkers(testkit.EchoClient{Dispatcher: r.Dispatcher}, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		var err error
		if addr, err = New(r.Dispatcher, r.Engine, 64<<20, func() bool { return true }).Listen("127.0.0.1:0", 200); err != nil {
			f.Error(err)
		}
		r.Dispatcher.Accept(make(testkit.Responses, 1), 0, dispatch.Request{ID: "former", Body: []byte("done")})
		r.Dispatcher.Accept(make(testkit.Responses, 1), 0, dispatch.Request{ID: "open", Body: []byte("hold")})
	})
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testkit.Patience))
		in, sent, want, ended := bufio.NewReader(conn), 0, []int{}, false
		for i := 0; i+1 < len(steps) && i < 40 && !ended; i += 2 {
			x := testkit.Exchanges[int(steps[i])%len(testkit.Exchanges)]
			number++
			text := strings.ReplaceAll(x.Request, "IDENTITY", fmt.Sprintf("id%06d", number))
			cut := int(steps[i+1]) * len(text) / 256
			conn.Write([]byte(text[:cut]))
			if steps[i+1]%16 == 15 {
				time.Sleep(time.Millisecond)
			}
			conn.Write([]byte(text[cut:])) // may fail where the session has ended already
			sent += len(text)
			want, ended = append(want, x.Status), x.Ends
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
	r := testkit.NewRig(t)
	held := testkit.HoldingClient{EchoClient: testkit.EchoClient{Dispatcher: r.Dispatcher}, Started: make(chan dispatch.Attempt, 10)}
	var addr string
	r.Do(func() {
		r.Dispatcher.AddSource(held)
		r.Dispatcher.UpdateWorkers(held, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		addr, _ = New(r.Dispatcher, r.Engine, 64<<20, func() bool { return true }).Listen("127.0.0.1:0", 20)
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
	attempt := <-held.Started
	if status := <-post(); status != 409 {
		t.Errorf("the name of an open req: %d", status)
	}
	r.Do(func() {
		r.Dispatcher.AttemptEnded(attempt.Handle, decision.Completed, decision.LoadReport{}, []byte("made"))
	})
	if status := <-first; status != 200 {
		t.Errorf("the open req: %d", status)
	}
	if status := <-post(); status != 409 {
		t.Errorf("the name of a req that is over: %d", status)
	}
	if n := len(held.Started); n != 0 {
		t.Errorf("%d more attempts", n)
	}
}

// front starts a front before an echo.
func front(t *testing.T, memory, most int) string {
	r := testkit.NewRig(t)
	var addr string
	r.Do(func() {
		r.Dispatcher.AddSource(testkit.EchoClient{Dispatcher: r.Dispatcher})
		r.Dispatcher.UpdateWorkers(testkit.EchoClient{Dispatcher: r.Dispatcher}, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		addr, _ = New(r.Dispatcher, r.Engine, memory, func() bool { return true }).Listen("127.0.0.1:0", most)
	})
	return addr
}

// A request that does not arrive whole is answered, however its bytes trickle:
// each once gave it ten seconds more.
func TestTrickle(t *testing.T) {
	addr := front(t, 64<<20, 20)
	for _, text := range []string{"POST /renewal/k HTTP/1.1\r\nX-Note: ", "POST /renewal/k HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"} {
		conn, in := testkit.Connect(t, addr, text)
		answer := make(chan int, 1)
		go func() { answer <- testkit.Status(in) }()
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
	conn, in := testkit.Connect(t, addr, "")
	go func() {
		for i := range many {
			io.WriteString(conn, strings.Replace(testkit.RequestText(fmt.Sprint("many-", i)), "4\r\n\r\ndone", "2000\r\n\r\ndone"+strings.Repeat(" ", 1996), 1))
		}
	}()
	for i := range many {
		if code := testkit.Status(in); code != 200 {
			t.Fatalf("answer %d: %d", i, code)
		}
		if i == 100 {
			if _, other := testkit.Connect(t, addr, testkit.RequestText("other")); testkit.Status(other) != 200 {
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
		_, in := testkit.Connect(t, addr, half)
		if i == 0 {
			first = in
		}
		if _, usual := testkit.Connect(t, addr, testkit.RequestText(fmt.Sprint("usual-", i))); testkit.Status(usual) != 200 {
			t.Fatalf("beside %d half-sent requests a usual one gets no answer", i)
		}
	}
	if code := testkit.Status(first); code != 503 {
		t.Errorf("the oldest got %d", code)
	}
}

// Sessions that only talk go first when room is needed, and one that has proven
// itself stays: age alone once closed it before them.
func TestShedSparesTheProven(t *testing.T) {
	addr := front(t, 64<<20, 4)
	proven, in := testkit.Connect(t, addr, testkit.RequestText("first"))
	if testkit.Status(in) != 200 {
		t.Fatal("no answer")
	}
	const health = "GET /healthz HTTP/1.1\r\n\r\n"
	for range 3 {
		if _, talk := testkit.Connect(t, addr, health); testkit.Status(talk) != 200 {
			t.Fatal("no answer")
		}
	}
	for i := range 8 { // each needs the room of one that talks
		if _, talk := testkit.Connect(t, addr, health); testkit.Status(talk) != 200 {
			t.Fatalf("%d: no answer", i)
		}
	}
	if io.WriteString(proven, testkit.RequestText("second")); testkit.Status(in) != 200 {
		t.Error("the proven session was closed")
	}
	// One that says nothing is closed when room is needed, but not at once.
	for range 6 {
		testkit.Connect(t, addr, "")
	}
	if _, talk := testkit.Connect(t, addr, health); testkit.Status(talk) != 200 {
		t.Error("silent sessions keep all others out")
	}
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
	r := testkit.NewRig(f)
	var addr string
	var front *FrontEnd
	r.Do(func() {
		r.Dispatcher.AddSource(testkit.EchoClient{Dispatcher: r.Dispatcher})
		r.Dispatcher.UpdateWorkers(testkit.EchoClient{Dispatcher: r.Dispatcher}, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		front = New(r.Dispatcher, r.Engine, 64<<20, func() bool { return true })
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
		defer r.Do(front.EndDrain)
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
				conn.SetDeadline(time.Now().Add(testkit.Patience))
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
				r.Do(func() { front.Drain(); r.Dispatcher.Loop.Clear(&front.drainTimer) }) // its time passes when a step says so
				away = true
			case op == 5 && away:
				r.Do(func() { front.continueDrain(); r.Dispatcher.Loop.Clear(&front.drainTimer) })
				closing = true
			case op == 6 && away:
				r.Do(func() {
					front.drainStartedAt -= drainIdleTime
					front.continueDrain()
					r.Dispatcher.Loop.Clear(&front.drainTimer)
				})
				closing, resting = true, true
			case op == 7:
				r.Do(front.EndDrain)
				away, closing = false, false // one that has ended in the meantime stays ended
			}
		}
	})
}
