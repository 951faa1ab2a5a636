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

const testTimeout = 20 * time.Second // reached only if a test fails

// receiveValue returns the next value of a channel, and fails the test after testTimeout.
func receiveValue[T any](t testing.TB, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(testTimeout):
		t.Fatal("nothing received")
	}
	return value
}

// testPeer acts as a predecessor, which listens for a successor. The test acts as the
// successor.
type testPeer struct {
	loop     *eventloop.Loop
	engine   *transport.Engine
	path     string
	links    chan *Link    // one for each connection
	received chan Message  // on all links
	lost     chan struct{} // a value for each link that has ended
}

func newTestPeer(t testing.TB, path string) *testPeer {
	t.Helper()
	peer := &testPeer{
		loop:     eventloop.New(),
		path:     path,
		links:    make(chan *Link, 9),
		received: make(chan Message, 5000),
		lost:     make(chan struct{}, 9),
	}
	engine, err := transport.NewEngine(peer.loop, 100)
	if err != nil {
		t.Fatal(err)
	}
	peer.engine = engine
	listener, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	engine.Serve(listener, transport.AcceptOptions{NewHandler: peer.accept, Limit: 1})
	stopped := make(chan struct{})
	go func() {
		peer.loop.Run()
		close(stopped)
	}()
	t.Cleanup(func() {
		peer.loop.Stop()
		<-stopped
		engine.StopListening()
	})
	return peer
}

// accept returns a link for a new connection. It runs on the loop.
func (p *testPeer) accept(conn *transport.Conn) transport.Handler {
	onMessage := func(message Message) { p.received <- message }
	onLost := func() { p.lost <- struct{}{} }
	link := NewLink(p.engine, conn, onMessage, onLost)
	p.links <- link
	return link
}

// connect connects as the successor, and returns the connection and the predecessor's link.
func (p *testPeer) connect(t testing.TB) (net.Conn, *Link) {
	t.Helper()
	conn, err := Dial(p.path, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, receiveValue(t, p.links)
}

// All request ids arrive in order, even if they take several lines. ReadIDs rejects text that
// does not encode ids.
func TestRequestIDs(t *testing.T) {
	peer := newTestPeer(t, SocketPath(t.TempDir(), "n"))
	conn, link := peer.connect(t)
	defer conn.Close()
	const sentAtOnce = 5000
	var sent []uint64
	for i := range uint64(sentAtOnce + 1) {
		sent = append(sent, i<<40|i)
	}
	peer.loop.Post(func() {
		link.SendIDs(sent[:sentAtOnce])
		link.SendAccepted(sent[sentAtOnce]) // sent after idsBatchDelay
	})
	var received []uint64
	decoder := json.NewDecoder(conn)
	for len(received) < len(sent) {
		var message Message
		if err := decoder.Decode(&message); err != nil {
			t.Fatal(err)
		}
		ids, err := message.ReadIDs()
		if err != nil {
			t.Fatal(err)
		}
		received = append(received, ids...)
	}
	if !reflect.DeepEqual(received, sent) {
		t.Error("the ids received differ from those sent")
	}
	for _, bad := range []string{"x", "AAAA"} {
		if _, err := (&Message{IDs: bad}).ReadIDs(); !errors.Is(err, ErrInvalidIDs) {
			t.Errorf("error for the ids %q: %v", bad, err)
		}
	}
}

// fuzzMessages returns the messages that FuzzLink sends.
func fuzzMessages() []Message {
	out := true
	return []Message{
		{Ready: true},
		{IDs: "AAAAAAAAAAA="},
		{OutOfService: &out},
		{Reservation: &Reservation{Worker: "w", Amount: 0.5}},
		{Limits: &Limits{Descriptors: 200, Memory: 1 << 20}},
		{Greeting: &Greeting{
			Discovery:    "127.0.0.1:1",
			List:         json.RawMessage(`{"seq":1}`),
			OutOfService: true,
			IDKey:        []byte("key"),
		}},
		{List: json.RawMessage(`{"hosts":["` + strings.Repeat("x", 50000) + `"]}`)},
	}
}

// fuzzStep encodes a step of FuzzLink. The lower three bits are the index of a message; the
// index after the last message stands for a line that is not JSON. The upper five bits encode
// where the line is split. If the highest bit is set, there is a pause between the two parts.
type fuzzStep byte

func (s fuzzStep) message() int { return int(s % 8) }

func (s fuzzStep) cut(length int) int { return int(s/8) * length / 32 }

func (s fuzzStep) pauses() bool { return s >= 128 }

// write writes a line in two parts, with a pause between them if the step has one.
func (s fuzzStep) write(conn net.Conn, line []byte) {
	cut := s.cut(len(line))
	conn.Write(line[:cut])
	if s.pauses() {
		time.Sleep(time.Millisecond)
	}
	conn.Write(line[cut:])
}

// FuzzLink checks that a link receives each message once and in order, wherever its bytes
// are split, and that onLost is called after a line that is not JSON and after the peer has
// closed the connection.
func FuzzLink(f *testing.F) {
	const maxSteps = 40
	f.Add([]byte{0, 17, 34, 51, 68, 85, 200})
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6})
	f.Add([]byte{0, 7})
	messages := fuzzMessages()
	peer := newTestPeer(f, SocketPath(f.TempDir(), "n"))
	f.Fuzz(func(t *testing.T, steps []byte) {
		conn, _ := peer.connect(t)
		sent := 0
		for _, code := range steps[:min(len(steps), maxSteps)] {
			step := fuzzStep(code)
			if step.message() == len(messages) {
				fmt.Fprintln(conn, `{"ready":`)
				break
			}
			message := messages[step.message()]
			line, _ := json.Marshal(message)
			step.write(conn, append(line, '\n'))
			sent++
			if got := receiveValue(t, peer.received); !reflect.DeepEqual(got, message) {
				t.Fatalf("received %+v, sent %+v", got, message)
			}
		}
		conn.Close()
		receiveValue(t, peer.lost)
		if more := len(peer.received); more > 0 {
			t.Fatalf("received %d messages more than the %d that were sent", more, sent)
		}
	})
}

// Bytes that cannot be the beginning of a message end the link even before their line is
// complete.
func TestInvalidLineEndsTheLink(t *testing.T) {
	peer := newTestPeer(t, SocketPath(t.TempDir(), "n"))
	conn, _ := peer.connect(t)
	defer conn.Close()
	go conn.Write([]byte(strings.Repeat("x", 2*transport.BufferSize)))
	receiveValue(t, peer.lost)
}
