package workerclient

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// newWorkerClient returns a worker client with a registry that follows discovery at addr.
func newWorkerClient(rig *testkit.Rig, addr string) *Client {
	return New(rig.Dispatcher, rig.Engine, discovery.New(rig.Dispatcher, rig.Engine, addr))
}

// FuzzWorkerResponses checks a worker connection against a model: whatever the worker responds, and wherever the bytes
// are split, the request ends as the protocol's table says, and it arrives at most once, also where the connection
// reused from the request before has just been closed.
func FuzzWorkerResponses(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 255, 1, 33, 2, 90})
	f.Add([]byte{0, 0, 64, 0, 64, 0, 64, 255})
	for i := range testkit.WorkerResponses {
		f.Add([]byte{0, 0, byte(i), 101, 0, 3, byte(i), 254, 0, 0})
	}
	rig, worker := testkit.NewRig(f), testkit.NewScriptedWorker(f)
	rig.Do(func() {
		client := newWorkerClient(rig, "")
		client.reuseDelay = 0 // a connection is used again at once
		endpointList := fmt.Sprintf(`{"hosts":[{"host":"s","dial":%q,"site":"here","health":"ready"}]}`, worker.Addr())
		if err := client.registry.LoadInitial([]byte(endpointList)); err != nil {
			f.Error(err)
		}
	})
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		for i := 0; i+1 < len(steps) && i < 20; i += 2 {
			response := testkit.WorkerResponses[int(steps[i])%64%len(testkit.WorkerResponses)]
			closed := steps[i]&64 != 0
			if closed {
				worker.HangUp()
			}
			number++
			id := fmt.Sprintf("id%06d", number) // as long as what it replaces
			worker.SetScripts(response.Script)
			worker.SplitResponses(int(steps[i+1]))
			responses := make(testkit.Responses, 2)
			rig.Do(func() {
				rig.Dispatcher.Accept(responses, 0, dispatch.Request{ID: id, Class: 1, Target: "/renewal/k", Body: []byte("b"), Work: 1e6})
			})
			var got dispatch.Response
			select {
			case got = <-responses:
			case <-time.After(testkit.Patience):
				t.Fatalf("no response to %q", response.Script)
			}
			arrivals := worker.Arrivals(id)
			// A reused connection that has just been closed may cost the request, but never cause a second run.
			if got.Outcome != response.Want && !(closed && got.Outcome == dispatch.Failed && arrivals <= 1) || arrivals > 1 {
				t.Fatalf("%q: %v, want %v; arrived %d times", response.Script, got.Outcome, response.Want, arrivals)
			}
			if got.Outcome == dispatch.Served && string(got.Body) != "made" {
				t.Fatalf("%q: result %q", response.Script, got.Body)
			}
		}
	})
}

// A connection that breaks under a request does not cost the request, even if it is not idempotent: its last byte is
// held back until the connection has shown that it is open. A worker that responds before that byte never gets it.
func TestLastByteIsHeldBack(t *testing.T) {
	rig := testkit.NewRig(t)
	ln, acceptConnection := listenAsWorker(t)
	var client *Client
	rig.Do(func() {
		client = newSoleWorkerClient(t, rig, ln, 0)   // a connection is used again at once
		client.lastByteDelay = 400 * time.Millisecond // this end must act within it, however busy the machine is
	})
	serveRequest := func(conn net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(req.Body); string(body) != "body" {
			t.Fatalf("%q, %v", body, err)
		}
		io.WriteString(conn, strings.ReplaceAll(testkit.ChunkedResponse(testkit.DoneLine), "IDENTITY", req.Header.Get("X-Correlation-Id")))
	}
	first := acceptRequest(rig, 1, "id000001")
	conn, in := acceptConnection()
	serveRequest(conn, in)
	if a := <-first; a.Outcome != dispatch.Served {
		t.Fatalf("the first request: %v", a.Outcome)
	}
	conn.Close() // unexpectedly: from now on, last bytes are held back
	for holding, end := false, time.Now().Add(testkit.Patience); !holding; time.Sleep(time.Millisecond) {
		if rig.Do(func() { holding = client.holdLastByteUntil > 0 }); time.Now().After(end) {
			t.Fatal("the unexpected close of a connection goes unnoticed")
		}
	}
	again := acceptRequest(rig, 1, "id000012")
	conn, in = acceptConnection()
	serveRequest(conn, in)
	if a := <-again; a.Outcome != dispatch.Served {
		t.Fatalf("the request after the close: %v", a.Outcome)
	}
	second := acceptRequest(rig, 1, "id000002")
	if _, err := in.ReadByte(); err != nil { // on the reused connection
		t.Fatal(err)
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	conn, in = acceptConnection()
	serveRequest(conn, in)
	if a := <-second; a.Outcome != dispatch.Served {
		t.Errorf("after a reset on its first byte: %v", a.Outcome)
	}
	third := acceptRequest(rig, 1, "id000003")
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	if a := <-third; a.Outcome != dispatch.Rejected {
		t.Errorf("rejected before the last byte: %v", a.Outcome)
	}
	text, err := io.ReadAll(in)
	if err != nil || !bytes.HasSuffix(text, []byte("\r\n\r\nbod")) {
		t.Errorf("the request's bytes are %q, %v", text, err)
	}
}

// A health check that gets no response times out, also on a new connection. One that gets a response leaves its
// connection to an attempt.
func TestHealthChecks(t *testing.T) {
	rig, worker := testkit.NewRig(t), testkit.NewScriptedWorker(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var client *Client
	rig.Do(func() {
		client = newWorkerClient(rig, "")
		client.reuseDelay = 0 // a connection is used again at once
		endpointList := `{"hosts":[{"host":"s","dial":%q,"health":"ready"},{"host":"silent","dial":%q,"health":"draining"}]}`
		if err := client.registry.LoadInitial(fmt.Appendf(nil, endpointList, worker.Addr(), silent.Addr())); err != nil {
			t.Error(err)
		}
		client.CheckHealth("silent")
		client.CheckHealth("unlisted")
	})
	conn, err := silent.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testkit.Patience))
	if text, err := io.ReadAll(conn); err != nil || !bytes.HasPrefix(text, []byte("GET /load HTTP/1.1\r\n")) {
		t.Errorf("the health check is %q, %v", text, err)
	}
	worker.SetScripts(testkit.LoadResponse, testkit.ChunkedResponse(testkit.DoneLine))
	rig.Do(func() { client.CheckHealth("s") })
	for end := time.Now().Add(testkit.Patience); ; time.Sleep(time.Millisecond) {
		idle := 0
		rig.Do(func() { idle = len(client.idle[client.registry.Worker("s")]) })
		if idle == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the health check's connection does not become idle")
		}
	}
	got := make(testkit.Responses, 1)
	rig.Do(func() {
		rig.Dispatcher.Accept(got, 0, dispatch.Request{ID: "id000001", Class: 1, Target: "/renewal/k", Work: 1e6})
	})
	select {
	case a := <-got:
		if a.Outcome != dispatch.Served {
			t.Errorf("after the health check: %v", a.Outcome)
		}
	case <-time.After(testkit.Patience):
		t.Fatal("no response")
	}
	if n := worker.ConnectionsAccepted(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A worker holds a limited number of idle connections for all dispatchers together: the more dispatchers there are, the
// fewer each keeps.
func TestIdleConnectionsScaleWithDispatchers(t *testing.T) {
	for _, test := range []struct{ peers, maxIdle int }{{fleetIdleConnections / 3, 3}, {48 * fleetIdleConnections, 1}} {
		rig, worker := testkit.NewRig(t), testkit.NewScriptedWorker(t)
		rig.Dispatcher.Settings.Peers = test.peers
		worker.SetScripts(slices.Repeat([]string{testkit.LoadResponse}, 5)...)
		var client *Client
		rig.Do(func() {
			client = newWorkerClient(rig, "")
			if err := client.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"health":"ready"}]}`, worker.Addr())); err != nil {
				t.Error(err)
			}
			for range 5 {
				client.CheckHealth("s")
			}
		})
		for end := time.Now().Add(testkit.Patience); ; time.Sleep(time.Millisecond) {
			idle, open := 0, 0
			rig.Do(func() { idle, open = len(client.idle[client.registry.Worker("s")]), rig.Engine.OpenConnections() })
			accepted := worker.ConnectionsAccepted()
			if idle > test.maxIdle {
				t.Fatalf("%d dispatchers: %d connections are idle, at most %d may be", test.peers, idle, test.maxIdle)
			}
			if accepted == 5 && idle == test.maxIdle && open == test.maxIdle {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%d dispatchers: %d connections accepted, %d idle, %d open", test.peers, accepted, idle, open)
			}
		}
	}
}
