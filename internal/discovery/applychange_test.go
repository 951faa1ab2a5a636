package discovery

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A change of which any part is invalid is rejected as a whole, with one log line that names the field. The previous
// state is kept, and the next valid change is applied.
func TestInvalidChangeIsRejectedAsAWhole(t *testing.T) {
	good := `{"host":"a","dial":"127.0.0.1:9","health":"draining"}`
	for field, object := range map[string]string{
		"hosts[1].health: unknown value":                          good + `,{"host":"b","dial":"127.0.0.1:9","health":"asleep"}`,
		"hosts[1].dial":                                           good + `,{"host":"b","dial":"nowhere","health":"ready"}`,
		"hosts[1].host is empty":                                  good + `,{"dial":"127.0.0.1:9","health":"ready"}`,
		"hosts[1].block: unexpected string":                       good + `,{"host":"b","block":"7"}`,
		"limits.max_attempts":                                     good + `],"settings":[{"key":"over_share_worth","value":2},{"key":"limits.max_attempts","value":3}`,
		"settings[0].key: unexpected number":                      good + `],"settings":[{"key":7}`,
		"hosts[0].health: unknown value \"asleep\"; version 5 st": `{"host":"a","dial":"127.0.0.1:9","health":"asleep"},` + good,
	} {
		t.Run(field, func(t *testing.T) {
			server := newServer(t)
			follower := startFollower(t, server).loadInitial(``)
			follower.Do(func() { follower.registry.applySettings = acceptOneSetting(nil) })
			watch := server.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
			watch.sendLine(`{"seq":6,"whole":false,"hosts":[` + object + `]}`)
			testkit.Until(t, "the change is rejected", func() bool { return follower.stats().Rejected == 1 })
			if got := follower.workers(); follower.version() != 5 || got != "a=ready" {
				t.Errorf("version %d: %s", follower.version(), got)
			}
			watch.sendLine(encodeChange(7, false, "c=ready"))
			follower.waitForVersion(7, "a=ready c=ready")
			follower.waitForServer(server)
			if n := follower.countLogLines("rejected: "); n != 1 || follower.countLogLines(field) != 1 {
				t.Errorf("%d lines on rejections, %d name the field, want 1 of each: %q", n, follower.countLogLines(field), follower.logLines)
			}
		})
	}
}

// The settings of a change are applied to the dispatcher. If one of them cannot change while the program runs, the
// whole change is rejected.
func TestSettingsReachTheDispatcher(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	watch := server.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	watch.sendLine(`{"seq":6,"whole":false,"hosts":[],"settings":[{"key":"over_share_worth","value":0.25}]}`)
	follower.waitForVersion(6, "a=ready")
	watch.sendLine(`{"seq":7,"whole":false,"hosts":[{"host":"a","health":"gone"}],"settings":[` +
		`{"key":"over_share_worth","value":0.5},{"key":"limits.max_attempts","value":9}]}`)
	testkit.Until(t, "the change is rejected", func() bool { return follower.stats().Rejected == 1 })
	follower.Do(func() {
		if weight := follower.Dispatcher.Settings.OverQuotaWeight; weight != 0.25 {
			t.Errorf("the weight is %v, want 0.25", weight)
		}
	})
	if got := follower.workers(); follower.version() != 6 || got != "a=ready" || follower.countLogLines("limits.max_attempts") != 1 {
		t.Errorf("version %d: %s; %q", follower.version(), got, follower.logLines)
	}
}

// The settings and endpoints of one change are applied together: any other turn of the event loop sees both or
// neither.
func TestSettingsAndEndpointsApplyTogether(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	settingApplied := false
	follower.Do(func() { follower.registry.applySettings = acceptOneSetting(func() { settingApplied = true }) })
	watch := server.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	follower.waitForVersion(5, "a=ready")
	text := testkit.Chunk(`{"seq":6,"whole":false,"settings":[{"key":"over_share_worth","value":0.5}],` +
		`"hosts":[{"host":"b","dial":"127.0.0.1:9","health":"ready"}]}` + "\n")
	seen := false
	checks := 0
	check := func() {
		if listed := follower.registry.workers["b"] != nil; listed != settingApplied {
			t.Errorf("worker listed: %v, setting applied: %v", listed, settingApplied)
		}
		seen = settingApplied
		checks++
	}
	for i := range len(text) {
		io.WriteString(watch, text[i:i+1])
		follower.Do(check)
	}
	testkit.Until(t, "the change is applied", func() bool {
		follower.Do(check)
		return seen
	})
	if checks < len(text) {
		t.Errorf("only %d checks", checks)
	}
	follower.Do(func() {
		_, list, err := follower.registry.Export()
		if err != nil || !bytes.Contains(list, []byte(`"settings":[{"key":"over_share_worth","value":0.5}]`)) {
			t.Errorf("exported %s, %v", list, err)
		}
	})
}

// A drain takes effect in the turn of the event loop in which its bytes are read, so that an attempt that starts right
// afterwards is not sent to the draining worker.
func TestDrainAppliesInSameLoopTurn(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	watch := server.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	follower.waitForServer(server)
	server.expectRequest(pollQuery(5)) // not answered, so that all bytes from now on are the drain's
	before := follower.stats().BytesRead
	watch.sendLine(encodeChange(6, false, "a=draining"))
	testkit.Until(t, "the drain is read", func() (read bool) {
		follower.Do(func() {
			read = follower.registry.stats.BytesRead > before
			if state := follower.registry.workers["a"].State; read && state != decision.Draining {
				t.Errorf("the drain was read, but the next turn sees the state %v", state)
			}
		})
		return read
	})
}

// An exact delta is not applied to a state other than its base; the server is polled again instead.
func TestExactDeltaForAnotherState(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	watch := server.serveFirstPoll(0, encodeChange(5, true, "a=ready", "b=ready"), 5)
	server.expectRequest(pollQuery(5)).answer(encodeChange(6, false, "b=draining")) // the watch is still at 5
	follower.waitForVersion(6, "a=ready b=draining")
	exact := strings.Replace(encodeChange(8, false, "a=draining"), `"whole":false`, `"whole":false,"exact":true`, 1)
	watch.sendLine(exact) // b was changed and changed back after version 5, which the exact delta does not contain
	again := server.expectRequest(pollQuery(6))
	if follower.version() != 6 || follower.workers() != "a=ready b=draining" {
		t.Fatalf("version %d: %s", follower.version(), follower.workers())
	}
	testkit.Until(t, "the snapshot is applied", func() bool {
		again.answer(encodeChange(8, true, "a=draining", "b=ready"))
		select {
		case again = <-server.requests: // the earlier one may have been an acknowledgement that was sent before the watch ended
		default:
		}
		return follower.version() == 8
	})
	follower.waitForVersion(8, "a=draining b=ready")
}

// An exact delta that continues from the state in force is applied like any other delta.
func TestExactDeltaThatFits(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	watch := server.serveFirstPoll(0, encodeChange(5, true, "a=ready", "b=ready"), 5)
	watch.sendLine(strings.Replace(encodeChange(8, false, "a=draining"), `"whole":false`, `"whole":false,"exact":true`, 1))
	follower.waitForVersion(8, "a=draining b=ready")
	follower.Do(func() {
		if f := &follower.registry.follower.inForce; f.completeThrough != 8 {
			t.Errorf("the state is complete through %d, want 8", f.completeThrough)
		}
	})
}
