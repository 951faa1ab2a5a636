package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// call is what the stand-in for discovery got: a connection and what it asked for.
type call struct {
	net.Conn
	query string
}

// calls are those that come to a stand-in for discovery, which answers none by itself.
func calls(t *testing.T) (addr string, came chan call) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	came = make(chan call, 100)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					came <- call{conn, req.URL.RawQuery}
				}
			}()
		}
	}()
	return ln.Addr().String(), came
}

// Where lists are pushed, what the agent has counts as told, watch or not: it is
// called at the start, however many dispatchers there are, and again and again
// where it is silent, resets the call or has nothing to say, several times in the
// time that a drain leaves.
func TestAgentIsCalledAgainAtOnce(t *testing.T) {
	for _, peers := range []int{1, 300} {
		r := testkit.NewRig(t, func(s *decision.Settings) {
			s.Peers, s.ListPollInterval, s.DrainGrace = peers, 10*time.Second, 500*time.Millisecond
		})
		addr, came := calls(t)
		var registry *Registry
		r.Do(func() {
			registry = newRegistry(r, addr)
			if err := registry.LoadInitial([]byte(`{"seq":41,"hosts":[{"host":"old","dial":"127.0.0.1:9","health":"ready"}]}`)); err != nil {
				t.Error(err)
			}
		})
		end := time.Now().Add(testkit.Patience)
		for i := range 24 { // to wait for seconds, or twice as long each time, takes far more than that
			c := testkit.Receive(t, came)
			if time.Now().After(end) {
				t.Fatalf("%d calls in %v", i, testkit.Patience)
			}
			if c.query != "watch=1&after=41" {
				t.Fatalf("call %d: %s", i, c.query)
			}
			switch i % 4 {
			case 0: // silent
			case 1:
				c.Conn.(*net.TCPConn).SetLinger(0)
				c.Close()
			case 2:
				io.WriteString(c, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
			case 3: // silent after the head
				io.WriteString(c, testkit.WatchHead)
			}
		}
		c := testkit.Receive(t, came)
		for strings.Contains(c.query, "watch") { // the call that stands is the last one
			io.WriteString(c, testkit.WatchHead+testkit.Chunk(`{"seq":43,"whole":true,"hosts":[{"host":"new","dial":"127.0.0.1:9","health":"ready"}]}`+"\n"))
			heard := false
			for end := time.Now().Add(200 * time.Millisecond); !heard && time.Now().Before(end); time.Sleep(time.Millisecond) {
				r.Do(func() {
					heard = registry.workers["new"] != nil && registry.workers["old"] == nil && registry.watch.established
				})
			}
			if heard {
				break
			}
			c = testkit.Receive(t, came)
		}
	}
}

// A watch may tell an object on one line or on many, several in a chunk, one over
// several chunks, and larger than a buffer.
func TestListsInAnyForm(t *testing.T) {
	type list struct {
		Seq   int64      `json:"seq"`
		Whole bool       `json:"whole"`
		Hosts []endpoint `json:"hosts"`
	}
	word := func(seq int64, whole bool, n int, health string) list {
		l := list{Seq: seq, Whole: whole}
		for i := range n {
			l.Hosts = append(l.Hosts, endpoint{Name: fmt.Sprintf("s-%d", i), Address: "127.0.0.1:9", Health: health, Zone: "he\\\"}{re"})
		}
		return l
	}
	const many = 1500 // indented, over 200 KB
	for _, indent := range []string{"", "  "} {
		for _, piece := range []int{1 << 20, 4096, 7} {
			r := testkit.NewRig(t)
			addr, came := calls(t)
			var registry *Registry
			r.Do(func() {
				registry = newRegistry(r, addr)
				registry.dispatcher.Settings.DrainGrace = time.Minute // the call has its time
				if err := registry.LoadInitial(nil); err != nil {
					t.Error(err)
				}
			})
			var text string
			for _, l := range []list{word(2, true, many, "ready"), word(3, false, 2, "draining"), word(4, false, 1, "gone")} {
				raw, _ := json.MarshalIndent(l, "", indent)
				if indent == "" {
					raw, _ = json.Marshal(l)
				}
				text += string(raw) + "\n"
			}
			c := testkit.Receive(t, came)
			out := bufio.NewWriter(c)
			out.WriteString(testkit.WatchHead)
			for at := 0; at < len(text); at += piece {
				out.WriteString(testkit.Chunk(text[at:min(at+piece, len(text))]))
			}
			out.Flush()
			testkit.Until(t, fmt.Sprintf("indent %q in pieces of %d is read", indent, piece), func() (read bool) {
				r.Do(func() { read = registry.watch.version == 4 })
				return read
			})
			r.Do(func() {
				if n := len(registry.workers); n != many-1 || registry.workers["s-0"] != nil || registry.workers["s-1"].State != decision.Draining || registry.workers["s-2"].State != decision.Running {
					t.Errorf("indent %q in pieces of %d: %d hosts", indent, piece, n)
				}
			})
		}
	}
}

// FuzzObjects: objects come out of a stream as they went in, however it is cut.
func FuzzObjects(f *testing.F) {
	f.Add([]byte(`{"a":{"b":[1,"}{"]}}`+"\n\n"+`{"c":"\\\""}{"d":[]}`), byte(1))
	f.Add([]byte("{\n \"a\": 1\n}\n\r\n[1]\n"), byte(3))
	f.Fuzz(func(t *testing.T, text []byte, cut byte) {
		read := func(piece int) (got []string, failed bool) {
			var o objectSplitter
			for at := 0; at < len(text); at += piece {
				for data := text[at:min(at+piece, len(text))]; len(data) > 0; {
					object, used, whole, err := o.next(data)
					if err != nil {
						return got, true
					}
					if used == 0 {
						t.Fatalf("nothing is taken of %q", data)
					}
					if data = data[used:]; whole {
						got = append(got, string(object))
					}
				}
			}
			return got, false
		}
		at1, failed1 := read(max(len(text), 1))
		atN, failedN := read(int(cut)%64 + 1)
		if fmt.Sprint(at1, failed1) != fmt.Sprint(atN, failedN) {
			t.Fatalf("%q at once: %q, %v; in pieces of %d: %q, %v", text, at1, failed1, cut%64+1, atN, failedN)
		}
		whole := json.NewDecoder(bytes.NewReader(text))
		for _, object := range at1 {
			if object == "" {
				continue
			}
			var want json.RawMessage
			if err := whole.Decode(&want); err != nil {
				break // its reader will say so
			}
			if string(want) != object {
				t.Fatalf("%q: %q, want %q", text, object, want)
			}
		}
	})
}
