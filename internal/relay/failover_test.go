package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
)

// When the upstream fails in the middle of a change, no subscriber is sent a part of the change.
func TestUpstreamDiesInsideAChange(t *testing.T) {
	first := changeJSON(1, true, workerJSON("x", "ready"), workerJSON("y", "ready"))
	second := changeJSON(2, false, workerJSON("x", "draining"), workerJSON("y", "draining"))
	upstream := startScriptedUpstream(t, "127.0.0.1:0", first)
	running, _ := startRelay(t, testConfig(upstream.address()))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "snapshot", client.hasVersion(1))

	upstream.setResponse(func(url.Values) string { return changeJSON(1, false) })
	upstreamWatch := upstream.awaitWatch()
	upstreamWatch.sendLine(changeJSON(1, false))
	upstreamWatch.sendPartialLine(second, strings.Index(second, `,{"host":"y"`)) // the first worker is complete
	reset(upstreamWatch.conn)
	upstreamWatch = upstream.awaitWatch()
	if after := upstreamWatch.query.Get("after"); after != "1" {
		t.Errorf("resumed after %s", after)
	}
	upstreamWatch.sendLine(changeJSON(3, false, workerJSON("y", "draining")))
	eventually(t, "next change", client.hasVersion(3))
	if client.health("x") != "ready" || client.health("y") != "draining" {
		t.Errorf("x %s, y %s", client.health("x"), client.health("y"))
	}
	if seen := client.seenVersions(); !slices.Equal(seen, []int64{1, 3}) {
		t.Errorf("versions seen: %v", seen)
	}
}

// A relay that restarts at the same address with an older version rejects a
// subscriber that has a newer one, until the relay has caught up.
func TestRestartedRelayWithAnOlderVersion(t *testing.T) {
	upstream := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(5, true, workerJSON("x", "ready")))
	first, _ := startRelay(t, testConfig(upstream.address()))
	address := first.Addr().String()
	client := subscribe(t, address, "d1")
	eventually(t, "version 5", client.hasVersion(5))
	first.Close()

	older := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(3, true, workerJSON("x", "ready")))
	config := testConfig(older.address())
	config.Listen = address
	second, _ := startRelay(t, config)
	eventually(t, "older snapshot", second.hasVersion(3))
	_, opened, rejected := client.counts()
	eventually(t, "rejection", func() bool {
		_, _, rejectedNow := client.counts()
		return rejectedNow > rejected
	})
	if _, now, _ := client.counts(); now != opened {
		t.Error("a watch was opened that continues from a newer version")
	}
	upstreamWatch := older.awaitWatch()
	upstreamWatch.sendLine(changeJSON(3, false))
	upstreamWatch.sendLine(changeJSON(6, false, workerJSON("x", "draining")))
	eventually(t, "version 6", client.hasVersion(6))
	if client.health("x") != "draining" {
		t.Errorf("x is %s", client.health("x"))
	}
}

// Upstreams that have an older version than the relay are skipped.
func TestUpstreamWithAnOlderVersionIsSkipped(t *testing.T) {
	first := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(5, true, workerJSON("x", "ready")))
	second := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(6, false, workerJSON("x", "draining")))
	running, _ := startRelay(t, testConfig(first.address(), second.address()))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "version 5", client.hasVersion(5))
	upstreamWatch := first.awaitWatch()
	first.setResponse(func(url.Values) string { return changeJSON(3, true, workerJSON("old", "ready")) })
	second.setResponse(func(url.Values) string { return changeJSON(4, true, workerJSON("old", "ready")) })
	reset(upstreamWatch.conn)
	eventually(t, "both are called", func() bool { return len(first.singleCalls()) > 1 && len(second.singleCalls()) > 1 })
	if status := running.Status(); status.Version != 5 {
		t.Errorf("version %d", status.Version)
	}
	second.setResponse(func(url.Values) string { return changeJSON(6, false, workerJSON("x", "draining")) })
	eventually(t, "version 6", client.hasVersion(6))
	if seen := client.seenVersions(); !slices.Equal(seen, []int64{5, 6}) {
		t.Errorf("versions seen: %v", seen)
	}
}

// breakableLink forwards connections until it is broken.
type breakableLink struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []net.Conn
	isBroken bool
}

// accept forwards the connections that arrive, until the listener is closed.
func (l *breakableLink) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp", l.target)
		if err != nil {
			reset(conn)
			continue
		}
		l.forward(conn, targetConn)
	}
}

// forward copies between two connections, or resets both while the link is broken.
func (l *breakableLink) forward(conn, targetConn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isBroken {
		reset(conn)
		reset(targetConn)
		return
	}
	l.conns = append(l.conns, conn, targetConn)
	go copyUntilClosed(conn, targetConn)
	go copyUntilClosed(targetConn, conn)
}

// copyUntilClosed copies data from one connection to another until the first one is closed, and then closes the other.
func copyUntilClosed(to, from net.Conn) {
	io.Copy(to, from)
	to.Close()
}

// setBroken breaks or restores the link, and resets all connections.
func (l *breakableLink) setBroken(broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isBroken = broken
	for _, conn := range l.conns {
		reset(conn)
	}
	l.conns = nil
}

// startBreakableLink starts a link to an address. The link is stopped at the end of the test.
func startBreakableLink(t *testing.T, target string) *breakableLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	link := &breakableLink{listener: listener, target: target}
	go link.accept()
	t.Cleanup(func() {
		listener.Close()
		link.setBroken(true)
	})
	return link
}

// During a partition, more changes occur than the log of the upper relay holds.
// Afterwards the lower relay is sent a snapshot and then deltas, and its subscribers
// are sent only the differences.
func TestPartitionLongerThanTheLog(t *testing.T) {
	origin := startDiscovery(t, 20)
	aboveConfig := testConfig(origin.Addr)
	aboveConfig.LogChanges = 10
	above, _ := startRelay(t, aboveConfig)
	link := startBreakableLink(t, above.Addr().String())
	config := testConfig(link.listener.Addr().String())
	config.Name = "relay-below"
	config.StaleAfterMs = 100
	below, logOutput := startRelay(t, config)
	client := subscribe(t, below.Addr().String(), "d1")
	eventually(t, "snapshot", client.hasVersion(1))

	link.setBroken(true)
	eventually(t, "the watch ends", func() bool { return strings.Contains(logOutput.String(), "no upstream: ending watches") })
	eventually(t, "a new watch is rejected", client.wasRejected)
	if line := getLine(t, below.Addr().String(), "name=d2"); line.Version != 1 || len(line.Workers) != 20 {
		t.Errorf("single call during the partition: version %d, %d workers", line.Version, len(line.Workers))
	}
	for i := range 30 {
		origin.Set(readyWorker(fmt.Sprintf("s-new-%d", i)))
	}
	gone := readyWorker("s-00000")
	gone.Health = "gone"
	origin.Set(gone)
	eventually(t, "the relay above has all", above.hasVersion(32))
	snapshots := above.Status().SentSnapshots
	link.setBroken(false)
	eventually(t, "all at the subscriber", client.hasVersion(32))
	if above.Status().SentSnapshots == snapshots {
		t.Error("the relay below got no snapshot")
	}
	if workers, _, _ := client.counts(); workers != 49 {
		t.Errorf("%d workers", workers)
	}
	if line := client.lastLine(); line.Snapshot || len(line.Workers) != 31 {
		t.Errorf("the subscriber got snapshot %v, %d workers", line.Snapshot, len(line.Workers))
	}
	origin.Set(readyWorker("s-last"))
	eventually(t, "a delta after it", client.hasVersion(33))
	if line := client.lastLine(); line.Snapshot || len(line.Workers) != 1 {
		t.Errorf("after the partition: %+v", line)
	}
}

// While the upstream fails and returns again and again, the subscriber's watch stays open and no change is lost.
func TestUpstreamFlaps(t *testing.T) {
	origin := startDiscovery(t, 3)
	running, _ := startRelay(t, testConfig(origin.Addr))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "snapshot", client.hasVersion(1))
	for i := range 10 {
		origin.SetDown(true)
		eventually(t, "the outage is noticed", func() bool { return running.Status().Upstream == "" })
		origin.Set(readyWorker(fmt.Sprintf("s-flap-%d", i)))
		origin.SetDown(false)
		eventually(t, "the change", client.hasVersion(int64(2+i)))
	}
	if workers, opened, _ := client.counts(); workers != 13 || opened != 1 {
		t.Errorf("%d workers by %d watches", workers, opened)
	}
}

// When all upstreams are down at the start, calls are rejected until one of them works.
func TestAllUpstreamsDownAtStart(t *testing.T) {
	reserved := startScriptedUpstream(t, "127.0.0.1:0", "")
	address := reserved.address()
	reserved.stop()
	other := startScriptedUpstream(t, "127.0.0.1:0", "") // listens and answers 503
	running, _ := startRelay(t, testConfig(address, other.address()))
	for _, query := range []string{"", "after=4&name=d1", "watch=1&after=0&name=d1"} {
		if status, _ := get(t, running.Addr().String(), query); status != http.StatusServiceUnavailable {
			t.Errorf("%q: status %d", query, status)
		}
	}
	eventually(t, "both are tried", func() bool { return len(other.singleCalls()) > 2 })
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "rejection", client.wasRejected)
	startScriptedUpstream(t, address, changeJSON(7, true, workerJSON("x", "ready")))
	eventually(t, "snapshot", client.hasVersion(7))
}

// Invalid JSON and an invalid snapshot leave the last valid state unchanged, and
// the relay fails over to the next upstream.
func TestFailoverFromAnUnreadableUpstream(t *testing.T) {
	unreadable := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(1, true, workerJSON("x", "ready")))
	valid := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(3, false, workerJSON("x", "draining")))
	running, logOutput := startRelay(t, testConfig(unreadable.address(), valid.address()))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "snapshot", client.hasVersion(1))
	unreadable.setResponse(func(url.Values) string { return changeJSON(9, true, workerJSON("", "ready")) })
	upstreamWatch := unreadable.awaitWatch()
	upstreamWatch.sendLine(`{"seq":2,"whole":false,"hosts":[}`)
	eventually(t, "the other upstream", client.hasVersion(3))
	reset(valid.awaitWatch().conn)
	eventually(t, "an invalid snapshot is rejected", func() bool { return strings.Contains(logOutput.String(), "hosts[0].host is empty") })
	if status := running.Status(); status.Version != 3 || status.RejectionCount < 2 {
		t.Errorf("version %d, %d rejections", status.Version, status.RejectionCount)
	}
}

// An invalid list of upstreams changes nothing; a valid one is followed.
func TestSetUpstreams(t *testing.T) {
	first := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(1, true, workerJSON("x", "ready")))
	second := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(2, false, workerJSON("x", "draining")))
	running, _ := startRelay(t, testConfig(first.address()))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "snapshot", client.hasVersion(1))
	err := running.SetUpstreams([]string{second.address(), "nowhere"})
	if err == nil || !strings.HasPrefix(err.Error(), "upstreams[1]: ") {
		t.Errorf("an invalid list: %v", err)
	}
	eventually(t, "the first upstream", func() bool { return running.Status().Upstream == first.address() })
	if err := running.SetUpstreams([]string{second.address()}); err != nil {
		t.Fatal(err)
	}
	hasVersion2 := client.hasVersion(2)
	eventually(t, "the other upstream", func() bool {
		return hasVersion2() && running.Status().Upstream == second.address()
	})
}

// Relays that may follow each other do not count each other as a working upstream
// while the origin is down, and all follow the origin again once it is back.
func TestRelaysDoNotFollowEachOther(t *testing.T) {
	origin := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(1, true, workerJSON("x", "ready")))
	address := origin.address()
	relays := make([]*Relay, 3)
	for i := range relays {
		config := testConfig(address)
		config.Name = fmt.Sprintf("relay-%d", i)
		config.StaleAfterMs = 100
		relays[i], _ = startRelay(t, config)
		eventually(t, "snapshot", relays[i].hasVersion(1))
	}
	for i, r := range relays {
		next := relays[(i+1)%len(relays)].Addr().String()
		if err := r.SetUpstreams([]string{address, next}); err != nil {
			t.Fatal(err)
		}
	}
	origin.stop()
	eventually(t, "none has an upstream", func() bool {
		for _, r := range relays {
			if status := r.Status(); status.Upstream != "" {
				return false
			}
		}
		return true
	})
	startScriptedUpstream(t, address, changeJSON(2, true, workerJSON("x", "draining")))
	for _, r := range relays {
		eventually(t, "the origin again", r.hasVersion(2))
	}
}

// A relay stops following an upstream whose changes pass through the relay itself.
func TestUpstreamThatFollowsThisRelayIsLeft(t *testing.T) {
	body := changeJSON(1, true, workerJSON("x", "ready"))
	loop := startScriptedUpstreamVia(t, "127.0.0.1:0", body, "1.1 another, 1.1 relay-test")
	valid := startScriptedUpstream(t, "127.0.0.1:0", body)
	running, _ := startRelay(t, testConfig(loop.address(), valid.address()))
	go loop.awaitWatch().keepAlive()
	valid.awaitWatch().sendLine(changeJSON(1, false))
	eventually(t, "the other upstream", func() bool { return running.Status().Upstream == valid.address() })
}

// parseVia returns the names that formatVia has written, and ignores other elements of the header.
func TestVia(t *testing.T) {
	path := []string{"relay-a", "relay-b"}
	if got := parseVia([]string{formatVia(path), "HTTP/1.0 proxy"}); !slices.Equal(got, path) {
		t.Errorf("%q", got)
	}
}

// A relay leaves an upstream that is silent for 3 s, and follows the next one.
func TestSilentUpstreamIsLeft(t *testing.T) {
	first := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(1, true, workerJSON("x", "ready")))
	second := startScriptedUpstream(t, "127.0.0.1:0", changeJSON(2, false, workerJSON("x", "draining")))
	running, _ := startRelay(t, testConfig(first.address(), second.address()))
	client := subscribe(t, running.Addr().String(), "d1")
	eventually(t, "snapshot", client.hasVersion(1))
	first.awaitWatch() // nothing is sent on it
	eventually(t, "the other upstream", client.hasVersion(2))
}

// A relay that starts also fetches the changes before its first snapshot, so that
// subscribers that followed another relay can resume with a delta.
func TestStartBackfillsEarlierChanges(t *testing.T) {
	fetched := make(chan string, 10)
	origin := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		query := in.URL.Query()
		switch {
		case query.Get("watch") == "1":
			io.WriteString(out, changeJSON(3002, false)+"\n")
			out.(http.Flusher).Flush()
			<-in.Context().Done()
		case query.Get("after") == "0":
			fetched <- "snapshot"
			io.WriteString(out, changeJSON(3000, true, workerJSON("a", "ready"), workerJSON("b", "ready")))
		default:
			fetched <- query.Get("after")
			io.WriteString(out, changeJSON(3002, false, workerJSON("b", "draining"), workerJSON("c", "gone")))
		}
	}))
	t.Cleanup(origin.Close)
	running, _ := startRelay(t, testConfig(origin.Listener.Addr().String()))
	eventually(t, "the newest version", running.hasVersion(3002))
	first := <-fetched
	second := <-fetched
	if first != "snapshot" || second != "1000" {
		t.Errorf("fetched %s, then after %s; want the snapshot, then after 1000", first, second)
	}
	line := getLine(t, running.Addr().String(), "after=1500&name=d1")
	if line.Snapshot || line.Version != 3002 || len(line.Workers) != 2 || line.Workers[0].Health != "draining" {
		t.Errorf("since 1500: %+v", line)
	}
	if line := getLine(t, running.Addr().String(), "after=999&name=d2"); !line.Snapshot || len(line.Workers) != 2 {
		t.Errorf("since 999: %+v", line)
	}
}
