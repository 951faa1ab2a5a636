package discovery

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// ageList makes the list as old as if the source had confirmed it for the last time age ago.
func (f *testFollower) ageList(age time.Duration) {
	f.Do(func() {
		now := f.Dispatcher.Loop.Now()
		f.registry.freshness.tracker.Start(now - time.Minute)
		f.registry.freshness.tracker.Confirmed(now - age)
		f.registry.refreshAndSchedule()
	})
}

// listState returns the state of the list by which workers are suspended.
func (f *testFollower) listState() (state freshness.State) {
	f.Do(func() { state = f.registry.freshness.state })
	return state
}

// waitForListState waits until the list is in a state.
func (f *testFollower) waitForListState(want freshness.State) {
	f.t.Helper()
	testkit.Until(f.t, "the list is "+want.String(), func() bool { return f.listState() == want })
}

// A dispatcher that follows membership servers and hears none of them must not go on using its list as current: a worker
// that drains or is removed meanwhile would get requests for as long as the servers are silent. Each line of the watch
// confirms the list, also one that tells no change.
func TestListAgesWhileMembershipServersAreSilent(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	watch := server.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	follower.waitForServer(server)
	follower.waitForListState(freshness.Current)
	follower.ageList(freshness.NotificationBound + time.Second)
	if state := follower.listState(); state != freshness.Unconfirmed { // the workers of a rig have health checks
		t.Errorf("the list of a server that has been silent for too long is %v", state)
	}
	watch.sendLine("")
	follower.waitForListState(freshness.Current)
	if got := follower.workers(); got != "a=ready" {
		t.Errorf("the workers are %s", got)
	}
}

// The list of servers that cannot be reached any more is unconfirmed: workers are used if their health checks pass.
func TestListOfUnreachableMembershipServersIsUnconfirmed(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	server.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	follower.waitForServer(server)
	server.stop()
	testkit.Until(t, "the failure is logged", func() bool { return follower.countLogLines("membership: "+server.addr) > 0 })
	follower.ageList(freshness.NotificationBound + time.Second)
	follower.waitForListState(freshness.Unconfirmed)
}

// A server that answers polls and accepts no watch has no source of its own, as a relay that is cut off: its list may be
// of any age, and does not become current.
func TestPollsOfServerWithoutSourceDoNotConfirmList(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	server.expectRequest(pollQuery(0)).answer(encodeChange(5, true, "a=ready"))
	server.expectRequest(watchQuery(5)).answerUnavailable()
	follower.waitForVersion(5, "a=ready")
	follower.waitForListState(freshness.Unknown)
}
