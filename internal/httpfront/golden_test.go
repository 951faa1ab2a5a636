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

// lastExchange ends a connection in order. Its response is not written to the golden file.
const (
	lastExchange = "GET /healthz HTTP/1.0\r\n\r\n"
	lastResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nConnection: close\r\n\r\nready\n"
)

// Each response that the front end gives by itself, byte for byte.
func TestGoldenResponses(t *testing.T) {
	rig := testkit.NewRig(t)
	ready := true
	_, addr := newEchoFrontEnd(t, rig, 64<<20, 200, func() bool { return ready })
	acceptNamedRequests(rig)
	var text strings.Builder
	exchange := func(request string, ends bool) {
		t.Helper()
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testkit.Patience))
		sent := request
		if !ends {
			sent += lastExchange
		}
		io.WriteString(conn, sent)
		response, _ := io.ReadAll(conn) // a reset behind the response does not matter
		got := string(response)
		if !ends && ready {
			var found bool
			if got, found = strings.CutSuffix(got, lastResponse); !found {
				t.Errorf("%q ended the connection: %q", request, got)
			}
		}
		shown := regexp.MustCompile(`x{100,}`).ReplaceAllStringFunc(request, func(many string) string {
			return fmt.Sprintf("(%d times x)", len(many))
		})
		text.WriteString("> " + strings.ReplaceAll(shown, "\n", "\n> ") + "\n" + testkit.MaskVolatile(got) + "\n")
	}
	for i, x := range testkit.Exchanges {
		exchange(strings.ReplaceAll(x.Request, "IDENTITY", fmt.Sprintf("id%06d", i)), x.Ends)
	}
	for _, request := range []string{
		"HEAD /healthz HTTP/1.1\r\n\r\n", "HEAD / HTTP/1.1\r\n\r\n",
	} {
		exchange(request, true)
	}
	exchange("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: head-1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", true) // 408 in the end
	exchange("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: head-2", true)
	exchange("GET / HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n", true)
	rig.Do(func() { ready = false })
	exchange(lastExchange, true)
	goldentest.CompareHTTP(t, "answers.golden", text.String())
}

// The status line of each status, and the head of a response with each part.
func TestGoldenStatuses(t *testing.T) {
	var text []byte
	for _, status := range []int{200, 400, 404, 405, 408, 409, 413, 431, 500, 502, 503} {
		text = httpwire.AppendResponse(text, status, []byte("text\n"), 0, false, "")
	}
	text = httpwire.AppendResponse(text, 503, nil, time.Millisecond, true, "Allow: GET\r\n")
	text = httpwire.AppendResponse(text, 503, []byte("b"), 1499*time.Millisecond, false, "")
	goldentest.CompareHTTP(t, "statuses.golden", string(text))
}

// The responses to durable requests.
func TestGoldenDurableRequests(t *testing.T) {
	rig := testkit.NewRig(t, func(s *decision.Settings) { s.Classes[1].Deadline = time.Second })
	service, err := durable.Open(rig.Dispatcher.Loop, durable.Config{
		Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{LeaseDuration: 20 * time.Millisecond, RecoveryGrace: time.Millisecond},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { rig.Do(func() { service.Close() }) })
	// The first word of a job's body says how it ends.
	ignore := func(error) {}
	service.OnRunnable = func(j jobs.Job) {
		request, _ := durable.ReadRequest(j)
		switch word := string(request.Body); {
		case strings.HasPrefix(word, "discard"):
			rig.Dispatcher.Loop.Post(func() { service.Move(j.ID, jobs.Discard, "unwanted", true) })
		case !strings.HasPrefix(word, "hold"):
			service.Assign(j.ID, "w", jobs.NoGuarantee, func(leased jobs.Job, _ error) {
				if strings.HasPrefix(word, "done") {
					service.Ack(j.ID, leased.Fence, []byte("made"), ignore)
				}
			})
		}
	}
	var addr string
	var frontEnd *FrontEnd
	rig.Do(func() {
		service.Start()
		rig.Dispatcher.AddSource(testkit.EchoWorkerClient{Dispatcher: rig.Dispatcher})
		frontEnd = New(rig.Dispatcher, rig.Engine, 64<<20, func() bool { return true })
		frontEnd.SetDurable(nil, []bool{false, true})
		addr, _ = frontEnd.Listen("127.0.0.1:0", 20)
	})
	var text strings.Builder
	send := func(key, body string) {
		t.Helper()
		request := fmt.Sprintf("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: id\r\nConnection: close\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		_, in := testkit.Connect(t, addr, request)
		response, err := io.ReadAll(in)
		if err != nil {
			t.Error(err)
		}
		text.WriteString("> " + key + ", " + body + "\n" + string(response) + "\n")
	}
	send("key-1", "done") // the other process has the store
	rig.Do(func() { frontEnd.SetDurable(service, []bool{false, true}) })
	send("key-1", "done")
	send("key-1", "done")
	send("key-1", "done again")
	send("a b", "done")
	send("key-2", "hold")
	send("key-3", "discard")
	send("key-4", "lost")
	goldentest.CompareHTTP(t, "kept.golden", text.String())
}
