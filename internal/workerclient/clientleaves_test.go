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

// These tests let a client leave while the loop is busy, in the very turn in which something lets an attempt of
// its request begin, and before the loop is told of the end. The system knows that end by then: no attempt begins.

// departureRig is a front with real backends, and a client that leaves.
type departureRig struct {
	*testkit.Rig
	t          *testing.T
	addr       string // of the front
	client     *Client
	acceptNext []func() (net.Conn, *bufio.Reader) // the backends' next connections

	listeners []net.Listener
}

func newDepartureRig(t *testing.T, backends int, change func(*decision.Settings)) *departureRig {
	t.Helper()
	d := &departureRig{Rig: testkit.NewRig(t, change), t: t}
	var hosts []string
	for i := range backends {
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

// holdLoop keeps the loop from going on until the release, at the end of the test at the latest.
func (d *departureRig) holdLoop() (release func()) {
	release = sync.OnceFunc(d.Rig.Hold())
	d.t.Cleanup(release)
	return release
}

// connectClient sends a request and more bytes behind it.
func (d *departureRig) connectClient(path, id string, behind int) net.Conn {
	d.t.Helper()
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Weight-Hint: 1000\r\nContent-Length: 4\r\n\r\nbody", path, id)
	conn, _ := testkit.Connect(d.t, d.addr, text+strings.Repeat("x", behind))
	return conn
}

// readRequest reads a whole readRequest at a backend.
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

// closeClient closes a client's connection and waits until the front's system has been told.
func (d *departureRig) closeClient(conn net.Conn) {
	d.t.Helper()
	local := conn.LocalAddr().String()
	conn.Close()
	testkit.Until(d.t, "the client's end arrives", func() bool { return !established(d.t, d.addr, local) })
}

// awaitCancelled waits until a client's end has been taken in, and returns how many attempts have left whole.
func (d *departureRig) awaitCancelled() (n uint64) {
	d.t.Helper()
	testkit.Until(d.t, "the client is hung up", func() (over bool) {
		d.Do(func() {
			over, n = d.Dispatcher.Counts().Cancelled == 1, d.Dispatcher.Counts().Sent
		})
		return over
	})
	return n
}

func withRetries(s *decision.Settings) { s.MaxAttempts = 3 }

// The end arrives while the first attempt of a request is due.
func TestClientLeavesBeforeFirstAttempt(t *testing.T) {
	for _, behind := range []int{0, 300} {
		d := newDepartureRig(t, 1, withRetries)
		on := d.holdLoop()
		conn := d.connectClient("/status-check/k", "id000001", behind)
		d.closeClient(conn)
		on()
		if n := d.awaitCancelled(); n > 0 {
			t.Errorf("%d bytes behind: %d attempts for a client that had left", behind, n)
		}
	}
}

// The end arrives while a request waits for another with its key, which is over just then.
func TestClientLeavesWhileSerialized(t *testing.T) {
	d := newDepartureRig(t, 1, func(s *decision.Settings) { s.Classes[0].Serialized = true })
	d.connectClient("/status-check/k", "id000001", 0)
	worker, in := d.acceptNext[0]()
	d.readRequest(in)
	conn := d.connectClient("/status-check/k", "id000002", 0)
	testkit.Until(t, "the second is taken", func() (both bool) {
		d.Do(func() { both = d.Dispatcher.Unanswered() == 2 })
		return both
	})
	on := d.holdLoop()
	d.Write(t, worker, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", "id000001"))
	d.closeClient(conn)
	on()
	if n := d.awaitCancelled(); n != 1 {
		t.Errorf("%d attempts, of which the first was wanted", n)
	}
}

// The end arrives while the connection to a backend comes up.
func TestClientLeavesDuringDial(t *testing.T) {
	d := newDepartureRig(t, 1, withRetries)
	held, release := make(chan struct{}), make(chan struct{})
	on := sync.OnceFunc(func() { close(release) })
	t.Cleanup(on)
	d.Do(func() {
		d.Dispatcher.Trace = func(_, step string, _ ...any) {
			if step == "attempt" { // before the word that the connection is up
				d.Dispatcher.Loop.Post(func() { close(held); <-release })
			}
		}
	})
	conn := d.connectClient("/status-check/k", "id000001", 0)
	<-held
	d.acceptNext[0]()
	time.Sleep(100 * time.Millisecond) // for the poller to post that it is up; were it slower, the test would only show less
	d.closeClient(conn)
	on()
	if n := d.awaitCancelled(); n > 0 {
		t.Errorf("%d attempts for a client that had left", n)
	}
}

// The end arrives beside a failed attempt, after which a retry is due.
func TestClientLeavesBeforeRetry(t *testing.T) {
	for _, behind := range []int{0, 300} {
		d := newDepartureRig(t, 2, withRetries)
		conn := d.connectClient("/status-check/k", "id000001", behind)
		worker, in := d.acceptAny()
		d.readRequest(in)
		on := d.holdLoop()
		d.Write(t, worker, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		d.closeClient(conn)
		on()
		if n := d.awaitCancelled(); n != 1 {
			t.Errorf("%d bytes behind: %d attempts, of which the first was wanted", behind, n)
		}
	}
}

// The end arrives while a hedge is due, since the first attempt does not start.
func TestClientLeavesBeforeHedge(t *testing.T) {
	d := newDepartureRig(t, 2, func(s *decision.Settings) { s.MaxAttempts, s.Hedging = 3, true })
	conn := d.connectClient("/status-check/k", "id000001", 0)
	_, in := d.acceptAny()
	d.readRequest(in)
	on := d.holdLoop()
	d.closeClient(conn)
	time.Sleep(300 * time.Millisecond) // beyond the sweep's interval: the hedge is due whatever the machine does
	on()
	if n := d.awaitCancelled(); n > 1 {
		t.Errorf("%d attempts, of which the first was wanted", n)
	}
}

// acceptAny accepts the connection that comes acceptAny, at whichever backend.
func (d *departureRig) acceptAny() (net.Conn, *bufio.Reader) {
	d.t.Helper()
	came := make(chan net.Conn, len(d.listeners))
	for _, ln := range d.listeners {
		go func() {
			if conn, err := ln.Accept(); err == nil { // or the test is over
				came <- conn
			}
		}()
	}
	conn := testkit.Receive(d.t, came)
	d.t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// The end arrives while the last byte of a request is held back.
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
	on := d.holdLoop()
	d.closeClient(conn)
	time.Sleep(220 * time.Millisecond) // the last byte is due, whatever the machine does
	on()
	if n := d.awaitCancelled(); n > 0 {
		t.Errorf("%d attempts for a client that had left", n)
	}
}

// What a request tells of the time left is true when its last byte leaves: a
// last byte that was held back for longer than planned goes nowhere, and the
// request begins anew, or is over.
func TestTimeLeftHoldsAtLastByte(t *testing.T) {
	const left = 3 * time.Second
	for name, late := range map[string]time.Duration{"late": time.Second, "over": left} {
		t.Run(name, func(t *testing.T) {
			d := newDepartureRig(t, 1, withRetries)
			d.Do(func() {
				d.client.holdLastByteUntil, d.client.lastByteDelay = d.Dispatcher.Loop.Now()+time.Hour, 100*time.Millisecond
			})
			before := time.Now()
			got := make(testkit.Responses, 1)
			d.Dispatcher.Loop.Post(func() {
				d.Dispatcher.Accept(got, 0, dispatch.Request{ID: "id000001", Target: "/status-check/k", Body: []byte("body"), Work: 1e6, TimeLeft: left})
			})
			_, in := d.acceptNext[0]()
			if _, err := in.Peek(1); err != nil {
				t.Fatal(err)
			}
			on := d.holdLoop()
			for time.Since(before) < late {
				time.Sleep(time.Millisecond)
			}
			on()
			if text, _ := io.ReadAll(in); strings.HasSuffix(string(text), "body") {
				t.Error("the last byte left behind a time that is over")
			}
			if name == "over" {
				if v := awaitOutcome(t, got); v == dispatch.Served {
					t.Errorf("after its time: %v", v)
				}
				return
			}
			again, from := d.acceptNext[0]()
			req := d.readRequest(from)
			told, err := strconv.Atoi(req.Header.Get("X-Time-Left-Ms"))
			if rest := left - time.Since(before); err != nil || time.Duration(told)*time.Millisecond > left-late || rest < 0 {
				t.Errorf("%d ms told where less than %v was left, %v", told, left-late, err)
			}
			io.WriteString(again, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", "id000001"))
			if v := awaitOutcome(t, got); v != dispatch.Served {
				t.Errorf("begun anew: %v", v)
			}
		})
	}
}

// established tells whether the system still has a connection from one address to another as open at the far end.
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
