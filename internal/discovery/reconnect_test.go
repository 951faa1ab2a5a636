package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// These tests hold the discovery watch to the protocol's bound: a change counts as notified 6 s after discovery had it
// and could be reached, whatever the settings say.

// checkNextCall checks, on the loop's goroutine, that an answer to the next call fits into the notification bound,
// counted from the last contact.
func (w *watch) checkNextCall(t *testing.T) {
	t.Helper()
	now := w.registry.dispatcher.Loop.Now()
	latest := max(w.lastContact+freshness.NotificationBound-answerTimeout, w.notBefore)
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

// The parts of the bound: a call that is never answered or a watch that goes silent, the backoff after it, and the
// answer to the next call.
func TestTimeoutsFitNotificationBound(t *testing.T) {
	for _, silence := range []time.Duration{watchCallTimeout, watchLineTimeout} {
		if sum := silence + minBackoff + answerTimeout; sum > freshness.NotificationBound {
			t.Errorf("%v of silence, the least backoff and an answer take %v", silence, sum)
		}
	}
	if watchConnectTimeout+answerTimeout > watchCallTimeout+minBackoff+answerTimeout || watchConnectTimeout > watchCallTimeout {
		t.Error("a call may take longer to connect than in all")
	}
}

// However a call ends, and however long the poll interval is, discovery is called again in time, and its list applied.
func TestReconnectWithinNotificationBound(t *testing.T) {
	common := testkit.NewRig(t)
	endings := map[string]func(*testing.T, discoveryCall){
		"reset": func(_ *testing.T, call discoveryCall) {
			call.Conn.(*net.TCPConn).SetLinger(0)
			call.Close()
		},
		"busy": func(_ *testing.T, c discoveryCall) {
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		},
		"silent":                func(*testing.T, discoveryCall) {},
		"silent after the head": func(_ *testing.T, c discoveryCall) { io.WriteString(c, testkit.WatchHead) },
		"silent midway": func(_ *testing.T, c discoveryCall) {
			io.WriteString(c, testkit.WatchHead+testkit.Chunk("\n")+"20\r\n{\"seq\"")
		},
		"ended": func(_ *testing.T, c discoveryCall) {
			io.WriteString(c, testkit.WatchHead+testkit.Chunk("\n")+"0\r\n\r\n")
		},
		"malformed": func(_ *testing.T, c discoveryCall) { io.WriteString(c, testkit.WatchHead+testkit.Chunk("{]\n")) },
	}
	for name, endCall := range endings {
		for _, peers := range []int{1, 300, 3000} {
			for _, pollInterval := range []time.Duration{0, time.Hour} {
				t.Run(fmt.Sprintf("%s/%d/%v", name, peers, pollInterval), func(t *testing.T) {
					t.Parallel()
					r := common.WithSubscription(t, peers, pollInterval)
					addr, calls := listenForCalls(t)
					registry := followDiscovery(t, r, addr)
					r.Do(func() { // the first call of a large fleet has jitter
						registry.watch.checkNextCall(t)
						registry.Subscribe()
					})
					endCall(t, testkit.Receive(t, calls))
					testkit.Until(t, "the call has failed", func() (failed bool) {
						r.Do(func() {
							failed = registry.watch.lastContact > 0 && !registry.watch.calling
							registry.watch.checkNextCall(t)
						})
						return failed || len(calls) > 0
					})
					c := testkit.Receive(t, calls)
					io.WriteString(c, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n"))
					testkit.Until(t, "the list is applied", func() (applied bool) {
						r.Do(func() { applied = registry.workers["new"] != nil && registry.workers["old"] == nil })
						return applied
					})
				})
			}
		}
	}
}

// In an outage the backoff stays within the bound, and no second failure is reported to the dispatcher before it has
// subscribed again: it sets a timer for each, all of which would call.
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
			testkit.Until(t, "the call is refused", func() (failed bool) {
				rig.Do(func() { failed = !registry.watch.calling })
				return failed
			})
			rig.Do(func() { registry.watch.checkNextCall(t) })
		}
		if n := reports.Load(); n != 1 {
			t.Errorf("%d peers: %d failures reported, which set as many timers", peers, n)
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

// Discovery moves during the backoff after an outage, and the new address has an outage too: what was scheduled for the
// former one neither delays nor duplicates a call.
func TestMoveToAfterOutage(t *testing.T) {
	rig := testkit.NewRig(t).WithSubscription(t, 300, time.Hour)
	former, formerCalls := listenForCalls(t)
	next, nextCalls := listenForCalls(t)
	registry := followDiscovery(t, rig, former)
	rig.Do(func() { registry.Subscribe() }) // without the jitter of a large fleet
	testkit.Receive(t, formerCalls).Close()
	testkit.Until(t, "the call has failed", func() (failed bool) {
		rig.Do(func() { failed = registry.watch.nextCallAt > 0 })
		return failed
	})
	rig.Do(func() {
		registry.MoveTo(next)
		if !registry.watch.calling || registry.watch.nextCallAt != 0 {
			t.Error("the new address is not called at once, or twice")
		}
	})
	testkit.Receive(t, nextCalls).Close()
	testkit.Until(t, "the call to the new address has failed", func() (failed bool) {
		rig.Do(func() {
			failed = registry.watch.nextCallAt > 0
			registry.watch.checkNextCall(t)
		})
		return failed
	})
	call := testkit.Receive(t, nextCalls)
	if call.query != "watch=1&after=41" {
		t.Errorf("asked for %s", call.query)
	}
	rig.Do(func() { registry.Subscribe() }) // a timer of the earlier outage: the call goes on
	io.WriteString(call, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n"))
	testkit.Until(t, "the list is applied", func() (applied bool) {
		rig.Do(func() { applied = registry.workers["new"] != nil && registry.watch.version == 43 })
		return applied
	})
	if len(formerCalls) > 0 {
		t.Error("the former address was called again")
	}
}

// Where lists come from an agent, what it has counts as notified, whether a watch is open or not: it is called at the
// start, however many dispatchers there are, and several times within a drain grace where it is silent, resets the call
// or is unavailable.
func TestAgentIsCalledAgainAfterShortBackoff(t *testing.T) {
	for _, peers := range []int{1, 300} {
		rig := testkit.NewRig(t, func(s *decision.Settings) {
			s.Peers = peers
			s.ListPollInterval = 10 * time.Second
			s.DrainGrace = 500 * time.Millisecond
		})
		addr, calls := listenForCalls(t)
		registry := followDiscovery(t, rig, addr)
		end := time.Now().Add(testkit.Patience)
		for i := range 24 { // a backoff of seconds, or one that doubles, takes far longer
			call := testkit.Receive(t, calls)
			if time.Now().After(end) {
				t.Fatalf("%d calls in %v", i, testkit.Patience)
			}
			if call.query != "watch=1&after=41" {
				t.Fatalf("call %d: %s", i, call.query)
			}
			switch i % 4 {
			case 0: // silent
			case 1:
				call.Conn.(*net.TCPConn).SetLinger(0)
				call.Close()
			case 2:
				io.WriteString(call, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
			case 3: // silent after the head
				io.WriteString(call, testkit.WatchHead)
			}
		}
		c := testkit.Receive(t, calls)
		for strings.Contains(c.query, "watch") { // until the call in progress is answered
			io.WriteString(c, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n"))
			applied := false
			for end := time.Now().Add(200 * time.Millisecond); !applied && time.Now().Before(end); time.Sleep(time.Millisecond) {
				rig.Do(func() {
					applied = registry.workers["new"] != nil && registry.workers["old"] == nil && registry.watch.established
				})
			}
			if applied {
				break
			}
			c = testkit.Receive(t, calls)
		}
	}
}
