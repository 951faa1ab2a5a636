package relay

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// startDiscovery starts a stand-in of discovery with some ready workers.
func startDiscovery(t *testing.T, workers int) *standin.Discovery {
	t.Helper()
	discovery, err := standin.StartDiscovery(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discovery.Close() })
	list := make([]standin.Host, workers)
	for i := range list {
		list[i] = readyWorker(fmt.Sprintf("s-%05d", i))
	}
	discovery.Set(list...)
	return discovery
}

// readyWorker returns a worker that is ready.
func readyWorker(name string) standin.Host {
	return standin.Host{
		Host:   name,
		Dial:   "10.0.0.1:8080",
		Site:   "a",
		Class:  "m2",
		Block:  3,
		Health: "ready",
		Share:  1,
	}
}

// hasVersion returns a condition that holds if the relay has exactly this version.
func (r *Relay) hasVersion(version membership.Version) func() bool {
	return func() bool { return r.Status().Version == version }
}

// Both on a watch and by single calls, a subscriber is sent a snapshot and then deltas.
func TestSnapshotThenDeltas(t *testing.T) {
	origin := startDiscovery(t, 3)
	running, _ := startRelay(t, testConfig(origin.Addr))
	eventually(t, "snapshot", running.hasVersion(1))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "snapshot at the subscriber", client.hasVersion(1))
	origin.Set(readyWorker("s-new"))
	eventually(t, "delta at the subscriber", client.hasVersion(2))
	if line := client.lastLine(); line.Snapshot || len(line.Workers) != 1 || line.Workers[0].Name != "s-new" {
		t.Errorf("delta %+v", line)
	}
	line := getLine(t, running.Addr().String(), "after=1&name=d2")
	if line.Snapshot || line.Version != 2 || len(line.Workers) != 1 {
		t.Errorf("single call after 1: %+v", line)
	}
	eventually(t, "the complete list by a single call", func() bool { // the relay may reuse a snapshot that is slightly older than the newest change
		line := getLine(t, running.Addr().String(), "")
		return line.Snapshot && line.Version == 2 && len(line.Workers) == 4
	})
	if status, _ := get(t, running.Addr().String(), "after=3&name=d2"); status != http.StatusServiceUnavailable {
		t.Errorf("a caller with a newer version: status %d", status)
	}
}

// An invalid change is rejected as a whole, with one log line that names the field.
// The next valid change is applied.
func TestInvalidChangeIsRejectedAtomically(t *testing.T) {
	upstream := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(1, true, workerJSON("x", "ready"), workerJSON("y", "ready")))
	running, logOutput := startRelay(t, testConfig(upstream.address()))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "snapshot", client.hasVersion(1))
	upstreamWatch := upstream.awaitWatch()
	upstreamWatch.sendLine(changeJSON(1, false))
	upstreamWatch.sendLine(changeJSON(2, false, workerJSON("x", "draining"), workerJSON("y", "asleep")))
	upstreamWatch.sendLine(changeJSON(3, false, workerJSON("y", "draining")))
	eventually(t, "the valid change", client.hasVersion(3))
	if client.health("x") != "ready" || client.health("y") != "draining" {
		t.Errorf("x %s, y %s", client.health("x"), client.health("y"))
	}
	const reason = `hosts[1].health: unknown value "asleep"`
	if n := strings.Count(logOutput.String(), "change rejected"); n != 1 || !strings.Contains(logOutput.String(), "hosts[1].health") {
		t.Errorf("%d lines: %s", n, logOutput)
	}
	status := running.Status()
	if status.RejectionCount != 1 || len(status.Rejections) != 1 {
		t.Fatalf("%d rejections, listed: %+v; want one", status.RejectionCount, status.Rejections)
	}
	if rejection := status.Rejections[0]; rejection.Reason != reason || rejection.Version != 2 {
		t.Errorf("rejection: %+v, want version 2 for %s", rejection, reason)
	}
}

// A change with a valid and an invalid entry is rejected. Once the invalid entry has been replaced by a valid one, both
// entries are fetched.
func TestRejectedChangeIsFetchedAgain(t *testing.T) {
	upstream := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(1, true, workerJSON("x", "ready")))
	running, _ := startRelay(t, testConfig(upstream.address()))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "snapshot", client.hasVersion(1))
	upstreamWatch := upstream.awaitWatch()
	upstreamWatch.sendLine(changeJSON(1, false))
	upstreamWatch.sendLine(changeJSON(2, false, workerJSON("x", "asleep"), workerJSON("y", "ready")))
	upstream.setResponse(func(query url.Values) string { // y has not changed since
		if query.Get("after") == "1" {
			return changeJSON(3, false, workerJSON("x", "draining"), workerJSON("y", "ready"))
		}
		return changeJSON(3, false, workerJSON("x", "draining"))
	})
	upstreamWatch.sendLine(changeJSON(3, false, workerJSON("x", "draining")))
	eventually(t, "version 3", client.hasVersion(3))
	eventually(t, "nothing is missing", func() bool { return running.Status().Entries == 2 && running.Status().Complete })
	line := getLine(t, running.Addr().String(), "after=0&name=d2")
	if line.Version != 3 || len(line.Workers) != 2 {
		t.Errorf("%+v", line)
	}
}

// Acknowledgements are added up over two levels of relays, and their latency is measured.
func TestAcknowledgements(t *testing.T) {
	origin := startDiscovery(t, 3)
	aboveConfig := testConfig(origin.Addr)
	aboveConfig.Name = "above"
	above, _ := startRelay(t, aboveConfig)
	belowConfig := testConfig(above.Addr().String())
	belowConfig.Name = "below"
	below, _ := startRelay(t, belowConfig)
	eventually(t, "snapshot", below.hasVersion(1))
	for i := range 3 {
		getLine(t, below.Addr().String(), fmt.Sprintf("after=1&name=d%d", i))
	}
	getLine(t, above.Addr().String(), "after=1&name=direct")
	eventually(t, "all are counted above", func() bool {
		status := above.Status()
		return status.Subscribers == 4 && status.LowestAcknowledged == 1 && status.HaveNewest == 4
	})
	origin.Set(readyWorker("s-new"))
	eventually(t, "version 2", below.hasVersion(2))
	if status := above.Status(); status.LowestAcknowledged != 1 || status.HaveNewest != 0 {
		t.Errorf("lowest %d, %d have the newest", status.LowestAcknowledged, status.HaveNewest)
	}
	for i := range 3 {
		getLine(t, below.Addr().String(), fmt.Sprintf("after=2&name=d%d", i))
	}
	eventually(t, "all subscribers below have it", func() bool {
		status := above.Status()
		return status.LowestAcknowledged == 1 && status.HaveNewest == 3
	})
	getLine(t, above.Addr().String(), "after=2&name=direct")
	eventually(t, "all have it", func() bool { return above.Status().LowestAcknowledged == 2 })
	eventually(t, "the latency is measured", func() bool {
		return above.Status().AckLatency.Changes > 0 && below.Status().AckLatency.Changes > 0
	})
}

// Close ends watches with a complete response.
func TestCloseEndsWatchesCompletely(t *testing.T) {
	origin := startDiscovery(t, 3)
	running, _ := startRelay(t, testConfig(origin.Addr))
	eventually(t, "snapshot", running.hasVersion(1))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "watch", client.hasVersion(1))
	if err := running.Close(); err != nil {
		t.Fatal(err)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.cut {
		t.Error("the watch was aborted")
	}
}
