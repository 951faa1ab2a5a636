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
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/testkit"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// lastExchange ends a session in order: its answer is known, and not written down.
const (
	lastExchange = "GET /healthz HTTP/1.0\r\n\r\n"
	lastAnswer   = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nConnection: close\r\n\r\nready\n"
)

// Every answer that the front makes itself, byte for byte.
func TestGoldenAnswers(t *testing.T) {
	r := testkit.NewRig(t)
	ready := true
	var addr string
	r.Do(func() {
		r.Dispatcher.AddSource(testkit.EchoClient{Dispatcher: r.Dispatcher})
		r.Dispatcher.UpdateWorkers(testkit.EchoClient{Dispatcher: r.Dispatcher}, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		addr, _ = New(r.Dispatcher, r.Engine, 64<<20, func() bool { return ready }).Listen("127.0.0.1:0", 200)
		r.Dispatcher.Accept(make(testkit.Responses, 1), 0, dispatch.Request{ID: "former", Body: []byte("done")})
		r.Dispatcher.Accept(make(testkit.Responses, 1), 0, dispatch.Request{ID: "open", Body: []byte("hold")})
	})
	var text strings.Builder
	session := func(request string, ends bool) {
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
		answer, _ := io.ReadAll(conn) // a reset behind the answer is no matter
		got := string(answer)
		if !ends && ready {
			var found bool
			if got, found = strings.CutSuffix(got, lastAnswer); !found {
				t.Errorf("%q ended the session: %q", request, got)
			}
		}
		shown := regexp.MustCompile(`x{100,}`).ReplaceAllStringFunc(request, func(many string) string {
			return fmt.Sprintf("(%d times x)", len(many))
		})
		text.WriteString("> " + strings.ReplaceAll(shown, "\n", "\n> ") + "\n" + testkit.Masked(got) + "\n")
	}
	for i, x := range testkit.Exchanges {
		session(strings.ReplaceAll(x.Request, "IDENTITY", fmt.Sprintf("id%06d", i)), x.Ends)
	}
	for _, request := range []string{
		"HEAD /healthz HTTP/1.1\r\n\r\n", "HEAD / HTTP/1.1\r\n\r\n",
	} {
		session(request, true)
	}
	session("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: head-1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", true) // 408 in the end
	session("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: head-2", true)
	session("GET / HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n", true)
	r.Do(func() { ready = false })
	session(lastExchange, true)
	testkit.CompareGolden(t, "answers.golden", text.String())
}

// The words of each status, and the head of an answer with each part.
func TestGoldenStatuses(t *testing.T) {
	var text []byte
	for _, status := range []int{200, 400, 404, 405, 408, 409, 413, 431, 500, 502, 503} {
		text = httpwire.AppendResponse(text, status, []byte("text\n"), 0, false, "")
	}
	text = httpwire.AppendResponse(text, 503, nil, time.Millisecond, true, "Allow: GET\r\n")
	text = httpwire.AppendResponse(text, 503, []byte("b"), 1499*time.Millisecond, false, "")
	testkit.CompareGolden(t, "statuses.golden", string(text))
}

// The answers to requests whose key is kept durably.
func TestGoldenKeptRequests(t *testing.T) {
	r := testkit.NewRig(t, func(s *decision.Settings) { s.Classes[1].Deadline = time.Second })
	service, err := durable.Open(r.Dispatcher.Loop, durable.Config{
		Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{LeaseDuration: 20 * time.Millisecond, RecoveryGrace: time.Millisecond},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Do(func() { service.Close() }) })
	// What is pushed has the end that the first word of its body says.
	nothing := func(error) {}
	service.OnRunnable = func(j jobs.Job) {
		request, _ := durable.ReadRequest(j)
		switch word := string(request.Body); {
		case strings.HasPrefix(word, "discard"):
			r.Dispatcher.Loop.Post(func() { service.Move(j.ID, jobs.Discard, "unwanted", true) })
		case !strings.HasPrefix(word, "hold"):
			service.Assign(j.ID, "w", jobs.NoGuarantee, func(leased jobs.Job, _ error) {
				if strings.HasPrefix(word, "done") {
					service.Ack(j.ID, leased.Fence, []byte("made"), nothing)
				}
			})
		}
	}
	var addr string
	var front *FrontEnd
	r.Do(func() {
		service.Start()
		r.Dispatcher.AddSource(testkit.EchoClient{Dispatcher: r.Dispatcher})
		front = New(r.Dispatcher, r.Engine, 64<<20, func() bool { return true })
		front.SetDurable(nil, []bool{false, true})
		addr, _ = front.Listen("127.0.0.1:0", 20)
	})
	var text strings.Builder
	ask := func(key, body string) {
		t.Helper()
		request := fmt.Sprintf("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: id\r\nConnection: close\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		_, in := testkit.Connect(t, addr, request)
		answer, err := io.ReadAll(in)
		if err != nil {
			t.Error(err)
		}
		text.WriteString("> " + key + ", " + body + "\n" + string(answer) + "\n")
	}
	ask("key-1", "done") // the other process has the store
	r.Do(func() { front.SetDurable(service, []bool{false, true}) })
	ask("key-1", "done")
	ask("key-1", "done")
	ask("key-1", "done again")
	ask("a b", "done")
	ask("key-2", "hold")
	ask("key-3", "discard")
	ask("key-4", "lost")
	testkit.CompareGolden(t, "kept.golden", text.String())
}
