package admin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const patience = 20 * time.Second // no test waits that long unless something is broken

// carrier does at once what a job's id says; others' is a source of its own.
type carrier struct{ core *dispatch.Dispatcher }

func (c carrier) Start(f dispatch.Attempt) {
	c.core.AttemptSent(f.Handle)
	c.core.AttemptSent(f.Handle) // said twice, it counts once
	switch f.Request.ID[:4] {
	case "done":
		c.core.AttemptEnded(f.Handle, decision.Completed, decision.LoadReport{}, nil)
	case "fail":
		c.core.AttemptEnded(f.Handle, decision.Failed, decision.LoadReport{}, nil)
	case "full":
		c.core.AttemptEnded(f.Handle, decision.Saturated, decision.LoadReport{}, nil)
	}
}
func (carrier) Cancel(uint64) bool { return false }
func (carrier) CloseIdle(string)   {}
func (carrier) CheckHealth(string) {}
func (carrier) Subscribe()         {}

type others struct{ carrier }

type deaf struct{}

func (deaf) Respond(uint64, dispatch.Response) {}

// rig is an API on a loop of its own.
type rig struct {
	core  *dispatch.Dispatcher
	addr  string
	ready bool
	out   []bool
	no    error
}

func newRig(t testing.TB) *rig {
	t.Helper()
	c, err := dispatch.New(eventloop.New(), decision.Settings{
		Classes: []decision.Class{
			{Name: "status-check", PriorityWeight: 3, LatencyObjective: time.Second, Deadline: 5 * time.Second},
			{Name: "renewal", PriorityWeight: 5, LatencyObjective: time.Second, Deadline: 8 * time.Second, Idempotency: decision.NonIdempotent},
		},
		Tick: time.Millisecond, MaxAttempts: 1,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	e, err := transport.NewEngine(c.Loop, 200)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{core: c, ready: true}
	c.AddSource(carrier{c})
	api := New(c, e, carrier{c}, Operations{
		Ready:           func() bool { return r.ready },
		SetOutOfService: func(out bool) error { r.out = append(r.out, out); return r.no },
	})
	if r.addr, err = api.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { c.Loop.Run(); close(done) }()
	t.Cleanup(func() { c.Loop.Stop(); <-done; e.StopListening() })
	return r
}

func (r *rig) do(f func()) {
	done := make(chan struct{})
	r.core.Loop.Post(func() { f(); close(done) })
	<-done
}

func (r *rig) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { conn.Close() })
	return conn
}

// call sends a call's bytes and returns what comes until the connection ends.
func (r *rig) call(t testing.TB, text string, cuts ...int) (int, string) {
	t.Helper()
	conn := r.dial(t)
	at := 0
	for _, cut := range cuts {
		cut = min(max(cut, at), len(text))
		conn.Write([]byte(text[at:cut]))
		at = cut
	}
	conn.Write([]byte(text[at:]))
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || !resp.Close {
		t.Errorf("%q: %v, closes: %v", text, err, resp.Close)
	}
	if rest, _ := io.ReadAll(in); len(rest) > 0 {
		t.Errorf("%q: behind the answer: %q", text, rest)
	}
	return resp.StatusCode, string(body)
}

// A call, and its status while all is well.
var calls = []struct {
	text   string
	status int
}{
	{"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", 200},
	{"GET /control/counters HTTP/1.1\r\n\r\n", 200},
	{"GET /control/counters?x=y HTTP/1.0\r\n\r\n", 200},
	{"PUT /control/out-of-service HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200},
	{"PUT /control/in-service HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 200},
	{"GET /control/out-of-service HTTP/1.1\r\n\r\n", 405},
	{"POST /control/in-service HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
	{"PUT /control/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
	{"DELETE /control/counters HTTP/1.1\r\n\r\n", 405},
	{"GET / HTTP/1.1\r\n\r\n", 404},
	{"GET /control HTTP/1.1\r\n\r\n", 404},
	{"PUT /control/out-of-service/ HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404},
	{"GET /healthz HTTP/1.1\r\n\r\n", 404},
	{"nonsense\r\n\r\n", 400},
	{"GET /control/ready HTTP/1.1\n\n", 400},
	{"GET /control/ready HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
	{"GET /control/ready HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413},
	{"GET /control/ready HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 7000) + "\r\n\r\n", 431},
}

// FuzzDoor checks the API against its table: whatever the calls, wherever their
// bytes are cut, and however many callers hold the line meanwhile, each call has
// its one answer. Two bytes are a step: the call, or 255 for a caller that says
// nothing and 254 for half a call, and where to cut.
func FuzzDoor(f *testing.F) {
	for i := range calls {
		f.Add([]byte{byte(i), byte(i * 14)})
	}
	f.Add([]byte(strings.Repeat("\xff\x00\xfe\x30", 40) + "\x00\x10\x01\x00"))
	r := newRig(f)
	f.Fuzz(func(t *testing.T, steps []byte) {
		for i := 0; i+1 < len(steps) && i < 200; i += 2 {
			cut := int(steps[i+1])
			switch steps[i] {
			case 255:
				r.dial(t)
			case 254:
				r.dial(t).Write([]byte(calls[0].text[:min(1+cut, len(calls[0].text)-1)]))
			default:
				x := calls[int(steps[i])%len(calls)]
				if status, body := r.call(t, x.text, cut*len(x.text)/256); status != x.status {
					t.Fatalf("%q: %d %q, want %d", x.text, status, body, x.status)
				}
			}
		}
	})
}

// The API says no where its desk does, and hands on what is wanted.
func TestServiceAndReady(t *testing.T) {
	r := newRig(t)
	r.do(func() { r.ready, r.no = false, errors.New("it is ending") })
	if status, _ := r.call(t, calls[0].text); status != 503 {
		t.Errorf("not ready: %d", status)
	}
	for _, i := range []int{3, 4} {
		if status, body := r.call(t, calls[i].text); status != 409 || body != "it is ending\n" {
			t.Errorf("refused: %d %q", status, body)
		}
	}
	r.do(func() {
		if fmt.Sprint(r.out) != "[true false]" {
			t.Errorf("wanted: %v", r.out)
		}
	})
}

// Half a call is told so in the end, and a silent one is closed.
func TestHalfACall(t *testing.T) {
	r := newRig(t)
	half, silent := r.dial(t), r.dial(t)
	half.Write([]byte("GET /control/re"))
	if resp, err := http.ReadResponse(bufio.NewReader(half), nil); err != nil || resp.StatusCode != 408 {
		t.Errorf("half a call: %v, %v", resp, err)
	}
	if n, err := silent.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("a silent one: %d, %v", n, err)
	}
}

// Each final answer counts once under its class, those of the fronts' own too;
// forwards are attempts that left, not those assigned; and only what the
// members' source lists is discovered.
func TestFigures(t *testing.T) {
	r := newRig(t)
	r.do(func() {
		c := r.core
		c.UpdateWorkers(carrier{c}, decision.ListSnapshot, []decision.Endpoint{
			{Name: "a"}, {Name: "b"}, {Name: "d", State: decision.Draining},
		})
		other := others{carrier{c}}
		c.UpdateWorkers(other, decision.ListSnapshot, []decision.Endpoint{{Name: "other", Kind: 5}})
		for i, id := range []string{"done-1", "done-2", "full-1", "hold-1", "hold-2"} {
			c.Accept(deaf{}, uint64(i), dispatch.Request{ID: id, Class: i % 2})
		}
		c.Accept(deaf{}, 9, dispatch.Request{ID: "fail-1", Class: 1})
		c.Cancel(c.Accept(deaf{}, 10, dispatch.Request{ID: "hold-3", Class: 1}))
		c.CountResponse(0, dispatch.Rejected)
	})
	_, body := r.call(t, calls[1].text)
	var got map[string]any
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	want := `map[aborted:map[renewal:1 status-check:0] declined:map[renewal:0 status-check:2] discovered:3 ejected:0 ` +
		`forwards:7 outstanding:2 succeeded:map[renewal:1 status-check:1]]`
	if fmt.Sprint(got) != want {
		t.Errorf("figures %v,\n   want %v", got, want)
	}
}

// The guard's counts are told by rule, apart from the figures, whose keys stay.
func TestInvariants(t *testing.T) {
	r := newRig(t)
	r.do(func() {
		r.core.Guard.MaySend(invariant.Send{Now: 2, Deadline: 1})
		r.core.Guard.CheckClosed(true, "a session")
	})
	_, body := r.call(t, "GET /control/invariants HTTP/1.1\r\nHost: d\r\n\r\n")
	if want := `{"prevented":{"deadline":1},"violated":{"unanswered":1}}`; strings.TrimSpace(body) != want {
		t.Errorf("%q, not %q", body, want)
	}
}
