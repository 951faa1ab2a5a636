package handover

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// goldenMessages returns messages of every kind, in the order of the golden file.
func goldenMessages() []Message {
	outOfService := true
	inService := false
	list := json.RawMessage(`{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:8001"}],"age_ms":1250}`)
	return []Message{
		{Greeting: &Greeting{Discovery: "127.0.0.1:7000", List: list, OutOfService: true, IDKey: []byte("\x00\x01key of 16 byte\xff")}},
		{Greeting: &Greeting{List: json.RawMessage(`null`)}},
		{Ready: true},
		{Limits: &Limits{Descriptors: 768, Memory: 96 << 20}},
		{Limits: &Limits{}},
		{DiscoveryMoved: "127.0.0.1:7001"},
		{List: list},
		{OutOfService: &outOfService},
		{OutOfService: &inService},
		{Reservation: &Reservation{Worker: "s-1", Amount: 0.125}},
		{StoreReleased: true},
	}
}

// goldenIDs are the request ids of the last message in the golden file.
var goldenIDs = []uint64{1, 0x0123456789abcdef, 1<<64 - 1}

// Messages of all kinds are encoded exactly as in the golden file, and the golden file is
// decoded to the same messages. The process at the other end of a link may be of an older
// or newer build.
func TestGoldenMessages(t *testing.T) {
	peer := newTestPeer(t, SocketPath(t.TempDir(), "n"))
	conn, link := peer.connect(t)
	defer conn.Close()
	peer.loop.Post(func() {
		for _, message := range goldenMessages() {
			link.Send(message)
		}
		link.SendIDs(goldenIDs)
	})
	var written bytes.Buffer
	reader := bufio.NewReader(conn)
	for range len(goldenMessages()) + 1 {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			t.Fatal(err)
		}
		written.Write(line)
	}
	goldentest.Compare(t, "messages.jsonl", written.String())
	golden, err := os.ReadFile(filepath.Join("testdata", "messages.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(golden); err != nil {
		t.Fatal(err)
	}
	for i, want := range goldenMessages() {
		if got := receiveValue(t, peer.received); !reflect.DeepEqual(got, want) {
			t.Errorf("message %d decoded as %+v, want %+v", i, got, want)
		}
	}
	last := receiveValue(t, peer.received)
	if ids, err := last.ReadIDs(); err != nil || !reflect.DeepEqual(ids, goldenIDs) {
		t.Errorf("decoded ids %x, error %v", ids, err)
	}
}

// A message with a key that this build does not know, as a newer build may send it, is
// decoded without that key.
func TestGoldenUnknownKeys(t *testing.T) {
	peer := newTestPeer(t, SocketPath(t.TempDir(), "n"))
	conn, _ := peer.connect(t)
	defer conn.Close()
	fmt.Fprintln(conn, `{"key_of_newer_build":{"x":1},"ready":true}`)
	if got := receiveValue(t, peer.received); !reflect.DeepEqual(got, Message{Ready: true}) {
		t.Errorf("decoded as %+v, want only Ready", got)
	}
}

// The name of the socket file must not change, because older and newer builds find each
// other by it.
func TestGoldenSocketPath(t *testing.T) {
	for dispatcher, want := range map[string]string{
		"n0 127.0.0.1:80": "/run/d/hollyyoke-abebc10f165f0118.sock",
		"hollyyoke :7001": "/run/d/hollyyoke-18253651ac8179a5.sock",
	} {
		if got := SocketPath("/run/d", dispatcher); got != want {
			t.Errorf("socket path of dispatcher %q: %q, want %q", dispatcher, got, want)
		}
	}
}
