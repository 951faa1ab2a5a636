package discovery

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A change of which any part is wrong is refused whole with one line that names
// the field; what was in force stays, and the next good one applies.
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
			home := newServer(t)
			s := startFollower(t, 0, home).loadInitial(``)
			s.Do(func() { s.registry.applySettings = acceptOneSetting(nil) })
			watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
			watch.sendLine(`{"seq":6,"whole":false,"hosts":[` + object + `]}`)
			testkit.Until(t, "it is refused", func() bool { return s.stats().Refused == 1 })
			if got := s.workers(); s.version() != 5 || got != "a=ready" {
				t.Errorf("version %d: %s", s.version(), got)
			}
			watch.sendLine(encodeChange(7, false, "c=ready"))
			s.waitForVersion(7, "a=ready c=ready")
			s.waitForServer(home)
			if n := s.countLogLines("rejected: "); n != 1 || s.countLogLines(field) != 1 {
				t.Errorf("%d lines, %d name the field: %q", n, s.countLogLines(field), s.logLines)
			}
		})
	}
}

// Settings of a change come into force in the core, and one that may not change
// while the program runs refuses the whole change.
func TestSettingsReachTheDispatcher(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	watch.sendLine(`{"seq":6,"whole":false,"hosts":[],"settings":[{"key":"over_share_worth","value":0.25}]}`)
	s.waitForVersion(6, "a=ready")
	watch.sendLine(`{"seq":7,"whole":false,"hosts":[{"host":"a","health":"gone"}],"settings":[{"key":"over_share_worth","value":0.5},{"key":"limits.max_attempts","value":9}]}`)
	testkit.Until(t, "it is refused", func() bool { return s.stats().Refused == 1 })
	s.Do(func() {
		if worth := s.Dispatcher.Settings.OverQuotaWeight; worth != 0.25 {
			t.Errorf("the worth is %v", worth)
		}
	})
	if got := s.workers(); s.version() != 6 || got != "a=ready" || s.countLogLines("limits.max_attempts") != 1 {
		t.Errorf("version %d: %s; %q", s.version(), got, s.logLines)
	}
}

// Settings and hosts of one object are in force together: whoever looks from
// another turn of the loop sees both or none.
func TestSettingsAndEndpointsApplyTogether(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	settingApplied := false
	s.Do(func() { s.registry.applySettings = acceptOneSetting(func() { settingApplied = true }) })
	watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	s.waitForVersion(5, "a=ready")
	text := testkit.Chunk(`{"seq":6,"whole":false,"settings":[{"key":"over_share_worth","value":0.5}],"hosts":[{"host":"b","dial":"127.0.0.1:9","health":"ready"}]}` + "\n")
	seen, checks := false, 0
	check := func() {
		if host := s.registry.workers["b"] != nil; host != settingApplied {
			t.Errorf("host %v, setting %v", host, settingApplied)
		}
		seen = settingApplied
		checks++
	}
	for i := range len(text) {
		io.WriteString(watch, text[i:i+1])
		s.Do(check)
	}
	testkit.Until(t, "it is in force", func() bool {
		s.Do(check)
		return seen
	})
	if checks < len(text) {
		t.Errorf("%d looks", checks)
	}
	s.Do(func() {
		_, list, err := s.registry.Export()
		if err != nil || !bytes.Contains(list, []byte(`"settings":[{"key":"over_share_worth","value":0.5}]`)) {
			t.Errorf("a successor is told %s, %v", list, err)
		}
	})
}

// A drain is in force in the very turn in which its bytes are taken in: an
// attempt that begins right behind them does not go there.
func TestDrainAppliesInSameLoopTurn(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	s.waitForServer(home)
	home.expectRequest("after=5&name=d+1") // is not answered, so that all bytes from now on are the drain's
	before := s.stats().BytesRead
	watch.sendLine(encodeChange(6, false, "a=draining"))
	testkit.Until(t, "the drain's bytes are taken in", func() (taken bool) {
		s.Do(func() {
			taken = s.registry.stats.BytesRead > before
			if state := s.registry.workers["a"].State; taken && state != decision.Draining {
				t.Errorf("the turn behind the bytes sees %v", state)
			}
		})
		return taken
	})
}

// A delta that fits one state alone is not taken in by another: the server is
// asked again.
func TestExactDeltaForAnotherState(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready", "b=ready"), 5)
	home.expectRequest("after=5&name=d+1").answer(encodeChange(6, false, "b=draining")) // the watch is still at 5
	s.waitForVersion(6, "a=ready b=draining")
	exact := strings.Replace(encodeChange(8, false, "a=draining"), `"whole":false`, `"whole":false,"exact":true`, 1)
	watch.sendLine(exact) // b has changed back meanwhile, which a delta from 5 does not tell
	again := home.expectRequest("after=6&name=d+1")
	if s.version() != 6 || s.workers() != "a=ready b=draining" {
		t.Fatalf("version %d: %s", s.version(), s.workers())
	}
	testkit.Until(t, "the snapshot is in force", func() bool {
		again.answer(encodeChange(8, true, "a=draining", "b=ready"))
		select {
		case again = <-home.requests: // the first one may have been an acknowledgement that the watch's end overtook
		default:
		}
		return s.version() == 8
	})
	s.waitForVersion(8, "a=draining b=ready")
}

// An exact delta that fits is taken in as any other.
func TestExactDeltaThatFits(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready", "b=ready"), 5)
	watch.sendLine(strings.Replace(encodeChange(8, false, "a=draining"), `"whole":false`, `"whole":false,"exact":true`, 1))
	s.waitForVersion(8, "a=draining b=ready")
	s.Do(func() {
		if f := s.registry.follower; f.completeThrough != 8 {
			t.Errorf("complete up to %d", f.completeThrough)
		}
	})
}
