package platform

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/goldentest"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// golden compares with a file in testdata, line by line. A carriage return is
// shown as \r there.
func golden(t *testing.T, name, got string) {
	t.Helper()
	goldentest.Compare(t, name, strings.ReplaceAll(got, "\r", `\r`))
}

// changing is what differs from run to run.
var changing = regexp.MustCompile(`(Retry-After|X-Time-Left-Ms): [0-9.]+`)

func masked(text string) string { return changing.ReplaceAllString(text, "$1: MASKED") }

// lastExchange ends a session in order: its answer is known, and not written down.
const (
	lastExchange = "GET /healthz HTTP/1.0\r\n\r\n"
	lastAnswer   = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nConnection: close\r\n\r\nready\n"
)

// Every answer that the front makes itself, byte for byte.
func TestGoldenAnswers(t *testing.T) {
	r := newRig(t)
	ready := true
	var addr string
	r.do(func() {
		r.core.AddSource(echo{r.core})
		r.core.UpdateWorkers(echo{r.core}, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		addr, _ = NewFront(r.core, r.engine, 64<<20, func() bool { return ready }).Listen("127.0.0.1:0", 200)
		r.core.Accept(make(judge, 1), 0, dispatch.Request{ID: "former", Body: []byte("done")})
		r.core.Accept(make(judge, 1), 0, dispatch.Request{ID: "open", Body: []byte("hold")})
	})
	var text strings.Builder
	session := func(request string, ends bool) {
		t.Helper()
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(patience))
		sent := request
		if !ends {
			sent += lastExchange
		}
		io.WriteString(conn, sent)
		answer, _ := io.ReadAll(conn) // a reset behind the answer is no matter
		got := string(answer)
		if !ends && ready {
			var found bool
			if got, found = strings.CutSuffix(got, lastAnswer); !found {
				t.Errorf("%q ended the session: %q", request, got)
			}
		}
		shown := regexp.MustCompile(`x{100,}`).ReplaceAllStringFunc(request, func(many string) string {
			return fmt.Sprintf("(%d times x)", len(many))
		})
		text.WriteString("> " + strings.ReplaceAll(shown, "\n", "\n> ") + "\n" + masked(got) + "\n")
	}
	for i, x := range exchanges {
		session(strings.ReplaceAll(x.request, "IDENTITY", fmt.Sprintf("id%06d", i)), x.ends)
	}
	for _, request := range []string{
		"HEAD /healthz HTTP/1.1\r\n\r\n", "HEAD / HTTP/1.1\r\n\r\n",
	} {
		session(request, true)
	}
	session("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: head-1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", true) // 408 in the end
	session("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: head-2", true)
	session("GET / HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n", true)
	r.do(func() { ready = false })
	session(lastExchange, true)
	golden(t, "answers.golden", text.String())
}

// The words of each status, and the head of an answer with each part.
func TestGoldenStatuses(t *testing.T) {
	var text []byte
	for _, status := range []int{200, 400, 404, 405, 408, 409, 413, 431, 500, 502, 503} {
		text = AppendAnswer(text, status, []byte("text\n"), 0, false, "")
	}
	text = AppendAnswer(text, 503, nil, time.Millisecond, true, "Allow: GET\r\n")
	text = AppendAnswer(text, 503, []byte("b"), 1499*time.Millisecond, false, "")
	golden(t, "statuses.golden", string(text))
}

// listenOnLoopback accepts connections and hands on the requests' bytes as they are.
func listenOnLoopback(t *testing.T) (addr string, accept func() *heard) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), func() *heard {
		t.Helper()
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patience))
		return &heard{t, conn, bufio.NewReader(conn), ln.Addr().String()}
	}
}

// heard is a connection that a worker or a server has accepted.
type heard struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
	addr string
}

// request reads one request's head, and as many bytes behind it.
func (h *heard) request(body int) string {
	h.t.Helper()
	var text strings.Builder
	for !strings.HasSuffix(text.String(), "\r\n\r\n") {
		line, err := h.in.ReadString('\n')
		if err != nil {
			h.t.Fatalf("%q, %v", text.String(), err)
		}
		text.WriteString(line)
	}
	rest := make([]byte, body)
	if _, err := io.ReadFull(h.in, rest); err != nil {
		h.t.Fatal(err)
	}
	return masked(strings.ReplaceAll(text.String()+string(rest), h.addr, "ADDRESS"))
}

// What a worker is sent: attempts with a path or without, with a key, and a probe.
func TestGoldenToWorkers(t *testing.T) {
	r := newRig(t)
	addr, accept := listenOnLoopback(t)
	var set *Backends
	r.do(func() {
		set = NewBackends(r.core, r.engine, "")
		if err := set.Known(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"site":"here","health":"ready"}]}`, addr)); err != nil {
			t.Error(err)
		}
	})
	var text strings.Builder
	for i, job := range []dispatch.Request{
		{Class: 1, Target: "/renewal/a/k?q=1", Key: "k", Body: []byte("body\r\n")},
		{Class: 0, Target: "/status-check", IdempotencyKey: "key-1"},
		{Class: 1, Key: "a b/ü%", Body: []byte("{}")},
		{Class: 0},
	} {
		job.ID, job.Work = fmt.Sprintf("id%06d", i), 1e6
		got := make(judge, 1)
		r.do(func() { r.core.Accept(got, 0, job) })
		h := accept()
		text.WriteString(h.request(len(job.Body)) + "\n---\n")
		io.WriteString(h.conn, strings.ReplaceAll(plain+"Connection: close\r\n\r\n"+doneText, "IDENTITY", job.ID))
		h.conn.Close()
		select {
		case a := <-got:
			if a.Outcome != dispatch.Served || string(a.Body) != "made" {
				t.Errorf("job %d: %v %q", i, a.Outcome, a.Body)
			}
		case <-time.After(patience):
			t.Fatal("no answer")
		}
	}
	r.do(func() { set.CheckHealth("s") })
	text.WriteString(accept().request(0))
	golden(t, "toworkers.golden", text.String())
}

// What discovery is sent: the first call, which comes where discovery pushes its
// list and where it is asked for it, and the one after a version.
func TestGoldenToDiscovery(t *testing.T) {
	var text strings.Builder
	for _, ask := range []bool{false, true} {
		r := newRig(t, func(s *decision.Settings) { s.ListBySubscription, s.Peers = ask, 1 })
		addr, accept := listenOnLoopback(t)
		r.do(func() {
			set := NewBackends(r.core, r.engine, addr)
			set.Subscribe()
		})
		h := accept()
		text.WriteString(h.request(0))
		io.WriteString(h.conn, watchHead+chunk(newWorld+"\n")+"0\r\n\r\n")
		text.WriteString(accept().request(0))
	}
	golden(t, "todiscovery.golden", text.String())
}

// What a server of changes is sent: the call for what is missing, the watch, and
// the acknowledgement, also of a state in which something is missing.
func TestGoldenToRelay(t *testing.T) {
	r := newRig(t)
	addr, accept := listenOnLoopback(t)
	r.do(func() {
		set := NewBackends(r.core, r.engine, "")
		set.Follow((&subject{}).config(0, &server{addr: addr}))
		if err := set.Known([]byte(`{"hosts":[]}`)); err != nil {
			t.Error(err)
		}
	})
	var text strings.Builder
	call := accept()
	text.WriteString(call.request(0))
	request{Conn: call.conn}.answer(state(5, true, "a=ready"))
	watch := accept()
	text.WriteString(watch.request(0))
	request{Conn: watch.conn}.open()
	text.WriteString(call.request(0)) // the acknowledgement
	request{Conn: call.conn}.answer(state(5, false))
	request{Conn: watch.conn}.tell(state(6, false, "a=draining", "b=asleep")) // is refused
	request{Conn: watch.conn}.tell(state(7, false, "c=ready"))
	text.WriteString(call.request(0)) // tells what is missing
	golden(t, "torelay.golden", text.String())
}

// The answers to requests whose key is kept durably.
func TestGoldenKeptRequests(t *testing.T) {
	r := newRig(t, func(s *decision.Settings) { s.Classes[1].Deadline = time.Second })
	service, err := durable.Open(r.core.Loop, durable.Config{
		Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{LeaseDuration: 20 * time.Millisecond, RecoveryGrace: time.Millisecond},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.do(func() { service.Close() }) })
	// What is pushed has the end that the first word of its body says.
	nothing := func(error) {}
	service.OnRunnable = func(j jobs.Job) {
		request, _ := durable.ReadRequest(j)
		switch word := string(request.Body); {
		case strings.HasPrefix(word, "discard"):
			r.core.Loop.Post(func() { service.Move(j.ID, jobs.Discard, "unwanted", true) })
		case !strings.HasPrefix(word, "hold"):
			service.Assign(j.ID, "w", jobs.NoGuarantee, func(leased jobs.Job, _ error) {
				if strings.HasPrefix(word, "done") {
					service.Ack(j.ID, leased.Fence, []byte("made"), nothing)
				}
			})
		}
	}
	var addr string
	var front *Front
	r.do(func() {
		service.Start()
		r.core.AddSource(echo{r.core})
		front = NewFront(r.core, r.engine, 64<<20, func() bool { return true })
		front.Keep(nil, []bool{false, true})
		addr, _ = front.Listen("127.0.0.1:0", 20)
	})
	var text strings.Builder
	ask := func(key, body string) {
		t.Helper()
		request := fmt.Sprintf("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: id\r\nConnection: close\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		_, in := bad(t, addr, request)
		answer, err := io.ReadAll(in)
		if err != nil {
			t.Error(err)
		}
		text.WriteString("> " + key + ", " + body + "\n" + string(answer) + "\n")
	}
	ask("key-1", "done") // the other process has the store
	r.do(func() { front.Keep(service, []bool{false, true}) })
	ask("key-1", "done")
	ask("key-1", "done")
	ask("key-1", "done again")
	ask("a b", "done")
	ask("key-2", "hold")
	ask("key-3", "discard")
	ask("key-4", "lost")
	golden(t, "kept.golden", text.String())
}
