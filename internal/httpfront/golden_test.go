package httpfront

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// closingRequest is a request after whose response the front end closes the connection. roundTripKeptAlive removes that
// response from what it returns.
const (
	closingRequest  = "GET /healthz HTTP/1.0\r\n\r\n"
	closingResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nConnection: close\r\n\r\nready\n"
)

// Compares all responses that the front end gives by itself, byte for byte.
func TestGoldenResponses(t *testing.T) {
	rig := testkit.NewRig(t)
	ready := true
	_, addr := newEchoFrontEnd(t, rig, ampleMemory, 200, func() bool { return ready })
	acceptFormerAndOpen(rig)
	var text strings.Builder
	for i, exchange := range testkit.Exchanges {
		request := testkit.WithID(exchange.Request, fmt.Sprintf("id%06d", i))
		if exchange.ClosesConnection {
			text.WriteString(formatExchange(request, roundTrip(t, addr, request)))
		} else {
			text.WriteString(formatExchange(request, roundTripKeptAlive(t, addr, request)))
		}
	}
	for _, request := range []string{ // the connection is closed after each of them
		"HEAD /healthz HTTP/1.1\r\n\r\n",
		"HEAD / HTTP/1.1\r\n\r\n",
		"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: head-1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", // gets 408 when the request times out
		"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: head-2",
		"GET / HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n",
	} {
		text.WriteString(formatExchange(request, roundTrip(t, addr, request)))
	}
	rig.Do(func() { ready = false })
	text.WriteString(formatExchange(closingRequest, roundTrip(t, addr, closingRequest)))
	goldentest.CompareHTTP(t, "answers.golden", text.String())
}

// roundTrip sends a text on a new connection, and returns all that it receives until the connection ends.
func roundTrip(t *testing.T, addr, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	io.WriteString(conn, text)
	response, _ := io.ReadAll(conn) // a connection reset after the response does not matter
	return string(response)
}

// roundTripKeptAlive is like roundTrip, but for a request that must leave its connection open. It checks this by
// sending closingRequest after it, whose response it does not return.
func roundTripKeptAlive(t *testing.T, addr, request string) string {
	t.Helper()
	responses := roundTrip(t, addr, request+closingRequest)
	response, keptAlive := strings.CutSuffix(responses, closingResponse)
	if !keptAlive {
		t.Errorf("%q ended the connection: %q", request, responses)
	}
	return response
}

// formatExchange returns a request and its response in the format of the golden file.
func formatExchange(request, response string) string {
	shown := regexp.MustCompile(`x{100,}`).ReplaceAllStringFunc(request, func(many string) string {
		return fmt.Sprintf("(%d times x)", len(many))
	})
	return "> " + strings.ReplaceAll(shown, "\n", "\n> ") + "\n" + testkit.MaskVolatile(response) + "\n"
}

// Compares the status line of each status, and the heads of responses with each optional field.
func TestGoldenStatuses(t *testing.T) {
	var text []byte
	for _, status := range []int{200, 400, 404, 405, 408, 409, 413, 431, 500, 502, 503} {
		text = httpwire.AppendResponse(text, status, []byte("text\n"), 0, false, "")
	}
	text = httpwire.AppendResponse(text, 503, nil, time.Millisecond, true, "Allow: GET\r\n")
	text = httpwire.AppendResponse(text, 503, []byte("b"), 1499*time.Millisecond, false, "")
	goldentest.CompareHTTP(t, "statuses.golden", string(text))
}

// Compares the responses to durable requests.
func TestGoldenDurableRequests(t *testing.T) {
	rig := testkit.NewRig(t, func(settings *decision.Settings) { settings.Classes[testkit.Renewal].Deadline = time.Second })
	service := openDurableService(t, rig)
	durableClasses := []bool{testkit.StatusCheck: false, testkit.Renewal: true}
	var addr string
	var frontEnd *FrontEnd
	rig.Do(func() {
		service.Start()
		rig.Dispatcher.AddSource(testkit.EchoWorkerClient{Dispatcher: rig.Dispatcher})
		frontEnd = New(rig.Dispatcher, rig.Engine, ampleMemory, alwaysReady)
		frontEnd.SetDurable(nil, durableClasses)
		var err error
		addr, err = frontEnd.Listen("127.0.0.1:0", 20)
		if err != nil {
			t.Error(err)
		}
	})
	text := durableRoundTrip(t, addr, "key-1", "done") // the other process has the store
	rig.Do(func() { frontEnd.SetDurable(service, durableClasses) })
	for _, request := range []struct{ key, body string }{
		{"key-1", "done"},
		{"key-1", "done"},
		{"key-1", "done again"},
		{"a b", "done"},
		{"key-2", "hold"},
		{"key-3", "discard"},
		{"key-4", "lost"},
	} {
		text += durableRoundTrip(t, addr, request.key, request.body)
	}
	goldentest.CompareHTTP(t, "kept.golden", text)
}

// openDurableService opens a durable service whose jobs end as the first word of their body says: done, discard or
// lost. A job whose body starts with hold does not end.
func openDurableService(t *testing.T, rig *testkit.Rig) *durable.Service {
	t.Helper()
	config := durable.Config{
		Path: filepath.Join(t.TempDir(), "jobs.db"),
		Jobs: jobs.Config{LeaseDuration: 20 * time.Millisecond, RecoveryGrace: time.Millisecond},
	}
	service, err := durable.Open(rig.Dispatcher.Loop, config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { rig.Do(func() { service.CloseNow() }) })
	ignoreError := func(error) {}
	service.OnRunnable = func(job jobs.Job) {
		request, _ := durable.ReadRequest(job)
		switch word := string(request.Body); {
		case strings.HasPrefix(word, "discard"):
			rig.Dispatcher.Loop.Post(func() { service.Move(job.ID, jobs.Discard, "unwanted", true) })
		case !strings.HasPrefix(word, "hold"):
			service.Assign(job.ID, "w", jobs.NoGuarantee, func(leased jobs.Job, _ error) {
				if strings.HasPrefix(word, "done") {
					service.Ack(job.ID, leased.Fence, []byte("made"), ignoreError)
				}
			})
		}
	}
	return service
}

// durableRoundTrip sends a request with an idempotency key, and returns the key, the body and the response in the
// format of the golden file.
func durableRoundTrip(t *testing.T, addr, key, body string) string {
	t.Helper()
	request := fmt.Sprintf("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: id\r\nConnection: close\r\n"+
		"Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	_, reader := testkit.Connect(t, addr, request)
	response, err := io.ReadAll(reader)
	if err != nil {
		t.Error(err)
	}
	return "> " + key + ", " + body + "\n" + string(response) + "\n"
}
