package discovery

import (
	"slices"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// The plain course: a compressed or plain snapshot, deltas on the watch, and an
// acknowledgement after each, on the connection that is kept.
func TestFollow(t *testing.T) {
	for _, compressed := range []bool{true, false} {
		home := newServer(t)
		s := startFollower(t, 0, home).loadInitial(``)
		first := home.expectRequest("after=0&name=d+1")
		if text := encodeChange(7, true, "a=ready", "b=ready"); compressed {
			first.answerCompressed(text)
		} else {
			first.answer(text)
		}
		watch := home.expectRequest("watch=1&after=7&name=d+1")
		watch.openWatch()
		s.waitForVersion(7, "a=ready b=ready")
		ack := home.expectRequest("after=7&name=d+1")
		if ack.Conn != first.Conn {
			t.Error("the acknowledgement has a connection of its own")
		}
		ack.answer(encodeChange(7, false))
		watch.sendLine(encodeChange(9, false, "a=draining", "c=ready"))
		s.waitForVersion(9, "a=draining b=ready c=ready")
		home.expectRequest("after=9&name=d+1").answer(encodeChange(10, false, "b=gone")) // what the watch has missed
		s.waitForVersion(10, "a=draining c=ready")
		watch.sendLine(encodeChange(10, false, "b=gone")) // and now tells
		watch.sendLine(encodeChange(11, false, "a=gone"))
		s.waitForVersion(11, "c=ready")
		testkit.Until(t, "version 11 is acknowledged", func() bool {
			r := testkit.Receive(t, home.requests)
			r.answer(encodeChange(11, false))
			return r.query == "after=11&name=d+1"
		})
		testkit.Until(t, "its answer has come", func() bool { return s.stats().Acknowledged >= 3 })
		stats := s.stats()
		if stats.Applied != 4 || stats.Snapshots != 1 || stats.Deltas != 3 || stats.Refused != 0 || stats.Failovers != 0 ||
			stats.BytesRead < 500 || stats.BytesWritten < 100 || stats.Version != 11 {
			t.Errorf("%+v", stats)
		}
		s.mu.Lock()
		if want := []membership.Version{7, 9, 10, 11}; !slices.Equal(s.applied, want) {
			t.Errorf("applied %v, want %v", s.applied, want)
		}
		s.mu.Unlock()
	}
}

// A server dies in the middle of a change: none of it is in force, and the next
// server is asked from the version in force.
func TestServerFailsMidChange(t *testing.T) {
	home, other := newServer(t), newServer(t)
	s := startFollower(t, 1, home, other).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready", "b=ready"), 5)
	s.waitForVersion(5, "a=ready b=ready")
	text := testkit.Chunk(encodeChange(6, false, "a=gone", "b=draining") + "\n")
	release := s.Hold()
	s.Write(t, watch, text[:len(text)-8])
	release()
	s.Do(func() {}) // it has been read
	if got := s.workers(); got != "a=ready b=ready" {
		t.Fatalf("half of a change is in force: %s", got)
	}
	home.stop()
	other.serveFirstPoll(5, encodeChange(6, false, "a=gone", "b=draining"), 6)
	s.waitForVersion(6, "b=draining")
	s.waitForServer(other)
	if stats := s.stats(); stats.Failovers != 1 {
		t.Errorf("%d failovers", stats.Failovers)
	}
}

// A server that is behind never takes the version in force back: it is passed
// over, whether it says so by a status, by an older version on its first call or
// by one on its watch.
func TestServersBehindAreSkipped(t *testing.T) {
	old := encodeChange(3, true, "old=ready")
	for name, behind := range map[string]func(*testServer){
		"a status":       func(s *testServer) { s.expectRequest("after=5&name=d+1").answerUnavailable() },
		"older snapshot": func(s *testServer) { s.expectRequest("after=5&name=d+1").answer(old) },
		"older delta":    func(s *testServer) { s.expectRequest("after=5&name=d+1").answerCompressed(encodeChange(4, false)) },
		"older watch": func(s *testServer) {
			watch := s.serveFirstPoll(5, encodeChange(5, false), 5)
			watch.sendLine(old)
		},
	} {
		t.Run(name, func(t *testing.T) {
			home, second, third := newServer(t), newServer(t), newServer(t)
			s := startFollower(t, 2, home, second, third).loadInitial(``)
			home.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
			s.waitForServer(home)
			home.stop()
			next, last := second, third
			var first request
			select {
			case first = <-second.requests:
			case first = <-third.requests:
				next, last = third, second
			case <-time.After(testkit.Patience):
				t.Fatal("no server is asked")
			}
			next.requests <- first
			behind(next)
			last.serveFirstPoll(5, encodeChange(6, false, "b=ready"), 6)
			s.waitForVersion(6, "a=ready b=ready")
			s.waitForServer(last)
		})
	}
}

// The successor of a server comes back with an older version than it had.
func TestRestartedServerWithOlderVersion(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	home.serveFirstPoll(0, encodeChange(8, true, "a=ready", "b=ready"), 8)
	s.waitForVersion(8, "a=ready b=ready")
	home.stop()
	home.restart()
	for {
		r := testkit.Receive(t, home.requests)
		if r.query != "after=8&name=d+1" { // an acknowledgement to the former one
			continue
		}
		r.answer(encodeChange(2, true, "old=ready"))
		break
	}
	home.expectRequest("after=8&name=d+1").answer(encodeChange(3, true, "old=ready"))
	if got := s.workers(); s.version() != 8 || got != "a=ready b=ready" {
		t.Fatalf("version %d: %s", s.version(), got)
	}
	home.serveFirstPoll(8, encodeChange(9, false, "b=gone"), 9)
	s.waitForVersion(9, "a=ready")
}

// Two servers of the zone, one behind: the other one's version is in force.
func TestTwoServersOneBehind(t *testing.T) {
	one, two := newServer(t), newServer(t)
	s := startFollower(t, 0, one, two)
	s.loadInitial(`{"seq":40,"settings":[],"hosts":[{"host":"k","dial":"127.0.0.1:9","health":"ready"}]}`)
	for range 2 {
		select {
		case r := <-one.requests:
			r.answer(encodeChange(39, true, "old=ready"))
		case r := <-two.requests:
			r.answer(encodeChange(41, false, "n=ready"))
			two.expectRequest("watch=1&after=41&name=d+1").openWatch()
			s.waitForVersion(41, "k=ready n=ready")
			s.waitForServer(two)
			return
		case <-time.After(testkit.Patience):
			t.Fatal("no server is asked")
		}
	}
	t.Fatal("the one that is not behind is not asked")
}

// All servers are down at the start: the known list serves in its time, and the
// server that comes up is found.
func TestAllServersDownAtStart(t *testing.T) {
	home, other := newServer(t), newServer(t)
	home.stop()
	other.stop()
	s := startFollower(t, 1, home, other)
	s.loadInitial(`{"seq":40,"hosts":[{"host":"k","dial":"127.0.0.1:9","health":"ready"}]}`)
	testkit.Until(t, "the known list serves", func() (heard bool) {
		s.Do(func() { heard = s.registry.Ready() && s.Dispatcher.ReadyWorkers() == 1 })
		return heard
	})
	if n := s.countLogLines(": "); n != 1 {
		t.Errorf("the outage has %d lines: %q", n, s.logLines)
	}
	other.restart()
	other.serveFirstPoll(0, encodeChange(44, true, "k=draining"), 44) // of its settings nothing is known: all is asked for
	s.waitForVersion(44, "k=draining")
}

// Back to the own zone's server once it works, and not before it has caught up.
func TestReturnToLocalZone(t *testing.T) {
	home, other := newServer(t), newServer(t)
	home.stop()
	s := startFollower(t, 1, home, other).loadInitial(``)
	away := other.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	s.waitForServer(other)
	home.restart()
	s.Do(func() { s.makeAttemptDue() })
	back := home.expectRequest("after=5&name=d+1")
	away.sendLine(encodeChange(6, false, "b=ready"))
	s.waitForVersion(6, "a=ready b=ready")
	back.answer(encodeChange(5, false)) // it is behind by now
	testkit.Until(t, "it is passed over", func() (none bool) {
		s.Do(func() { none = len(s.registry.follower.candidates) == 0 })
		return none
	})
	s.waitForServer(other)
	s.Do(func() { s.makeAttemptDue() })
	home.expectRequest("after=6&name=d+1").answer(encodeChange(6, false))
	watch := home.expectRequest("watch=1&after=6&name=d+1")
	watch.openWatch()
	away.sendLine(encodeChange(7, false, "c=ready"))
	s.waitForVersion(7, "a=ready b=ready c=ready")
	watch.sendLine(encodeChange(6, false))
	s.Do(func() {}) // behind again: the one in use stays
	s.waitForServer(other)
	watch.sendLine(encodeChange(7, false, "c=ready"))
	s.waitForServer(home)
	watch.sendLine(encodeChange(8, false, "a=gone"))
	s.waitForVersion(8, "b=ready c=ready")
}

// Other servers, said anew: the one in use stays until a new one has caught up.
func TestFollowAgainWithOtherServers(t *testing.T) {
	old, next := newServer(t), newServer(t)
	s := startFollower(t, 0, old).loadInitial(``)
	watch := old.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	s.waitForServer(old)
	s.Do(func() { s.registry.Follow(s.followConfig(0, next)) })
	call := next.expectRequest("after=5&name=d+1")
	watch.sendLine(encodeChange(6, false, "b=ready"))
	s.waitForVersion(6, "a=ready b=ready")
	call.answer(encodeChange(6, false, "b=ready"))
	other := next.expectRequest("watch=1&after=6&name=d+1")
	other.openWatch()
	other.sendLine("")
	s.waitForServer(next)
	if _, err := watch.Read(make([]byte, 1)); err == nil {
		t.Error("the former watch is open")
	}
}
