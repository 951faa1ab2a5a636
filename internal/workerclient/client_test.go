package workerclient

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// FuzzWorkerResponses checks a worker connection against a model: whatever the worker responds, and wherever the bytes
// are split, the request ends with the outcome that testkit.WorkerResponses states, and it arrives at most once, even
// if the worker has just closed the connection that would be reused. Every two input bytes are a step: the first
// selects the response, and whether the worker closes its connections before it (closeBefore); the second selects where
// to split it.
func FuzzWorkerResponses(f *testing.F) {
	const (
		closeBefore = 64
		maxSteps    = 10
	)
	f.Add([]byte{0, 0, 0, 1, 0, 255, 1, 33, 2, 90})
	f.Add([]byte{0, 0, 64, 0, 64, 0, 64, 255})
	for i := range testkit.WorkerResponses {
		f.Add([]byte{0, 0, byte(i), 101, 0, 3, byte(i), 254, 0, 0})
	}
	rig := testkit.NewRig(f)
	worker := testkit.NewScriptedWorker(f)
	rig.Do(func() {
		client := newWorkerClient(f, rig, listedWorker{Name: soleWorker, Address: worker.Addr(), Zone: "here", Health: "ready"})
		client.reuseDelay = noReuseDelay
	})
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		for i := 0; i+1 < len(steps) && i < 2*maxSteps; i += 2 {
			number++
			response := testkit.WorkerResponses[int(steps[i])%closeBefore%len(testkit.WorkerResponses)]
			closed := steps[i]&closeBefore != 0
			if closed {
				worker.CloseConnections()
			}
			worker.SetScripts(response.Script)
			worker.SplitResponses(int(steps[i+1]))
			checkWorkerResponse(t, rig, worker, response, closed, fmt.Sprintf("id%06d", number)) // as long as the ID in the script that it replaces
		}
	})
}

// checkWorkerResponse sends a request to a worker that gives a response, and checks the outcome. closed states whether
// the worker has just closed its connections.
func checkWorkerResponse(
	t *testing.T, rig *testkit.Rig, worker *testkit.ScriptedWorker, response testkit.WorkerResponse, closed bool, id string,
) {
	t.Helper()
	request := newRequest(rig, testkit.Renewal, id)
	request.Body = []byte("b")
	responses := rig.Accept(request)
	var got dispatch.Response
	select {
	case got = <-responses:
	case <-time.After(testkit.WaitTimeout):
		t.Fatalf("no response to %q", response.Script)
	}
	arrivals := worker.Arrivals(id)
	// The request may fail if it was sent on a reused connection that had just been closed, but it must not run twice.
	lostWithConnection := closed && got.Outcome == dispatch.Failed && arrivals <= 1
	if got.Outcome != response.Want && !lostWithConnection || arrivals > 1 {
		t.Fatalf("%q: %v, want %v; arrived %d times", response.Script, got.Outcome, response.Want, arrivals)
	}
	if got.Outcome == dispatch.Served && string(got.Body) != "made" {
		t.Fatalf("%q: result %q", response.Script, got.Body)
	}
}

// Checks that the worker gets a client's idempotency key unchanged.
func TestIdempotencyKeyIsPassedOn(t *testing.T) {
	rig := testkit.NewRig(t)
	worker := testkit.Listen(t)
	startSoleWorkerClient(t, rig, worker.Addr(), defaultReuseDelay)
	clientConn, clientReader := testkit.Connect(t, startFrontEnd(t, rig, 20), "")
	var workerConn *testkit.AcceptedConn
	for i, key := range []string{"5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "", `"quoted", and more`} {
		io.WriteString(clientConn, requestWithKey(fmt.Sprintf("key%05d", i), key))
		if workerConn == nil {
			workerConn = worker.Accept()
		}
		request, _ := workerConn.ServeRequest()
		got, sent := request.Header["Idempotency-Key"]
		if sent != (key != "") || sent && got[0] != key {
			t.Errorf("the idempotency key %q was passed on as %q", key, got)
		}
		checkStatus(t, clientReader, 200)
	}
}

// requestWithKey returns the text of a client's request with an idempotency key, or without one if key is empty.
func requestWithKey(id, key string) string {
	field := ""
	if key != "" {
		field = "idempotency-key: " + key + "\r\n"
	}
	return "POST /status-check/k HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\n" + field + "Content-Length: 4\r\n\r\nbody"
}

// checkStatus reads a response of the front end and checks its status code.
func checkStatus(t *testing.T, reader *bufio.Reader, want int) {
	t.Helper()
	got := testkit.ReadStatus(reader)
	if got != want {
		t.Errorf("the status is %d, want %d", got, want)
	}
}

// Checks that responses that never end are cut off. After the final job update, the connection is closed within
// responseEndTimeout, and it carries no other request until then. A head or a line that never ends is an invalid
// response, and the request fails.
func TestEndlessResponses(t *testing.T) {
	rig := testkit.NewRig(t)
	worker := testkit.Listen(t)
	startSoleWorkerClient(t, rig, worker.Addr(), noReuseDelay)
	endlessTrail := strings.TrimSuffix(testkit.ChunkedResponse(testkit.DoneLine), "0\r\n\r\n")
	for i, test := range []struct {
		name   string
		start  string
		repeat string // sent after start, again and again
		want   dispatch.Outcome
	}{
		{"lines after the result", endlessTrail, testkit.Chunk("more\n"), dispatch.Served},
		{"a line", testkit.WatchHead, testkit.Chunk(strings.Repeat("x", 1000)), dispatch.Failed},
		{"empty lines", testkit.WatchHead, testkit.Chunk("\n"), dispatch.Failed},
		{"a head", testkit.StatusLineOK, "X-More: more\r\n", dispatch.Failed},
	} {
		id := fmt.Sprintf("id%06d", i)
		request := newRequest(rig, testkit.Renewal, id)
		request.TimeLeft = 3 * time.Second
		responses := rig.Accept(request)
		conn := worker.Accept()
		conn.ParseRequest()
		conn.Write(testkit.WithID(test.start, id))
		cut := writeEndlessly(conn, test.repeat)
		checkOutcome(t, test.name, responses, test.want)
		if test.want == dispatch.Served {
			other := post(rig, testkit.Renewal, "id000099")
			otherConn := worker.Accept()
			otherConn.ServeRequest()
			checkOutcome(t, "beside an endless response", other, dispatch.Served)
			otherConn.Close()
		}
		testkit.Receive(t, cut)
		if buffered := rig.Engine.Pool.BytesInUse(); buffered > 8*transport.BufferSize {
			t.Errorf("%s: %d bytes are buffered", test.name, buffered)
		}
	}
}

// writeEndlessly writes a text again and again until the connection is closed. The channel then receives the number of
// bytes written.
func writeEndlessly(conn *testkit.AcceptedConn, text string) (cut chan int) {
	cut = make(chan int, 1)
	go func() {
		total := 0
		for {
			written, err := io.WriteString(conn.Conn, text)
			total += written
			if err != nil {
				cut <- total
				return
			}
		}
	}()
	return cut
}
