package workerclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// These tests let a client close its connection while the event loop is busy, just before the loop handles an event by
// which an attempt of its request would begin. The kernel knows of the close by then, so no attempt may begin.

// departureRig is a front end with workers, and a client that leaves.
type departureRig struct {
	*testkit.Rig
	t          *testing.T
	addr       string // of the front
	client     *Client
	acceptNext []func() (net.Conn, *bufio.Reader) // the workers' next connections

	listeners []net.Listener
}

func newDepartureRig(t *testing.T, workers int, change func(*decision.Settings)) *departureRig {
	t.Helper()
	d := &departureRig{Rig: testkit.NewRig(t, change), t: t}
	var hosts []string
	for i := range workers {
		ln, next := listenAsWorker(t)
		d.acceptNext, d.listeners = append(d.acceptNext, next), append(d.listeners, ln)
		hosts = append(hosts, fmt.Sprintf(`{"host":"s%d","dial":%q,"health":"ready"}`, i, ln.Addr()))
	}
	d.Do(func() {
		d.client = newWorkerClient(d.Rig, "")
		if err := d.client.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[%s]}`, strings.Join(hosts, ","))); err != nil {
			t.Error(err)
		}
		front := httpfront.New(d.Dispatcher, d.Engine, 64<<20, func() bool { return true })
		d.addr, _ = front.Listen("127.0.0.1:0", 50)
	})
	return d
}

// holdLoop blocks the event loop until release is called, or until the test ends.
func (d *departureRig) holdLoop() (release func()) {
	release = sync.OnceFunc(d.Rig.BlockLoop())
	d.t.Cleanup(release)
	return release
}

// connectClient connects a client that sends a request and a number of bytes behind it.
func (d *departureRig) connectClient(path, id string, behind int) net.Conn {
	d.t.Helper()
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Weight-Hint: 1000\r\nContent-Length: 4\r\n\r\nbody", path, id)
	conn, _ := testkit.Connect(d.t, d.addr, text+strings.Repeat("x", behind))
	return conn
}

// readRequest reads a request at a worker.
func (d *departureRig) readRequest(in *bufio.Reader) *http.Request {
	d.t.Helper()
	req, err := http.ReadRequest(in)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		d.t.Fatal(err)
	}
	return req
}

// closeClient closes a client's connection and waits until the kernel at the front end's side knows of it.
func (d *departureRig) closeClient(conn net.Conn) {
	d.t.Helper()
	local := conn.LocalAddr().String()
	conn.Close()
	testkit.Until(d.t, "the client's close arrives", func() bool { return !established(d.t, d.addr, local) })
}

// awaitCancelled waits until a client's request has been cancelled, and returns how many attempts were sent entirely.
func (d *departureRig) awaitCancelled() (sent uint64) {
	d.t.Helper()
	testkit.Until(d.t, "the request is cancelled", func() (cancelled bool) {
		d.Do(func() {
			cancelled, sent = d.Dispatcher.Counts().Cancelled == 1, d.Dispatcher.Counts().Sent
		})
		return cancelled
	})
	return sent
}

func withRetries(s *decision.Settings) { s.MaxAttempts = 3 }

// The client closes while the first attempt of its request is due.
func TestClientLeavesBeforeFirstAttempt(t *testing.T) {
	for _, behind := range []int{0, 300} {
		d := newDepartureRig(t, 1, withRetries)
		release := d.holdLoop()
		conn := d.connectClient("/status-check/k", "id000001", behind)
		d.closeClient(conn)
		release()
		if n := d.awaitCancelled(); n > 0 {
			t.Errorf("%d bytes behind: %d attempts for a client that had left", behind, n)
		}
	}
}

// The client closes while its request waits for another with the same key, which ends just then.
func TestClientLeavesWhileSerialized(t *testing.T) {
	d := newDepartureRig(t, 1, func(s *decision.Settings) { s.Classes[0].Serialized = true })
	d.connectClient("/status-check/k", "id000001", 0)
	worker, in := d.acceptNext[0]()
	d.readRequest(in)
	conn := d.connectClient("/status-check/k", "id000002", 0)
	testkit.Until(t, "the second request is accepted", func() (both bool) {
		d.Do(func() { both = d.Dispatcher.Unanswered() == 2 })
		return both
	})
	release := d.holdLoop()
	d.Write(t, worker, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", "id000001"))
	d.closeClient(conn)
	release()
	if n := d.awaitCancelled(); n != 1 {
		t.Errorf("%d attempts, want the first only", n)
	}
}

// The client closes while the connection to the worker is being opened.
func TestClientLeavesDuringDial(t *testing.T) {
	d := newDepartureRig(t, 1, withRetries)
	loopBlocked, release := make(chan struct{}), make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock)
	d.Do(func() {
		d.Dispatcher.Trace = func(_, step string, _ ...any) {
			if step == dispatch.StepAssigned { // before the event that the connection is open
				d.Dispatcher.Loop.Post(func() { close(loopBlocked); <-release })
			}
		}
	})
	conn := d.connectClient("/status-check/k", "id000001", 0)
	<-loopBlocked
	d.acceptNext[0]()
	time.Sleep(100 * time.Millisecond) // for the poller to post that event; if it is slower, the test only shows less
	d.closeClient(conn)
	unblock()
	if n := d.awaitCancelled(); n > 0 {
		t.Errorf("%d attempts for a client that had left", n)
	}
}

// The client closes when an attempt has failed and a retry is due.
func TestClientLeavesBeforeRetry(t *testing.T) {
	for _, behind := range []int{0, 300} {
		d := newDepartureRig(t, 2, withRetries)
		conn := d.connectClient("/status-check/k", "id000001", behind)
		worker, in := d.acceptAny()
		d.readRequest(in)
		release := d.holdLoop()
		d.Write(t, worker, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		d.closeClient(conn)
		release()
		if n := d.awaitCancelled(); n != 1 {
			t.Errorf("%d bytes behind: %d attempts, want the first only", behind, n)
		}
	}
}

// The client closes while a hedge is due, since the first attempt does not start.
func TestClientLeavesBeforeHedge(t *testing.T) {
	d := newDepartureRig(t, 2, func(s *decision.Settings) { s.MaxAttempts, s.Hedging = 3, true })
	conn := d.connectClient("/status-check/k", "id000001", 0)
	_, in := d.acceptAny()
	d.readRequest(in)
	release := d.holdLoop()
	d.closeClient(conn)
	time.Sleep(300 * time.Millisecond) // beyond the sweep's interval: the hedge is due whatever the machine does
	release()
	if n := d.awaitCancelled(); n > 1 {
		t.Errorf("%d attempts, want the first only", n)
	}
}

// acceptAny accepts the connection that comes first, at whichever worker.
func (d *departureRig) acceptAny() (net.Conn, *bufio.Reader) {
	d.t.Helper()
	accepted := make(chan net.Conn, len(d.listeners))
	for _, ln := range d.listeners {
		go func() {
			if conn, err := ln.Accept(); err == nil { // or the test has ended
				accepted <- conn
			}
		}()
	}
	conn := testkit.Receive(d.t, accepted)
	d.t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// The client closes while the last byte of its request is held back.
func TestClientLeavesBeforeLastByte(t *testing.T) {
	d := newDepartureRig(t, 1, withRetries)
	d.Do(func() {
		d.client.holdLastByteUntil, d.client.lastByteDelay = d.Dispatcher.Loop.Now()+time.Hour, 200*time.Millisecond
	})
	conn := d.connectClient("/status-check/k", "id000001", 0)
	_, in := d.acceptNext[0]()
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	release := d.holdLoop()
	d.closeClient(conn)
	time.Sleep(220 * time.Millisecond) // the last byte is due, whatever the machine does
	release()
	if n := d.awaitCancelled(); n > 0 {
		t.Errorf("%d attempts for a client that had left", n)
	}
}

// The time left that a request states holds when its last byte leaves: a last byte that was held back for longer than
// planned is not sent, and the request is sent anew or ends.
func TestTimeLeftHoldsAtLastByte(t *testing.T) {
	const timeLeft = 3 * time.Second
	for name, heldFor := range map[string]time.Duration{"late": time.Second, "over": timeLeft} {
		t.Run(name, func(t *testing.T) {
			d := newDepartureRig(t, 1, withRetries)
			d.Do(func() {
				d.client.holdLastByteUntil, d.client.lastByteDelay = d.Dispatcher.Loop.Now()+time.Hour, 100*time.Millisecond
			})
			before := time.Now()
			got := make(testkit.Responses, 1)
			d.Dispatcher.Loop.Post(func() {
				d.Dispatcher.Accept(got, 0, dispatch.Request{ID: "id000001", Target: "/status-check/k", Body: []byte("body"), Work: 1e6, TimeLeft: timeLeft})
			})
			_, in := d.acceptNext[0]()
			if _, err := in.Peek(1); err != nil {
				t.Fatal(err)
			}
			release := d.holdLoop()
			for time.Since(before) < heldFor {
				time.Sleep(time.Millisecond)
			}
			release()
			if text, _ := io.ReadAll(in); strings.HasSuffix(string(text), "body") {
				t.Error("the last byte was sent too late")
			}
			if name == "over" {
				if v := awaitOutcome(t, got); v == dispatch.Served {
					t.Errorf("after its deadline: %v", v)
				}
				return
			}
			secondConn, secondInput := d.acceptNext[0]()
			req := d.readRequest(secondInput)
			statedMs, err := strconv.Atoi(req.Header.Get("X-Time-Left-Ms"))
			if remaining := timeLeft - time.Since(before); err != nil || time.Duration(statedMs)*time.Millisecond > timeLeft-heldFor || remaining < 0 {
				t.Errorf("X-Time-Left-Ms is %d where less than %v was left, %v", statedMs, timeLeft-heldFor, err)
			}
			io.WriteString(secondConn, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", "id000001"))
			if v := awaitOutcome(t, got); v != dispatch.Served {
				t.Errorf("sent anew: %v", v)
			}
		})
	}
}

// established reports whether the kernel lists a connection from one address to another as open at the far end.
func established(t *testing.T, to, from string) bool {
	t.Helper()
	text, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	port := func(addr string) string {
		_, p, _ := net.SplitHostPort(addr)
		n, _ := strconv.Atoi(p)
		return fmt.Sprintf(":%04X", n)
	}
	const open = "01" // the state's number in that table
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) > 3 && strings.HasSuffix(f[1], port(to)) && strings.HasSuffix(f[2], port(from)) && f[3] == open {
			return true
		}
	}
	return false
}
