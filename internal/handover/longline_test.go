package handover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// Guards against a link that ends because of a long endpoint list: the list of some 400 workers was longer than a
// buffer, and ended the link. The successor then started without its predecessor, and both processes used all limits.
func TestEndpointListOfALargeFleetArrives(t *testing.T) {
	const workers = 3200
	var hosts []string
	for i := range workers {
		hosts = append(hosts, fmt.Sprintf(
			`{"host":"s-%08x","dial":"10.0.0.1:80","site":"here","class":"m","block":1,"health":"ready","share":1,"born_ms":1796104801250}`, i))
	}
	list := json.RawMessage(`{"seq":1,"whole":true,"hosts":[` + strings.Join(hosts, ",") + `]}`)
	peer := newTestPeer(t, SocketPath(t.TempDir(), "n"))
	conn, _ := peer.connect(t)
	defer conn.Close()
	for _, message := range []Message{{Greeting: &Greeting{Discovery: "127.0.0.1:1", List: list, IDKey: []byte("key")}}, {Ready: true}} {
		line, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		go conn.Write(append(line, '\n'))
		select {
		case got := <-peer.received:
			if message.Greeting != nil && (got.Greeting == nil || !bytes.Equal(got.Greeting.List, list)) || got.Ready != message.Ready {
				t.Errorf("the message received differs from the %d bytes sent", len(line))
			}
		case <-peer.lost:
			t.Fatalf("the link ended with a line of %d bytes", len(line))
		}
	}
}

// Guards against a peer that makes this process buffer a line without end.
func TestEndlessMessageEndsTheLink(t *testing.T) {
	peer := newTestPeer(t, SocketPath(t.TempDir(), "n"))
	conn, _ := peer.connect(t)
	defer conn.Close()
	go func() {
		fmt.Fprint(conn, "{")
		for range maxLineBytes/len(filler) + 2 {
			if _, err := conn.Write(filler); err != nil {
				return
			}
		}
	}()
	receiveValue(t, peer.lost)
}

// filler is a part of a line that never ends.
var filler = bytes.Repeat([]byte("x"), 1<<16)
