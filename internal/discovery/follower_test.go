package discovery

import (
	"slices"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Following a server without faults: a compressed or plain snapshot, deltas on the watch, and after each of them an
// acknowledgement on the connection that is kept.
func TestFollow(t *testing.T) {
	for _, compressed := range []bool{true, false} {
		server := newServer(t)
		follower := startFollower(t, server).loadInitial(``)
		first := server.expectRequest(pollQuery(0))
		snapshot := encodeChange(7, true, "a=ready", "b=ready")
		if compressed {
			first.answerCompressed(snapshot)
		} else {
			first.answer(snapshot)
		}
		watch := server.expectRequest(watchQuery(7))
		watch.openWatch()
		follower.waitForVersion(7, "a=ready b=ready")
		acknowledgement := server.expectRequest(pollQuery(7))
		if acknowledgement.Conn != first.Conn {
			t.Error("the acknowledgement was sent on a new connection")
		}
		acknowledgement.answer(encodeChange(7, false))
		watch.sendLine(encodeChange(9, false, "a=draining", "c=ready"))
		follower.waitForVersion(9, "a=draining b=ready c=ready")
		server.expectRequest(pollQuery(9)).answer(encodeChange(10, false, "b=gone")) // before the watch delivers it
		follower.waitForVersion(10, "a=draining c=ready")
		watch.sendLine(encodeChange(10, false, "b=gone")) // delivered again, which changes nothing
		watch.sendLine(encodeChange(11, false, "a=gone"))
		follower.waitForVersion(11, "c=ready")
		testkit.Until(t, "version 11 is acknowledged", func() bool {
			poll := testkit.Receive(t, server.requests)
			poll.answer(encodeChange(11, false))
			return poll.query == pollQuery(11)
		})
		testkit.Until(t, "the response to it is read", func() bool { return follower.stats().Acknowledged >= 3 })
		checkFollowStats(t, follower.stats())
		follower.mu.Lock()
		if want := []membership.Version{7, 9, 10, 11}; !slices.Equal(follower.applied, want) {
			t.Errorf("applied %v, want %v", follower.applied, want)
		}
		follower.mu.Unlock()
	}
}

// checkFollowStats checks the counters at the end of TestFollow.
func checkFollowStats(t *testing.T, stats Stats) {
	t.Helper()
	if stats.Applied != 4 || stats.Snapshots != 1 || stats.Deltas != 3 || stats.Rejected != 0 || stats.Failovers != 0 {
		t.Errorf("want one snapshot, three deltas, no rejection and no failover: %+v", stats)
	}
	if stats.BytesRead < 500 || stats.BytesWritten < 100 || stats.Version != 11 {
		t.Errorf("want version 11, at least 500 bytes read and 100 written: %+v", stats)
	}
}

// A server fails in the middle of a change. No part of the change is applied, and the next server is polled from the
// version in force.
func TestServerFailsMidChange(t *testing.T) {
	local := newServer(t)
	remote := newRemoteServer(t)
	follower := startFollower(t, local, remote).loadInitial(``)
	watch := local.serveFirstPoll(0, encodeChange(5, true, "a=ready", "b=ready"), 5)
	follower.waitForVersion(5, "a=ready b=ready")
	text := testkit.Chunk(encodeChange(6, false, "a=gone", "b=draining") + "\n")
	release := follower.BlockLoop()
	follower.Write(t, watch, text[:len(text)-8])
	release()
	follower.Do(func() {}) // wait until the incomplete change has been read
	if got := follower.workers(); got != "a=ready b=ready" {
		t.Fatalf("an incomplete change has been applied: %s", got)
	}
	local.stop()
	remote.serveFirstPoll(5, encodeChange(6, false, "a=gone", "b=draining"), 6)
	follower.waitForVersion(6, "b=draining")
	follower.waitForServer(remote)
	if stats := follower.stats(); stats.Failovers != 1 {
		t.Errorf("%d failovers, want 1", stats.Failovers)
	}
}

// A server that is behind never replaces the version in force. It is skipped, whether it answers the first poll with an
// error status or an older version, or sends an older version on its watch.
func TestServersBehindAreSkipped(t *testing.T) {
	old := encodeChange(3, true, "old=ready")
	for name, serveOldVersion := range map[string]func(*testServer){
		"error status":   func(s *testServer) { s.expectRequest(pollQuery(5)).answerUnavailable() },
		"older snapshot": func(s *testServer) { s.expectRequest(pollQuery(5)).answer(old) },
		"older delta":    func(s *testServer) { s.expectRequest(pollQuery(5)).answerCompressed(encodeChange(4, false)) },
		"older watch": func(s *testServer) {
			watch := s.serveFirstPoll(5, encodeChange(5, false), 5)
			watch.sendLine(old)
		},
	} {
		t.Run(name, func(t *testing.T) {
			local := newServer(t)
			second := newRemoteServer(t)
			third := newRemoteServer(t)
			follower := startFollower(t, local, second, third).loadInitial(``)
			local.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
			follower.waitForServer(local)
			local.stop()
			next, last := orderOfPolls(t, second, third)
			serveOldVersion(next)
			last.serveFirstPoll(5, encodeChange(6, false, "b=ready"), 6)
			follower.waitForVersion(6, "a=ready b=ready")
			follower.waitForServer(last)
		})
	}
}

// orderOfPolls waits until one of two servers is polled, and returns that server first and the other one last. The poll
// is put back, so that the test can still receive it.
func orderOfPolls(t *testing.T, one, two *testServer) (first, last *testServer) {
	t.Helper()
	var poll request
	select {
	case poll = <-one.requests:
		first = one
		last = two
	case poll = <-two.requests:
		first = two
		last = one
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("no server is polled")
	}
	first.requests <- poll
	return first, last
}

// A server is restarted with an older version than it had before. The follower keeps its version until the server has a
// newer one.
func TestRestartedServerWithOlderVersion(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	server.serveFirstPoll(0, encodeChange(8, true, "a=ready", "b=ready"), 8)
	follower.waitForVersion(8, "a=ready b=ready")
	server.stop()
	server.restart()
	poll := testkit.Receive(t, server.requests)
	for poll.query != pollQuery(8) { // an acknowledgement on the old connection
		poll = testkit.Receive(t, server.requests)
	}
	poll.answer(encodeChange(2, true, "old=ready"))
	server.expectRequest(pollQuery(8)).answer(encodeChange(3, true, "old=ready"))
	if got := follower.workers(); follower.version() != 8 || got != "a=ready b=ready" {
		t.Fatalf("version %d: %s; want 8: a=ready b=ready", follower.version(), got)
	}
	server.serveFirstPoll(8, encodeChange(9, false, "b=gone"), 9)
	follower.waitForVersion(9, "a=ready")
}

// One of the two servers in the zone is behind. The version of the other one is applied.
func TestTwoServersOneBehind(t *testing.T) {
	one := newServer(t)
	two := newServer(t)
	follower := startFollower(t, one, two)
	follower.loadInitial(`{"seq":40,"settings":[],"hosts":[{"host":"k","dial":"127.0.0.1:9","health":"ready"}]}`)
	for range 2 {
		select {
		case poll := <-one.requests:
			poll.answer(encodeChange(39, true, "old=ready"))
		case poll := <-two.requests:
			poll.answer(encodeChange(41, false, "n=ready"))
			two.expectRequest(watchQuery(41)).openWatch()
			follower.waitForVersion(41, "k=ready n=ready")
			follower.waitForServer(two)
			return
		case <-time.After(testkit.WaitTimeout):
			t.Fatal("no server is polled")
		}
	}
	t.Fatal("the server that is up to date is not polled")
}

// All servers are down at the start. The initial list is used after its timeout, and a server that comes up later is
// found.
func TestAllServersDownAtStart(t *testing.T) {
	local := newServer(t)
	remote := newRemoteServer(t)
	local.stop()
	remote.stop()
	follower := startFollower(t, local, remote)
	follower.loadInitial(`{"seq":40,"hosts":[{"host":"k","dial":"127.0.0.1:9","health":"ready"}]}`)
	testkit.Until(t, "the initial list is used", func() (ready bool) {
		follower.Do(func() { ready = follower.registry.Ready() && follower.Dispatcher.ReadyWorkers() == 1 })
		return ready
	})
	if n := follower.countLogLines(": "); n != 1 {
		t.Errorf("the outage has %d log lines, want 1: %q", n, follower.logLines)
	}
	remote.restart()
	remote.serveFirstPoll(0, encodeChange(44, true, "k=draining"), 44) // the initial list has no settings, so a snapshot is requested
	follower.waitForVersion(44, "k=draining")
}

// The follower returns to the server of its own zone once that server works again, but not before it has caught up.
func TestReturnToLocalZone(t *testing.T) {
	local := newServer(t)
	remote := newRemoteServer(t)
	local.stop()
	follower := startFollower(t, local, remote).loadInitial(``)
	remoteWatch := remote.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	follower.waitForServer(remote)
	local.restart()
	follower.Do(func() { follower.retryPreferredServer() })
	localPoll := local.expectRequest(pollQuery(5))
	remoteWatch.sendLine(encodeChange(6, false, "b=ready"))
	follower.waitForVersion(6, "a=ready b=ready")
	localPoll.answer(encodeChange(5, false)) // older than version 6, which has been applied by now
	testkit.Until(t, "the local server is skipped", func() (noCandidates bool) {
		follower.Do(func() { noCandidates = len(follower.registry.follower.candidates) == 0 })
		return noCandidates
	})
	follower.waitForServer(remote)
	follower.Do(func() { follower.retryPreferredServer() })
	local.expectRequest(pollQuery(6)).answer(encodeChange(6, false))
	localWatch := local.expectRequest(watchQuery(6))
	localWatch.openWatch()
	remoteWatch.sendLine(encodeChange(7, false, "c=ready"))
	follower.waitForVersion(7, "a=ready b=ready c=ready")
	localWatch.sendLine(encodeChange(6, false))
	follower.Do(func() {}) // the local server is behind again, so the remote one stays in use
	follower.waitForServer(remote)
	localWatch.sendLine(encodeChange(7, false, "c=ready"))
	follower.waitForServer(local)
	localWatch.sendLine(encodeChange(8, false, "a=gone"))
	follower.waitForVersion(8, "b=ready c=ready")
}

// Follow is called again with other servers. The server in use stays until a new one has caught up.
func TestFollowAgainWithOtherServers(t *testing.T) {
	old := newServer(t)
	next := newServer(t)
	follower := startFollower(t, old).loadInitial(``)
	watch := old.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	follower.waitForServer(old)
	follower.Do(func() { follower.registry.Follow(followConfig(next)) })
	poll := next.expectRequest(pollQuery(5))
	watch.sendLine(encodeChange(6, false, "b=ready"))
	follower.waitForVersion(6, "a=ready b=ready")
	poll.answer(encodeChange(6, false, "b=ready"))
	nextWatch := next.expectRequest(watchQuery(6))
	nextWatch.openWatch()
	nextWatch.sendLine("")
	follower.waitForServer(next)
	if _, err := watch.Read(make([]byte, 1)); err == nil {
		t.Error("the previous watch is still open")
	}
}
