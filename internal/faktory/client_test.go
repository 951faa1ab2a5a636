package faktory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// The clients and servers of these tests are written from the public
// specification of the protocol: a producer, a worker, and an upstream server
// with reservations.

const testTimeout = 20 * time.Second // no test waits that long unless something is broken

// openFront runs a front end with the text of an operator's file, and returns
// its address. adjust, which may be nil, changes the settings.
func openFront(t testing.TB, toml string, adjust func(*decision.Settings)) (address string, dispatcher *dispatch.Dispatcher) {
	t.Helper()
	settings := decision.Settings{
		Classes: []decision.Class{
			{Name: "status-check", PriorityWeight: 3, LateWeight: 0.25, LatencyObjective: 4 * time.Second, Deadline: 5 * time.Second},
			{Name: "renewal", PriorityWeight: 5, LateWeight: 0.5, LatencyObjective: 4 * time.Second, Deadline: 8 * time.Second, Idempotency: decision.NonIdempotent},
		},
		Tick: time.Millisecond, MaxAttempts: 3, Cancellation: true, StartNotices: true, MaxRetryAfter: 2 * time.Second,
		SlowStartFloor: 0.33, SlowStartDuration: 8600 * time.Millisecond, OverloadMultiple: 4, OverloadWindow: time.Second,
		FreeSlots: "x0", DrainGrace: 500 * time.Millisecond,
	}
	if adjust != nil {
		adjust(&settings)
	}
	path := filepath.Join(t.TempDir(), "faktory.toml")
	if err := os.WriteFile(path, []byte(toml), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := ReadConfig(path, &settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := Prepare(&settings); err != nil {
		t.Fatal(err)
	}
	loop := eventloop.New()
	if dispatcher, err = dispatch.New(loop, settings, 1); err != nil {
		t.Fatal(err)
	}
	engine, err := transport.NewEngine(loop, 512)
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.Log = func(text string) {
		if a, ok := strings.CutPrefix(text, "faktory: listening on "); ok {
			address = a
		}
	}
	f, err := Open(dispatcher, engine, config, 200, nil)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	t.Cleanup(func() { loop.Stop(); <-done; f.Close(); engine.StopListening() })
	return address, dispatcher
}

// serverConfig is an operator's file of the server role alone.
const serverConfig = "listen = \"127.0.0.1:0\"\n"

// client is a connection of a producer or a worker.
type client struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

// dial connects and says HELLO.
func dial(t testing.TB, addr string, h hello) *client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * testTimeout))
	p := &client{t, conn, bufio.NewReader(conn)}
	if hi, _ := p.reply(); !strings.HasPrefix(hi, "+HI {") {
		t.Fatalf("greeting %q", hi)
	}
	h.Version = 2
	raw, _ := json.Marshal(h)
	if got := p.do("HELLO " + string(raw)); got != "+OK" {
		t.Fatalf("HELLO: %q", got)
	}
	return p
}

// reply reads one reply: its line, or the text of a bulk string.
func (p *client) reply() (string, error) {
	line, err := p.reader.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	var n int
	if _, bulk := fmt.Sscanf(line, "$%d", &n); err != nil || bulk != nil || n < 0 {
		return line, err
	}
	text := make([]byte, n+2)
	_, err = io.ReadFull(p.reader, text)
	return string(text[:n]), err
}

// do sends a command and returns its answer.
func (p *client) do(command string) string {
	p.conn.Write([]byte(command + "\r\n"))
	got, err := p.reply()
	if err != nil {
		return "broken: " + err.Error()
	}
	return got
}

// fetch fetches until there is a job.
func (p *client) fetch(queues string) string {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if got := p.do("FETCH " + queues); got != "$-1" {
			return got
		}
	}
	p.t.Fatal("no job")
	return ""
}

// pushCommand returns a PUSH; custom holds the fields of its custom object.
func pushCommand(jid, class, custom string) string {
	if custom == "" {
		custom = `"effort_us":20000`
	}
	return fmt.Sprintf(`PUSH {"jid":%q,"queue":%q,"jobtype":"x","args":[1],"custom":{%s}}`, jid, class, custom)
}

func jidOf(text string) string {
	var w work
	json.Unmarshal([]byte(text), &w)
	return w.Jid
}

// pushAsync pushes on a connection of its own and returns where the answer comes.
func pushAsync(t *testing.T, addr, command string) chan string {
	got := make(chan string, 1)
	p := dial(t, addr, hello{})
	go func() { got <- p.do(command) }()
	return got
}

func awaitAnswer(t *testing.T, got chan string) string {
	t.Helper()
	select {
	case s := <-got:
		return s
	case <-time.After(testTimeout):
		t.Fatal("no answer")
		return ""
	}
}

const bothQueues = "status-check renewal"

// onLoop runs f on the loop's goroutine.
func onLoop(t *testing.T, c *dispatch.Dispatcher, f func()) {
	t.Helper()
	done := make(chan struct{})
	c.Loop.Post(func() { f(); close(done) })
	<-done
}
