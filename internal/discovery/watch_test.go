package discovery

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A line that cannot be read tells nothing: the list is as old as before.
func TestMalformedLineDoesNotRenewList(t *testing.T) {
	for name, bad := range map[string]string{"no JSON": "{]\n", "a host without a name": `{"seq":44,"hosts":[{"host":"","health":"ready"}]}` + "\n"} {
		t.Run(name, func(t *testing.T) {
			r := testkit.NewRig(t).WithSubscription(t, 1, time.Hour)
			addr, calls := listenForCalls(t)
			registry := followDiscovery(t, r, addr)
			c := testkit.Receive(t, calls)
			io.WriteString(c, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n"))
			confirmedAt := time.Duration(0)
			testkit.Until(t, "the list is heard", func() (heard bool) {
				r.Do(func() { heard, confirmedAt = registry.workers["new"] != nil, registry.tracker.ConfirmedAt() })
				return heard
			})
			io.WriteString(c, testkit.Chunk(bad))
			testkit.Until(t, "the line is refused", func() (refused bool) {
				r.Do(func() { refused = registry.watch.conn == nil || registry.watch.generation > 2 })
				return refused
			})
			r.Do(func() {
				if registry.tracker.ConfirmedAt() != confirmedAt {
					t.Errorf("heard at %v, not at %v", registry.tracker.ConfirmedAt(), confirmedAt)
				}
			})
		})
	}
}

// A watch may tell an object on one line or on many, several in a chunk, one over
// several chunks, and larger than a buffer.
func TestWatchAcceptsAnyFraming(t *testing.T) {
	type list struct {
		Seq   int64      `json:"seq"`
		Whole bool       `json:"whole"`
		Hosts []endpoint `json:"hosts"`
	}
	makeList := func(seq int64, whole bool, n int, health string) list {
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
			addr, calls := listenForCalls(t)
			var registry *Registry
			r.Do(func() {
				registry = newRegistry(r, addr)
				registry.dispatcher.Settings.DrainGrace = time.Minute // the call has its time
				if err := registry.LoadInitial(nil); err != nil {
					t.Error(err)
				}
			})
			var text string
			for _, l := range []list{makeList(2, true, many, "ready"), makeList(3, false, 2, "draining"), makeList(4, false, 1, "gone")} {
				raw, _ := json.MarshalIndent(l, "", indent)
				if indent == "" {
					raw, _ = json.Marshal(l)
				}
				text += string(raw) + "\n"
			}
			c := testkit.Receive(t, calls)
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
