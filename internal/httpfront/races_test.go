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

// These tests force two events into one turn of the event loop: it is blocked while the client writes, closes or
// resets, and goes on once the kernel or the poller shows that this has arrived. None of them relies on a sleep.

// unsentBytes returns how many bytes the other end's kernel has not acknowledged.
func unsentBytes(t *testing.T, conn net.Conn) (n int) {
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

// startWithHoldingClient starts a front end with a worker client whose attempts end when the test says so.
func startWithHoldingClient(rig *testkit.Rig, memoryLimit int) (f *FrontEnd, addr string, worker testkit.HoldingWorkerClient) {
	worker = testkit.HoldingWorkerClient{EchoWorkerClient: testkit.EchoWorkerClient{Dispatcher: rig.Dispatcher}, Started: make(chan dispatch.Attempt, 100)}
	rig.Do(func() {
		rig.Dispatcher.AddSource(worker)
		rig.Dispatcher.UpdateWorkers(worker, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		f = New(rig.Dispatcher, rig.Engine, memoryLimit, func() bool { return true })
		addr, _ = f.Listen("127.0.0.1:0", 50)
	})
	return f, addr, worker
}

func completeAttempt(rig *testkit.Rig, attempt dispatch.Attempt) {
	rig.Do(func() {
		rig.Dispatcher.AttemptEnded(attempt.Handle, decision.Completed, decision.LoadReport{}, []byte("made"))
	})
}

func awaitAttempt(t *testing.T, worker testkit.HoldingWorkerClient) (attempt dispatch.Attempt) {
	t.Helper()
	select {
	case attempt = <-worker.Started:
	case <-time.After(testkit.Patience):
		t.Fatal("nothing was forwarded")
	}
	return attempt
}

// endsInOrder reports whether a connection ends by an orderly close, not by a reset.
func endsInOrder(in *bufio.Reader) bool {
	_, err := in.ReadByte()
	return err == io.EOF
}

// What was read before StopReading is served, whether the loop has handled it or not; what comes after it is never
// forwarded.
func TestStopReadingDuringARequest(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int // 0: none
		cross  func(rig *testkit.Rig, f *FrontEnd, conn net.Conn)
	}{
		{"the request comes first", 200, func(r *testkit.Rig, f *FrontEnd, conn net.Conn) {
			release := r.BlockLoop()
			r.Write(t, conn, testkit.RequestWithID("crossing"))
			r.Dispatcher.Loop.Post(f.StopReading)
			release()
		}},
		{"read, and not handled by the loop yet", 200, func(r *testkit.Rig, f *FrontEnd, conn net.Conn) {
			release := r.BlockLoop()
			r.Dispatcher.Loop.Post(f.StopReading)
			r.Write(t, conn, testkit.RequestWithID("crossing"))
			release()
		}},
		{"StopReading comes first", 0, func(r *testkit.Rig, f *FrontEnd, conn net.Conn) {
			r.Do(f.StopReading)
			r.Do(func() {}) // runs after what it has posted
			io.WriteString(conn, testkit.RequestWithID("crossing"))
		}},
		{"half of the request read", 503, func(r *testkit.Rig, f *FrontEnd, conn net.Conn) {
			release := r.BlockLoop()
			r.Dispatcher.Loop.Post(f.StopReading)
			text := testkit.RequestWithID("crossing")
			r.Write(t, conn, text[:len(text)/2])
			release()
			io.WriteString(conn, text[len(text)/2:])
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := testkit.NewRig(t)
			f, addr, worker := startWithHoldingClient(r, 64<<20)
			conn, in := testkit.Connect(t, addr, testkit.RequestWithID("first")) // of a usual client, which is idle now
			completeAttempt(r, awaitAttempt(t, worker))
			if testkit.ReadStatus(in) != 200 {
				t.Fatal("no response to the first request")
			}
			test.cross(r, f, conn)
			if test.status == 200 {
				completeAttempt(r, awaitAttempt(t, worker))
			}
			if test.status != 0 {
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != test.status || !resp.Close {
					t.Fatalf("%+v, %v; want %d and the connection's end", resp, err, test.status)
				}
				io.Copy(io.Discard, resp.Body)
			}
			if !endsInOrder(in) {
				t.Error("the connection is not closed in order")
			}
			r.Do(func() {})
			if n := len(worker.Started); n != 0 {
				t.Errorf("%d requests were forwarded after StopReading", n)
			}
			testkit.Until(t, "all connections end", func() (none bool) {
				r.Do(func() { none = f.OpenConnections() == 0 && f.ConnectionCount() == 0 })
				return none
			})
		})
	}
}

// A client that sends without end delays neither its own response nor the shutdown.
func TestStopReadingWithAFloodingClient(t *testing.T) {
	rig := testkit.NewRig(t)
	f, addr, worker := startWithHoldingClient(rig, 64<<20)
	conn, in := testkit.Connect(t, addr, testkit.RequestWithID("first"))
	attempt := awaitAttempt(t, worker)
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
	rig.Do(f.StopReading)
	completeAttempt(rig, attempt)
	if code := testkit.ReadStatus(in); code != 200 {
		t.Errorf("its response: %d", code)
	}
	testkit.Until(t, "its connection ends", func() (none bool) {
		rig.Do(func() { none = f.OpenConnections() == 0 })
		return none
	})
}

// A connection's idle timeout ends in the turn of the loop in which its next request comes.
func TestIdleTimeoutAsARequestComes(t *testing.T) {
	rig := testkit.NewRig(t)
	f, addr, worker := startWithHoldingClient(rig, 64<<20)
	conn, in := testkit.Connect(t, addr, testkit.RequestWithID("first"))
	completeAttempt(rig, awaitAttempt(t, worker))
	if testkit.ReadStatus(in) != 200 {
		t.Fatal("no response to the first request")
	}
	release := rig.BlockLoop()
	rig.Dispatcher.Loop.Post(func() { f.connections.ForEach(func(_ uint64, s *clientConnection) { s.onTimer() }) })
	rig.Write(t, conn, testkit.RequestWithID("crossing"))
	release()
	completeAttempt(rig, awaitAttempt(t, worker))
	if code := testkit.ReadStatus(in); code != 200 {
		t.Errorf("the crossing request: %d", code)
	}
}

// A client that closes while its request waits is noticed, whatever it has sent behind that request: its close cannot
// be read behind bytes that nobody reads.
func TestClientLeavesBehindUnreadBytes(t *testing.T) {
	for _, behind := range []int{0, 1, 300, 3 * transport.BufferSize, 400 << 10} {
		rig := testkit.NewRig(t)
		f, addr, worker := startWithHoldingClient(rig, 64<<20)
		conn, _ := testkit.Connect(t, addr, testkit.RequestWithID("leaves")+strings.Repeat("x", behind))
		awaitAttempt(t, worker)
		if behind == 400<<10 && unsentBytes(t, conn) == 0 {
			t.Fatal("the kernel has taken all of it, which shows nothing")
		}
		conn.Close()
		testkit.Until(t, fmt.Sprintf("the client's close behind %d bytes is noticed", behind), func() (gone bool) {
			rig.Do(func() { gone = rig.Dispatcher.Counts().Cancelled == 1 && f.ConnectionCount() == 0 })
			return gone
		})
	}
}
