package discovery

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// These tests check that the discovery watch keeps to the protocol's bound: whatever the settings are, a change counts as
// notified once discovery has had it and been reachable for 6 s.

// checkNextCall checks, on the loop's goroutine, that a response to the next call fits into the notification bound,
// counted from the last contact.
func (w *watch) checkNextCall(t *testing.T) {
	t.Helper()
	now := w.registry.dispatcher.Loop.Now()
	latest := max(w.lastContact+freshness.NotificationBound-responseTimeout, w.notBefore)
	switch {
	case w.calling:
	case w.nextCallAt == 0:
		t.Error("no call is in progress, and none is scheduled")
	case w.nextCallAt > latest:
		t.Errorf("the next call comes %v after the last contact", w.nextCallAt-w.lastContact)
	case w.nextCallAt < w.notBefore && w.notBefore > now:
		t.Errorf("the next call comes %v before its time", w.notBefore-w.nextCallAt)
	}
}

// A call that is never answered or a watch that goes silent, the least backoff after it, and the response to the next
// call must together fit into the notification bound.
func TestTimeoutsFitNotificationBound(t *testing.T) {
	for _, silence := range []time.Duration{watchCallTimeout, watchLineTimeout} {
		if sum := silence + minBackoff + responseTimeout; sum > freshness.NotificationBound {
			t.Errorf("%v of silence, the least backoff and a response take %v", silence, sum)
		}
	}
	if watchConnectTimeout+responseTimeout > watchCallTimeout+minBackoff+responseTimeout || watchConnectTimeout > watchCallTimeout {
		t.Error("the connect timeout of a call exceeds the timeout of the entire call")
	}
}

// callEndings are the ways in which the tests end a call to discovery, by name.
var callEndings = map[string]func(discoveryCall){
	"reset":                 discoveryCall.reset,
	"busy":                  func(call discoveryCall) { call.answerUnavailable("Busy") },
	"silent":                func(discoveryCall) {},
	"silent after the head": discoveryCall.openWatch,
	"silent midway": func(call discoveryCall) {
		io.WriteString(call, testkit.WatchHead+testkit.Chunk("\n")+"20\r\n{\"seq\"")
	},
	"ended": func(call discoveryCall) {
		io.WriteString(call, testkit.WatchHead+testkit.Chunk("\n")+"0\r\n\r\n")
	},
	"malformed": func(call discoveryCall) { io.WriteString(call, testkit.WatchHead+testkit.Chunk("{]\n")) },
}

// However a call ends, and however long the poll interval is, discovery is called again in time, and its list is
// applied.
func TestReconnectWithinNotificationBound(t *testing.T) {
	common := testkit.NewRig(t)
	for name, endCall := range callEndings {
		for _, peers := range []int{1, 300, 3000} {
			for _, pollInterval := range []time.Duration{0, time.Hour} {
				t.Run(fmt.Sprintf("%s/%d/%v", name, peers, pollInterval), func(t *testing.T) {
					t.Parallel()
					checkReconnect(t, common.WithSubscription(t, peers, pollInterval), endCall)
				})
			}
		}
	}
}

// checkReconnect checks that a dispatcher whose first call is ended by endCall schedules the next one in time, and
// applies its response.
func checkReconnect(t *testing.T, rig *testkit.Rig, endCall func(discoveryCall)) {
	t.Helper()
	addr, calls := listenForCalls(t)
	registry := followDiscovery(t, rig, addr)
	rig.Do(func() { // with many dispatchers the first call has jitter
		registry.watch.checkNextCall(t)
		registry.Subscribe()
	})
	endCall(testkit.Receive(t, calls))
	waitOnLoop(t, rig, "the call has failed", func() bool {
		failed := registry.watch.lastContact > 0 && !registry.watch.calling
		registry.watch.checkNextCall(t)
		return failed || len(calls) > 0
	})
	testkit.Receive(t, calls).sendLaterSnapshot()
	waitOnLoop(t, rig, "the list is applied", func() bool { return hasLaterSnapshot(registry) })
}

// In an outage the backoff stays within the bound, and no second failure is reported to the dispatcher before it has
// subscribed again. The dispatcher sets a timer for each report, and each timer would lead to a call.
func TestOutageIsReportedOnce(t *testing.T) {
	for _, peers := range []int{1, 300} {
		rig := testkit.NewRig(t).WithSubscription(t, peers, time.Hour)
		addr := testkit.RefusingAddress(t)
		var reports atomic.Int32
		rig.Do(func() {
			rig.Dispatcher.Log = func(text string) {
				if strings.Contains(text, "worker list unavailable") {
					reports.Add(1)
				}
			}
		})
		registry := followDiscovery(t, rig, addr)
		for range 12 {
			rig.Do(func() { registry.watch.open() }) // in place of the backoff
			waitOnLoop(t, rig, "the call is refused", func() bool { return !registry.watch.calling })
			rig.Do(func() { registry.watch.checkNextCall(t) })
		}
		if n := reports.Load(); n != 1 {
			t.Errorf("%d peers: %d failures reported, want 1, since each sets a timer", peers, n)
		}
		rig.Do(func() { // the dispatcher's timer may have no delay
			registry.watch.fail(errors.New("broken"))
			registry.Subscribe()
			if registry.watch.calling && rig.Dispatcher.Loop.Now() < registry.watch.notBefore {
				t.Error("called again without a backoff")
			}
			registry.watch.checkNextCall(t)
		})
	}
}

// The address of discovery changes during the backoff after a failed call, and the first call to the new address fails
// too. What was scheduled for the former address neither delays nor duplicates a call.
func TestChangeAddressAfterOutage(t *testing.T) {
	rig := testkit.NewRig(t).WithSubscription(t, 300, time.Hour)
	former, formerCalls := listenForCalls(t)
	next, nextCalls := listenForCalls(t)
	registry := followDiscovery(t, rig, former)
	rig.Do(func() { registry.Subscribe() }) // without the jitter for many dispatchers
	testkit.Receive(t, formerCalls).Close()
	waitOnLoop(t, rig, "the call has failed", func() bool { return registry.watch.nextCallAt > 0 })
	rig.Do(func() {
		registry.ChangeAddress(next)
		if !registry.watch.calling || registry.watch.nextCallAt != 0 {
			t.Error("the new address is not called at once, or a second call is scheduled")
		}
	})
	testkit.Receive(t, nextCalls).Close()
	waitOnLoop(t, rig, "the call to the new address has failed", func() bool {
		registry.watch.checkNextCall(t)
		return registry.watch.nextCallAt > 0
	})
	call := testkit.Receive(t, nextCalls)
	if call.query != "watch=1&after=41" {
		t.Errorf("the call has the query %s", call.query)
	}
	rig.Do(func() { registry.Subscribe() }) // from a timer of the earlier outage; the call continues
	call.sendLaterSnapshot()
	waitOnLoop(t, rig, "the list is applied", func() bool {
		return registry.workers["new"] != nil && registry.watch.version == 43
	})
	if len(formerCalls) > 0 {
		t.Error("the former address was called again")
	}
}

// agentCallEndings are the ways in which the tests end calls to an agent, in turn.
var agentCallEndings = []func(discoveryCall){
	func(discoveryCall) {}, // silent
	discoveryCall.reset,
	func(call discoveryCall) { call.answerUnavailable("Down") },
	discoveryCall.openWatch, // silent after the head
}

// A change that an agent has counts as notified even if no watch is open. The agent is therefore called at the start,
// however many dispatchers there are, and again several times within a drain grace if it is silent, resets the call or
// is unavailable.
func TestAgentIsCalledAgainAfterShortBackoff(t *testing.T) {
	for _, peers := range []int{1, 300} {
		rig := testkit.NewRig(t, func(settings *decision.Settings) {
			settings.Peers = peers
			settings.ListPollInterval = 10 * time.Second
			settings.DrainGrace = 500 * time.Millisecond
		})
		addr, calls := listenForCalls(t)
		registry := followDiscovery(t, rig, addr)
		end := time.Now().Add(testkit.WaitTimeout)
		for i := range 24 { // a backoff of seconds, or one that doubles, takes far longer
			call := testkit.Receive(t, calls)
			if time.Now().After(end) {
				t.Fatalf("%d calls in %v", i, testkit.WaitTimeout)
			}
			if call.query != "watch=1&after=41" {
				t.Fatalf("call %d: %s", i, call.query)
			}
			agentCallEndings[i%len(agentCallEndings)](call)
		}
		answerAgentCalls(t, rig, registry, calls)
	}
}

// answerAgentCalls answers calls with laterSnapshot until a response has arrived before the timeout of its call.
func answerAgentCalls(t *testing.T, rig *testkit.Rig, registry *Registry, calls chan discoveryCall) {
	t.Helper()
	call := testkit.Receive(t, calls)
	for strings.Contains(call.query, "watch") {
		call.sendLaterSnapshot()
		applied := false
		end := time.Now().Add(200 * time.Millisecond)
		for !applied && time.Now().Before(end) {
			rig.Do(func() { applied = hasLaterSnapshot(registry) && registry.watch.established })
			time.Sleep(time.Millisecond)
		}
		if applied {
			return
		}
		call = testkit.Receive(t, calls)
	}
}
