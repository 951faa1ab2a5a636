package httpfront

import (
	"bufio"
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
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// These tests force two events into one turn of the loop: it is held while the
// other end writes, closes or resets, and goes on once the kernel or the poller
// shows that this has arrived. None of them sleeps and hopes.

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
func startHolding(r *testkit.Rig, memory int) (f *FrontEnd, addr string, out testkit.HoldingClient) {
	out = testkit.HoldingClient{EchoClient: testkit.EchoClient{Dispatcher: r.Dispatcher}, Started: make(chan dispatch.Attempt, 100)}
	r.Do(func() {
		r.Dispatcher.AddSource(out)
		r.Dispatcher.UpdateWorkers(out, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		f = New(r.Dispatcher, r.Engine, memory, func() bool { return true })
		addr, _ = f.Listen("127.0.0.1:0", 50)
	})
	return f, addr, out
}

func completeAttempt(r *testkit.Rig, f dispatch.Attempt) {
	r.Do(func() { r.Dispatcher.AttemptEnded(f.Handle, decision.Completed, decision.LoadReport{}, []byte("made")) })
}

func started(t *testing.T, out testkit.HoldingClient) (f dispatch.Attempt) {
	t.Helper()
	select {
	case f = <-out.Started:
	case <-time.After(testkit.Patience):
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
		cross  func(r *testkit.Rig, f *FrontEnd, conn net.Conn)
	}{
		{"the request first", 200, func(r *testkit.Rig, f *FrontEnd, conn net.Conn) {
			release := r.Hold()
			r.Write(t, conn, testkit.RequestText("crossing"))
			r.Dispatcher.Loop.Post(f.StopReading)
			release()
		}},
		{"read, and the loop does not know yet", 200, func(r *testkit.Rig, f *FrontEnd, conn net.Conn) {
			release := r.Hold()
			r.Dispatcher.Loop.Post(f.StopReading)
			r.Write(t, conn, testkit.RequestText("crossing"))
			release()
		}},
		{"the end first", 0, func(r *testkit.Rig, f *FrontEnd, conn net.Conn) {
			r.Do(f.StopReading)
			r.Do(func() {}) // what it has posted
			io.WriteString(conn, testkit.RequestText("crossing"))
		}},
		{"half of it read", 503, func(r *testkit.Rig, f *FrontEnd, conn net.Conn) {
			release := r.Hold()
			r.Dispatcher.Loop.Post(f.StopReading)
			text := testkit.RequestText("crossing")
			r.Write(t, conn, text[:len(text)/2])
			release()
			io.WriteString(conn, text[len(text)/2:])
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := testkit.NewRig(t)
			f, addr, out := startHolding(r, 64<<20)
			conn, in := testkit.Connect(t, addr, testkit.RequestText("first")) // a usual client's, that rests now
			completeAttempt(r, started(t, out))
			if testkit.Status(in) != 200 {
				t.Fatal("no answer to the first")
			}
			x.cross(r, f, conn)
			if x.status == 200 {
				completeAttempt(r, started(t, out))
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
			r.Do(func() {})
			if n := len(out.Started); n != 0 {
				t.Errorf("%d requests were sent on after the end", n)
			}
			testkit.Until(t, "all connections end", func() (none bool) {
				r.Do(func() { none = f.OpenConnections() == 0 && f.ConnectionCount() == 0 })
				return none
			})
		})
	}
}

// A client that sends without end holds neither its own answer nor the end.
func TestShutBesideAClientThatKeepsSending(t *testing.T) {
	r := testkit.NewRig(t)
	f, addr, out := startHolding(r, 64<<20)
	conn, in := testkit.Connect(t, addr, testkit.RequestText("first"))
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
	testkit.Until(t, "much has been sent", func() bool { return sent.Load() > 100<<10 })
	r.Do(f.StopReading)
	completeAttempt(r, attempt)
	if code := testkit.Status(in); code != 200 {
		t.Errorf("its answer: %d", code)
	}
	testkit.Until(t, "its connection ends", func() (none bool) {
		r.Do(func() { none = f.OpenConnections() == 0 })
		return none
	})
}

// A session's time for resting is up in the turn in which its next request comes.
func TestRestIsOverAsARequestComes(t *testing.T) {
	r := testkit.NewRig(t)
	f, addr, out := startHolding(r, 64<<20)
	conn, in := testkit.Connect(t, addr, testkit.RequestText("first"))
	completeAttempt(r, started(t, out))
	if testkit.Status(in) != 200 {
		t.Fatal("no answer to the first")
	}
	release := r.Hold()
	r.Dispatcher.Loop.Post(func() { f.connections.ForEach(func(_ uint64, s *clientConnection) { s.onTimer() }) })
	r.Write(t, conn, testkit.RequestText("crossing"))
	release()
	completeAttempt(r, started(t, out))
	if code := testkit.Status(in); code != 200 {
		t.Errorf("the crossing request: %d", code)
	}
}

// A client that leaves while its request waits is noticed, whatever it has sent
// behind that request: its end does not come through behind bytes that nobody reads.
func TestLeavingBehindBytes(t *testing.T) {
	for _, behind := range []int{0, 1, 300, 3 * transport.BufferSize, 400 << 10} {
		r := testkit.NewRig(t)
		f, addr, out := startHolding(r, 64<<20)
		conn, _ := testkit.Connect(t, addr, testkit.RequestText("leaves")+strings.Repeat("x", behind))
		started(t, out)
		if behind == 400<<10 && unsent(t, conn) == 0 {
			t.Fatal("the system took all of it, which shows nothing")
		}
		conn.Close()
		testkit.Until(t, fmt.Sprintf("the client's end behind %d bytes is noticed", behind), func() (gone bool) {
			r.Do(func() { gone = r.Dispatcher.Counts().Cancelled == 1 && f.ConnectionCount() == 0 })
			return gone
		})
	}
}

// Memory is never made by giving up a session on which an answer is owed.
func TestReliefSparesWhatIsOwed(t *testing.T) {
	r := testkit.NewRig(t)
	f, addr, out := startHolding(r, 64<<20)
	_, in := testkit.Connect(t, addr, testkit.RequestText("first")+"POST /renewal/k HTTP/1.1\r\n")
	attempt := started(t, out)
	r.Do(func() {
		f.memoryLimit = 1
		f.freeMemory()
		f.memoryLimit = 64 << 20
	})
	completeAttempt(r, attempt)
	if code := testkit.Status(in); code != 200 {
		t.Errorf("the answer owed: %d", code)
	}
}

// ---- Attempts and idle connections.

// ---- Discovery.
