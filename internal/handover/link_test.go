package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const testTimeout = 20 * time.Second // no test waits that long unless something is broken

// receive returns the next value of a channel, and fails the test after testTimeout.
func receive[T any](t testing.TB, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("nothing received")
	}
	return v
}

// testPeer is a process that listens for a successor, which the test is.
type testPeer struct {
	loop     *eventloop.Loop
	engine   *transport.Engine
	listener net.Listener
	path     string
	links    chan *Link
	received chan Message
	lost     chan bool
}

func newTestPeer(t testing.TB, path string) *testPeer {
	t.Helper()
	p := &testPeer{loop: eventloop.New(), path: path, links: make(chan *Link, 9), received: make(chan Message, 5000), lost: make(chan bool, 9)}
	var err error
	if p.engine, err = transport.NewEngine(p.loop, 100); err != nil {
		t.Fatal(err)
	}
	if p.listener, err = Listen(path); err != nil {
		t.Fatal(err)
	}
	newHandler := func(c *transport.Conn) transport.Handler {
		l := NewLink(p.engine, c, func(m Message) { p.received <- m }, func() { p.lost <- true })
		p.links <- l
		return l
	}
	p.engine.Serve(p.listener, transport.AcceptOptions{NewHandler: newHandler, Limit: 1})
	done := make(chan struct{})
	go func() { p.loop.Run(); close(done) }()
	t.Cleanup(func() { p.loop.Stop(); <-done; p.engine.StopListening() })
	return p
}

// connect connects as the successor, and returns the link of the other end too.
func (p *testPeer) connect(t testing.TB) (net.Conn, *Link) {
	t.Helper()
	conn, err := Dial(p.path, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, receive(t, p.links)
}

// Request ids arrive complete, however many; other text is rejected.
func TestRequestIDs(t *testing.T) {
	p := newTestPeer(t, SocketPath(t.TempDir(), "n"))
	conn, link := p.connect(t)
	defer conn.Close()
	var want, got []uint64
	for i := range 5001 {
		want = append(want, uint64(i)<<40|uint64(i))
	}
	p.loop.Post(func() {
		link.SendIDs(want[:5000])
		link.SendAccepted(want[5000]) // sent after idsDelay
	})
	for in := json.NewDecoder(conn); len(got) < len(want); {
		var m Message
		if err := in.Decode(&m); err != nil {
			t.Fatal(err)
		}
		ids, err := m.ReadIDs()
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, ids...)
	}
	if !reflect.DeepEqual(got, want) {
		t.Error("other ids were received")
	}
	for _, bad := range []string{"x", "AAAA"} {
		if _, err := (&Message{IDs: bad}).ReadIDs(); !errors.Is(err, ErrInvalidIDs) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// FuzzLink checks what a link receives: the messages sent, in order and once each,
// wherever their bytes are cut, until one is no JSON, which ends the link as the end
// of the peer process does. A byte is a step: the message, and where to cut.
func FuzzLink(f *testing.F) {
	f.Add([]byte{0, 17, 34, 51, 68, 85, 200})
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6})
	f.Add([]byte{0, 7})
	out := true
	messages := []Message{
		{Ready: true}, {IDs: "AAAAAAAAAAA="}, {OutOfService: &out}, {Reservation: &Reservation{"w", 0.5}}, {Limits: &Limits{200, 1 << 20}},
		{Greeting: &Greeting{"127.0.0.1:1", json.RawMessage(`{"seq":1}`), true, []byte("key")}},
		{List: json.RawMessage(`{"hosts":["` + strings.Repeat("x", 50000) + `"]}`)},
	}
	p := newTestPeer(f, SocketPath(f.TempDir(), "n"))
	f.Fuzz(func(t *testing.T, steps []byte) {
		conn, _ := p.connect(t)
		sent := 0
		for _, b := range steps[:min(len(steps), 40)] {
			if int(b%8) == len(messages) {
				fmt.Fprintln(conn, `{"ready":`)
				break
			}
			text, _ := json.Marshal(messages[b%8])
			text = append(text, '\n')
			cut := int(b/8) * len(text) / 32
			conn.Write(text[:cut])
			if b >= 128 {
				time.Sleep(time.Millisecond)
			}
			conn.Write(text[cut:])
			sent++
			if got := receive(t, p.received); !reflect.DeepEqual(got, messages[b%8]) {
				t.Fatalf("received %+v, sent %+v", got, messages[b%8])
			}
		}
		conn.Close()
		receive(t, p.lost)
		if n := len(p.received); n > 0 {
			t.Fatalf("%d messages more than the %d sent", n, sent)
		}
	})
}

// A line longer than a buffer ends the link.
func TestLineTooLong(t *testing.T) {
	p := newTestPeer(t, SocketPath(t.TempDir(), "n"))
	conn, _ := p.connect(t)
	defer conn.Close()
	go conn.Write([]byte(strings.Repeat("x", 2*transport.BufferSize)))
	receive(t, p.lost)
}
