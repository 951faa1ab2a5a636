//go:build linux && (amd64 || arm64)

package faultinject

import (
	"testing"
	"time"
)

func TestRuleInForce(t *testing.T) {
	bounded := Rule{Start: time.Second, Duration: time.Second}
	unbounded := Rule{Start: time.Second}
	for _, test := range []struct {
		elapsed            time.Duration
		bounded, unbounded bool
	}{
		{0, false, false},
		{time.Second, true, true},
		{2*time.Second - 1, true, true},
		{2 * time.Second, false, true},
	} {
		if got := bounded.inForce(test.elapsed); got != test.bounded {
			t.Errorf("a rule with an end is in force after %v: %v", test.elapsed, got)
		}
		if got := unbounded.inForce(test.elapsed); got != test.unbounded {
			t.Errorf("a rule without an end is in force after %v: %v", test.elapsed, got)
		}
	}
}

func TestClockOffset(t *testing.T) {
	plan := Plan{Steps: []Step{{Start: time.Second, Offset: time.Hour}, {Start: 3 * time.Second, Offset: -time.Minute}}}
	for elapsed, want := range map[time.Duration]time.Duration{
		0: 0, time.Second: time.Hour, 2 * time.Second: time.Hour, 3 * time.Second: -time.Minute,
	} {
		if got := plan.clockOffset(elapsed); got != want {
			t.Errorf("the clock offset after %v is %v, want %v", elapsed, got, want)
		}
	}
}

func TestCallNames(t *testing.T) {
	seen := map[string]bool{}
	for call := range callCount {
		name := call.String()
		if name == "" || seen[name] {
			t.Errorf("call %d has the empty or duplicate name %q", int(call), name)
		}
		seen[name] = true
	}
}
