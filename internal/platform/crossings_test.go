package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// These tests force two events into one turn of the loop: it is held while the
// other end writes, closes or resets, and goes on once the kernel or the poller
// shows that this has arrived. None of them sleeps and hopes.

// hold keeps the loop from going on until the release.
func (r *rig) hold() (release func()) {
	held, on := make(chan struct{}), make(chan struct{})
	r.core.Loop.Post(func() { close(held); <-on })
	<-held
	return func() { close(on) }
}

// until waits for a condition.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: ", what)
		}
	}
}

// write writes and waits until the poller of the program has read some of it.
func (r *rig) write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	held := r.engine.Pool.BytesInUse()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	until(t, "the poller reads", func() bool { return r.engine.Pool.BytesInUse() > held })
}

// unsent is how many bytes the other end's kernel has not taken.
func unsent(t *testing.T, conn net.Conn) (n int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
	})
	return n
}

// held starts a front before a carrier whose attempts end when the test says so.
func (r *rig) held(memory int) (f *Front, addr string, out holder) {
	out = holder{echo{r.core}, make(chan dispatch.Attempt, 100)}
	r.do(func() {
		r.core.AddSource(out)
		r.core.UpdateWorkers(out, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		f = NewFront(r.core, r.engine, memory, func() bool { return true })
		addr, _ = f.Listen("127.0.0.1:0", 50)
	})
	return f, addr, out
}

func (r *rig) serve(f dispatch.Attempt) {
	r.do(func() { r.core.AttemptEnded(f.Handle, decision.Completed, decision.LoadReport{}, []byte("made")) })
}

func started(t *testing.T, out holder) (f dispatch.Attempt) {
	t.Helper()
	select {
	case f = <-out.started:
	case <-time.After(patience):
		t.Fatal("nothing was sent on")
	}
	return f
}

// ended tells how a session ends: true, orderly; false, by a reset.
func ended(in *bufio.Reader) bool {
	_, err := in.ReadByte()
	return err == io.EOF
}

// The point of no return of a planned end: what was read before it is answered,
// whether the loop had it or not; what comes after it is never sent on.
func TestShutCrossesARequest(t *testing.T) {
	for _, x := range []struct {
		name   string
		status int // 0: none
		cross  func(r *rig, f *Front, conn net.Conn)
	}{
		{"the request first", 200, func(r *rig, f *Front, conn net.Conn) {
			release := r.hold()
			r.write(t, conn, job("crossing"))
			r.core.Loop.Post(f.Shut)
			release()
		}},
		{"read, and the loop does not know yet", 200, func(r *rig, f *Front, conn net.Conn) {
			release := r.hold()
			r.core.Loop.Post(f.Shut)
			r.write(t, conn, job("crossing"))
			release()
		}},
		{"the end first", 0, func(r *rig, f *Front, conn net.Conn) {
			r.do(f.Shut)
			r.do(func() {}) // what it has posted
			io.WriteString(conn, job("crossing"))
		}},
		{"half of it read", 503, func(r *rig, f *Front, conn net.Conn) {
			release := r.hold()
			r.core.Loop.Post(f.Shut)
			text := job("crossing")
			r.write(t, conn, text[:len(text)/2])
			release()
			io.WriteString(conn, text[len(text)/2:])
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := newRig(t)
			f, addr, out := r.held(64 << 20)
			conn, in := bad(t, addr, job("first")) // a usual client's, that rests now
			r.serve(started(t, out))
			if status(in) != 200 {
				t.Fatal("no answer to the first")
			}
			x.cross(r, f, conn)
			if x.status == 200 {
				r.serve(started(t, out))
			}
			if x.status != 0 {
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != x.status || !resp.Close {
					t.Fatalf("%+v, %v; want %d and the session's end", resp, err, x.status)
				}
				io.Copy(io.Discard, resp.Body)
			}
			if !ended(in) {
				t.Error("the session does not end in order")
			}
			r.do(func() {})
			if n := len(out.started); n != 0 {
				t.Errorf("%d requests were sent on after the end", n)
			}
			until(t, "all connections end", func() (none bool) {
				r.do(func() { none = f.Open() == 0 && f.Sessions() == 0 })
				return none
			})
		})
	}
}

// A client that sends without end holds neither its own answer nor the end.
func TestShutBesideAClientThatKeepsSending(t *testing.T) {
	r := newRig(t)
	f, addr, out := r.held(64 << 20)
	conn, in := bad(t, addr, job("first"))
	attempt := started(t, out)
	var sent atomic.Int64
	go func() {
		junk := make([]byte, 16<<10)
		for {
			n, err := conn.Write(junk)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}()
	until(t, "much has been sent", func() bool { return sent.Load() > 100<<10 })
	r.do(f.Shut)
	r.serve(attempt)
	if code := status(in); code != 200 {
		t.Errorf("its answer: %d", code)
	}
	until(t, "its connection ends", func() (none bool) {
		r.do(func() { none = f.Open() == 0 })
		return none
	})
}

// A session's time for resting is up in the turn in which its next request comes.
func TestRestIsOverAsARequestComes(t *testing.T) {
	r := newRig(t)
	f, addr, out := r.held(64 << 20)
	conn, in := bad(t, addr, job("first"))
	r.serve(started(t, out))
	if status(in) != 200 {
		t.Fatal("no answer to the first")
	}
	release := r.hold()
	r.core.Loop.Post(func() { f.sessions.ForEach(func(_ uint64, s *session) { s.expire() }) })
	r.write(t, conn, job("crossing"))
	release()
	r.serve(started(t, out))
	if code := status(in); code != 200 {
		t.Errorf("the crossing request: %d", code)
	}
}

// A client that leaves while its request waits is noticed, whatever it has sent
// behind that request: its end does not come through behind bytes that nobody reads.
func TestLeavingBehindBytes(t *testing.T) {
	for _, behind := range []int{0, 1, 300, 3 * transport.BufferSize, 400 << 10} {
		r := newRig(t)
		f, addr, out := r.held(64 << 20)
		conn, _ := bad(t, addr, job("leaves")+strings.Repeat("x", behind))
		started(t, out)
		if behind == 400<<10 && unsent(t, conn) == 0 {
			t.Fatal("the system took all of it, which shows nothing")
		}
		conn.Close()
		until(t, fmt.Sprintf("the client's end behind %d bytes is noticed", behind), func() (gone bool) {
			r.do(func() { gone = r.core.Counts().Cancelled == 1 && f.Sessions() == 0 })
			return gone
		})
	}
}

// Memory is never made by giving up a session on which an answer is owed.
func TestReliefSparesWhatIsOwed(t *testing.T) {
	r := newRig(t)
	f, addr, out := r.held(64 << 20)
	_, in := bad(t, addr, job("first")+"POST /renewal/k HTTP/1.1\r\n")
	attempt := started(t, out)
	r.do(func() {
		f.memory = 1
		f.relieve()
		f.memory = 64 << 20
	})
	r.serve(attempt)
	if code := status(in); code != 200 {
		t.Errorf("the answer owed: %d", code)
	}
}

// What a client says to make a repeat known goes to the backend as it came.
func TestIdempotencyKeyIsPassedOn(t *testing.T) {
	r := newRig(t)
	ln, next := r.backendListener(t)
	var addr string
	r.do(func() {
		r.sole(t, ln, settleTime)
		addr, _ = NewFront(r.core, r.engine, 64<<20, func() bool { return true }).Listen("127.0.0.1:0", 20)
	})
	conn, in := bad(t, addr, "")
	back, from := net.Conn(nil), (*bufio.Reader)(nil)
	for i, key := range []string{"5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "", `"quoted", and more`} {
		text := fmt.Sprintf("POST /status-check/k HTTP/1.1\r\nX-Correlation-Id: key%05d\r\nidempotency-key: %s\r\nContent-Length: 4\r\n\r\nbody", i, key)
		if key == "" {
			text = strings.Replace(text, "idempotency-key: \r\n", "", 1)
		}
		io.WriteString(conn, text)
		if back == nil {
			back, from = next()
		}
		req, err := http.ReadRequest(from)
		if err != nil {
			t.Fatalf("%q: %v", key, err)
		}
		io.Copy(io.Discard, req.Body)
		if got, told := req.Header["Idempotency-Key"]; told != (key != "") || told && got[0] != key {
			t.Errorf("%q was passed on as %q", key, got)
		}
		io.WriteString(back, strings.ReplaceAll(chunked(done), "IDENTITY", req.Header.Get("X-Correlation-Id")))
		if code := status(in); code != 200 {
			t.Errorf("the answer: %d", code)
		}
	}
}

// ---- Attempts and idle connections.

// backendListener is a backend's listener, and what accepts its next connection.
func (r *rig) backendListener(t *testing.T) (net.Listener, func() (net.Conn, *bufio.Reader)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln, func() (net.Conn, *bufio.Reader) {
		t.Helper()
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patience))
		return conn, bufio.NewReader(conn)
	}
}

// sole returns a carrier that knows one backend, whose connections it uses again
// after a rest of calm. It is for the loop.
func (r *rig) sole(t *testing.T, ln net.Listener, calm time.Duration) *Backends {
	b := NewBackends(r.core, r.engine, "")
	b.calm = calm
	if err := b.Known(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"health":"ready"}]}`, ln.Addr())); err != nil {
		t.Error(err)
	}
	return b
}

// answerOnce reads a request and answers it as done.
func answerOnce(t *testing.T, conn net.Conn, in *bufio.Reader) {
	t.Helper()
	req, err := http.ReadRequest(in)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, req.Body)
	io.WriteString(conn, strings.ReplaceAll(chunked(done), "IDENTITY", req.Header.Get("X-Correlation-Id")))
}

func (r *rig) take(class int, id string) judge {
	got := make(judge, 1)
	r.core.Loop.Post(func() {
		r.core.Accept(got, 0, dispatch.Request{ID: id, Class: class, Target: "/" + r.core.Settings.Classes[class].Name + "/k", Body: []byte("body"), Work: 1e6})
	})
	return got
}

func verdict(t *testing.T, got judge) dispatch.Outcome {
	t.Helper()
	select {
	case a := <-got:
		return a.Outcome
	case <-time.After(patience):
		t.Fatal("no answer")
	}
	return 0
}

// What comes on a resting connection is no answer to the next request, and its
// end is no end of the next attempt, also where both meet in one turn.
func TestRestingConnectionCrossesARequest(t *testing.T) {
	for name, cross := range map[string]func(r *rig, conn net.Conn){
		"a refusal": func(r *rig, conn net.Conn) {
			r.write(t, conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"half a line": func(r *rig, conn net.Conn) { r.write(t, conn, `{"id":"id00`) },
		"an answer of its own": func(r *rig, conn net.Conn) {
			r.write(t, conn, strings.ReplaceAll(chunked(done), "IDENTITY", "id000002"))
		},
		"its end": func(_ *rig, conn net.Conn) { conn.Close() },
		"a reset": func(_ *rig, conn net.Conn) { conn.(*net.TCPConn).SetLinger(0); conn.Close() },
	} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, the loop knows: %v", name, !late), func(t *testing.T) {
				r := newRig(t)
				ln, next := r.backendListener(t)
				r.do(func() {
					r.sole(t, ln, 0)
				})
				first := r.take(1, "id000001")
				conn, in := next()
				answerOnce(t, conn, in)
				if v := verdict(t, first); v != dispatch.Served {
					t.Fatalf("the first: %v", v)
				}
				release := r.hold()
				var second judge
				if late {
					second = r.take(1, "id000002")
				}
				cross(r, conn)
				if !late {
					second = r.take(1, "id000002")
				}
				release()
				other, from := next()
				answerOnce(t, other, from)
				if v := verdict(t, second); v != dispatch.Served {
					t.Errorf("the next request: %v", v)
				}
			})
		}
	}
}

// A second answer that comes late names no request where it says that nothing
// ran: a request that must not run twice goes out on a connection that has
// rested for longer, or on a new one. Others may use it at once.
func TestSecondAnswersFindNoFragileRequest(t *testing.T) {
	r := newRig(t, func(s *decision.Settings) {
		s.Classes = append(s.Classes, decision.Class{Name: "transfer", PriorityWeight: 4, LatencyObjective: time.Second, Deadline: 8 * time.Second,
			Idempotency: decision.Deduplicated, DedupWindow: 2 * time.Second})
	})
	ln, next := r.backendListener(t)
	var b *Backends
	r.do(func() {
		b = r.sole(t, ln, time.Hour)
	})
	first := r.take(1, "id000001")
	conn, in := next()
	answerOnce(t, conn, in)
	verdict(t, first)
	for class, id := range map[int]string{1: "id000002", 2: "id000003"} { // neither on the first connection
		fragile := r.take(class, id)
		other, from := next()
		answerOnce(t, other, from)
		if v := verdict(t, fragile); v != dispatch.Served {
			t.Errorf("%s: %v", id, v)
		}
		other.Close()
	}
	until(t, "the others' ends are noticed", func() (alone bool) {
		r.do(func() { alone = len(b.hosts["s"].idle) == 1 })
		return alone
	})
	safe := r.take(0, "id000004")
	answerOnce(t, conn, in)
	if v := verdict(t, safe); v != dispatch.Served {
		t.Errorf("one that may be repeated: %v", v)
	}
	r.do(func() { b.calm = 0 })
	rested := r.take(1, "id000005")
	answerOnce(t, conn, in)
	if v := verdict(t, rested); v != dispatch.Served {
		t.Errorf("on a connection that has rested: %v", v)
	}
}

// A connection that has rested for its time is not used again, though a late
// loop has not closed it yet.
func TestRestIsOverBeforeTheLoopKnows(t *testing.T) {
	r := newRig(t, func(s *decision.Settings) { s.ConnectionIdleTimeout = 200 * time.Millisecond })
	ln, next := r.backendListener(t)
	var b *Backends
	r.do(func() {
		b = r.sole(t, ln, 0)
	})
	first := make(judge, 1)
	end, release := time.Duration(0), make(chan struct{})
	closed := make(chan bool, 1)
	var second judge
	r.do(func() {
		r.core.Accept(answering(func(a dispatch.Response) {
			r.core.Loop.Post(func() { // its connection rests by now, and its time passes in this turn
				end = b.hosts["s"].idle[0].until
				second = make(judge, 1)
				close(release)
				for r.core.Loop.Now() <= end {
					time.Sleep(time.Millisecond)
				}
				r.core.Accept(second, 0, dispatch.Request{ID: "id000002", Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6})
			})
			first <- a
		}), 0, dispatch.Request{ID: "id000001", Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6})
	})
	conn, in := next()
	answerOnce(t, conn, in)
	verdict(t, first)
	<-release
	go func() {
		_, err := in.ReadByte()
		closed <- errors.Is(err, io.EOF)
	}()
	other, from := next()
	answerOnce(t, other, from)
	if v := verdict(t, second); v != dispatch.Served {
		t.Errorf("the next request: %v", v)
	}
	if !<-closed {
		t.Error("the connection that had its time was used again")
	}
}

// answering is a front that calls the test on each answer.
type answering func(dispatch.Response)

func (f answering) Respond(_ uint64, a dispatch.Response) { f(a) }

// keyed are settings with a class whose repeats are known for a window, and the time for a connect.
func keyed(window, connect time.Duration) func(*decision.Settings) {
	return func(s *decision.Settings) {
		s.Classes = append(s.Classes, decision.Class{Name: "transfer", PriorityWeight: 4, LateWeight: 1, LatencyObjective: 8 * time.Second,
			Deadline: 8 * time.Second, Idempotency: decision.Deduplicated, DedupWindow: window}) // worth waiting for to its end
		s.MaxAttempts, s.ConnectTimeout = 3, connect
	}
}

// The window for repeats ends while the connection of a repeat comes up: it is not sent.
func TestWindowEndsBeforeARepeatLeaves(t *testing.T) {
	for _, inTime := range []bool{true, false} {
		t.Run(fmt.Sprint("in time: ", inTime), func(t *testing.T) {
			window, connect := 4*time.Second, 2*time.Second
			if !inTime {
				window, connect = 2*time.Second, 3900*time.Millisecond // the connect may take longer than the window
			}
			r := newRig(t, keyed(window, connect))
			ln, next := r.backendListener(t)
			var b *Backends
			r.do(func() {
				b = r.sole(t, ln, time.Hour) // each attempt has a connection of its own
				r.core.Trace = func(_, step string, more ...any) {
					if step != dispatch.StepAssigned || more[1] != 1 || inTime {
						return
					}
					first := r.core.Loop.Now() // no attempt came later
					r.core.Loop.Post(func() {
						for r.core.Loop.Now() < first+window {
							time.Sleep(time.Millisecond)
						}
					})
				}
			})
			got := r.take(2, "id000001")
			conn, in := next()
			if _, err := http.ReadRequest(in); err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n") // it may have run
			again, from := next()
			if inTime {
				answerOnce(t, again, from)
				if v := verdict(t, got); v != dispatch.Served {
					t.Errorf("repeated in time: %v", v)
				}
				return
			}
			if v := verdict(t, got); v == dispatch.Served { // all backends know a repeat, so it may be refused too
				t.Errorf("with the window over: %v", v)
			}
			r.do(func() { b.Idle() })
			if text, err := io.ReadAll(from); len(text) > 0 || err != nil {
				t.Errorf("the repeat left all the same: %q, %v", text, err)
			}
		})
	}
}

// narrow makes the system take only so much of a request that nobody reads.
func narrow(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048)
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 500)
	})
}

// A repeat of which the system took a part is given up when its window ends: the
// rest would leave whenever the backend makes room.
func TestWindowEndsInsideARepeat(t *testing.T) {
	const window = time.Second
	r := newRig(t, keyed(window, 100*time.Millisecond))
	lc := net.ListenConfig{Control: narrow}
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(judge, 1)
	r.do(func() {
		r.sole(t, ln, time.Hour)
		body := bytes.Repeat([]byte("x"), 64<<10)
		r.core.Accept(got, 0, dispatch.Request{ID: "id000001", Class: 2, Target: "/transfer/k", Body: body, Work: 1e6})
	})
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	in := bufio.NewReader(conn)
	if req, err := http.ReadRequest(in); err != nil {
		t.Fatal(err)
	} else {
		io.Copy(io.Discard, req.Body)
	}
	first := r.core.Loop.Now() // it was chosen before
	io.WriteString(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
	again, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	again.SetDeadline(time.Now().Add(patience))
	until(t, "the window is over", func() bool { return r.core.Loop.Now() > first+window })
	text, _ := io.ReadAll(again) // nothing was read of it up to now
	if v := verdict(t, got); v == dispatch.Served {
		t.Errorf("with the window over: %v", v)
	}
	if _, body, _ := bytes.Cut(text, []byte("\r\n\r\n")); len(body) >= 64<<10 {
		t.Errorf("the repeat left whole: %d bytes of its body", len(body))
	}
}

// A request that is over is not sent on, though a connect, a held last byte or a
// full socket stood before it and the settings let no attempt be called off.
func TestNothingLeavesForARequestThatIsOver(t *testing.T) {
	for name, answered := range map[string]bool{"its client left": false, "it was answered": true} {
		for _, where := range []string{"connecting", "last byte held", "socket full"} {
			t.Run(name+", "+where, func(t *testing.T) {
				r := newRig(t, func(s *decision.Settings) { s.Cancellation, s.StartNotices = false, false })
				lc := net.ListenConfig{}
				if where == "socket full" {
					lc.Control = narrow
				}
				ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				over := make(chan struct{}, 1)
				got := make(judge, 1)
				var req uint64
				finish := func() { // what ends it, on the loop
					if answered {
						r.core.ExpireAll()
					} else {
						r.core.Cancel(req)
					}
					over <- struct{}{}
				}
				var b *Backends
				r.do(func() {
					b = r.sole(t, ln, settleTime)
					if where == "last byte held" {
						b.wary, b.hold = r.core.Loop.Now()+time.Hour, 300*time.Millisecond
					}
					r.core.Trace = func(_, step string, _ ...any) {
						if step == dispatch.StepAssigned && where == "connecting" {
							r.core.Loop.Post(finish) // before the word that the connection is up
						}
					}
					body := bytes.Repeat([]byte("x"), 64<<10)
					req = r.core.Accept(got, 0, dispatch.Request{ID: "id000001", Class: 0, Target: "/status-check/k", Body: body, Work: 1e6})
				})
				conn, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(patience))
				in := bufio.NewReaderSize(conn, 16)
				if where != "connecting" {
					if _, err := in.Peek(1); err != nil {
						t.Fatal(err)
					}
					r.core.Loop.Post(finish)
				}
				receive(t, over)
				go r.do(func() { // a connection that came up and carries nothing rests; it is closed then
					r.core.Loop.After(time.Second, func() { b.Idle() })
				})
				text, _ := io.ReadAll(in)
				if _, body, _ := bytes.Cut(text, []byte("\r\n\r\n")); len(body) >= 64<<10 || where == "connecting" && len(text) > 0 {
					t.Errorf("%d bytes left for a request that is over", len(text))
				}
				until(t, "the request is forgotten", func() (none bool) {
					r.do(func() { none = r.core.Unanswered() == 0 && len(b.lines) == 0 })
					return none
				})
			})
		}
	}
}

// An answer that never ends is cut: behind its last object the connection has a
// second, and carries no other request; an object that never ends is no answer.
func TestEndlessAnswers(t *testing.T) {
	r := newRig(t)
	ln, next := r.backendListener(t)
	r.do(func() {
		r.sole(t, ln, 0)
	})
	endless := func(conn net.Conn, text string) (cut chan int) {
		cut = make(chan int, 1)
		go func() {
			n := 0
			for {
				m, err := io.WriteString(conn, text)
				if n += m; err != nil {
					cut <- n
					return
				}
			}
		}()
		return cut
	}
	for i, x := range []struct {
		head, more string
		want       dispatch.Outcome
	}{
		{strings.TrimSuffix(chunked(done), "0\r\n\r\n"), chunk("more\n"), dispatch.Served},
		{watchHead, chunk(strings.Repeat("x", 1000)), dispatch.Failed},
		{watchHead, chunk("\n"), dispatch.Failed},
		{"HTTP/1.1 200 OK\r\n", "X-More: more\r\n", dispatch.Failed},
	} {
		id := fmt.Sprintf("id%06d", i)
		got := make(judge, 1)
		r.do(func() {
			r.core.Accept(got, 0, dispatch.Request{ID: id, Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6, TimeLeft: 3 * time.Second})
		})
		conn, in := next()
		if _, err := http.ReadRequest(in); err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, strings.ReplaceAll(x.head, "IDENTITY", id))
		cut := endless(conn, x.more)
		if v := verdict(t, got); v != x.want {
			t.Errorf("answer %d: %v, want %v", i, v, x.want)
		}
		if x.want == dispatch.Served { // beside it
			other := r.take(1, "id000099")
			conn, in := next()
			answerOnce(t, conn, in)
			if v := verdict(t, other); v != dispatch.Served {
				t.Errorf("beside an endless answer: %v", v)
			}
			conn.Close()
		}
		receive(t, cut)
		if held := r.engine.Pool.BytesInUse(); held > 8*transport.BufferSize {
			t.Errorf("answer %d: %d bytes are held", i, held)
		}
	}
}

// ---- Discovery.

// call is what the stand-in for discovery got: a connection and what it asked for.
type call struct {
	net.Conn
	query string
}

// calls are those that come to a stand-in for discovery, which answers none by itself.
func calls(t *testing.T) (addr string, came chan call) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	came = make(chan call, 100)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					came <- call{conn, req.URL.RawQuery}
				}
			}()
		}
	}()
	return ln.Addr().String(), came
}

func receive[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return v
}

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Where lists are pushed, what the agent has counts as told, watch or not: it is
// called at the start, however many dispatchers there are, and again and again
// where it is silent, resets the call or has nothing to say, several times in the
// time that a drain leaves.
func TestAgentIsCalledAgainAtOnce(t *testing.T) {
	for _, peers := range []int{1, 300} {
		r := newRig(t, func(s *decision.Settings) {
			s.Peers, s.ListPollInterval, s.DrainGrace = peers, 10*time.Second, 500*time.Millisecond
		})
		addr, came := calls(t)
		var b *Backends
		r.do(func() {
			b = NewBackends(r.core, r.engine, addr)
			if err := b.Known([]byte(`{"seq":41,"hosts":[{"host":"old","dial":"127.0.0.1:9","health":"ready"}]}`)); err != nil {
				t.Error(err)
			}
		})
		end := time.Now().Add(patience)
		for i := range 24 { // to wait for seconds, or twice as long each time, takes far more than that
			c := receive(t, came)
			if time.Now().After(end) {
				t.Fatalf("%d calls in %v", i, patience)
			}
			if c.query != "watch=1&after=41" {
				t.Fatalf("call %d: %s", i, c.query)
			}
			switch i % 4 {
			case 0: // silent
			case 1:
				c.Conn.(*net.TCPConn).SetLinger(0)
				c.Close()
			case 2:
				io.WriteString(c, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
			case 3: // silent after the head
				io.WriteString(c, watchHead)
			}
		}
		c := receive(t, came)
		for strings.Contains(c.query, "watch") { // the call that stands is the last one
			io.WriteString(c, watchHead+chunk(`{"seq":43,"whole":true,"hosts":[{"host":"new","dial":"127.0.0.1:9","health":"ready"}]}`+"\n"))
			heard := false
			for end := time.Now().Add(200 * time.Millisecond); !heard && time.Now().Before(end); time.Sleep(time.Millisecond) {
				r.do(func() { heard = b.hosts["new"] != nil && b.hosts["old"] == nil && b.watch.live })
			}
			if heard {
				break
			}
			c = receive(t, came)
		}
	}
}

// A watch may tell an object on one line or on many, several in a chunk, one over
// several chunks, and larger than a buffer.
func TestListsInAnyForm(t *testing.T) {
	type list struct {
		Seq   int64  `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []host `json:"hosts"`
	}
	word := func(seq int64, whole bool, n int, health string) list {
		l := list{Seq: seq, Whole: whole}
		for i := range n {
			l.Hosts = append(l.Hosts, host{Host: fmt.Sprintf("s-%d", i), Dial: "127.0.0.1:9", Health: health, Site: "he\\\"}{re"})
		}
		return l
	}
	const many = 1500 // indented, over 200 KB
	for _, indent := range []string{"", "  "} {
		for _, piece := range []int{1 << 20, 4096, 7} {
			r := newRig(t)
			addr, came := calls(t)
			var b *Backends
			r.do(func() {
				b = NewBackends(r.core, r.engine, addr)
				b.core.Settings.DrainGrace = time.Minute // the call has its time
				if err := b.Known(nil); err != nil {
					t.Error(err)
				}
			})
			var text string
			for _, l := range []list{word(2, true, many, "ready"), word(3, false, 2, "draining"), word(4, false, 1, "gone")} {
				raw, _ := json.MarshalIndent(l, "", indent)
				if indent == "" {
					raw, _ = json.Marshal(l)
				}
				text += string(raw) + "\n"
			}
			c := receive(t, came)
			out := bufio.NewWriter(c)
			out.WriteString(watchHead)
			for at := 0; at < len(text); at += piece {
				out.WriteString(chunk(text[at:min(at+piece, len(text))]))
			}
			out.Flush()
			until(t, fmt.Sprintf("indent %q in pieces of %d is read", indent, piece), func() (read bool) {
				r.do(func() { read = b.watch.seq == 4 })
				return read
			})
			r.do(func() {
				if n := len(b.hosts); n != many-1 || b.hosts["s-0"] != nil || b.hosts["s-1"].state != decision.Draining || b.hosts["s-2"].state != decision.Running {
					t.Errorf("indent %q in pieces of %d: %d hosts", indent, piece, n)
				}
			})
		}
	}
}

// FuzzObjects: objects come out of a stream as they went in, however it is cut.
func FuzzObjects(f *testing.F) {
	f.Add([]byte(`{"a":{"b":[1,"}{"]}}`+"\n\n"+`{"c":"\\\""}{"d":[]}`), byte(1))
	f.Add([]byte("{\n \"a\": 1\n}\n\r\n[1]\n"), byte(3))
	f.Fuzz(func(t *testing.T, text []byte, cut byte) {
		read := func(piece int) (got []string, failed bool) {
			var o objects
			for at := 0; at < len(text); at += piece {
				for data := text[at:min(at+piece, len(text))]; len(data) > 0; {
					object, used, whole, err := o.next(data)
					if err != nil {
						return got, true
					}
					if used == 0 {
						t.Fatalf("nothing is taken of %q", data)
					}
					if data = data[used:]; whole {
						got = append(got, string(object))
					}
				}
			}
			return got, false
		}
		at1, failed1 := read(max(len(text), 1))
		atN, failedN := read(int(cut)%64 + 1)
		if fmt.Sprint(at1, failed1) != fmt.Sprint(atN, failedN) {
			t.Fatalf("%q at once: %q, %v; in pieces of %d: %q, %v", text, at1, failed1, cut%64+1, atN, failedN)
		}
		whole := json.NewDecoder(bytes.NewReader(text))
		for _, object := range at1 {
			if object == "" {
				continue
			}
			var want json.RawMessage
			if err := whole.Decode(&want); err != nil {
				break // its reader will say so
			}
			if string(want) != object {
				t.Fatalf("%q: %q, want %q", text, object, want)
			}
		}
	})
}
