package workerclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// What a client says to make a repeat known goes to the backend as it came.
func TestIdempotencyKeyIsPassedOn(t *testing.T) {
	r := testkit.NewRig(t)
	ln, next := listenAsWorker(t)
	var addr string
	r.Do(func() {
		newSoleWorkerClient(t, r, ln, defaultReuseDelay)
		addr, _ = httpfront.New(r.Dispatcher, r.Engine, 64<<20, func() bool { return true }).Listen("127.0.0.1:0", 20)
	})
	conn, in := testkit.Connect(t, addr, "")
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
		io.WriteString(back, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", req.Header.Get("X-Correlation-Id")))
		if code := testkit.Status(in); code != 200 {
			t.Errorf("the answer: %d", code)
		}
	}
}

// backendListener is a backend's listener, and what accepts its next connection.
func listenAsWorker(t *testing.T) (net.Listener, func() (net.Conn, *bufio.Reader)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln, func() (net.Conn, *bufio.Reader) {
		t.Helper()
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(testkit.Patience))
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testkit.Patience))
		return conn, bufio.NewReader(conn)
	}
}

// sole returns a carrier that knows one backend, whose connections it uses again
// after a rest of calm. It is for the loop.
func newSoleWorkerClient(t *testing.T, r *testkit.Rig, ln net.Listener, calm time.Duration) *Client {
	b := newWorkerClient(r, "")
	b.reuseDelay = calm
	if err := b.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"health":"ready"}]}`, ln.Addr())); err != nil {
		t.Error(err)
	}
	return b
}

// serveOnce reads a request and answers it as done.
func serveOnce(t *testing.T, conn net.Conn, in *bufio.Reader) {
	t.Helper()
	req, err := http.ReadRequest(in)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, req.Body)
	io.WriteString(conn, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", req.Header.Get("X-Correlation-Id")))
}

func acceptRequest(r *testkit.Rig, class int, id string) testkit.Responses {
	got := make(testkit.Responses, 1)
	r.Dispatcher.Loop.Post(func() {
		r.Dispatcher.Accept(got, 0, dispatch.Request{ID: id, Class: class, Target: "/" + r.Dispatcher.Settings.Classes[class].Name + "/k", Body: []byte("body"), Work: 1e6})
	})
	return got
}

func awaitOutcome(t *testing.T, got testkit.Responses) dispatch.Outcome {
	t.Helper()
	select {
	case a := <-got:
		return a.Outcome
	case <-time.After(testkit.Patience):
		t.Fatal("no answer")
	}
	return 0
}

// What comes on a resting connection is no answer to the next request, and its
// end is no end of the next attempt, also where both meet in one turn.
func TestIdleConnectionIsNotTakenForAResponse(t *testing.T) {
	for name, cross := range map[string]func(r *testkit.Rig, conn net.Conn){
		"a refusal": func(r *testkit.Rig, conn net.Conn) {
			r.Write(t, conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"half a line": func(r *testkit.Rig, conn net.Conn) { r.Write(t, conn, `{"id":"id00`) },
		"an answer of its own": func(r *testkit.Rig, conn net.Conn) {
			r.Write(t, conn, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", "id000002"))
		},
		"its end": func(_ *testkit.Rig, conn net.Conn) { conn.Close() },
		"a reset": func(_ *testkit.Rig, conn net.Conn) { conn.(*net.TCPConn).SetLinger(0); conn.Close() },
	} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, the loop knows: %v", name, !late), func(t *testing.T) {
				r := testkit.NewRig(t)
				ln, next := listenAsWorker(t)
				r.Do(func() {
					newSoleWorkerClient(t, r, ln, 0)
				})
				first := acceptRequest(r, 1, "id000001")
				conn, in := next()
				serveOnce(t, conn, in)
				if v := awaitOutcome(t, first); v != dispatch.Served {
					t.Fatalf("the first: %v", v)
				}
				release := r.Hold()
				var second testkit.Responses
				if late {
					second = acceptRequest(r, 1, "id000002")
				}
				cross(r, conn)
				if !late {
					second = acceptRequest(r, 1, "id000002")
				}
				release()
				other, from := next()
				serveOnce(t, other, from)
				if v := awaitOutcome(t, second); v != dispatch.Served {
					t.Errorf("the next request: %v", v)
				}
			})
		}
	}
}

// A second answer that comes late names no request where it says that nothing
// ran: a request that must not run twice goes out on a connection that has
// rested for longer, or on a new one. Others may use it at once.
func TestUnsafeRequestWaitsForReuseDelay(t *testing.T) {
	r := testkit.NewRig(t, func(s *decision.Settings) {
		s.Classes = append(s.Classes, decision.Class{Name: "transfer", PriorityWeight: 4, LatencyObjective: time.Second, Deadline: 8 * time.Second,
			Idempotency: decision.Deduplicated, DedupWindow: 2 * time.Second})
	})
	ln, next := listenAsWorker(t)
	var b *Client
	r.Do(func() {
		b = newSoleWorkerClient(t, r, ln, time.Hour)
	})
	first := acceptRequest(r, 1, "id000001")
	conn, in := next()
	serveOnce(t, conn, in)
	awaitOutcome(t, first)
	for class, id := range map[int]string{1: "id000002", 2: "id000003"} { // neither on the first connection
		fragile := acceptRequest(r, class, id)
		other, from := next()
		serveOnce(t, other, from)
		if v := awaitOutcome(t, fragile); v != dispatch.Served {
			t.Errorf("%s: %v", id, v)
		}
		other.Close()
	}
	testkit.Until(t, "the others' ends are noticed", func() (alone bool) {
		r.Do(func() { alone = len(b.idle[b.registry.Worker("s")]) == 1 })
		return alone
	})
	safe := acceptRequest(r, 0, "id000004")
	serveOnce(t, conn, in)
	if v := awaitOutcome(t, safe); v != dispatch.Served {
		t.Errorf("one that may be repeated: %v", v)
	}
	r.Do(func() { b.reuseDelay = 0 })
	rested := acceptRequest(r, 1, "id000005")
	serveOnce(t, conn, in)
	if v := awaitOutcome(t, rested); v != dispatch.Served {
		t.Errorf("on a connection that has rested: %v", v)
	}
}

// A connection that has rested for its time is not used again, though a late
// loop has not closed it yet.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	r := testkit.NewRig(t, func(s *decision.Settings) { s.ConnectionIdleTimeout = 200 * time.Millisecond })
	ln, next := listenAsWorker(t)
	var b *Client
	r.Do(func() {
		b = newSoleWorkerClient(t, r, ln, 0)
	})
	first := make(testkit.Responses, 1)
	end, release := time.Duration(0), make(chan struct{})
	closed := make(chan bool, 1)
	var second testkit.Responses
	r.Do(func() {
		r.Dispatcher.Accept(testkit.RespondFunc(func(a dispatch.Response) {
			r.Dispatcher.Loop.Post(func() { // its connection rests by now, and its time passes in this turn
				end = b.idle[b.registry.Worker("s")][0].idleUntil
				second = make(testkit.Responses, 1)
				close(release)
				for r.Dispatcher.Loop.Now() <= end {
					time.Sleep(time.Millisecond)
				}
				r.Dispatcher.Accept(second, 0, dispatch.Request{ID: "id000002", Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6})
			})
			first <- a
		}), 0, dispatch.Request{ID: "id000001", Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6})
	})
	conn, in := next()
	serveOnce(t, conn, in)
	awaitOutcome(t, first)
	<-release
	go func() {
		_, err := in.ReadByte()
		closed <- errors.Is(err, io.EOF)
	}()
	other, from := next()
	serveOnce(t, other, from)
	if v := awaitOutcome(t, second); v != dispatch.Served {
		t.Errorf("the next request: %v", v)
	}
	if !<-closed {
		t.Error("the connection that had its time was used again")
	}
}

// withDeduplicatedClass are settings with a class whose repeats are known for a window, and the time for a connect.
func withDeduplicatedClass(window, connect time.Duration) func(*decision.Settings) {
	return func(s *decision.Settings) {
		s.Classes = append(s.Classes, decision.Class{Name: "transfer", PriorityWeight: 4, LateWeight: 1, LatencyObjective: 8 * time.Second,
			Deadline: 8 * time.Second, Idempotency: decision.Deduplicated, DedupWindow: window}) // worth waiting for to its end
		s.MaxAttempts, s.ConnectTimeout = 3, connect
	}
}

// The window for repeats ends while the connection of a repeat comes up: it is not sent.
func TestDedupWindowEndsBeforeRetryIsSent(t *testing.T) {
	for _, inTime := range []bool{true, false} {
		t.Run(fmt.Sprint("in time: ", inTime), func(t *testing.T) {
			window, connect := 4*time.Second, 2*time.Second
			if !inTime {
				window, connect = 2*time.Second, 3900*time.Millisecond // the connect may take longer than the window
			}
			r := testkit.NewRig(t, withDeduplicatedClass(window, connect))
			ln, next := listenAsWorker(t)
			var b *Client
			r.Do(func() {
				b = newSoleWorkerClient(t, r, ln, time.Hour) // each attempt has a connection of its own
				r.Dispatcher.Trace = func(_, step string, more ...any) {
					if step != "attempt" || more[1] != 1 || inTime {
						return
					}
					first := r.Dispatcher.Loop.Now() // no attempt came later
					r.Dispatcher.Loop.Post(func() {
						for r.Dispatcher.Loop.Now() < first+window {
							time.Sleep(time.Millisecond)
						}
					})
				}
			})
			got := acceptRequest(r, 2, "id000001")
			conn, in := next()
			if _, err := http.ReadRequest(in); err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n") // it may have run
			again, from := next()
			if inTime {
				serveOnce(t, again, from)
				if v := awaitOutcome(t, got); v != dispatch.Served {
					t.Errorf("repeated in time: %v", v)
				}
				return
			}
			if v := awaitOutcome(t, got); v == dispatch.Served { // all backends know a repeat, so it may be refused too
				t.Errorf("with the window over: %v", v)
			}
			r.Do(func() { b.CloseAllIdle() })
			if text, err := io.ReadAll(from); len(text) > 0 || err != nil {
				t.Errorf("the repeat left all the same: %q, %v", text, err)
			}
		})
	}
}

// shrinkReceiveBuffer makes the system take only so much of a request that nobody reads.
func shrinkReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048)
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 500)
	})
}

// A repeat of which the system took a part is given up when its window ends: the
// rest would leave whenever the backend makes room.
func TestDedupWindowEndsDuringRetry(t *testing.T) {
	const window = time.Second
	r := testkit.NewRig(t, withDeduplicatedClass(window, 100*time.Millisecond))
	lc := net.ListenConfig{Control: shrinkReceiveBuffer}
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(testkit.Responses, 1)
	r.Do(func() {
		newSoleWorkerClient(t, r, ln, time.Hour)
		body := bytes.Repeat([]byte("x"), 64<<10)
		r.Dispatcher.Accept(got, 0, dispatch.Request{ID: "id000001", Class: 2, Target: "/transfer/k", Body: body, Work: 1e6})
	})
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testkit.Patience))
	in := bufio.NewReader(conn)
	if req, err := http.ReadRequest(in); err != nil {
		t.Fatal(err)
	} else {
		io.Copy(io.Discard, req.Body)
	}
	first := r.Dispatcher.Loop.Now() // it was chosen before
	io.WriteString(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
	again, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	again.SetDeadline(time.Now().Add(testkit.Patience))
	testkit.Until(t, "the window is over", func() bool { return r.Dispatcher.Loop.Now() > first+window })
	text, _ := io.ReadAll(again) // nothing was read of it up to now
	if v := awaitOutcome(t, got); v == dispatch.Served {
		t.Errorf("with the window over: %v", v)
	}
	if _, body, _ := bytes.Cut(text, []byte("\r\n\r\n")); len(body) >= 64<<10 {
		t.Errorf("the repeat left whole: %d bytes of its body", len(body))
	}
}

// A request that is over is not sent on, though a connect, a held last byte or a
// full socket stood before it and the settings let no attempt be called off.
func TestCompletedRequestIsNotSent(t *testing.T) {
	for name, answered := range map[string]bool{"its client left": false, "it was answered": true} {
		for _, where := range []string{"connecting", "last byte held", "socket full"} {
			t.Run(name+", "+where, func(t *testing.T) {
				r := testkit.NewRig(t, func(s *decision.Settings) { s.Cancellation, s.StartNotices = false, false })
				lc := net.ListenConfig{}
				if where == "socket full" {
					lc.Control = shrinkReceiveBuffer
				}
				ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				over := make(chan struct{}, 1)
				got := make(testkit.Responses, 1)
				var req uint64
				finish := func() { // what ends it, on the loop
					if answered {
						r.Dispatcher.ExpireAll()
					} else {
						r.Dispatcher.Cancel(req)
					}
					over <- struct{}{}
				}
				var b *Client
				r.Do(func() {
					b = newSoleWorkerClient(t, r, ln, defaultReuseDelay)
					if where == "last byte held" {
						b.holdLastByteUntil, b.lastByteDelay = r.Dispatcher.Loop.Now()+time.Hour, 300*time.Millisecond
					}
					r.Dispatcher.Trace = func(_, step string, _ ...any) {
						if step == "attempt" && where == "connecting" {
							r.Dispatcher.Loop.Post(finish) // before the word that the connection is up
						}
					}
					body := bytes.Repeat([]byte("x"), 64<<10)
					req = r.Dispatcher.Accept(got, 0, dispatch.Request{ID: "id000001", Class: 0, Target: "/status-check/k", Body: body, Work: 1e6})
				})
				conn, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(testkit.Patience))
				in := bufio.NewReaderSize(conn, 16)
				if where != "connecting" {
					if _, err := in.Peek(1); err != nil {
						t.Fatal(err)
					}
					r.Dispatcher.Loop.Post(finish)
				}
				testkit.Receive(t, over)
				go r.Do(func() { // a connection that came up and carries nothing rests; it is closed then
					r.Dispatcher.Loop.After(time.Second, func() { b.CloseAllIdle() })
				})
				text, _ := io.ReadAll(in)
				if _, body, _ := bytes.Cut(text, []byte("\r\n\r\n")); len(body) >= 64<<10 || where == "connecting" && len(text) > 0 {
					t.Errorf("%d bytes left for a request that is over", len(text))
				}
				testkit.Until(t, "the request is forgotten", func() (none bool) {
					r.Do(func() { none = r.Dispatcher.Unanswered() == 0 && len(b.connections) == 0 })
					return none
				})
			})
		}
	}
}

// An answer that never ends is cut: behind its last object the connection has a
// second, and carries no other request; an object that never ends is no answer.
func TestEndlessResponses(t *testing.T) {
	r := testkit.NewRig(t)
	ln, next := listenAsWorker(t)
	r.Do(func() {
		newSoleWorkerClient(t, r, ln, 0)
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
		{strings.TrimSuffix(testkit.ChunkedResponse(testkit.DoneLine), "0\r\n\r\n"), testkit.Chunk("more\n"), dispatch.Served},
		{testkit.WatchHead, testkit.Chunk(strings.Repeat("x", 1000)), dispatch.Failed},
		{testkit.WatchHead, testkit.Chunk("\n"), dispatch.Failed},
		{"HTTP/1.1 200 OK\r\n", "X-More: more\r\n", dispatch.Failed},
	} {
		id := fmt.Sprintf("id%06d", i)
		got := make(testkit.Responses, 1)
		r.Do(func() {
			r.Dispatcher.Accept(got, 0, dispatch.Request{ID: id, Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6, TimeLeft: 3 * time.Second})
		})
		conn, in := next()
		if _, err := http.ReadRequest(in); err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, strings.ReplaceAll(x.head, "IDENTITY", id))
		cut := endless(conn, x.more)
		if v := awaitOutcome(t, got); v != x.want {
			t.Errorf("answer %d: %v, want %v", i, v, x.want)
		}
		if x.want == dispatch.Served { // beside it
			other := acceptRequest(r, 1, "id000099")
			conn, in := next()
			serveOnce(t, conn, in)
			if v := awaitOutcome(t, other); v != dispatch.Served {
				t.Errorf("beside an endless answer: %v", v)
			}
			conn.Close()
		}
		testkit.Receive(t, cut)
		if held := r.Engine.Pool.BytesInUse(); held > 8*transport.BufferSize {
			t.Errorf("answer %d: %d bytes are held", i, held)
		}
	}
}
