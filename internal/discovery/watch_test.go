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

// A line that is invalid does not confirm the list.
func TestInvalidLineDoesNotConfirmList(t *testing.T) {
	for name, line := range map[string]string{
		"no JSON":                    "{]\n",
		"an endpoint without a name": `{"seq":44,"hosts":[{"host":"","health":"ready"}]}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			rig := testkit.NewRig(t).WithSubscription(t, 1, time.Hour)
			addr, calls := listenForCalls(t)
			registry := followDiscovery(t, rig, addr)
			call := testkit.Receive(t, calls)
			call.sendLaterSnapshot()
			confirmedAt := time.Duration(0)
			waitOnLoop(t, rig, "the list is applied", func() bool {
				confirmedAt = registry.freshness.tracker.ConfirmedAt()
				return registry.workers["new"] != nil
			})
			io.WriteString(call, testkit.Chunk(line))
			waitOnLoop(t, rig, "the line is rejected", func() bool {
				return registry.watch.conn == nil || registry.watch.generation > 2
			})
			rig.Do(func() {
				if got := registry.freshness.tracker.ConfirmedAt(); got != confirmedAt {
					t.Errorf("confirmed at %v, not at %v", got, confirmedAt)
				}
			})
		})
	}
}

// numberedList returns a list of workers named s-0 and so on, in its wire form.
func numberedList(version int64, snapshot bool, workers int, health string) wireList {
	list := wireList{Version: version, Snapshot: snapshot}
	for i := range workers {
		list.Endpoints = append(list.Endpoints, endpoint{
			Name:    fmt.Sprintf("s-%d", i),
			Address: "127.0.0.1:9",
			Health:  health,
			Zone:    "he\\\"}{re",
		})
	}
	return list
}

// wireList is a list as discovery writes it.
type wireList struct {
	Version   int64      `json:"seq"`
	Snapshot  bool       `json:"whole"`
	Endpoints []endpoint `json:"hosts"`
}

// encode returns the list with its line end, on several lines with an indent, or on one line if indent is empty.
func (l wireList) encode(t *testing.T, indent string) string {
	t.Helper()
	raw, err := json.MarshalIndent(l, "", indent)
	if indent == "" {
		raw, err = json.Marshal(l)
	}
	if err != nil {
		t.Fatal(err)
	}
	return string(raw) + "\n"
}

// An object of the watch may be on one line or many. Several objects may share a chunk, and one object may span chunks
// and be larger than a buffer.
func TestWatchAcceptsAnyFraming(t *testing.T) {
	for _, indent := range []string{"", "  "} {
		for _, chunkSize := range []int{1 << 20, 4096, 7} {
			checkFraming(t, indent, chunkSize)
		}
	}
}

// checkFraming checks that three lists are applied that are written with an indent and arrive in chunks of a size.
func checkFraming(t *testing.T, indent string, chunkSize int) {
	t.Helper()
	const workers = 1500 // over 200 KB when indented
	text := numberedList(2, true, workers, "ready").encode(t, indent) +
		numberedList(3, false, 2, "draining").encode(t, indent) +
		numberedList(4, false, 1, "gone").encode(t, indent)
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
	out := bufio.NewWriter(testkit.Receive(t, calls))
	out.WriteString(testkit.WatchHead)
	for at := 0; at < len(text); at += chunkSize {
		out.WriteString(testkit.Chunk(text[at:min(at+chunkSize, len(text))]))
	}
	out.Flush()
	waitOnLoop(t, rig, fmt.Sprintf("indent %q in pieces of %d is read", indent, chunkSize), func() bool {
		return registry.watch.version == 4
	})
	rig.Do(func() {
		if listed := len(registry.workers); listed != workers-1 || registry.workers["s-0"] != nil {
			t.Errorf("indent %q in pieces of %d: %d workers, want %d without s-0", indent, chunkSize, listed, workers-1)
		}
		draining := registry.workers["s-1"].State
		running := registry.workers["s-2"].State
		if draining != decision.Draining || running != decision.Running {
			t.Errorf("indent %q in pieces of %d: s-1 %v, s-2 %v", indent, chunkSize, draining, running)
		}
	})
}
