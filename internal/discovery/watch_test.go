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

// A line that cannot be read does not renew the list.
func TestMalformedLineDoesNotRenewList(t *testing.T) {
	for name, line := range map[string]string{"no JSON": "{]\n", "an endpoint without a name": `{"seq":44,"hosts":[{"host":"","health":"ready"}]}` + "\n"} {
		t.Run(name, func(t *testing.T) {
			rig := testkit.NewRig(t).WithSubscription(t, 1, time.Hour)
			addr, calls := listenForCalls(t)
			registry := followDiscovery(t, rig, addr)
			call := testkit.Receive(t, calls)
			io.WriteString(call, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n"))
			confirmedAt := time.Duration(0)
			testkit.Until(t, "the list is applied", func() (applied bool) {
				rig.Do(func() {
					applied = registry.workers["new"] != nil
					confirmedAt = registry.freshness.tracker.LastContact()
				})
				return applied
			})
			io.WriteString(call, testkit.Chunk(line))
			testkit.Until(t, "the line is rejected", func() (rejected bool) {
				rig.Do(func() { rejected = registry.watch.conn == nil || registry.watch.generation > 2 })
				return rejected
			})
			rig.Do(func() {
				if registry.freshness.tracker.LastContact() != confirmedAt {
					t.Errorf("confirmed at %v, not at %v", registry.freshness.tracker.LastContact(), confirmedAt)
				}
			})
		})
	}
}

// An object of the watch may be on one line or many, several may share a chunk, and one may span chunks and be larger
// than a buffer.
func TestWatchAcceptsAnyFraming(t *testing.T) {
	type list struct {
		Version   int64      `json:"seq"`
		Snapshot  bool       `json:"whole"`
		Endpoints []endpoint `json:"hosts"`
	}
	makeList := func(version int64, snapshot bool, n int, health string) list {
		l := list{Version: version, Snapshot: snapshot}
		for i := range n {
			l.Endpoints = append(l.Endpoints, endpoint{Name: fmt.Sprintf("s-%d", i), Address: "127.0.0.1:9", Health: health, Zone: "he\\\"}{re"})
		}
		return l
	}
	const many = 1500 // indented, over 200 KB
	for _, indent := range []string{"", "  "} {
		for _, piece := range []int{1 << 20, 4096, 7} {
			rig := testkit.NewRig(t)
			addr, calls := listenForCalls(t)
			var registry *Registry
			rig.Do(func() {
				registry = newRegistry(rig, addr)
				registry.dispatcher.Settings.DrainGrace = time.Minute // the call does not time out
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
			call := testkit.Receive(t, calls)
			out := bufio.NewWriter(call)
			out.WriteString(testkit.WatchHead)
			for at := 0; at < len(text); at += piece {
				out.WriteString(testkit.Chunk(text[at:min(at+piece, len(text))]))
			}
			out.Flush()
			testkit.Until(t, fmt.Sprintf("indent %q in pieces of %d is read", indent, piece), func() (read bool) {
				rig.Do(func() { read = registry.watch.version == 4 })
				return read
			})
			rig.Do(func() {
				if n := len(registry.workers); n != many-1 || registry.workers["s-0"] != nil || registry.workers["s-1"].State != decision.Draining || registry.workers["s-2"].State != decision.Running {
					t.Errorf("indent %q in pieces of %d: %d workers", indent, piece, n)
				}
			})
		}
	}
}
