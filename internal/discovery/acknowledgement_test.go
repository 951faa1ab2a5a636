package discovery

import (
	"fmt"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A server that has nothing for versions that it is told is not asked for a
// snapshot again and again.
func TestNoAcknowledgementToServerThatIgnoresVersion(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(1, true, "a=ready"), 1)
	home.expectRequest("after=1&name=d+1").answer(encodeChange(1, true, "a=ready"))
	for v := 2; v < 6; v++ {
		watch.sendLine(encodeChange(v, false, fmt.Sprintf("b%d=ready", v)))
		s.waitForVersion(membership.Version(v), "a=ready "+strings.Join([]string{"b2=ready", "b3=ready", "b4=ready", "b5=ready"}[:v-1], " "))
	}
	s.Do(func() {
		if f := s.registry.follower; !f.active.ignoresVersion || f.acknowledgementScheduled {
			t.Error("it is called again")
		}
	})
}

// A kept connection that the server has closed meanwhile is made anew.
func TestAcknowledgementOnClosedConnection(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	first := home.expectRequest("after=0&name=d+1")
	first.answer(encodeChange(5, true, "a=ready"))
	watch := home.expectRequest("watch=1&after=5&name=d+1")
	watch.openWatch()
	home.expectRequest("after=5&name=d+1").answer(encodeChange(5, false))
	testkit.Until(t, "it is acknowledged", func() bool { return s.stats().Acknowledged == 1 })
	release := s.Hold()
	s.Write(t, watch, testkit.Chunk(encodeChange(6, false, "b=ready")+"\n"))
	s.Dispatcher.Loop.Post(s.registry.follower.acknowledge) // with the connection's end on its way
	first.Close()
	release()
	for acknowledged := false; !acknowledged; {
		r := testkit.Receive(t, home.requests)
		r.answer(encodeChange(6, false))
		acknowledged = r.query == "after=6&name=d+1"
	}
	s.waitForServer(home)
	testkit.Until(t, "it is acknowledged", func() bool { return s.stats().Acknowledged >= 2 })
}

// After a refused change only the version before it is acknowledged as in force,
// until a call brings what was left out.
func TestRepairAfterRejectedChange(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	home.expectRequest("after=5&name=d+1").answer(encodeChange(5, false))
	testkit.Until(t, "it is acknowledged", func() bool { return s.stats().Acknowledged == 1 })
	watch.sendLine(encodeChange(6, false, "a=draining", "b=asleep"))
	watch.sendLine(encodeChange(7, false, "c=ready"))
	s.waitForVersion(7, "a=ready c=ready")
	home.expectRequest("after=7&name=d+1&acked=5&fleet=1").answer(encodeChange(7, false))
	testkit.Until(t, "it is acknowledged", func() bool { return s.stats().Acknowledged == 2 })
	s.Do(func() { // the time of the next look at what is missing
		s.registry.follower.repairRequestedAt -= idleAcknowledgeInterval
		s.registry.follower.acknowledge()
	})
	home.expectRequest("after=5&name=d+1").answer(encodeChange(7, false, "a=draining", "b=ready", "c=ready"))
	testkit.Until(t, "what was left out is in force", func() bool { return s.workers() == "a=draining b=ready c=ready" })
	watch.sendLine(encodeChange(8, false, "c=gone"))
	s.waitForVersion(8, "a=draining b=ready")
	home.expectRequest("after=8&name=d+1")
	s.Do(func() {
		if f := s.registry.follower; f.completeThrough != 8 || s.registry.stats.Refused != 1 {
			t.Errorf("complete up to %d, %d refused", f.completeThrough, s.registry.stats.Refused)
		}
	})
}
