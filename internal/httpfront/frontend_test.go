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

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// FuzzClientConnection checks a client connection against a model: whatever the requests are, and wherever their bytes
// are split, each gets exactly one response, in order, until a response ends the connection. Every two input bytes are
// a step: the first selects the request, the second where to split it.
func FuzzClientConnection(f *testing.F) {
	const maxSteps = 20
	f.Add([]byte{0, 0, 1, 0, 2, 0, 3, 0, 4, 0, 5, 0, 6, 0, 7, 0, 8, 0, 9, 0, 0, 0})
	f.Add([]byte{9, 90, 9, 3, 10, 7, 0, 0})
	for i := range testkit.Exchanges {
		f.Add([]byte{0, 1, byte(i), 20, 3, 0})
	}
	rig := testkit.NewRig(f)
	_, addr := newEchoFrontEnd(f, rig, ampleMemory, 200, alwaysReady)
	acceptFormerAndOpen(rig)
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
		var want []int // the status of each response
		ended := false
		for i := 0; i+1 < len(steps) && i < 2*maxSteps && !ended; i += 2 {
			number++
			exchange := testkit.Exchanges[int(steps[i])%len(testkit.Exchanges)]
			text := testkit.WithID(exchange.Request, fmt.Sprintf("id%06d", number))
			writeSplit(conn, text, steps[i+1])
			want = append(want, exchange.Status)
			ended = exchange.ClosesConnection
		}
		reader := bufio.NewReader(conn)
		checkResponses(t, reader, want)
		if !ended {
			return
		}
		if rest, _ := io.ReadAll(reader); len(rest) > 0 {
			t.Fatalf("bytes after the last response: %q", rest)
		}
	})
}

// writeSplit writes a text in two parts, of which the first has split/256 of the bytes, sometimes with a pause between
// them. It may fail if the connection has been closed already.
func writeSplit(conn net.Conn, text string, split byte) {
	cut := int(split) * len(text) / 256
	conn.Write([]byte(text[:cut]))
	if split%16 == 15 {
		time.Sleep(time.Millisecond)
	}
	conn.Write([]byte(text[cut:]))
}

// checkResponses reads as many responses as there are statuses, and checks each.
func checkResponses(t *testing.T, reader *bufio.Reader, statuses []int) {
	t.Helper()
	for i, status := range statuses {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d of %v: %v", i, statuses, err)
		}
		body, err := io.ReadAll(response.Body)
		if response.StatusCode != status || err != nil {
			t.Fatalf("response %d: %d %q, %v; want %v", i, response.StatusCode, body, err, statuses)
		}
		if status == 200 && !strings.HasPrefix(string(body), "made done") && string(body) != "ready\n" {
			t.Fatalf("response %d: body %q", i, body)
		}
	}
}

// Checks that a request is rejected if its correlation ID is that of an open or recent request. Otherwise it would be
// forwarded to one worker after another, each of which would reject it, and those workers would count as faulty.
func TestCorrelationIDInUse(t *testing.T) {
	frontEnd := startHoldingFrontEnd(t)
	first := postWithID(frontEnd.addr, "one")
	attempt := frontEnd.awaitAttempt()
	if status := <-postWithID(frontEnd.addr, "one"); status != 409 {
		t.Errorf("the ID of an open request: status %d, want 409", status)
	}
	frontEnd.complete(attempt)
	if status := <-first; status != 200 {
		t.Errorf("the open request: status %d, want 200", status)
	}
	if status := <-postWithID(frontEnd.addr, "one"); status != 409 {
		t.Errorf("the ID of a completed request: status %d, want 409", status)
	}
	if forwarded := len(frontEnd.worker.Started); forwarded != 0 {
		t.Errorf("%d rejected requests were forwarded", forwarded)
	}
}

// postWithID sends a request with a correlation ID through http.DefaultClient. The channel receives the status code of
// the response, unless the request fails, and is then closed.
func postWithID(addr, id string) chan int {
	status := make(chan int, 1)
	go func() {
		defer close(status)
		request, _ := http.NewRequest("POST", "http://"+addr+"/renewal/k", strings.NewReader("x"))
		request.Header.Set("X-Correlation-Id", id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return
		}
		response.Body.Close()
		status <- response.StatusCode
	}()
	return status
}

// Checks that hundreds of pipelined requests are served in order, and that other connections are served in between.
func TestPipeline(t *testing.T) {
	const requests = 500
	const otherAfter = 100 // number of responses after which another client sends its request
	addr := startEchoFrontEnd(t, ampleMemory, 20)
	conn, reader := testkit.Connect(t, addr, "")
	go func() {
		for i := range requests {
			io.WriteString(conn, longRequestWithID(fmt.Sprint("many-", i)))
		}
	}()
	for i := range requests {
		requireStatus(t, fmt.Sprint("request ", i), reader, 200)
		if i == otherAfter {
			_, other := testkit.Connect(t, addr, testkit.RequestWithID("other"))
			checkStatus(t, "another client", other, 200)
		}
	}
}

// longRequestWithID returns a request with a body of 2000 bytes that an echo worker client completes.
func longRequestWithID(id string) string {
	padded := "2000\r\n\r\ndone" + strings.Repeat(" ", 1996)
	return strings.Replace(testkit.RequestWithID(id), "4\r\n\r\ndone", padded, 1)
}
