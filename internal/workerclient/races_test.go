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

// The worker gets a client's idempotency key unchanged.
func TestIdempotencyKeyIsPassedOn(t *testing.T) {
	rig := testkit.NewRig(t)
	ln, acceptConnection := listenAsWorker(t)
	var addr string
	rig.Do(func() {
		newSoleWorkerClient(t, rig, ln, defaultReuseDelay)
		addr, _ = httpfront.New(rig.Dispatcher, rig.Engine, 64<<20, func() bool { return true }).Listen("127.0.0.1:0", 20)
	})
	conn, in := testkit.Connect(t, addr, "")
	workerConn, workerInput := net.Conn(nil), (*bufio.Reader)(nil)
	for i, key := range []string{"5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "", `"quoted", and more`} {
		text := fmt.Sprintf("POST /status-check/k HTTP/1.1\r\nX-Correlation-Id: key%05d\r\nidempotency-key: %s\r\nContent-Length: 4\r\n\r\nbody", i, key)
		if key == "" {
			text = strings.Replace(text, "idempotency-key: \r\n", "", 1)
		}
		io.WriteString(conn, text)
		if workerConn == nil {
			workerConn, workerInput = acceptConnection()
		}
		req, err := http.ReadRequest(workerInput)
		if err != nil {
			t.Fatalf("%q: %v", key, err)
		}
		io.Copy(io.Discard, req.Body)
		if got, sent := req.Header["Idempotency-Key"]; sent != (key != "") || sent && got[0] != key {
			t.Errorf("%q was passed on as %q", key, got)
		}
		io.WriteString(workerConn, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", req.Header.Get("X-Correlation-Id")))
		if code := testkit.ReadStatus(in); code != 200 {
			t.Errorf("the status is %d", code)
		}
	}
}

// listenAsWorker returns a worker's listener, and a function that accepts its next connection.
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

// newSoleWorkerClient returns a client that knows one worker, to which it sends unsafe requests on connections that
// have been idle for the reuse delay. It must be called on the event loop.
func newSoleWorkerClient(t *testing.T, rig *testkit.Rig, listener net.Listener, reuseDelay time.Duration) *Client {
	client := newWorkerClient(rig, "")
	client.reuseDelay = reuseDelay
	if err := client.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"health":"ready"}]}`, listener.Addr())); err != nil {
		t.Error(err)
	}
	return client
}

// serveOnce reads a request and responds that it is done.
func serveOnce(t *testing.T, conn net.Conn, in *bufio.Reader) {
	t.Helper()
	req, err := http.ReadRequest(in)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, req.Body)
	io.WriteString(conn, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", req.Header.Get("X-Correlation-Id")))
}

func acceptRequest(rig *testkit.Rig, class int, id string) testkit.Responses {
	responses := make(testkit.Responses, 1)
	rig.Dispatcher.Loop.Post(func() {
		rig.Dispatcher.Accept(responses, 0, dispatch.Request{ID: id, Class: class, Target: "/" + rig.Dispatcher.Settings.Classes[class].Name + "/k", Body: []byte("body"), Work: 1e6})
	})
	return responses
}

func awaitOutcome(t *testing.T, responses testkit.Responses) dispatch.Outcome {
	t.Helper()
	select {
	case a := <-responses:
		return a.Outcome
	case <-time.After(testkit.Patience):
		t.Fatal("no response")
	}
	return 0
}

// What comes on an idle connection is no response to the next request, and its close does not end the next attempt,
// also where the loop handles both at once.
func TestIdleConnectionIsNotTakenForAResponse(t *testing.T) {
	for name, interfere := range map[string]func(r *testkit.Rig, conn net.Conn){
		"a rejection": func(r *testkit.Rig, conn net.Conn) {
			r.Write(t, conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"half a line": func(r *testkit.Rig, conn net.Conn) { r.Write(t, conn, `{"id":"id00`) },
		"a response": func(r *testkit.Rig, conn net.Conn) {
			r.Write(t, conn, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", "id000002"))
		},
		"a close": func(_ *testkit.Rig, conn net.Conn) { conn.Close() },
		"a reset": func(_ *testkit.Rig, conn net.Conn) { conn.(*net.TCPConn).SetLinger(0); conn.Close() },
	} {
		for _, acceptFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, the loop knows: %v", name, !acceptFirst), func(t *testing.T) {
				r := testkit.NewRig(t)
				ln, acceptConnection := listenAsWorker(t)
				r.Do(func() {
					newSoleWorkerClient(t, r, ln, 0)
				})
				first := acceptRequest(r, 1, "id000001")
				conn, in := acceptConnection()
				serveOnce(t, conn, in)
				if v := awaitOutcome(t, first); v != dispatch.Served {
					t.Fatalf("the first request: %v", v)
				}
				release := r.BlockLoop()
				var second testkit.Responses
				if acceptFirst {
					second = acceptRequest(r, 1, "id000002")
				}
				interfere(r, conn)
				if !acceptFirst {
					second = acceptRequest(r, 1, "id000002")
				}
				release()
				newConn, newInput := acceptConnection()
				serveOnce(t, newConn, newInput)
				if v := awaitOutcome(t, second); v != dispatch.Served {
					t.Errorf("the next request: %v", v)
				}
			})
		}
	}
}

// A second response that comes late does not name its request where it says that nothing ran. A request that must not
// run twice is therefore sent on a connection that has been idle for the reuse delay, or on a new one. Others may use
// the connection at once.
func TestUnsafeRequestWaitsForReuseDelay(t *testing.T) {
	rig := testkit.NewRig(t, func(s *decision.Settings) {
		s.Classes = append(s.Classes, decision.Class{Name: "transfer", PriorityWeight: 4, LatencyObjective: time.Second, Deadline: 8 * time.Second,
			Idempotency: decision.Deduplicated, DedupWindow: 2 * time.Second})
	})
	ln, acceptConnection := listenAsWorker(t)
	var client *Client
	rig.Do(func() {
		client = newSoleWorkerClient(t, rig, ln, time.Hour)
	})
	first := acceptRequest(rig, 1, "id000001")
	conn, in := acceptConnection()
	serveOnce(t, conn, in)
	awaitOutcome(t, first)
	for class, id := range map[int]string{1: "id000002", 2: "id000003"} { // neither on the first connection
		unsafe := acceptRequest(rig, class, id)
		other, otherInput := acceptConnection()
		serveOnce(t, other, otherInput)
		if v := awaitOutcome(t, unsafe); v != dispatch.Served {
			t.Errorf("%s: %v", id, v)
		}
		other.Close()
	}
	testkit.Until(t, "the others' closes are noticed", func() (alone bool) {
		rig.Do(func() { alone = len(client.idle[client.registry.Worker("s")]) == 1 })
		return alone
	})
	safe := acceptRequest(rig, 0, "id000004")
	serveOnce(t, conn, in)
	if v := awaitOutcome(t, safe); v != dispatch.Served {
		t.Errorf("an idempotent request: %v", v)
	}
	rig.Do(func() { client.reuseDelay = 0 })
	later := acceptRequest(rig, 1, "id000005")
	serveOnce(t, conn, in)
	if v := awaitOutcome(t, later); v != dispatch.Served {
		t.Errorf("on a connection that has been idle for longer: %v", v)
	}
}

// A connection is not reused after its idle timeout, even if a late event loop has not closed it yet.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	rig := testkit.NewRig(t, func(s *decision.Settings) { s.ConnectionIdleTimeout = 200 * time.Millisecond })
	ln, acceptConnection := listenAsWorker(t)
	var client *Client
	rig.Do(func() {
		client = newSoleWorkerClient(t, rig, ln, 0)
	})
	first := make(testkit.Responses, 1)
	idleUntil, release := time.Duration(0), make(chan struct{})
	closed := make(chan bool, 1)
	var second testkit.Responses
	rig.Do(func() {
		rig.Dispatcher.Accept(testkit.RespondFunc(func(a dispatch.Response) {
			rig.Dispatcher.Loop.Post(func() { // its connection is idle by now, and the idle timeout passes in this turn of the loop
				idleUntil = client.idle[client.registry.Worker("s")][0].idle.until
				second = make(testkit.Responses, 1)
				close(release)
				for rig.Dispatcher.Loop.Now() <= idleUntil {
					time.Sleep(time.Millisecond)
				}
				rig.Dispatcher.Accept(second, 0, dispatch.Request{ID: "id000002", Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6})
			})
			first <- a
		}), 0, dispatch.Request{ID: "id000001", Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6})
	})
	conn, in := acceptConnection()
	serveOnce(t, conn, in)
	awaitOutcome(t, first)
	<-release
	go func() {
		_, err := in.ReadByte()
		closed <- errors.Is(err, io.EOF)
	}()
	other, otherInput := acceptConnection()
	serveOnce(t, other, otherInput)
	if v := awaitOutcome(t, second); v != dispatch.Served {
		t.Errorf("the next request: %v", v)
	}
	if !<-closed {
		t.Error("the connection was reused after its idle timeout")
	}
}

// withDeduplicatedClass adds a class whose workers recognize retries for a window, and sets the connect timeout.
func withDeduplicatedClass(window, connectTimeout time.Duration) func(*decision.Settings) {
	return func(s *decision.Settings) {
		s.Classes = append(s.Classes, decision.Class{Name: "transfer", PriorityWeight: 4, LateWeight: 1, LatencyObjective: 8 * time.Second,
			Deadline: 8 * time.Second, Idempotency: decision.Deduplicated, DedupWindow: window}) // worth waiting for to its end
		s.MaxAttempts, s.ConnectTimeout = 3, connectTimeout
	}
}

// The dedup window ends while the connection for a retry is being opened: the retry is not sent.
func TestDedupWindowEndsBeforeRetryIsSent(t *testing.T) {
	for _, inTime := range []bool{true, false} {
		t.Run(fmt.Sprint("in time: ", inTime), func(t *testing.T) {
			window, connect := 4*time.Second, 2*time.Second
			if !inTime {
				window, connect = 2*time.Second, 3900*time.Millisecond // the connect may take longer than the window
			}
			rig := testkit.NewRig(t, withDeduplicatedClass(window, connect))
			ln, acceptConnection := listenAsWorker(t)
			var client *Client
			rig.Do(func() {
				client = newSoleWorkerClient(t, rig, ln, time.Hour) // each attempt has a connection of its own
				rig.Dispatcher.Trace = func(_, step string, more ...any) {
					if step != dispatch.StepAssigned || more[1] != 1 || inTime {
						return
					}
					first := rig.Dispatcher.Loop.Now() // no attempt came later
					rig.Dispatcher.Loop.Post(func() {
						for rig.Dispatcher.Loop.Now() < first+window {
							time.Sleep(time.Millisecond)
						}
					})
				}
			})
			got := acceptRequest(rig, 2, "id000001")
			conn, in := acceptConnection()
			if _, err := http.ReadRequest(in); err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n") // it may have run
			retryConn, retryInput := acceptConnection()
			if inTime {
				serveOnce(t, retryConn, retryInput)
				if v := awaitOutcome(t, got); v != dispatch.Served {
					t.Errorf("retried in time: %v", v)
				}
				return
			}
			if v := awaitOutcome(t, got); v == dispatch.Served { // all backends know a repeat, so it may be refused too
				t.Errorf("after the window: %v", v)
			}
			rig.Do(func() { client.CloseAllIdle() })
			if text, err := io.ReadAll(retryInput); len(text) > 0 || err != nil {
				t.Errorf("the retry was sent all the same: %q, %v", text, err)
			}
		})
	}
}

// shrinkReceiveBuffer makes the kernel take only a part of a request that nobody reads.
func shrinkReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048)
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 500)
	})
}

// A retry of which the kernel has taken a part is abandoned when its dedup window ends: the rest would leave whenever
// the worker makes room.
func TestDedupWindowEndsDuringRetry(t *testing.T) {
	const window = time.Second
	rig := testkit.NewRig(t, withDeduplicatedClass(window, 100*time.Millisecond))
	listenConfig := net.ListenConfig{Control: shrinkReceiveBuffer}
	ln, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(testkit.Responses, 1)
	rig.Do(func() {
		newSoleWorkerClient(t, rig, ln, time.Hour)
		body := bytes.Repeat([]byte("x"), 64<<10)
		rig.Dispatcher.Accept(got, 0, dispatch.Request{ID: "id000001", Class: 2, Target: "/transfer/k", Body: body, Work: 1e6})
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
	first := rig.Dispatcher.Loop.Now() // it was chosen before
	io.WriteString(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
	retryConn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer retryConn.Close()
	retryConn.SetDeadline(time.Now().Add(testkit.Patience))
	testkit.Until(t, "the window is over", func() bool { return rig.Dispatcher.Loop.Now() > first+window })
	text, _ := io.ReadAll(retryConn) // nothing was read of it up to now
	if v := awaitOutcome(t, got); v == dispatch.Served {
		t.Errorf("after the window: %v", v)
	}
	if _, body, _ := bytes.Cut(text, []byte("\r\n\r\n")); len(body) >= 64<<10 {
		t.Errorf("the retry was sent entirely: %d bytes of its body", len(body))
	}
}

// A request that has ended is not forwarded after a connect, a held last byte or a full socket has delayed it, even if
// the settings allow no attempt to be cancelled.
func TestCompletedRequestIsNotSent(t *testing.T) {
	for name, answered := range map[string]bool{"its client left": false, "it has a response": true} {
		for _, where := range []string{"connecting", "last byte held", "socket full"} {
			t.Run(name+", "+where, func(t *testing.T) {
				rig := testkit.NewRig(t, func(s *decision.Settings) { s.Cancellation, s.StartNotices = false, false })
				listenConfig := net.ListenConfig{}
				if where == "socket full" {
					listenConfig.Control = shrinkReceiveBuffer
				}
				ln, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				ended := make(chan struct{}, 1)
				got := make(testkit.Responses, 1)
				var handle uint64
				finish := func() { // what ends it, on the loop
					if answered {
						rig.Dispatcher.ExpireAll()
					} else {
						rig.Dispatcher.Cancel(handle)
					}
					ended <- struct{}{}
				}
				var client *Client
				rig.Do(func() {
					client = newSoleWorkerClient(t, rig, ln, defaultReuseDelay)
					if where == "last byte held" {
						client.holdLastByteUntil, client.lastByteDelay = rig.Dispatcher.Loop.Now()+time.Hour, 300*time.Millisecond
					}
					rig.Dispatcher.Trace = func(_, step string, _ ...any) {
						if step == dispatch.StepAssigned && where == "connecting" {
							rig.Dispatcher.Loop.Post(finish) // before the event that the connection is open
						}
					}
					body := bytes.Repeat([]byte("x"), 64<<10)
					handle = rig.Dispatcher.Accept(got, 0, dispatch.Request{ID: "id000001", Class: 0, Target: "/status-check/k", Body: body, Work: 1e6})
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
					rig.Dispatcher.Loop.Post(finish)
				}
				testkit.Receive(t, ended)
				go rig.Do(func() { // a connection that was opened for nothing becomes idle; it is closed then
					rig.Dispatcher.Loop.After(time.Second, func() { client.CloseAllIdle() })
				})
				text, _ := io.ReadAll(in)
				if _, body, _ := bytes.Cut(text, []byte("\r\n\r\n")); len(body) >= 64<<10 || where == "connecting" && len(text) > 0 {
					t.Errorf("%d bytes were sent of a request that has ended", len(text))
				}
				testkit.Until(t, "the request is forgotten", func() (none bool) {
					rig.Do(func() { none = rig.Dispatcher.Unanswered() == 0 && len(client.connections) == 0 })
					return none
				})
			})
		}
	}
}

// A response that never ends is cut: behind its last object the connection has a second, and carries no other request.
// An object that never ends is no response.
func TestEndlessResponses(t *testing.T) {
	rig := testkit.NewRig(t)
	ln, acceptConnection := listenAsWorker(t)
	rig.Do(func() {
		newSoleWorkerClient(t, rig, ln, 0)
	})
	writeEndlessly := func(conn net.Conn, text string) (cut chan int) {
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
	for i, test := range []struct {
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
		rig.Do(func() {
			rig.Dispatcher.Accept(got, 0, dispatch.Request{ID: id, Class: 1, Target: "/renewal/k", Body: []byte("body"), Work: 1e6, TimeLeft: 3 * time.Second})
		})
		conn, in := acceptConnection()
		if _, err := http.ReadRequest(in); err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, strings.ReplaceAll(test.head, "IDENTITY", id))
		cut := writeEndlessly(conn, test.more)
		if v := awaitOutcome(t, got); v != test.want {
			t.Errorf("response %d: %v, want %v", i, v, test.want)
		}
		if test.want == dispatch.Served { // beside it
			other := acceptRequest(rig, 1, "id000099")
			conn, in := acceptConnection()
			serveOnce(t, conn, in)
			if v := awaitOutcome(t, other); v != dispatch.Served {
				t.Errorf("beside an endless response: %v", v)
			}
			conn.Close()
		}
		testkit.Receive(t, cut)
		if buffered := rig.Engine.Pool.BytesInUse(); buffered > 8*transport.BufferSize {
			t.Errorf("response %d: %d bytes are buffered", i, buffered)
		}
	}
}
