package workerclient

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// workerClient returns a worker client with a registry that follows discovery at addr.
func newWorkerClient(r *testkit.Rig, addr string) *Client {
	return New(r.Dispatcher, r.Engine, discovery.New(r.Dispatcher, r.Engine, addr))
}

// FuzzWorkerResponses checks a connection to a backend against a model: whatever the
// backend answers, and wherever the bytes are cut apart, the req ends as the
// protocol's table says, and its request arrives once at most, also where the
// connection kept from the last one has just been closed.
func FuzzWorkerResponses(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 255, 1, 33, 2, 90})
	f.Add([]byte{0, 0, 64, 0, 64, 0, 64, 255})
	for i := range testkit.WorkerResponses {
		f.Add([]byte{0, 0, byte(i), 101, 0, 3, byte(i), 254, 0, 0})
	}
	r, s := testkit.NewRig(f), testkit.NewScriptedWorker(f)
	r.Do(func() {
		b := newWorkerClient(r, "")
		b.reuseDelay = 0 // a connection is used again at once
		known := fmt.Sprintf(`{"hosts":[{"host":"s","dial":%q,"site":"here","health":"ready"}]}`, s.Listener.Addr())
		if err := b.registry.LoadInitial([]byte(known)); err != nil {
			f.Error(err)
		}
	})
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		for i := 0; i+1 < len(steps) && i < 20; i += 2 {
			x := testkit.WorkerResponses[int(steps[i])%64%len(testkit.WorkerResponses)]
			closed := steps[i]&64 != 0
			if closed {
				s.HangUp()
			}
			number++
			id := fmt.Sprintf("id%06d", number) // as long as what it replaces
			s.Mu.Lock()
			s.Scripts, s.Cut = []string{x.Script}, int(steps[i+1])
			s.Mu.Unlock()
			got := make(testkit.Responses, 2)
			r.Do(func() {
				r.Dispatcher.Accept(got, 0, dispatch.Request{ID: id, Class: 1, Target: "/renewal/k", Body: []byte("b"), Work: 1e6})
			})
			var a dispatch.Response
			select {
			case a = <-got:
			case <-time.After(testkit.Patience):
				t.Fatalf("no answer to %q", x.Script)
			}
			s.Mu.Lock()
			n := s.Arrivals[id]
			s.Mu.Unlock()
			// A kept connection that has just been closed may cost the req; never a second run.
			if a.Outcome != x.Want && !(closed && a.Outcome == dispatch.Failed && n <= 1) || n > 1 {
				t.Fatalf("%q: %v, want %v; arrived %d times", x.Script, a.Outcome, x.Want, n)
			}
			if a.Outcome == dispatch.Served && string(a.Body) != "made" {
				t.Fatalf("%q: result %q", x.Script, a.Body)
			}
		}
	})
}

// A connection that turns out dead on a request costs nothing, even a fragile
// one: its last byte stays back until the connection has shown that it lives. A
// backend that answers before that byte never gets it.
func TestLastByteIsHeldBack(t *testing.T) {
	r := testkit.NewRig(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var b *Client
	r.Do(func() {
		b = newWorkerClient(r, "")
		b.lastByteDelay = 400 * time.Millisecond // this end must act within it, however busy the machine is
		b.reuseDelay = 0                         // a connection is used again at once
		if err := b.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"health":"ready"}]}`, ln.Addr())); err != nil {
			t.Error(err)
		}
	})
	take := func(id string) testkit.Responses {
		got := make(testkit.Responses, 1)
		r.Do(func() {
			r.Dispatcher.Accept(got, 0, dispatch.Request{ID: id, Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6})
		})
		return got
	}
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(testkit.Patience))
	next := func() (net.Conn, *bufio.Reader) {
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testkit.Patience))
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
		io.WriteString(conn, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", req.Header.Get("X-Correlation-Id")))
	}
	first := take("id000001")
	conn, in := next()
	serve(conn, in)
	if a := <-first; a.Outcome != dispatch.Served {
		t.Fatalf("the first: %v", a.Outcome)
	}
	conn.Close() // before its time: from now on they are not trusted
	for wary, end := false, time.Now().Add(testkit.Patience); !wary; time.Sleep(time.Millisecond) {
		if r.Do(func() { wary = b.holdLastByteUntil > 0 }); time.Now().After(end) {
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
func TestHealthChecks(t *testing.T) {
	r, s := testkit.NewRig(t), testkit.NewScriptedWorker(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var b *Client
	r.Do(func() {
		b = newWorkerClient(r, "")
		b.reuseDelay = 0 // a connection is used again at once
		known := `{"hosts":[{"host":"s","dial":%q,"health":"ready"},{"host":"silent","dial":%q,"health":"draining"}]}`
		if err := b.registry.LoadInitial(fmt.Appendf(nil, known, s.Listener.Addr(), silent.Addr())); err != nil {
			t.Error(err)
		}
		b.CheckHealth("silent")
		b.CheckHealth("nobody")
	})
	conn, err := silent.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testkit.Patience))
	if text, err := io.ReadAll(conn); err != nil || !bytes.HasPrefix(text, []byte("GET /load HTTP/1.1\r\n")) {
		t.Errorf("probed by %q, %v", text, err)
	}
	s.Mu.Lock()
	s.Scripts = []string{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"x0\":1.5}", testkit.ChunkedResponse(testkit.DoneLine)}
	s.Mu.Unlock()
	r.Do(func() { b.CheckHealth("s") })
	for end := time.Now().Add(testkit.Patience); ; time.Sleep(time.Millisecond) {
		idle := 0
		r.Do(func() { idle = len(b.idle[b.registry.Worker("s")]) })
		if idle == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the probe's connection does not come to rest")
		}
	}
	got := make(testkit.Responses, 1)
	r.Do(func() {
		r.Dispatcher.Accept(got, 0, dispatch.Request{ID: "id000001", Class: 1, Target: "/renewal/k", Work: 1e6})
	})
	select {
	case a := <-got:
		if a.Outcome != dispatch.Served {
			t.Errorf("after the probe: %v", a.Outcome)
		}
	case <-time.After(testkit.Patience):
		t.Fatal("no answer")
	}
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if len(s.Conns) != 1 {
		t.Errorf("%d connections", len(s.Conns))
	}
}

// A backend holds only so many connections for all dispatchers together: the
// more dispatchers there are, the fewer rest here, the one used last among them.
func TestIdleConnectionsScaleWithDispatchers(t *testing.T) {
	for _, x := range []struct{ peers, rest int }{{fleetIdleConnections / 3, 3}, {48 * fleetIdleConnections, 1}} {
		r, s := testkit.NewRig(t), testkit.NewScriptedWorker(t)
		r.Dispatcher.Settings.Peers = x.peers
		const load = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"x0\":1.5}"
		s.Mu.Lock()
		s.Scripts = []string{load, load, load, load, load}
		s.Mu.Unlock()
		var b *Client
		r.Do(func() {
			b = newWorkerClient(r, "")
			if err := b.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"health":"ready"}]}`, s.Listener.Addr())); err != nil {
				t.Error(err)
			}
			for range 5 {
				b.CheckHealth("s")
			}
		})
		for end := time.Now().Add(testkit.Patience); ; time.Sleep(time.Millisecond) {
			idle, open := 0, 0
			r.Do(func() { idle, open = len(b.idle[b.registry.Worker("s")]), r.Engine.OpenConnections() })
			s.Mu.Lock()
			came := len(s.Conns)
			s.Mu.Unlock()
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
