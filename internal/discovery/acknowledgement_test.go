package discovery

import (
	"fmt"
	"testing"

	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A server that answers an acknowledgement with a complete snapshot is sent no further acknowledgements.
func TestNoAcknowledgementToServerThatIgnoresVersion(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	watch := server.serveFirstPoll(0, encodeChange(1, true, "a=ready"), 1)
	server.expectRequest(pollQuery(1)).answer(encodeChange(1, true, "a=ready"))
	workers := "a=ready"
	for version := 2; version < 6; version++ {
		added := fmt.Sprintf("b%d=ready", version)
		watch.sendLine(encodeChange(version, false, added))
		workers += " " + added
		follower.waitForVersion(membership.Version(version), workers)
	}
	follower.Do(func() {
		if f := follower.registry.follower; !f.active.ignoresVersion || f.acknowledgement.scheduled {
			t.Error("another acknowledgement is scheduled")
		}
	})
}

// An acknowledgement is retried on a new connection if the server has closed the kept one.
func TestAcknowledgementOnClosedConnection(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	first := server.expectRequest(pollQuery(0))
	first.answer(encodeChange(5, true, "a=ready"))
	watch := server.expectRequest(watchQuery(5))
	watch.openWatch()
	server.expectRequest(pollQuery(5)).answer(encodeChange(5, false))
	testkit.Until(t, "it is acknowledged", func() bool { return follower.stats().Acknowledged == 1 })
	release := follower.BlockLoop()
	follower.Write(t, watch, testkit.Chunk(encodeChange(6, false, "b=ready")+"\n"))
	follower.Dispatcher.Loop.Post(follower.registry.follower.acknowledge) // while the close of the connection is on its way
	first.Close()
	release()
	for acknowledged := false; !acknowledged; {
		poll := testkit.Receive(t, server.requests)
		poll.answer(encodeChange(6, false))
		acknowledged = poll.query == pollQuery(6)
	}
	follower.waitForServer(server)
	testkit.Until(t, "it is acknowledged", func() bool { return follower.stats().Acknowledged >= 2 })
}

// After a rejected change, only the version before it is acknowledged as in force until the response to a poll contains
// what is missing.
func TestRepairAfterRejectedChange(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	watch := server.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	server.expectRequest(pollQuery(5)).answer(encodeChange(5, false))
	testkit.Until(t, "it is acknowledged", func() bool { return follower.stats().Acknowledged == 1 })
	watch.sendLine(encodeChange(6, false, "a=draining", "b=asleep"))
	watch.sendLine(encodeChange(7, false, "c=ready"))
	follower.waitForVersion(7, "a=ready c=ready")
	server.expectRequest(pollQuery(7) + "&acked=5&fleet=1").answer(encodeChange(7, false))
	testkit.Until(t, "it is acknowledged", func() bool { return follower.stats().Acknowledged == 2 })
	follower.Do(func() { // the next repair is due
		follower.registry.follower.acknowledgement.repairRequestedAt -= idleAcknowledgeInterval
		follower.registry.follower.acknowledge()
	})
	server.expectRequest(pollQuery(5)).answer(encodeChange(7, false, "a=draining", "b=ready", "c=ready"))
	testkit.Until(t, "what was left out is in force", func() bool { return follower.workers() == "a=draining b=ready c=ready" })
	watch.sendLine(encodeChange(8, false, "c=gone"))
	follower.waitForVersion(8, "a=draining b=ready")
	server.expectRequest(pollQuery(8))
	follower.Do(func() {
		if f := &follower.registry.follower.inForce; f.completeThrough != 8 || follower.registry.stats.Rejected != 1 {
			t.Errorf("complete through %d, %d rejected", f.completeThrough, follower.registry.stats.Rejected)
		}
	})
}
