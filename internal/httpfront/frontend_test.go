package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// FuzzClientConnection checks a client connection against a model: whatever the requests, and wherever their bytes are
// split, each gets its one response, in order, until one ends the connection. Two bytes are a step: the request, and
// where to split it.
func FuzzClientConnection(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0, 3, 0, 4, 0, 5, 0, 6, 0, 7, 0, 8, 0, 9, 0, 0, 0})
	f.Add([]byte{9, 90, 9, 3, 10, 7, 0, 0})
	for i := range testkit.Exchanges {
		f.Add([]byte{0, 1, byte(i), 20, 3, 0})
	}
	rig := testkit.NewRig(f)
	_, addr := newEchoFrontEnd(f, rig, 64<<20, 200, alwaysReady)
	acceptNamedRequests(rig)
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testkit.Patience))
		in, sent, want, ended := bufio.NewReader(conn), 0, []int{}, false
		for i := 0; i+1 < len(steps) && i < 40 && !ended; i += 2 {
			exchange := testkit.Exchanges[int(steps[i])%len(testkit.Exchanges)]
			number++
			text := strings.ReplaceAll(exchange.Request, "IDENTITY", fmt.Sprintf("id%06d", number))
			cut := int(steps[i+1]) * len(text) / 256
			conn.Write([]byte(text[:cut]))
			if steps[i+1]%16 == 15 {
				time.Sleep(time.Millisecond)
			}
			conn.Write([]byte(text[cut:])) // may fail if the connection has been closed already
			sent += len(text)
			want, ended = append(want, exchange.Status), exchange.Ends
		}
		for i, status := range want {
			got, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("response %d of %v: %v", i, want, err)
			}
			body, err := io.ReadAll(got.Body)
			if got.StatusCode != status || err != nil {
				t.Fatalf("response %d: %d %q, %v; want %v", i, got.StatusCode, body, err, want)
			}
			if status == 200 && !strings.HasPrefix(string(body), "made done") && string(body) != "ready\n" {
				t.Fatalf("response %d: body %q", i, body)
			}
		}
		if ended {
			if rest, _ := io.ReadAll(in); len(rest) > 0 {
				t.Fatalf("after the last response: %q", rest)
			}
		}
	})
}

// A correlation ID that an open or recent request has is rejected: such a request would be forwarded to worker after
// worker, each of which rejects it, and they would count as faulty.
func TestCorrelationIDInUse(t *testing.T) {
	rig := testkit.NewRig(t)
	_, addr, worker := startWithHoldingClient(rig, 64<<20)
	post := func() chan int {
		got := make(chan int, 1)
		go func() {
			request, _ := http.NewRequest("POST", "http://"+addr+"/renewal/k", strings.NewReader("x"))
			request.Header.Set("X-Correlation-Id", "one")
			if resp, err := http.DefaultClient.Do(request); err == nil {
				resp.Body.Close()
				got <- resp.StatusCode
			}
			close(got)
		}()
		return got
	}
	first := post()
	attempt := <-worker.Started
	if status := <-post(); status != 409 {
		t.Errorf("the ID of an open request: %d", status)
	}
	completeAttempt(rig, attempt)
	if status := <-first; status != 200 {
		t.Errorf("the open request: %d", status)
	}
	if status := <-post(); status != 409 {
		t.Errorf("the ID of a completed request: %d", status)
	}
	if n := len(worker.Started); n != 0 {
		t.Errorf("%d more attempts", n)
	}
}

// alwaysReady tells a front end that workers are known.
func alwaysReady() bool { return true }

// newEchoFrontEnd starts a front end with an echo client on a rig.
func newEchoFrontEnd(t testing.TB, rig *testkit.Rig, memoryLimit, maxConnections int, ready func() bool) (frontEnd *FrontEnd, addr string) {
	t.Helper()
	rig.Do(func() {
		worker := testkit.EchoWorkerClient{Dispatcher: rig.Dispatcher}
		rig.Dispatcher.AddSource(worker)
		rig.Dispatcher.UpdateWorkers(worker, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		frontEnd = New(rig.Dispatcher, rig.Engine, memoryLimit, ready)
		var err error
		addr, err = frontEnd.Listen("127.0.0.1:0", maxConnections)
		if err != nil {
			t.Error(err)
		}
	})
	return frontEnd, addr
}

// acceptNamedRequests accepts the requests whose IDs testkit.Exchanges use: one that is completed, and one that stays
// open.
func acceptNamedRequests(rig *testkit.Rig) {
	rig.Do(func() {
		rig.Dispatcher.Accept(make(testkit.Responses, 1), 0, dispatch.Request{ID: "former", Body: []byte("done")})
		rig.Dispatcher.Accept(make(testkit.Responses, 1), 0, dispatch.Request{ID: "open", Body: []byte("hold")})
	})
}

// startEchoFrontEnd starts a rig and a front end with an echo client, and returns its address.
func startEchoFrontEnd(t *testing.T, memoryLimit, maxConnections int) string {
	t.Helper()
	_, addr := newEchoFrontEnd(t, testkit.NewRig(t), memoryLimit, maxConnections, alwaysReady)
	return addr
}

// A request that does not become complete in time is rejected, however its bytes trickle in.
func TestTricklingRequestTimesOut(t *testing.T) {
	addr := startEchoFrontEnd(t, 64<<20, 20)
	for _, text := range []string{"POST /renewal/k HTTP/1.1\r\nX-Note: ", "POST /renewal/k HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"} {
		conn, in := testkit.Connect(t, addr, text)
		status := make(chan int, 1)
		go func() { status <- testkit.ReadStatus(in) }()
		for code := -1; code < 0; {
			select {
			case code = <-status:
				if code != 408 {
					t.Errorf("%q: %d", text, code)
				}
			case <-time.After(20 * time.Millisecond):
				io.WriteString(conn, "x")
			}
		}
	}
}

// Hundreds of pipelined requests are served in order, and other connections are served in between.
func TestPipeline(t *testing.T) {
	addr := startEchoFrontEnd(t, 64<<20, 20)
	const requests = 500
	conn, in := testkit.Connect(t, addr, "")
	go func() {
		for i := range requests {
			io.WriteString(conn, strings.Replace(testkit.RequestWithID(fmt.Sprint("many-", i)), "4\r\n\r\ndone", "2000\r\n\r\ndone"+strings.Repeat(" ", 1996), 1))
		}
	}()
	for i := range requests {
		if code := testkit.ReadStatus(in); code != 200 {
			t.Fatalf("response %d: %d", i, code)
		}
		if i == 100 {
			if _, other := testkit.Connect(t, addr, testkit.RequestWithID("other")); testkit.ReadStatus(other) != 200 {
				t.Error("another client gets no response")
			}
		}
	}
}
