package handover

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const patience = 20 * time.Second // no test waits that long unless something is broken

func receive[T any](t testing.TB, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return v
}

// pair is an engine with a link whose other end the test holds.
type pair struct {
	loop  *eventloop.Loop
	e     *transport.Engine
	ln    net.Listener
	path  string
	links chan *Link
	heard chan Message
	lost  chan bool
}

func newPair(t testing.TB, path string) *pair {
	t.Helper()
	p := &pair{loop: eventloop.New(), path: path, links: make(chan *Link, 9), heard: make(chan Message, 5000), lost: make(chan bool, 9)}
	var err error
	if p.e, err = transport.NewEngine(p.loop, 100); err != nil {
		t.Fatal(err)
	}
	if p.ln, err = Listen(path); err != nil {
		t.Fatal(err)
	}
	p.e.Serve(p.ln, 1, false, func(c *transport.Conn) transport.Handler {
		l := NewLink(p.e, c, func(m Message) { p.heard <- m }, func() { p.lost <- true })
		p.links <- l
		return l
	}, func() {})
	done := make(chan struct{})
	go func() { p.loop.Run(); close(done) }()
	t.Cleanup(func() { p.loop.Stop(); <-done; p.e.StopListening() })
	return p
}

func (p *pair) call(t testing.TB) (net.Conn, *Link) {
	t.Helper()
	conn, err := Dial(p.path, patience)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(patience))
	return conn, receive(t, p.links)
}

// The two meet whatever the path's length, and in place of a file that a dead
// process left; without a listener or a folder there is nobody to call.
func TestMeet(t *testing.T) {
	folder, err := os.MkdirTemp("", "y")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(folder)
	long := filepath.Join(folder, strings.Repeat("long-", 30))
	os.Mkdir(long, 0o700)
	for _, dir := range []string{folder, long} {
		path := SocketPath(dir, "n0 127.0.0.1:80")
		if path == SocketPath(dir, "n1 127.0.0.1:80") {
			t.Error("two dispatchers meet in one place")
		}
		if _, err := Dial(path, patience); err == nil {
			t.Errorf("%s: somebody answers where nobody is", path)
		}
		dead, err := Listen(path)
		if err != nil {
			t.Fatal(err)
		}
		dead.Close()
		if _, err := os.Lstat(path); err != nil {
			t.Fatalf("nothing is left of a dead process: %v", err)
		}
		if _, err := Dial(path, patience); err == nil {
			t.Errorf("%s: a dead process answers", path)
		}
		p := newPair(t, path)
		conn, _ := p.call(t)
		conn.Close()
		receive(t, p.lost)
	}
	if SocketPath("", "n0") != "" {
		t.Error("a place without a folder")
	}
	if _, err := Dial("", patience); err == nil {
		t.Error("a call without a folder")
	}
	if _, err := Listen(""); err == nil {
		t.Error("a listener without a folder")
	}
}

// Names arrive whole, however many; what cannot be read as names is no name.
func TestNames(t *testing.T) {
	p := newPair(t, SocketPath(t.TempDir(), "n"))
	conn, l := p.call(t)
	defer conn.Close()
	var want, got []uint64
	for i := range 5001 {
		want = append(want, uint64(i)<<40|uint64(i))
	}
	p.loop.Post(func() {
		l.SendIDs(want[:5000])
		l.SendAccepted(want[5000]) // told soon, unasked
	})
	for in := json.NewDecoder(conn); len(got) < len(want); {
		var m Message
		if err := in.Decode(&m); err != nil {
			t.Fatal(err)
		}
		names, err := m.ReadIDs()
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, names...)
	}
	if !reflect.DeepEqual(got, want) {
		t.Error("other names came")
	}
	for _, bad := range []string{"x", "AAAA"} {
		if _, err := (&Message{IDs: bad}).ReadIDs(); err == nil {
			t.Errorf("%q is read as names", bad)
		}
	}
}

// FuzzLink checks what a link hears: the messages sent, in order and once each,
// wherever their bytes are cut, until one makes no sense, which ends the link as
// the other process's end does. A byte is a step: the message, and where to cut.
func FuzzLink(f *testing.F) {
	f.Add([]byte{0, 17, 34, 51, 68, 85, 200})
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6})
	f.Add([]byte{0, 7})
	out := true
	words := []Message{
		{Ready: true}, {IDs: "AAAAAAAAAAA="}, {OutOfService: &out}, {Reservation: &Reservation{"w", 0.5}}, {Limits: &Limits{200, 1 << 20}},
		{Greeting: &Greeting{"127.0.0.1:1", json.RawMessage(`{"seq":1}`), true, []byte("key")}},
		{List: json.RawMessage(`{"hosts":["` + strings.Repeat("x", 50000) + `"]}`)},
	}
	p := newPair(f, SocketPath(f.TempDir(), "n"))
	f.Fuzz(func(t *testing.T, steps []byte) {
		conn, _ := p.call(t)
		sent := 0
		for _, b := range steps[:min(len(steps), 40)] {
			if int(b%8) == len(words) {
				fmt.Fprintln(conn, `{"ready":`)
				break
			}
			text, _ := json.Marshal(words[b%8])
			text = append(text, '\n')
			cut := int(b/8) * len(text) / 32
			conn.Write(text[:cut])
			if b >= 128 {
				time.Sleep(time.Millisecond)
			}
			conn.Write(text[cut:])
			sent++
			if got := receive(t, p.heard); !reflect.DeepEqual(got, words[b%8]) {
				t.Fatalf("heard %+v, said %+v", got, words[b%8])
			}
		}
		conn.Close()
		receive(t, p.lost)
		if n := len(p.heard); n > 0 {
			t.Fatalf("%d messages more than the %d sent", n, sent)
		}
	})
}

// A line that never ends is given up, and takes up no more than a buffer.
func TestEndlessLine(t *testing.T) {
	p := newPair(t, SocketPath(t.TempDir(), "n"))
	conn, _ := p.call(t)
	defer conn.Close()
	go conn.Write([]byte(strings.Repeat("x", 2*transport.BufferSize)))
	receive(t, p.lost)
}
